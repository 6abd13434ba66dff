package queuer

import (
	"math"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// group returns the tasks that a lane starts together: the missing part of a
// gang, or the head. It is nil while tasks of the gang have not been added.
func (q *Queuer) group(l *lane) []*waiting {
	g, is := l.gang()
	if !is {
		return []*waiting{l.first()}
	}
	running := q.gangs[gangKey{l.key.team, g.ID}]
	if l.live+running < g.Size {
		return nil
	}
	tasks := l.all()
	return tasks[:min(len(tasks), max(1, g.Size-running))]
}

// tryGang starts a gang if all of it can start now.
func (q *Queuer) tryGang(l *lane) bool {
	tasks := q.group(l)
	if tasks == nil {
		l.block = byGang
		return false
	}
	for _, w := range tasks {
		if !q.mayStart(w) {
			return true
		}
	}
	charge := q.charge(tasks[0].Task)
	if !q.allotmentFits(l, charge, len(tasks)) {
		return false
	}
	if l.block == byCapacity && (q.now < l.retryAt || !q.mayFit(l, charge, false)) {
		return false
	}
	started := q.placeAll(tasks, charge)
	if started == nil {
		l.retryAt = q.now + gangRetry
		q.noRoom(l, charge)
		return false
	}
	for i, w := range tasks {
		if !q.zone.Reserve(w.Team, charge) {
			panic("queuer: a gang was started beyond the allotment of its team")
		}
		q.begin(w, started[i])
	}
	return true
}

// placeAll places all tasks, or none and returns nil.
func (q *Queuer) placeAll(tasks []*waiting, charge unit.Resources) []placer.Placement {
	var placed []placer.Placement
	for _, w := range tasks {
		id, ok := q.cell.Find(w.Task, charge)
		if !ok && !q.partialGangs {
			for _, r := range placed {
				q.cell.RemoveTask(r.ID)
			}
			return nil
		}
		r := q.run(w, id, charge)
		if ok {
			q.cell.Place(r)
		}
		placed = append(placed, r)
	}
	return placed
}

// reservation keeps room for a group that is too large for the gaps that
// appear by themselves. There is one at a time, so two groups never hold room
// that the other needs. Others run on the room until all of it is there, if
// they are expected to end before and can be stopped if they don't.
type reservation struct {
	lane   *lane
	tasks  []*waiting
	ids    []unit.Task
	charge unit.Resources
	// readyAt is when all room is expected to be there.
	readyAt clock.Millis
	// forced says that tasks that run longer than expected were stopped, if
	// that helps.
	forced bool
}

func (r *reservation) has(w *waiting) bool {
	return r != nil && slices.Contains(r.tasks, w)
}

// searchReservation gives the reservation, if it is free, to the group that
// has its turn and has found no room for long enough.
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
	if found != nil && (found.team.load <= least || q.now-found.blockedSince >= overdue*q.config.starveTime()) {
		q.reserve(found)
	}
}

// awaitsReservation reports whether a lane has found no room for so long that
// it should get a reservation.
func (q *Queuer) awaitsReservation(l *lane) bool {
	if l.block != byCapacity || l.blockedSince == 0 || q.now < l.reserveAt {
		return false
	}
	waited := q.now - l.blockedSince
	if _, is := l.gang(); is {
		return waited >= gangTime
	}
	return waited >= q.config.starveTime()
}

// precedes orders lanes that await a reservation, once their loads are set.
func precedes(a, b *lane) bool {
	if a.team.load != b.team.load {
		return a.team.load < b.team.load
	}
	return a.at < b.at
}

// reserve claims the room that will be there soonest for a lane's group.
func (q *Queuer) reserve(l *lane) {
	l.reserveAt = q.now + patience
	tasks := q.group(l)
	if tasks == nil || !q.isPossible(l) || slices.ContainsFunc(tasks, q.lacksDependency) {
		return
	}
	charge := q.charge(tasks[0].Task)
	cost := spareAll
	if q.now-l.blockedSince >= shareTime {
		cost = q.costForShare(l.team, times(charge, len(tasks)))
	}
	places, ok := q.cell.PlanStarts(q.now, charge, len(tasks), cost)
	if !ok || !q.zone.Reserve(l.team.name, times(charge, len(tasks))) {
		return
	}
	r := &reservation{lane: l, tasks: tasks, charge: charge, readyAt: places[len(places)-1].At}
	for i, w := range tasks {
		r.ids = append(r.ids, w.ID)
		w.charge = charge
		q.cell.ClaimForGroup(q.run(w, places[i].Upstream, charge))
	}
	l.reserved = true
	q.reservation = r
	q.recheck = true
	q.stopFor(r, cost)
}

// spareAll is the cost by which nothing is stopped.
func spareAll(placer.Placement) int64 { return -1 }

// stopFor stops what is in the way of a reservation, if that makes all of its
// room. The cost is asked again for each task, since it changes as tasks of
// the same team are stopped.
func (q *Queuer) stopFor(r *reservation, cost placer.Cost) {
	victims, enough := q.cell.GroupVictims(r.ids, cost)
	if !enough {
		return
	}
	for _, v := range victims {
		if cost(v) >= 0 {
			q.stop(v)
		}
	}
}

// advanceReservation starts the group once its room is there, and ends a
// reservation that can't come true.
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
	ready, inTheWay := q.cell.GroupReady(r.ids)
	for _, b := range inTheWay {
		q.stop(b)
	}
	switch {
	case ready:
		q.startReserved(r)
	case !r.forced && q.now > r.readyAt+late:
		r.forced = true
		q.stopFor(r, q.costFor(r.lane.team.name))
	case q.now > r.readyAt+patience:
		q.releaseReservation()
	}
}

func (q *Queuer) startReserved(r *reservation) {
	q.reservation = nil
	r.lane.reserved = false
	q.recheck = true
	for _, w := range r.tasks {
		claimed := q.cell.Claimed(w.ID)
		run := q.run(w, claimed, r.charge)
		q.cell.PlaceClaimed(w.ID, run)
		q.begin(w, run)
	}
}

// releaseReservation gives the room and the allotment back. The group waits
// on in its lane.
func (q *Queuer) releaseReservation() {
	r := q.reservation
	q.reservation = nil
	r.lane.reserved = false
	r.lane.block = untried
	for _, w := range r.tasks {
		q.unclaim(w)
	}
	q.recheck = true
}

// tryBackfill starts a task on the room of the reservation, if it is expected
// to end before the group starts and may be stopped if it doesn't.
func (q *Queuer) tryBackfill(w *waiting, charge unit.Resources) bool {
	r := q.reservation
	if r == nil || !w.Preemptible() {
		return false
	}
	run := q.runTime(w.Task)
	if run == 0 || q.now+run > r.readyAt {
		return false
	}
	id, ok := q.cell.FindBackfill(r.ids, charge)
	if !ok {
		return false
	}
	q.start(w, id, charge, true)
	return true
}
