package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Config configures a Dispatcher.
type Config struct {
	// TaskLease is how long an upstream runs a task without a renewal.
	TaskLease clock.Millis
	// ReportTimeout is the time without a report after which an upstream
	// becomes unschedulable.
	ReportTimeout clock.Millis
	// OutcomeRetention is how long an outcome is kept for resends.
	OutcomeRetention clock.Millis
	// MaxRetainedOutcomes bounds the number of kept outcomes.
	MaxRetainedOutcomes int
	// MaxAttempts bounds the failed attempts of one request. Attempts that
	// this scheduler ended itself aren't counted.
	MaxAttempts int
	// NewTask returns a task id that was never used before.
	NewTask func() unit.Task
}

// Expiry returns how long after it was sent a start order may still be executed.
func (c Config) Expiry() clock.Millis { return c.TaskLease / 2 }

// driftAllowance returns the margin for clocks that run at different speeds and
// for rounding.
func (c Config) driftAllowance() clock.Millis { return c.TaskLease/10 + 1 }

// sentTaskEndsBy returns the time by which a task that is sent now has ended if
// no reply or report mentions it.
func (c Config) sentTaskEndsBy(now clock.Millis) clock.Millis {
	return now + c.Expiry() + c.TaskLease + c.driftAllowance()
}

// renewedTaskEndsBy returns the time by which a task whose lease is renewed now
// has ended if the lease isn't renewed again.
func (c Config) renewedTaskEndsBy(now clock.Millis) clock.Millis {
	return now + c.TaskLease + c.driftAllowance()
}

// Dispatcher tracks the requests, tasks and upstreams of one availability zone.
// Its methods must not be called concurrently. They append effects, which the
// caller fetches with Effects and must carry out.
type Dispatcher struct {
	config Config
	// epoch is the epoch of the zone's lease that this scheduler holds; 0 if
	// it doesn't hold the lease.
	epoch unit.Epoch
	// recoveryEndsAt is when the task leases granted by earlier schedulers
	// have expired at the latest.
	recoveryEndsAt clock.Millis
	// recovered is set once every task that an earlier scheduler started is
	// tracked or has ended.
	recovered bool
	// unclaimedPrior holds the prior upstreams that aren't claimed yet; nil if
	// tasks of earlier schedulers may also run on unlisted upstreams.
	unclaimedPrior map[unit.Upstream]bool
	// hasHeldZone is set once this scheduler has held the zone's lease.
	hasHeldZone bool
	// priorOutcomesUntil is when callers stop resending requests whose outcome
	// was known only to an earlier scheduler.
	priorOutcomesUntil clock.Millis
	requests           map[unit.Request]*request
	attempts           map[unit.Task]*attempt
	tasks              map[unit.Task]*task
	upstreams          map[unit.Upstream]*upstream
	// inFlight holds the tasks that an upstream may run.
	inFlight map[unit.Task]*task
	// delayed holds the requests that are enqueued later.
	delayed   map[unit.Request]*request
	deadlines deadlines
	// endedRequests lists the ended requests, the earliest first.
	endedRequests []*request
	// endedTasks lists the tasks that don't run any more, the earliest first.
	// They are kept for OutcomeRetention, so that a late report of one isn't
	// mistaken for an unknown task.
	endedTasks []endedTask
	effects    []Effect
}

// New returns a Dispatcher that doesn't hold the zone's lease.
func New(c Config) *Dispatcher {
	return &Dispatcher{
		config:    c,
		requests:  map[unit.Request]*request{},
		attempts:  map[unit.Task]*attempt{},
		tasks:     map[unit.Task]*task{},
		inFlight:  map[unit.Task]*task{},
		delayed:   map[unit.Request]*request{},
		upstreams: map[unit.Upstream]*upstream{},
	}
}

// Effects returns the pending effects in the order in which they must be
// carried out, and clears them.
func (d *Dispatcher) Effects() []Effect {
	out := d.effects
	d.effects = nil
	return out
}

func (d *Dispatcher) emit(e Effect) { d.effects = append(d.effects, e) }

// Upstreams returns the upstreams on which tasks may start once they are
// confirmed. complete reports whether no task of an earlier scheduler can run
// on any other upstream.
func (d *Dispatcher) Upstreams() (claimed []unit.Upstream, complete bool) {
	for id, u := range d.upstreams {
		if u.claimed {
			claimed = append(claimed, id)
		}
	}
	return claimed, d.recovered
}

// ConfirmUpstream makes an upstream schedulable. It is called once a successor
// is certain to learn that tasks may run on the upstream.
func (d *Dispatcher) ConfirmUpstream(id unit.Upstream) {
	if u := d.upstreams[id]; u != nil && !u.confirmed {
		u.confirmed = true
		d.updateUpstream(u)
	}
}

// Epoch returns the epoch of the held lease of the zone; 0 if it isn't held.
func (d *Dispatcher) Epoch() unit.Epoch { return d.epoch }
