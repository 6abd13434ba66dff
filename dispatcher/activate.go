package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// PriorUpstreams lists the upstreams on which tasks of earlier schedulers may
// run.
type PriorUpstreams struct {
	// Complete is false if such tasks may also run on unlisted upstreams.
	Complete  bool
	Upstreams []unit.Upstream
}

// Activate begins to schedule the zone under an epoch. Reports list which tasks
// of earlier schedulers run. Recovery ends when every prior upstream is claimed
// or the leases granted by earlier schedulers have expired. Until then, no
// request is started that an earlier scheduler may have started already.
func (d *Dispatcher) Activate(now clock.Millis, epoch unit.Epoch, prior PriorUpstreams) {
	if d.epoch != 0 {
		d.Deactivate(now)
	}
	d.epoch = epoch
	d.recovered = false
	d.recoveryEndsAt = now
	d.unclaimedPrior = nil
	if prior.Complete {
		d.unclaimedPrior = map[unit.Upstream]bool{}
		for _, u := range prior.Upstreams {
			d.unclaimedPrior[u] = true
		}
	}
	first := epoch == 1 && !d.hasHeldZone
	d.hasHeldZone = true
	if !first {
		// The predecessor sent its last order, and renewed its last lease,
		// before this scheduler could acquire the zone's lease.
		d.recoveryEndsAt = d.config.sentTaskEndsBy(now)
		d.priorOutcomesUntil = now + d.config.OutcomeRetention
	}
	d.checkRecovery(now)
}

// Deactivate stops scheduling the zone, whose lease another instance may hold
// now. Callers of requests that aren't sent are told to resend them; a call in
// progress may still return an answer.
func (d *Dispatcher) Deactivate(now clock.Millis) {
	d.epoch = 0
	for _, r := range d.sortedRequests() {
		switch {
		case r.outcome != nil:
			d.forgetNotRun(r)
		case r.liveAttempt == nil:
			d.conclude(now, r, r.unfinishedOutcome(refusalNoScheduler))
		default:
			d.handOffAttempt(now, r.liveAttempt)
		}
	}
	clear(d.upstreams)
	clear(d.delayed)
}

// forgetNotRun forgets a request that ended as NotRun: another scheduler may run
// it when the caller resends it there.
func (d *Dispatcher) forgetNotRun(r *request) {
	if _, isNotRun := r.outcome.(NotRun); isNotRun {
		delete(d.requests, r.ID)
	}
}

// handOffAttempt ends an attempt here whose tasks the next scheduler adopts.
func (d *Dispatcher) handOffAttempt(now clock.Millis, a *attempt) {
	for _, t := range a.tasks {
		if t.phase == sent {
			// Its call is in progress and may return the answer.
			return
		}
	}
	r := a.request
	outcome := r.unfinishedOutcome(refusalNoScheduler)
	a.abandoned = true
	if a.intentMayExist && !a.mayRun() {
		d.emit(RetractIntent{Request: r.ID, Epoch: a.epoch, Attempt: a.id})
	}
	for _, t := range a.tasks {
		t.phase = ended
		delete(d.inFlight, t.id)
	}
	d.forgetAttempt(now, a)
	d.conclude(now, r, outcome)
}

// Drain ends the requests that aren't sent yet, so that the zone can be handed
// over. Their callers are told to resend them.
func (d *Dispatcher) Drain(now clock.Millis) {
	for _, r := range d.sortedRequests() {
		switch {
		case r.outcome != nil || r.priorAttempt != "":
		case r.liveAttempt == nil:
			d.conclude(now, r, r.unfinishedOutcome(RefusalShuttingDown))
		case !r.liveAttempt.allSent():
			d.abandon(now, r.liveAttempt, &RefusalShuttingDown)
		}
	}
}
