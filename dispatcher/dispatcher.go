package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Config of a Dispatcher.
type Config struct {
	// TaskLease is how long an upstream runs a task unrenewed.
	TaskLease clock.Millis
	// ReportTimeout is the time without a report after which an upstream gets
	// nothing new.
	ReportTimeout clock.Millis
	// OutcomeRetention is how long an outcome is remembered for resends.
	OutcomeRetention clock.Millis
	// MaxRetainedOutcomes bounds the remembered outcomes.
	MaxRetainedOutcomes int
	// MaxAttempts bounds the starts of one request that end without an end of
	// the request.
	MaxAttempts int
	// NewTask returns an id that was never used.
	NewTask func() unit.Task
}

// Expiry is how late an order may still be carried out.
func (c Config) Expiry() clock.Millis { return c.TaskLease / 2 }

// drift is the allowance for clocks that run at different speeds and for
// rounding.
func (c Config) drift() clock.Millis { return c.TaskLease/10 + 1 }

// sentUntil is when a task that is sent now has surely ended if nothing is
// heard of it.
func (c Config) sentUntil(now clock.Millis) clock.Millis {
	return now + c.Expiry() + c.TaskLease + c.drift()
}

// renewedUntil is when a task whose lease is renewed now has surely ended if
// it isn't renewed again.
func (c Config) renewedUntil(now clock.Millis) clock.Millis {
	return now + c.TaskLease + c.drift()
}

// Dispatcher keeps the requests, tasks and upstreams of one availability zone.
// Its methods are called one at a time; each adds to the effects that Effects
// returns.
type Dispatcher struct {
	c Config
	// epoch is this scheduler's; 0 while it doesn't hold the zone.
	epoch unit.Epoch
	// quietAt is when the leases of everything that an earlier scheduler
	// started have surely ended.
	quietAt clock.Millis
	quiet   bool
	// expected are the upstreams that earlier schedulers' work can run on and
	// that weren't claimed yet; nil if there may be others.
	expected map[unit.Upstream]bool
	// hasHeld says that this scheduler held the zone before.
	hasHeld bool
	// inheritedUntil is how long an earlier scheduler's answers, which are lost
	// with it, may still be asked for.
	inheritedUntil clock.Millis
	requests       map[unit.Request]*request
	attempts       map[unit.Task]*attempt
	tasks          map[unit.Task]*task
	upstreams      map[unit.Upstream]*upstream
	// flying are the tasks that an upstream may run.
	flying map[unit.Task]*task
	// held are the requests that wait to be queued.
	held      map[unit.Request]*request
	deadlines deadlines
	// ended lists the ended requests in the order of their ends.
	ended []*request
	// buried lists the tasks that don't run any more, in the order of their
	// ends. They are known for a while, so that a late report of one isn't
	// taken for an unknown task.
	buried []burial
	out    []Effect
}

// New returns a Dispatcher that doesn't hold its zone.
func New(c Config) *Dispatcher {
	return &Dispatcher{
		c:         c,
		requests:  map[unit.Request]*request{},
		attempts:  map[unit.Task]*attempt{},
		tasks:     map[unit.Task]*task{},
		flying:    map[unit.Task]*task{},
		held:      map[unit.Request]*request{},
		upstreams: map[unit.Upstream]*upstream{},
	}
}

// Effects returns what is to be carried out, in order, and forgets it.
func (d *Dispatcher) Effects() []Effect {
	out := d.out
	d.out = nil
	return out
}

func (d *Dispatcher) emit(e Effect) { d.out = append(d.out, e) }

// Upstreams returns the upstreams that work may be started on once they are
// enrolled, and whether nothing of an earlier scheduler can run elsewhere.
func (d *Dispatcher) Upstreams() (claimed []unit.Upstream, whole bool) {
	for id, u := range d.upstreams {
		if u.claimed {
			claimed = append(claimed, id)
		}
	}
	return claimed, d.quiet
}

// ConfirmUpstream says that a successor would surely learn that work may run on an
// upstream.
func (d *Dispatcher) ConfirmUpstream(id unit.Upstream) {
	if u := d.upstreams[id]; u != nil && !u.enrolled {
		u.enrolled = true
		d.announce(u)
	}
}

// Epoch returns the epoch that the zone is held under; 0 if it isn't held.
func (d *Dispatcher) Epoch() unit.Epoch { return d.epoch }
