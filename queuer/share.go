package queuer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// searchAtIntervals looks for tasks that can't start in the order of the passes
// alone and need a reservation or preemption.
func (q *Queuer) searchAtIntervals() {
	if q.now >= q.lastSearchAt+searchInterval {
		q.lastSearchAt = q.now
		q.findInfeasible()
		if q.fair {
			q.retryLanes()
			q.searchReservation()
		}
	}
	if q.fair && q.config.preemptsForShares() && q.now >= q.lastSharePreemptionAt+searchInterval/q.preemptionsPerSearch() {
		q.lastSharePreemptionAt = q.now
		q.preemptForShare()
	}
}

// preemptionsPerSearch returns for how many tasks others may be stopped for the
// sake of shares in a searchInterval.
func (q *Queuer) preemptionsPerSearch() clock.Millis {
	return clock.Millis(min(max(1, q.cell.Upstreams()/upstreamsPerPreemption), maxSharePreemptions))
}

// retryLanes lets lanes be tried again whose charge has changed since they found
// no capacity, or that have lacked allotment for so long that the team should
// save its allotment for them.
func (q *Queuer) retryLanes() {
	for _, l := range q.lanes {
		relearned := l.block == byCapacity && q.chargeFor(l.first().Task) != l.failedCharge
		shouldSave := l.block == byAllotment && l.team.savingFor == nil && q.now-l.blockedSince >= q.config.reservationDelay()
		if relearned || shouldSave {
			l.block = untried
			q.passNeeded = true
		}
	}
}

// preemptForShare stops checkpointed tasks of teams above their share for a task
// of a team below its share that has found no capacity for shareDelay.
func (q *Queuer) preemptForShare() {
	var found *lane
	for _, l := range q.lanes {
		if !q.awaitsSharePreemption(l) {
			continue
		}
		q.setLoad(l.team, l.class)
		if found == nil || precedes(l, found) {
			found = l
		}
	}
	if found == nil {
		return
	}
	w := found.first()
	charge := q.chargeFor(w.Task)
	found.preemptAt = q.now + shareDelay
	cost := q.costForShare(found.team, charge)
	if _, _, ok := q.cell.Victims(charge, false, cost); !ok {
		return
	}
	if found.reserved {
		q.releaseReservation()
	}
	if q.mayStart(w) {
		q.preempt(w, charge, cost)
	}
}

// awaitsSharePreemption reports whether a lane has found no capacity for so long
// that tasks may be stopped for the share of its team.
func (q *Queuer) awaitsSharePreemption(l *lane) bool {
	if l.class != ordinaryClass || l.block != byCapacity || l.blockedSince == 0 {
		return false
	}
	if _, ok := l.gang(); ok {
		return false
	}
	return q.now-l.blockedSince >= shareDelay && q.now >= l.preemptAt
}

// costForShare returns the cost of stopping a task to start one of team t that is
// charged charge. It spares every task that isn't checkpointed, and the tasks of a
// team whose load after the stop would be below the load of t after the start. So
// a preemption is never followed by the reverse one.
func (q *Queuer) costForShare(t *team, charge unit.Resources) placer.Cost {
	total := q.cell.Total()
	loadAfterStart := loadOf(t.allocated.Add(t.remoteAllocated).Add(charge), total, t.share)
	return func(p placer.Placement) int64 {
		b, ok := p.Kind.(placer.Batch)
		if !ok || !b.Checkpoints || p.Team == t.name {
			return -1
		}
		other := q.team(p.Team)
		loadAfterStop := loadOf(other.allocated.Sub(other.stopping).Sub(p.Charge).Add(other.remoteAllocated), total, other.share)
		if loadAfterStop < loadAfterStart {
			return -1
		}
		return q.cost(p)
	}
}
