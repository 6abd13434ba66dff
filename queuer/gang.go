package queuer

import (
	"math"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// group returns the tasks that a lane starts together: the members of its gang
// that don't run yet, or its first task if it isn't a gang's lane. It returns
// nil while tasks of the gang haven't been added.
func (q *Queuer) group(l *lane) []*waiting {
	g, ok := l.gang()
	if !ok {
		return []*waiting{l.first()}
	}
	running := q.runningGangTasks[gangKey{l.key.team, g.ID}]
	if l.count+running < g.Size {
		return nil
	}
	tasks := l.waitingTasks()
	return tasks[:min(len(tasks), max(1, g.Size-running))]
}

// tryGang starts a gang if all its members can start now. It reports whether the
// lane changed.
func (q *Queuer) tryGang(l *lane) bool {
	tasks := q.group(l)
	if tasks == nil {
		l.block = byIncompleteGang
		return false
	}
	for _, w := range tasks {
		if !q.mayStart(w) {
			return true
		}
	}
	charge := q.chargeFor(tasks[0].Task)
	if !q.allotmentFits(l, charge, len(tasks)) {
		return false
	}
	if l.block == byCapacity && (q.now < l.retryAt || !q.mightFit(l, charge, false)) {
		return false
	}
	started := q.placeAll(tasks, charge)
	if started == nil {
		l.retryAt = q.now + gangRetryInterval
		q.blockForCapacity(l, charge)
		return false
	}
	for i, w := range tasks {
		if !q.quota.Reserve(w.Team, charge) {
			panic("queuer: a gang was started beyond the allotment of its team")
		}
		q.recordStart(w, started[i])
	}
	return true
}

// placeAll places all tasks, or places none and returns nil.
func (q *Queuer) placeAll(tasks []*waiting, charge unit.Resources) []placer.Placement {
	var placed []placer.Placement
	for _, w := range tasks {
		id, ok := q.cell.Find(w.Task, charge)
		if !ok && !q.partialGangs {
			for _, p := range placed {
				q.cell.RemoveTask(p.ID)
			}
			return nil
		}
		p := q.newPlacement(w, id, charge)
		if ok {
			q.cell.Place(p)
		}
		placed = append(placed, p)
	}
	return placed
}

// reservation keeps capacity for a group that is too large to fit as tasks end
// one by one. There is one reservation at a time, so two groups never keep
// capacity that the other needs. Until all of it is free, other tasks run on it
// as backfill, if they are expected to end before the group starts and can be
// stopped if they don't.
type reservation struct {
	lane   *lane
	tasks  []*waiting
	ids    []unit.Task
	charge unit.Resources
	// readyAt is when all of the capacity is expected to be free.
	readyAt clock.Millis
	// preempted is set once the reservation has stopped tasks that run longer
	// than expected, or has found that stopping them doesn't free enough.
	preempted bool
}

func (r *reservation) has(w *waiting) bool {
	return r != nil && slices.Contains(r.tasks, w)
}

// searchReservation makes a reservation, if there is none, for the first group
// that has found no capacity for long enough. The group's team must have the
// least load of all that found no capacity, unless the group is overdue.
func (q *Queuer) searchReservation() {
	if q.reservation != nil || q.noReservations {
		return
	}
	var found *lane
	least := math.Inf(1)
	for _, l := range q.lanes {
		if l.block != byCapacity {
			continue
		}
		q.setLoad(l.team, l.class)
		least = min(least, l.team.load)
		if q.awaitsReservation(l) && (found == nil || precedes(l, found)) {
			found = l
		}
	}
	if found != nil && (found.team.load <= least || q.now-found.blockedSince >= overdueFactor*q.config.reservationDelay()) {
		q.reserve(found)
	}
}

// awaitsReservation reports whether a lane has found no capacity for so long that
// it should get a reservation.
func (q *Queuer) awaitsReservation(l *lane) bool {
	if l.block != byCapacity || l.blockedSince == 0 || q.now < l.reserveAt {
		return false
	}
	waited := q.now - l.blockedSince
	if _, ok := l.gang(); ok {
		return waited >= gangReservationDelay
	}
	return waited >= q.config.reservationDelay()
}

// precedes reports whether a comes before b among the lanes that await a
// reservation or preemption: by load, then by arrival. The loads of their teams
// must be set.
func precedes(a, b *lane) bool {
	if a.team.load != b.team.load {
		return a.team.load < b.team.load
	}
	return a.headSeq < b.headSeq
}

// reserve makes the reservation for a lane's group, on the upstreams where the
// capacity is expected to be free soonest.
func (q *Queuer) reserve(l *lane) {
	l.reserveAt = q.now + reservationTimeout
	tasks := q.group(l)
	if tasks == nil || !q.isFeasible(l) || slices.ContainsFunc(tasks, q.hasUnmetDependency) {
		return
	}
	charge := q.chargeFor(tasks[0].Task)
	cost := preemptNothing
	if q.now-l.blockedSince >= shareDelay {
		cost = q.costForShare(l.team, times(charge, len(tasks)))
	}
	starts, ok := q.cell.PlanStarts(q.now, charge, len(tasks), cost)
	if !ok || !q.quota.Reserve(l.team.name, times(charge, len(tasks))) {
		return
	}
	r := &reservation{lane: l, tasks: tasks, charge: charge, readyAt: starts[len(starts)-1].At}
	for i, w := range tasks {
		r.ids = append(r.ids, w.ID)
		w.charge = charge
		q.cell.ClaimForGroup(q.newPlacement(w, starts[i].Upstream, charge))
	}
	l.reserved = true
	q.reservation = r
	q.passNeeded = true
	q.preemptFor(r, cost)
}

// preemptNothing is a placer.Cost that spares every task.
func preemptNothing(placer.Placement) int64 { return -1 }

// preemptFor stops the tasks that use the capacity of a reservation, if stopping
// tasks frees all of it. It computes the cost of each task again, because it
// changes as tasks of the same team are stopped.
func (q *Queuer) preemptFor(r *reservation, cost placer.Cost) {
	victims, enough := q.cell.GroupVictims(r.ids, cost)
	if !enough {
		return
	}
	for _, p := range victims {
		if cost(p) >= 0 {
			q.stop(p)
		}
	}
}

// advanceReservation starts the group once all of its capacity is free, and
// releases a reservation that can't be met or is too late.
func (q *Queuer) advanceReservation() {
	r := q.reservation
	if r == nil {
		return
	}
	for _, id := range r.ids {
		if !q.cell.ClaimValid(id) {
			q.releaseReservation()
			return
		}
	}
	ready, blocking := q.cell.GroupReady(r.ids)
	for _, p := range blocking {
		q.stop(p)
	}
	switch {
	case ready:
		q.startReserved(r)
	case !r.preempted && q.now > r.readyAt+overrunGrace:
		r.preempted = true
		q.preemptFor(r, q.costFor(r.lane.team.name))
	case q.now > r.readyAt+reservationTimeout:
		q.releaseReservation()
	}
}

func (q *Queuer) startReserved(r *reservation) {
	q.reservation = nil
	r.lane.reserved = false
	q.passNeeded = true
	for _, w := range r.tasks {
		claimed := q.cell.Claimed(w.ID)
		p := q.newPlacement(w, claimed, r.charge)
		q.cell.PlaceClaimed(w.ID, p)
		q.recordStart(w, p)
	}
}

// releaseReservation releases the capacity and the allotment of the reservation.
// The group keeps waiting in its lane.
func (q *Queuer) releaseReservation() {
	r := q.reservation
	q.reservation = nil
	r.lane.reserved = false
	r.lane.block = untried
	for _, w := range r.tasks {
		q.unclaim(w)
	}
	q.passNeeded = true
}

// tryBackfill starts a task on the capacity of the reservation, if it is expected
// to end before the group starts and may be stopped if it doesn't. It reports
// whether it started the task.
func (q *Queuer) tryBackfill(w *waiting, charge unit.Resources) bool {
	r := q.reservation
	if r == nil || !w.Preemptible() {
		return false
	}
	runTime := q.expectedRunTime(w.Task)
	if runTime == 0 || q.now+runTime > r.readyAt {
		return false
	}
	id, ok := q.cell.FindBackfill(r.ids, charge)
	if !ok {
		return false
	}
	q.start(w, id, charge, true)
	return true
}
