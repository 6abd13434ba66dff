package queuer

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Costs of stopping a task. They order tasks by kind: checkpointed batch tasks
// are stopped first, then repeatable ones, gangs, services, and tasks that can't
// be run again.
const (
	costRepeatable    = 1_000
	costBelowShare    = 500
	costGang          = 10_000
	costService       = 20_000
	costNotRepeatable = 30_000
	costUrgent        = 5_000
	// maxLostProgress bounds the run time that counts as lost. Each second of
	// it costs 1.
	maxLostProgress = 10 * clock.Minute
)

// cost returns what is lost by stopping a task.
func (q *Queuer) cost(p placer.Placement) int64 {
	var cost int64
	switch kind := p.Kind.(type) {
	case placer.Batch:
		switch {
		case kind.Checkpoints:
		case p.Repeatable:
			cost = costRepeatable + int64(min(q.now-p.Started, maxLostProgress)/clock.Second)
		default:
			cost = costNotRepeatable
		}
	case placer.Gang:
		cost = costGang
	case placer.Service:
		cost = costService
	}
	if p.Urgent {
		cost += costUrgent
	}
	return cost
}

// costFor returns the cost of stopping a task for the benefit of a team. It is
// higher for tasks of other teams with a lower load.
func (q *Queuer) costFor(name unit.Team) placer.Cost {
	own := q.shareOf(name)
	return func(p placer.Placement) int64 {
		cost := q.cost(p)
		if p.Team != name && q.shareOf(p.Team) < own {
			cost += costBelowShare
		}
		return cost
	}
}

// shareOf returns a team's weighted dominant share of the cell.
func (q *Queuer) shareOf(name unit.Team) float64 {
	t := q.team(name)
	return loadOf(t.allocated.Add(t.remoteAllocated), q.cell.Total(), t.share)
}

// preempt claims capacity for a task and stops the tasks that use it. It reports
// false if no upstream can free enough or the team lacks allotment.
func (q *Queuer) preempt(w *waiting, charge unit.Resources, cost placer.Cost) bool {
	id, victims, ok := q.cell.Victims(charge, w.Urgent, cost)
	if !ok || !q.quota.Reserve(w.Team, charge) {
		return false
	}
	w.charge = charge
	q.cell.ClaimUrgent(q.newPlacement(w, id, charge))
	q.dequeue(w, claiming)
	for _, victim := range victims {
		q.stop(victim)
	}
	if q.cell.ClaimReady(w.ID) {
		q.startClaim(w)
		return true
	}
	q.claims = append(q.claims, w)
	return true
}

// startReadyClaims starts the tasks whose claimed capacity is free. A task whose
// claim can't be met any more waits in its lane again.
func (q *Queuer) startReadyClaims() {
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
	p := q.newPlacement(w, q.cell.Claimed(w.ID), w.charge)
	q.cell.PlaceClaimed(w.ID, p)
	q.recordStart(w, p)
}

// unclaim releases the capacity and the allotment of a claim.
func (q *Queuer) unclaim(w *waiting) {
	if q.cell.Unclaim(w.ID) {
		q.quota.Unreserve(w.Team, w.charge)
		q.retryForAllotment(q.team(w.Team))
	}
}

// maxOwnTeamStops bounds for how many urgent tasks of a lane allotment is freed
// at once.
const maxOwnTeamStops = 64

// stopOwnTeam frees allotment for urgent tasks by stopping batch tasks of the same
// team.
func (q *Queuer) stopOwnTeam(l *lane, charge unit.Resources) {
	t := l.team
	need := times(charge, min(l.count, maxOwnTeamStops))
	shortfall := q.quota.Shortfall(t.name, need).Sub(t.stopping).Max(unit.Resources{})
	if !q.fair || shortfall.IsZero() || t.preemptible.IsZero() {
		return
	}
	shortfall = shortfall.Min(t.preemptible)
	for _, p := range q.cell.TasksOf(t.name, q.cost) {
		if shortfall.IsZero() || !p.Preemptible() {
			return
		}
		if shortfall.Min(p.Charge).IsZero() {
			continue
		}
		q.stop(p)
		shortfall = shortfall.Sub(p.Charge).Max(unit.Resources{})
	}
}

// stopOverAllotment brings teams that exceed their allotment back below it: it
// releases their claims first, then stops running tasks.
func (q *Queuer) stopOverAllotment() {
	if !q.checkOverage {
		return
	}
	q.checkOverage = false
	for _, t := range q.teamsByName {
		if q.quota.Overage(t.name).IsZero() {
			continue
		}
		q.releaseClaims(func(w *waiting) bool { return w.Team == t.name })
		overage := q.quota.Overage(t.name)
		if overage.IsZero() {
			continue
		}
		q.checkOverage = true
		q.stopOverage(t, overage.Sub(t.stopping).Max(unit.Resources{}))
	}
}

// releaseClaims releases the claims and the reservation of the tasks that match,
// which then wait in their lanes again.
func (q *Queuer) releaseClaims(match func(*waiting) bool) {
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

func (q *Queuer) stopOverage(t *team, overage unit.Resources) {
	if overage.IsZero() {
		return
	}
	for _, p := range q.cell.TasksOf(t.name, q.cost) {
		if overage.IsZero() {
			return
		}
		if overage.Min(p.Charge).IsZero() {
			continue
		}
		q.stop(p)
		overage = overage.Sub(p.Charge).Max(unit.Resources{})
	}
}

// stopOverCapacity stops tasks on upstreams that are charged more than their
// capacity, and batch tasks on upstreams whose usage exceeds their capacity by
// more than the tolerance.
func (q *Queuer) stopOverCapacity() {
	for _, id := range sortedUpstreams(q.maybeOverCapacity) {
		q.stopAll(q.cell.OverCapacityVictims(id, q.cost))
	}
	clear(q.maybeOverCapacity)
	for _, id := range sortedUpstreams(q.overused) {
		q.stopAll(q.cell.OveruseVictims(id, q.cost))
	}
	clear(q.overused)
}

func (q *Queuer) stopAll(tasks []placer.Placement) {
	for _, p := range tasks {
		q.stop(p)
	}
}

func sortedUpstreams(set map[unit.Upstream]struct{}) []unit.Upstream {
	if len(set) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(set))
}
