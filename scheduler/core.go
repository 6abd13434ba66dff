package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/queuer"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Bounds of what one event may do.
const (
	// maxDecisions bounds the decisions of the queue for one event.
	maxDecisions = 256
	// maxRounds bounds how often the queue is asked again for one event.
	maxRounds = 16
)

// core ties the dispatcher to the queue. It is a state machine: it reads the
// registered state and the time that it is given, and returns the effects that
// leave the process.
type core struct {
	az         unit.AvailabilityZone
	state      *registrar.Registrar
	newTask    func() unit.Task
	dispatcher *dispatcher.Dispatcher
	queuer     *queuer.Queuer
	// config is the configuration that the queue was told.
	config  parser.Config
	version unit.Version
	// works are the specs of the text's work.
	specs     map[parser.WorkloadKey]taskSpec
	workloads workloads
	// waiting counts the queued tasks of each queue; tasks holds theirs.
	waitingCount map[unit.Queue]int
	queueOf      map[unit.Task]unit.Queue
	// changed says that the queue may have something to decide.
	changed bool
	// releases are the parts of allotments that the queue took out of use.
	releases map[unit.Team]unit.Resources
	effects  []dispatcher.Effect
}

func newCore(az unit.AvailabilityZone, state *registrar.Registrar, config dispatcher.Config) *core {
	c := &core{az: az, state: state, newTask: config.NewTask, dispatcher: dispatcher.New(config)}
	c.reset()
	return c
}

// reset starts with an empty queue.
func (c *core) reset() {
	c.queuer = queuer.New(queuer.Config{})
	c.waitingCount = map[unit.Queue]int{}
	c.queueOf = map[unit.Task]unit.Queue{}
	c.version = 0
	c.workloads = workloads{}
}

// hold begins to schedule the zone under an epoch.
func (c *core) activate(now clock.Millis, epoch unit.Epoch, from dispatcher.PriorUpstreams) {
	c.dispatcher.Deactivate(now)
	c.applyEffects(now)
	c.reset()
	c.refresh()
	for team, amount := range c.state.Allotments(c.az) {
		c.queuer.SetInherited(team, withoutUnlimited(amount))
	}
	c.dispatcher.Activate(now, epoch, from)
	c.restore(now)
}

// bounded returns an allotment without the dimensions that have no bound:
// nothing needs to be counted against them.
func withoutUnlimited(r unit.Resources) unit.Resources {
	v := r.Vector()
	for i := range v {
		if v[i] >= unit.Unlimited {
			v[i] = 0
		}
	}
	return unit.FromVector(v)
}

// lose ends the schedule of the zone.
func (c *core) deactivate(now clock.Millis) {
	c.dispatcher.Deactivate(now)
}

// refresh takes what the log says of teams and allotments.
func (c *core) refresh() {
	config, version := c.state.Config()
	if version != c.version {
		c.config, c.version = config, version
		c.specs = workloadSpecs(config)
		c.workloads.configure(config, c.az)
		teams := make([]queuer.Team, 0, len(config.Teams))
		for _, t := range config.Teams {
			teams = append(teams, queuer.Team{Name: t.Name, Share: t.Share, Limit: t.Limit})
		}
		c.queuer.SetTeams(teams)
	}
	c.releases = c.queuer.AdjustAllotments(c.state.Allotments(c.az), c.state.Excess(c.az))
	c.changed = true
}

// restore takes the open requests that the log holds.
func (c *core) restore(now clock.Millis) {
	for _, rec := range c.state.OpenRecords(c.az) {
		c.dispatcher.Restore(now, requestRecord(rec), c.gangSize(rec.Request))
	}
}

// known turns a record of the log into the dispatcher's view.
func requestRecord(rec registrar.Record) dispatcher.RequestRecord {
	known := dispatcher.RequestRecord{
		Request:   rec.Request,
		Accepted:  rec.Accepted,
		Cancelled: rec.Cancelled,
		Attempt:   rec.Intent.Task,
	}
	if !rec.Open() {
		o, err := dispatcher.UnmarshalOutcome(rec.Outcome)
		if err != nil {
			o = dispatcher.Unknown{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonInternal, Detail: err.Error()}}
		}
		known.Outcome = o
	}
	return known
}

// submit takes a request that a caller waits for.
func (c *core) submit(now clock.Millis, r dispatcher.Request) {
	rec, registered := c.state.Record(r.ID)
	if !registered {
		c.dispatcher.Submit(now, r, c.gangSize(r), nil)
		return
	}
	have := requestRecord(rec)
	c.dispatcher.Submit(now, r, c.gangSize(r), &have)
}

// report takes an upstream's report.
func (c *core) report(now clock.Millis, r dispatcher.Report) dispatcher.ReportReply {
	reply := c.dispatcher.HandleReport(now, r)
	c.applyEffects(now)
	for _, running := range r.Running {
		if c.workloads.recordRunning(running.Request) {
			c.dispatcher.Cancel(now, running.Request)
		}
		c.queuer.RecordUsage(running.Task, running.Usage)
	}
	return reply
}

// decide carries out what the queue decides, if starts are allowed, and
// returns the effects that leave the process.
func (c *core) decide(now clock.Millis, mayStart bool) []dispatcher.Effect {
	c.applyEffects(now)
	for range maxRounds {
		if !mayStart || !c.changed || c.dispatcher.Epoch() == 0 {
			break
		}
		decisions := c.queuer.Decide(now, maxDecisions)
		c.changed = len(decisions) >= maxDecisions
		for _, decision := range decisions {
			c.applyDecision(now, decision)
		}
		c.applyEffects(now)
	}
	out := c.effects
	c.effects = nil
	return out
}

func (c *core) applyDecision(now clock.Millis, decision queuer.Decision) {
	switch decision := decision.(type) {
	case queuer.Start:
		c.uncountQueued(decision.Task)
		c.dispatcher.HandlePlacement(now, decision.Task, decision.Upstream)
	case queuer.Preempt:
		c.dispatcher.Preempt(now, decision.Task, decision.Checkpoint)
	case queuer.Reject:
		c.uncountQueued(decision.Task)
		c.dispatcher.Reject(now, decision.Task, decision.Refusal)
	}
}
