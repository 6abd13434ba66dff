package queuer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// search looks from time to time for work that the order of starts alone
// doesn't bring to its part.
func (q *Queuer) search() {
	if q.now >= q.searchedAt+searchTime {
		q.searchedAt = q.now
		q.watchImpossible()
		if q.fair {
			q.wakeLanes()
			q.searchReservation()
		}
	}
	if q.fair && q.config.movesForShares() && q.now >= q.movedAt+searchTime/q.moves() {
		q.movedAt = q.now
		q.preemptForShare()
	}
}

// moves is how many tasks may be stopped for shares in a searchTime.
func (q *Queuer) moves() clock.Millis {
	return clock.Millis(min(max(1, q.cell.Upstreams()/upstreamsPerMove), maxMoves))
}

// wakeLanes lets lanes be tried again whose charge was learned anew, or that
// have lacked allotment for so long that the team should save for them.
func (q *Queuer) wakeLanes() {
	for _, l := range q.lanes {
		relearned := l.block == byCapacity && q.charge(l.first().Task) != l.failed
		saves := l.block == byLimit && l.team.saving == nil && q.now-l.blockedSince >= q.config.starveTime()
		if relearned || saves {
			l.block = untried
			q.recheck = true
		}
	}
}

// preemptForShare stops checkpointed work of teams that have more than their
// share for a task of a team that has less and found no room for a while.
func (q *Queuer) preemptForShare() {
	var found *lane
	for _, l := range q.lanes {
		if !q.awaitsShare(l) {
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
	charge := q.charge(w.Task)
	found.moveAt = q.now + shareTime
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

func (q *Queuer) awaitsShare(l *lane) bool {
	if l.class != ordinaryClass || l.block != byCapacity || l.blockedSince == 0 {
		return false
	}
	if _, is := l.gang(); is {
		return false
	}
	return q.now-l.blockedSince >= shareTime && q.now >= l.moveAt
}

// costForShare spares all tasks but checkpointed ones of teams that keep a
// larger load without them than the team has with its own task: so a move is
// never followed by the reverse one.
func (q *Queuer) costForShare(t *team, charge unit.Resources) placer.Cost {
	total := q.cell.Total()
	with := loadOf(t.held.Add(t.others).Add(charge), total, t.share)
	return func(r placer.Placement) int64 {
		b, is := r.Kind.(placer.Batch)
		if !is || !b.Checkpoints || r.Team == t.name {
			return -1
		}
		o := q.team(r.Team)
		without := loadOf(o.held.Sub(o.stopping).Sub(r.Charge).Add(o.others), total, o.share)
		if without < with {
			return -1
		}
		return q.cost(r)
	}
}
