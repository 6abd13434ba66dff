// Package planner decides, on the holder of a scheduling domain, which task
// starts where and when.
//
// A Planner is a state machine without goroutines, clock or files. The driver
// tells it what happened (a submission, an upstream's report, the answer to an
// order) and takes what it decided: commands for the replicated log, and
// effects that may be carried out once all commands up to them are committed.
// The Planner's keeper.State runs ahead of the log by the commands that it has
// handed out.
//
// What a new holder knows at first is in the state: every live run. It claims
// each upstream with its fencing token before it starts anything there, and
// learns from the answer which of the runs exist. A run without an answer to
// its start stays live until the upstream has answered a stop, or until its
// lease there has surely lapsed.
package planner

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// Config configures a Planner.
type Config struct {
	// FencingToken fences the holder's orders: it is higher than any former holder's.
	FencingToken uint64
	// LeaderSince is when the holder took over.
	LeaderSince clock.Millis
	// MaxLease bounds a lease on an upstream.
	MaxLease clock.Millis
	// Retention is how long an ended job can be asked for.
	Retention clock.Millis
}

// Planner is the holder's view of the domain.
type Planner struct {
	cfg   Config
	state *keeper.State
	now   clock.Millis

	hosts map[unit.Upstream]*host
	// byID holds the hosts in the order of their ids, so that the same events
	// lead to the same decisions; byAddress holds them by where they serve.
	byID      []*host
	byAddress map[string][]*host
	// byFree holds the usable hosts of each service as of byFreeAt, those with most
	// room first.
	byFree   map[string][]*host
	byFreeAt clock.Millis
	// booked are the hosts with bookings of this pass.
	booked []*host
	// reserved is what gangs wait for of their accounts' maximums, during a pass.
	reserved map[unit.ClientAccount]unit.Resources
	// arrived are the hosts that are new to the driver.
	arrived []unit.Upstream
	runs    map[keeper.RunKey]*run
	// stopping are the runs to stop that haven't answered a stop.
	stopping map[keeper.RunKey]*run
	steps    map[keeper.StepID]*step
	byJob    map[keeper.JobID][]*step
	waiting  []*step
	timed    map[keeper.JobID]int
	advisers map[unit.Instance]*adviser
	// forecasts are what was learned of each queue's tasks.
	forecasts map[unit.Queue]*forecast
	urgent    urgent
	// usualGang is the usual number of a gang's tasks.
	usualGang float64
	// backlog sums up the jobs that haven't ended: all at the last forgetAt, and those
	// that were accepted since.
	backlog backlog
	shares  shares

	// freed are the upstreams that got room since the last pass; eased are the
	// accounts that have less running.
	freed []*host
	eased map[unit.ClientAccount]bool
	// strays are the runs that only have to be stopped, by upstream.
	strays map[unit.Upstream]map[keeper.RunKey]bool

	// dirty: something has changed that may let a waiting step start.
	dirty    bool
	sweepAt  clock.Millis
	forgetAt clock.Millis
	commands []keeper.Command
	effects  []Effect
}

// New returns a planner over a state that holds all that was committed before
// the holder took over.
func New(c Config, state *keeper.State) *Planner {
	p := &Planner{
		cfg: c, state: state, now: c.LeaderSince,
		hosts:     map[unit.Upstream]*host{},
		byAddress: map[string][]*host{},
		runs:      map[keeper.RunKey]*run{},
		stopping:  map[keeper.RunKey]*run{},
		steps:     map[keeper.StepID]*step{},
		byJob:     map[keeper.JobID][]*step{},
		timed:     map[keeper.JobID]int{},
		advisers:  map[unit.Instance]*adviser{},
		forecasts: map[unit.Queue]*forecast{},
		eased:     map[unit.ClientAccount]bool{},
		reserved:  map[unit.ClientAccount]unit.Resources{},
		strays:    map[unit.Upstream]map[keeper.RunKey]bool{},
		dirty:     true,
	}
	for _, id := range slices.Sorted(maps.Keys(state.Upstreams)) {
		h := newHost(state.Upstreams[id], c)
		p.addHost(h)
		for _, key := range h.SortedRuns() {
			held := h.Runs[key]
			p.addRun(h, &run{key: key, life: held.Incarnation, inherited: true, at: held.At})
		}
	}
	p.stopBrokenGangs()
	for _, id := range slices.Sorted(maps.Keys(state.Jobs)) {
		if j := state.Jobs[id]; !j.Phase.IsFinal() {
			p.backlog.add(j.Account, &j.Submission)
			p.open(j)
		}
	}
	return p
}

// State returns the planner's state, for reading.
func (p *Planner) State() *keeper.State { return p.state }

// Token returns the fencing token of the holder's orders.
func (p *Planner) Token() uint64 { return p.cfg.FencingToken }

// TakeOutput returns what was decided since the last call.
func (p *Planner) TakeOutput() ([]keeper.Command, []Effect) {
	c, e := p.commands, p.effects
	p.commands, p.effects = nil, nil
	return c, e
}

// record applies a command to the state and hands it out.
func (p *Planner) record(c keeper.Command) {
	p.state.ApplyCommand(c)
	p.commands = append(p.commands, c)
}

func (p *Planner) effect(e Effect) { p.effects = append(p.effects, e) }

// sweepEvery is the time between two looks for what time alone changes: leases
// that have lapsed, orders to repeat, occurrences that are due.
const sweepEvery = 50 * clock.Millisecond

// Tick looks for what time alone changes and starts what can start.
func (p *Planner) Tick(now clock.Millis) {
	p.now = max(p.now, now)
	if p.now >= p.sweepAt {
		p.sweepAt = p.now + sweepEvery
		p.sweepHosts()
		p.sweepRuns()
		p.sweepOverdue()
		p.openDue()
		p.forget()
		p.dirty = true
	}
	if p.dirty {
		p.dirty = false
		p.plan()
	}
}

const (
	// forgetEvery is the time between two looks for jobs to drop, which walk
	// over all jobs and sum up the backlog.
	forgetEvery = 500 * clock.Millisecond
	// forgetBatch bounds the jobs that are dropped at once: 1,000 a second,
	// several times the rate at which they come.
	forgetBatch = 500
)

func (p *Planner) forget() {
	if p.now < p.forgetAt {
		return
	}
	p.forgetAt = p.now + forgetEvery
	var old []keeper.JobID
	p.backlog = backlog{}
	for id, j := range p.state.Jobs {
		if !j.Phase.IsFinal() {
			p.backlog.add(j.Account, &j.Submission)
		}
		if j.Phase.IsFinal() && j.LiveRunCount == 0 && p.now-j.EndedAt > p.cfg.Retention {
			old = append(old, id)
		}
	}
	slices.Sort(old)
	for _, id := range old[:min(len(old), forgetBatch)] {
		p.record(keeper.ForgetJob{ID: id})
	}
}
