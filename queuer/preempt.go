package queuer

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Costs of stopping a task, by its kind. Work that can't be run again is
// stopped last, then services, then gangs.
const (
	costRestart  = 1_000
	costPoorTeam = 500
	costGang     = 10_000
	costService  = 20_000
	costOnce     = 30_000
	costUrgent   = 5_000
	longestLoss  = 10 * clock.Minute
)

// cost is what is lost by stopping a task.
func (q *Queuer) cost(r placer.Placement) int64 {
	var cost int64
	switch kind := r.Kind.(type) {
	case placer.Batch:
		switch {
		case kind.Checkpoints:
		case r.Repeatable:
			cost = costRestart + int64(min(q.now-r.Started, longestLoss)/clock.Second)
		default:
			cost = costOnce
		}
	case placer.Gang:
		cost = costGang
	case placer.Service:
		cost = costService
	}
	if r.Urgent {
		cost += costUrgent
	}
	return cost
}

// costFor is the cost in favour of a team: tasks of teams that hold less than
// it are spared.
func (q *Queuer) costFor(name unit.Team) placer.Cost {
	own := q.shareOf(name)
	return func(r placer.Placement) int64 {
		cost := q.cost(r)
		if r.Team != name && q.shareOf(r.Team) < own {
			cost += costPoorTeam
		}
		return cost
	}
}

func (q *Queuer) shareOf(name unit.Team) float64 {
	t := q.team(name)
	return loadOf(t.held.Add(t.others), q.cell.Total(), t.share)
}

// preempt claims room for a task and stops what is in its way.
func (q *Queuer) preempt(w *waiting, charge unit.Resources, cost placer.Cost) bool {
	id, victims, ok := q.cell.Victims(charge, w.Urgent, cost)
	if !ok || !q.zone.Reserve(w.Team, charge) {
		return false
	}
	w.charge = charge
	q.cell.ClaimUrgent(q.run(w, id, charge))
	q.dequeue(w, claiming)
	for _, v := range victims {
		q.stop(v)
	}
	if q.cell.ClaimReady(w.ID) {
		q.startClaim(w)
		return true
	}
	q.claims = append(q.claims, w)
	return true
}

// startClaimed starts the urgent tasks whose room is there. One whose upstream
// went away waits in its lane again.
func (q *Queuer) startClaimed() {
	q.claims = slices.DeleteFunc(q.claims, func(w *waiting) bool {
		switch {
		case !q.cell.ClaimValid(w.ID):
			q.unclaim(w)
			q.enqueue(w)
			return true
		case q.cell.ClaimReady(w.ID):
			q.startClaim(w)
			return true
		default:
			return false
		}
	})
}

func (q *Queuer) startClaim(w *waiting) {
	r := q.run(w, q.cell.Claimed(w.ID), w.charge)
	q.cell.PlaceClaimed(w.ID, r)
	q.begin(w, r)
}

// unclaim gives the room and the allotment of a claim back.
func (q *Queuer) unclaim(w *waiting) {
	if q.cell.Unclaim(w.ID) {
		q.zone.Unreserve(w.Team, w.charge)
		q.freedAllotment(q.team(w.Team))
	}
}

// ownStops bounds the urgent tasks of a lane for which allotment is made free
// at once.
const ownStops = 64

// stopOwn makes allotment free for urgent work by stopping batch work of the
// same team.
func (q *Queuer) stopOwn(l *lane, charge unit.Resources) {
	t := l.team
	needs := times(charge, min(l.live, ownStops))
	lacks := q.zone.Shortfall(t.name, needs).Sub(t.stopping).Max(unit.Resources{})
	if !q.fair || lacks.IsZero() || t.preemptible.IsZero() {
		return
	}
	lacks = lacks.Min(t.preemptible)
	for _, r := range q.cell.TasksOf(t.name, q.cost) {
		if lacks.IsZero() || !r.Preemptible() {
			return
		}
		if lacks.Min(r.Charge).IsZero() {
			continue
		}
		q.stop(r)
		lacks = lacks.Sub(r.Charge).Max(unit.Resources{})
	}
}

// stopOver brings teams back below a lowered allotment: claims are given up
// first, then running tasks are stopped.
func (q *Queuer) stopOver() {
	if !q.checkOver {
		return
	}
	q.checkOver = false
	for _, t := range q.byName {
		if q.zone.Overage(t.name).IsZero() {
			continue
		}
		q.giveUpClaims(func(w *waiting) bool { return w.Team == t.name })
		over := q.zone.Overage(t.name)
		if over.IsZero() {
			continue
		}
		q.checkOver = true
		q.stopUntil(t, over.Sub(t.stopping).Max(unit.Resources{}))
	}
}

// giveUpClaims lets the tasks that have claims and match wait in their lanes
// again.
func (q *Queuer) giveUpClaims(match func(*waiting) bool) {
	if r := q.reservation; r != nil && slices.ContainsFunc(r.tasks, match) {
		q.releaseReservation()
	}
	q.claims = slices.DeleteFunc(q.claims, func(w *waiting) bool {
		if !match(w) {
			return false
		}
		q.unclaim(w)
		q.enqueue(w)
		return true
	})
}

func (q *Queuer) stopUntil(t *team, over unit.Resources) {
	if over.IsZero() {
		return
	}
	for _, r := range q.cell.TasksOf(t.name, q.cost) {
		if over.IsZero() {
			return
		}
		if over.Min(r.Charge).IsZero() {
			continue
		}
		q.stop(r)
		over = over.Sub(r.Charge).Max(unit.Resources{})
	}
}

// stopShrunk stops tasks on upstreams that hold less than they were given, and
// batch work on those whose tasks use much more than they hold.
func (q *Queuer) stopShrunk() {
	for _, id := range sorted(q.shrunk) {
		q.stopAll(q.cell.OverCapacityVictims(id, q.cost))
	}
	clear(q.shrunk)
	for _, id := range sorted(q.overused) {
		q.stopAll(q.cell.OveruseVictims(id, q.cost))
	}
	clear(q.overused)
}

func (q *Queuer) stopAll(tasks []placer.Placement) {
	for _, r := range tasks {
		q.stop(r)
	}
}

func sorted(set map[unit.Upstream]struct{}) []unit.Upstream {
	if len(set) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(set))
}
