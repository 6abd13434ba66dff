package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// PriorUpstreams is what is known of where earlier schedulers' work can run.
type PriorUpstreams struct {
	// Known is false if there may be upstreams that aren't listed.
	Known     bool
	Upstreams []unit.Upstream
}

// Activate begins to schedule the zone under an epoch. What earlier schedulers
// started is found by reports; until every upstream that it can run on was
// claimed, or the leases of all of it have surely ended, nothing is started
// that one of them may have started already.
func (d *Dispatcher) Activate(now clock.Millis, epoch unit.Epoch, from PriorUpstreams) {
	if d.epoch != 0 {
		d.Deactivate(now)
	}
	d.epoch = epoch
	d.quiet = false
	d.quietAt = now
	d.expected = nil
	if from.Known {
		d.expected = map[unit.Upstream]bool{}
		for _, u := range from.Upstreams {
			d.expected[u] = true
		}
	}
	first := epoch == 1 && !d.hasHeld
	d.hasHeld = true
	if !first {
		// The predecessor sent its last order, and renewed its last lease,
		// before this scheduler could take the zone.
		d.quietAt = d.c.sentUntil(now)
		d.inheritedUntil = now + d.c.OutcomeRetention
	}
	d.becomeQuiet(now)
}

// Deactivate ends the schedule of the zone: another instance may hold it. What isn't
// sent goes back to its callers; a call in progress may still bring an answer.
func (d *Dispatcher) Deactivate(now clock.Millis) {
	d.epoch = 0
	for _, r := range d.sortedRequests() {
		switch {
		case r.outcome != nil:
			d.forgetNotRun(r)
		case r.live == nil:
			d.conclude(now, r, r.unrun(noScheduler))
		default:
			d.leaveAttempt(now, r.live)
		}
	}
	clear(d.upstreams)
	clear(d.held)
}

// forgetNotRun drops an outcome that another scheduler may make untrue, when
// the request is sent to it again.
func (d *Dispatcher) forgetNotRun(r *request) {
	if _, is := r.outcome.(NotRun); is {
		delete(d.requests, r.ID)
	}
}

// leaveAttempt gives up an attempt that another scheduler goes on with.
func (d *Dispatcher) leaveAttempt(now clock.Millis, a *attempt) {
	for _, t := range a.tasks {
		if t.phase == sent {
			// Its call is still open and may bring the answer.
			return
		}
	}
	r := a.r
	o := r.unrun(noScheduler)
	a.over = true
	if a.intended && !a.mayRun() {
		d.emit(RevokeIntent{Request: r.ID, Epoch: a.epoch, Attempt: a.id})
	}
	for _, t := range a.tasks {
		t.phase = gone
		delete(d.flying, t.id)
	}
	d.forgetAttempt(now, a)
	d.conclude(now, r, o)
}

// Drain gives back all that isn't sent yet, so that the zone can be handed
// over.
func (d *Dispatcher) Drain(now clock.Millis) {
	for _, r := range d.sortedRequests() {
		switch {
		case r.outcome != nil || r.foreign != "":
		case r.live == nil:
			d.conclude(now, r, r.unrun(RefusalShuttingDown))
		case !r.live.allSent():
			d.abandon(now, r.live, &RefusalShuttingDown)
		}
	}
}
