package dispatcher

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Tick handles deadlines, expired leases and everything else that is due at now.
func (d *Dispatcher) Tick(now clock.Millis) {
	d.expireDeadlines(now)
	if d.epoch != 0 {
		d.checkRecovery(now)
		d.checkUpstreams(now)
		d.enqueueDelayed(now)
	}
	d.expireLeases(now)
	d.forgetExpired(now)
}

func (d *Dispatcher) expireDeadlines(now clock.Millis) {
	for len(d.deadlines) > 0 && d.deadlines[0].at <= now {
		due := heap.Pop(&d.deadlines).(deadline)
		if due.request.outcome == nil && due.request.deadline == due.at && !due.request.accepted && d.requests[due.request.ID] == due.request {
			d.expireRequest(now, due.request)
		}
	}
}

// Expire ends a request as past its deadline, because its last caller has
// stopped waiting.
func (d *Dispatcher) Expire(now clock.Millis, id unit.Request) {
	if r := d.requests[id]; r != nil && r.outcome == nil && !r.accepted {
		d.expireRequest(now, r)
	}
}

func (d *Dispatcher) expireRequest(now clock.Millis, r *request) {
	if r.liveAttempt == nil || r.liveAttempt.allSent() {
		d.conclude(now, r, r.unfinishedOutcome(refusalDeadline))
		return
	}
	d.abandon(now, r.liveAttempt, &refusalDeadline)
}

// allSent reports whether every task of the attempt was sent.
func (a *attempt) allSent() bool {
	for _, t := range a.tasks {
		if t.phase == queued || t.phase == placed {
			return false
		}
	}
	return true
}

// checkRecovery completes the recovery if every prior upstream is claimed or the
// leases granted by earlier schedulers have expired.
func (d *Dispatcher) checkRecovery(now clock.Millis) {
	allClaimed := d.unclaimedPrior != nil && len(d.unclaimedPrior) == 0
	if d.recovered || (now < d.recoveryEndsAt && !allClaimed) {
		return
	}
	d.recovered = true
	d.emit(RecoveryComplete{})
	d.endRecoveryWaits(now)
	for _, r := range d.sortedRequests() {
		if r.priorAttempt != "" && r.outcome == nil {
			d.resolvePriorAttempt(now, r)
		}
	}
}

// endRecoveryWaits ends the waits that were to last until the end of recovery.
func (d *Dispatcher) endRecoveryWaits(now clock.Millis) {
	for _, r := range d.delayed {
		if r.delayedUntil == d.recoveryEndsAt {
			r.delayedUntil = now
		}
	}
	for _, t := range d.inFlight {
		if t.phase == unreported {
			t.endsBy = now
		}
	}
	d.recoveryEndsAt = min(d.recoveryEndsAt, now)
}

// resolvePriorAttempt retries or concludes a request with an attempt of an earlier
// scheduler that no upstream reported before its lease expired.
func (d *Dispatcher) resolvePriorAttempt(now clock.Millis, r *request) {
	switch {
	case r.cancelled:
		d.conclude(now, r, Unknown{refusalCancelled})
	case r.Repeatable:
		r.priorAttempt = ""
		d.enqueue(r)
	default:
		d.conclude(now, r, Unknown{refusalStartedElsewhere})
	}
}

// checkUpstreams makes silent upstreams unschedulable, and removes those that
// stayed silent until no task can run on them.
func (d *Dispatcher) checkUpstreams(now clock.Millis) {
	for id, u := range d.upstreams {
		if !u.silent && now >= u.reportedAt+d.config.ReportTimeout {
			u.silent = true
			d.updateUpstream(u)
		}
		if len(u.tasks) == 0 && now >= d.config.sentTaskEndsBy(u.reportedAt) {
			delete(d.upstreams, id)
			d.emit(RemoveUpstream{Upstream: id})
		}
	}
}

// IsRecovered reports whether every task that earlier schedulers started is
// tracked or has ended.
func (d *Dispatcher) IsRecovered() bool { return d.epoch != 0 && d.recovered }

func (d *Dispatcher) enqueueDelayed(now clock.Millis) {
	var due []*request
	for _, r := range d.delayed {
		if now >= r.delayedUntil {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, compareRequestIDs)
	for _, r := range due {
		if r.cancelled {
			d.conclude(now, r, r.unfinishedOutcome(refusalCancelled))
			continue
		}
		d.enqueue(r)
	}
}

// expireLeases ends the tasks whose lease has expired.
func (d *Dispatcher) expireLeases(now clock.Millis) {
	var due []*task
	for _, t := range d.inFlight {
		if now >= t.endsBy {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	for _, t := range due {
		d.endLost(now, t)
	}
}

// forgetExpired removes the outcomes and ended tasks whose retention has passed,
// and the oldest outcomes beyond MaxRetainedOutcomes.
func (d *Dispatcher) forgetExpired(now clock.Millis) {
	for len(d.endedRequests) > 0 {
		r := d.endedRequests[0]
		if now < r.endedAt+d.config.OutcomeRetention && len(d.endedRequests) <= d.config.MaxRetainedOutcomes {
			break
		}
		if d.requests[r.ID] == r && r.liveAttempt == nil {
			delete(d.requests, r.ID)
		}
		d.endedRequests = d.endedRequests[1:]
	}
	for len(d.endedTasks) > 0 && now >= d.endedTasks[0].at+d.config.OutcomeRetention {
		delete(d.tasks, d.endedTasks[0].task)
		d.endedTasks = d.endedTasks[1:]
	}
}

func compareRequestIDs(a, b *request) int { return cmp.Compare(a.ID, b.ID) }

func (d *Dispatcher) sortedRequests() []*request {
	all := make([]*request, 0, len(d.requests))
	for _, r := range d.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, compareRequestIDs)
	return all
}

func (u *upstream) sortedTasks() []*task {
	all := make([]*task, 0, len(u.tasks))
	for _, t := range u.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	return all
}
