// Package planner decides, on the leader of a scheduling domain, which task starts on which
// upstream, and when.
//
// A Planner is a state machine that uses no goroutines, clocks or files. The driver passes
// it events (a submission, an upstream's report, the result of an order) and calls
// TakeOutput for its decisions: commands for the replicated log, and effects, which the
// driver may execute once all commands that precede them are committed. The Planner's
// keeper.State is ahead of the log by the commands that aren't committed yet.
//
// A new leader starts from the state, which lists every live run. It sends each upstream
// its fencing token in a poll before it starts anything there; the answer lists the runs
// that exist. A run whose start was not answered stays live until the upstream has answered
// a stop, or until the lease of the upstream must have expired.
//
// The rules that decide are in plan.go (one planning pass), step.go and predict.go (the
// order of the waiting steps), forecast.go (running times), share.go (fair shares),
// candidate.go and gang.go (the choice of upstreams), preempt.go (capacity for urgent steps),
// evacuate.go (moves out of evacuated zones) and tickets.go (admission tickets).
package planner

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/predictor"
	"github.com/chervilvane/chervilvane/unit"
)

// Config configures a Planner.
type Config struct {
	// FencingToken is sent with every order. It is higher than the token of any former
	// leader.
	FencingToken uint64
	// LeaderSince is the time at which this instance became leader.
	LeaderSince clock.Millis
	// MaxLease is the longest lease that the planner grants an upstream.
	MaxLease clock.Millis
	// MaxListedEnds is the most ends that an upstream lists in one answer to a poll. It lists
	// the rest once these are acknowledged. 0 means that it always lists all.
	MaxListedEnds int
	// EntitlementSlack is how many jobs an account may submit at once beyond its weight in
	// jobs per second. 0 means that weights are only shares of a full domain.
	EntitlementSlack float64
	// Retention is how long the state keeps a job after its end.
	Retention clock.Millis
	// EvacuateBound is the time within which an evacuation takes effect, by the platform's
	// rules. Only runs that last well beyond it are moved out of an evacuated zone.
	EvacuateBound clock.Millis
}

// Planner is the leader's view of a scheduling domain. It isn't safe for concurrent use.
type Planner struct {
	cfg   Config
	state *keeper.State
	now   clock.Millis

	upstreams map[unit.Upstream]*upstream
	// byID is sorted by id, so that the same events lead to the same decisions. byAddress
	// groups the upstreams by the address at which they serve.
	byID      []*upstream
	byAddress map[string][]*upstream
	// ignoredReports and ignoredService are those of Status.
	ignoredReports int
	ignoredService string
	// byFreeCPU lists the schedulable upstreams of each service as of byFreeCPUAt, those
	// with the most free CPU first.
	byFreeCPU   map[string][]*upstream
	byFreeCPUAt clock.Millis
	// fleets identifies the upstreams of each service in byFreeCPU that aren't quarantined.
	fleets map[string]uint64
	// booked lists the upstreams with capacity booked in this pass.
	booked []*upstream
	// reservedQuota is the part of each account's quota that waiting gangs reserve during a
	// pass.
	reservedQuota map[unit.ClientAccount]unit.Resources
	// newUpstreams are the upstreams that TakeNewUpstreams has yet to return.
	newUpstreams []unit.Upstream
	runs         map[keeper.RunKey]*run
	// stopping are the runs to stop, each until its stop order has been executed.
	stopping   map[keeper.RunKey]*run
	steps      map[keeper.StepID]*step
	stepsByJob map[keeper.JobID][]*step
	// waiting are the steps with tasks to start, sorted by rankWaiting.
	waiting []*step
	// begun holds the jobs that have run but are still queued by the state.
	begun map[keeper.JobID]bool
	// nextOccurrence is the next occurrence to queue of each repeated job.
	nextOccurrence   map[keeper.JobID]int
	ticketRequesters map[unit.Instance]*ticketRequester
	// lastTicketRequest is the number of the last ticket request.
	lastTicketRequest int
	// adviceScarce is set while no instance but those in reserve could send another ticket
	// request at once.
	adviceScarce bool
	// predictor predicts running times. It learns from the commands that the state applies.
	predictor *predictor.Predictor
	// forecasts are the cached forecasts of jobs that haven't ended; siblings is reused to
	// make them.
	forecasts      map[keeper.JobID]*jobForecast
	siblings       []predictor.Running
	progressNoise  progressNoise
	forecastStatus ForecastStatus
	urgent         urgentNeed
	// meanGangSize is a moving average of the number of tasks of a gang.
	meanGangSize float64
	// backlog is the estimated size of the jobs that haven't ended: it is summed up anew at
	// each forgetAt, and accepted jobs are added in between.
	backlog      backlog
	shares       shares
	entitlements entitlements
	// evacuation holds the moves out of evacuated zones.
	evacuation evacuation
	// timing is what has been timed since TakeTiming. passSearches and passTicketSearches are
	// the numbers of steps for which the last pass searched for capacity, and in vain for
	// upstreams to request tickets for.
	timing                           Timing
	passSearches, passTicketSearches int

	// freed are the upstreams on which capacity was freed since the last pass; quotaFreed
	// are the accounts of which a run has ended since then.
	freed      []*upstream
	quotaFreed map[unit.ClientAccount]bool
	// orphans are the runs that upstreams list and the state does not. They only have to be
	// stopped.
	orphans map[unit.Upstream]map[keeper.RunKey]bool

	// dirty is set when something has changed that may let a waiting step start.
	dirty    bool
	sweepAt  clock.Millis
	forgetAt clock.Millis
	commands []keeper.Command
	effects  []Effect
}

// New returns a planner. The state must include everything that was committed before this
// instance became leader.
func New(c Config, state *keeper.State) *Planner {
	p := &Planner{
		cfg: c, state: state, now: c.LeaderSince,
		upstreams:        map[unit.Upstream]*upstream{},
		byAddress:        map[string][]*upstream{},
		runs:             map[keeper.RunKey]*run{},
		stopping:         map[keeper.RunKey]*run{},
		steps:            map[keeper.StepID]*step{},
		stepsByJob:       map[keeper.JobID][]*step{},
		begun:            map[keeper.JobID]bool{},
		nextOccurrence:   map[keeper.JobID]int{},
		ticketRequesters: map[unit.Instance]*ticketRequester{},
		forecasts:        map[keeper.JobID]*jobForecast{},
		predictor:        learnerOf(state).predictor,
		quotaFreed:       map[unit.ClientAccount]bool{},
		reservedQuota:    map[unit.ClientAccount]unit.Resources{},
		orphans:          map[unit.Upstream]map[keeper.RunKey]bool{},
		entitlements:     newEntitlements(c.EntitlementSlack),
		dirty:            true,
	}
	for _, id := range slices.Sorted(maps.Keys(state.Upstreams)) {
		u := newUpstream(state.Upstreams[id], c)
		u.inheritedDraining = u.Draining
		p.addUpstream(u)
		for _, key := range u.SortedRuns() {
			allocation := u.Runs[key]
			p.addRun(u, &run{key: key, incarnation: allocation.Incarnation, inherited: true, recordedAt: allocation.StartedAt, appliedAt: allocation.AppliedAt})
		}
	}
	p.repeatStops()
	p.restoreEntitlements()
	for _, id := range slices.Sorted(maps.Keys(state.Jobs)) {
		if j := state.Jobs[id]; !j.Phase.IsFinal() {
			p.backlog.add(j.Account, &j.Submission)
			p.openJob(j)
		}
	}
	return p
}

// State returns the planner's state. The caller must not change it.
func (p *Planner) State() *keeper.State { return p.state }

// Token returns the fencing token of this leader's orders.
func (p *Planner) Token() uint64 { return p.cfg.FencingToken }

// TakeOutput returns the commands and effects that were added since the last call.
func (p *Planner) TakeOutput() ([]keeper.Command, []Effect) {
	c, e := p.commands, p.effects
	p.commands, p.effects = nil, nil
	return c, e
}

// record applies a command to the state and adds it to the output.
func (p *Planner) record(c keeper.Command) {
	p.state.ApplyCommand(c)
	p.commands = append(p.commands, c)
}

func (p *Planner) addEffect(e Effect) { p.effects = append(p.effects, e) }

// sweepInterval is the time between two checks for changes without an event: expired
// leases, orders to repeat, occurrences that are due.
const sweepInterval = 50 * clock.Millisecond

// Tick handles what is due by time alone, then starts the tasks that can start.
func (p *Planner) Tick(now clock.Millis) {
	p.now = max(p.now, now)
	if p.now >= p.sweepAt {
		p.sweepAt = p.now + sweepInterval
		p.sweepUpstreams()
		p.sweepRuns()
		p.sweepOverdue()
		p.openDueOccurrences()
		p.forgetJobs()
		p.dirty = true
	}
	if p.dirty {
		p.dirty = false
		p.plan()
	}
}

const (
	// forgetInterval is the time between two searches for jobs to drop. Each search goes
	// over all jobs; it also sums up the backlog.
	forgetInterval = 500 * clock.Millisecond
	// forgetBatch limits the jobs that are dropped at once. The limit of 1,000 a second is
	// several times the rate at which jobs arrive.
	forgetBatch = 500
)

func (p *Planner) forgetJobs() {
	if p.now < p.forgetAt {
		return
	}
	p.forgetAt = p.now + forgetInterval
	var expired []keeper.JobID
	p.backlog = backlog{}
	for id, j := range p.state.Jobs {
		if !j.Phase.IsFinal() {
			p.backlog.add(j.Account, &j.Submission)
		}
		if j.Phase.IsFinal() && j.LiveRunCount == 0 && p.now-j.EndedAt > p.cfg.Retention {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired[:min(len(expired), forgetBatch)] {
		p.record(keeper.ForgetJob{ID: id})
	}
}
