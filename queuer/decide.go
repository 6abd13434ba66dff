package queuer

import (
	"container/heap"
	"fmt"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Decide returns what must be done now, at most about max decisions. The
// starts of a gang come in one call, and so does a start with the stops that
// make room for it.
func (q *Queuer) Decide(now clock.Millis, most int) []Decision {
	q.now, q.most, q.out = now, most, nil
	q.cell.Tick(now)
	q.rejectExpired()
	q.rejectDependants()
	q.rejectImpossible()
	q.stopShrunk()
	q.stopOver()
	q.startClaimed()
	q.advanceReservation()
	q.takeFreed()
	q.pass(urgentClass)
	if q.recheck || q.roomFreed() {
		q.pass(ordinaryClass)
	}
	q.search()
	return q.out
}

func (q *Queuer) full() bool { return len(q.out) >= q.most }

// queue orders the teams of a pass: the lowest load first.
type queue []*team

func (h queue) Len() int           { return len(h) }
func (h queue) Less(i, j int) bool { return h[i].load < h[j].load }
func (h queue) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *queue) Push(x any) { *h = append(*h, x.(*team)) }

// Pop implements heap.Interface.
func (h *queue) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// pass tries the lanes of a class in order until none can start any more.
func (q *Queuer) pass(c class) {
	freed := c == urgentClass || q.roomFreed()
	if c == ordinaryClass {
		q.recheck = false
	}
	h := q.openPass(c, freed)
	for len(h) > 0 && !q.full() {
		t := h[0]
		l := q.nextLane(t, c, freed)
		if l == nil {
			heap.Pop(&h)
			continue
		}
		if q.try(l) {
			q.setLoad(t, c)
			heap.Fix(&h, 0)
			if freed && c == ordinaryClass && !q.roomFreed() {
				freed = false
				h = q.openPass(c, freed)
			}
			continue
		}
		l.account.next++
		if !q.fair {
			q.setLoad(t, c)
			heap.Fix(&h, 0)
		}
	}
	if c == ordinaryClass {
		q.closePass(len(h) == 0, freed)
	}
}

func (q *Queuer) openPass(c class, freed bool) queue {
	var h queue
	for _, t := range q.byName {
		if t.lanes[c] == 0 {
			continue
		}
		waits := false
		for _, a := range t.accounts {
			a.next = 0
			waits = a.nextLane(c, freed) != nil || waits
		}
		if waits {
			q.setLoad(t, c)
			h = append(h, t)
		}
	}
	heap.Init(&h)
	return h
}

// closePass remembers whether lanes are left to try. After a pass over all
// that might use freed room, it forgets the room, and sets the floor to the
// least that those need which found none.
func (q *Queuer) closePass(whole, freed bool) {
	if !whole {
		q.recheck = true
		return
	}
	if !freed {
		return
	}
	q.freed = nil
	q.floor = unlimited
	for _, l := range q.lanes {
		if l.class == ordinaryClass && l.block == byCapacity {
			q.floor = q.floor.Min(l.failed)
		}
	}
}

var unlimited = unit.FromVector([unit.Dimensions]int64{unit.Unlimited, unit.Unlimited, unit.Unlimited, unit.Unlimited, unit.Unlimited})

// setLoad orders a team by its weighted dominant share, in the baseline by
// the arrival of the oldest task that it has left to try.
func (q *Queuer) setLoad(t *team, c class) {
	if q.fair {
		t.load = loadOf(t.held.Add(t.others), q.cell.Total(), t.share)
		return
	}
	t.load = float64(q.seq + 1)
	for _, a := range t.accounts {
		if a.next < len(a.lanes[c]) {
			t.load = min(t.load, float64(a.lanes[c][a.next].at))
		}
	}
}

// nextLane returns the lane whose turn it is in a team: of the account that
// holds least, the one that waits longest. Lanes that found no room have a
// turn only if room was freed, and those that lack allotment none before it
// is: both are untried again once they may start.
func (q *Queuer) nextLane(t *team, c class, freed bool) *lane {
	var found *lane
	var least float64
	for _, a := range t.accounts {
		l := a.nextLane(c, freed)
		if l == nil {
			continue
		}
		load := float64(l.at)
		if q.fair {
			load = loadOf(a.held, q.cell.Total(), 1)
		}
		if found == nil || load < least {
			found, least = l, load
		}
	}
	return found
}

func (a *account) nextLane(c class, freed bool) *lane {
	for ; a.next < len(a.lanes[c]); a.next++ {
		l := a.lanes[c][a.next]
		if l.block == untried && !l.reserved || l.block == byCapacity && freed {
			return l
		}
	}
	return nil
}

// try starts the head of a lane if it can start now. It reports whether the
// lane changed.
func (q *Queuer) try(l *lane) bool {
	if l.reserved {
		return false
	}
	if _, is := l.gang(); is {
		return q.tryGang(l)
	}
	w := l.first()
	if !q.mayStart(w) {
		return true
	}
	if l.class == ordinaryClass && !q.mayFit(l, l.failed, w.Preemptible()) {
		return false
	}
	charge := q.charge(w.Task)
	if !q.allotmentFits(l, charge, 1) {
		if l.class == urgentClass {
			q.stopOwn(l, charge)
		}
		return false
	}
	if q.mayFit(l, charge, w.Preemptible()) {
		if id, ok := q.cell.Find(w.Task, charge); ok {
			q.start(w, id, charge, false)
			return true
		}
		if q.tryBackfill(w, charge) {
			return true
		}
	}
	if l.class == urgentClass && q.preempt(w, charge, q.costFor(w.Team)) {
		return true
	}
	q.noRoom(l, charge)
	return false
}

// allotmentFits reports whether a team may spend n charges now.
func (q *Queuer) allotmentFits(l *lane, charge unit.Resources, n int) bool {
	if s := l.team.saving; s != nil && s != l && l.class == ordinaryClass {
		l.block = bySaving
		return false
	}
	need := times(charge, n)
	if q.zone.Fits(l.team.name, need) {
		if l.team.saving == l {
			l.team.saving = nil
			q.freedAllotment(l.team)
		}
		return true
	}
	if l.blockedSince == 0 {
		l.blockedSince = q.now
	}
	if q.fair && q.now-l.blockedSince >= q.config.starveTime() && need.Fits(q.zone.Allotment(l.team.name)) {
		l.team.saving = l
	}
	l.block = byLimit
	return false
}

// noRoom notes that the head of a lane fits on no upstream now.
func (q *Queuer) noRoom(l *lane, charge unit.Resources) {
	l.block = byCapacity
	l.failed = charge
	q.floor = q.floor.Min(charge)
	if l.blockedSince == 0 {
		l.blockedSince = q.now
	}
}

func (q *Queuer) isPossible(l *lane) bool {
	if !q.started {
		return true
	}
	if g, is := l.gang(); is {
		return q.cell.FeasibleCount(l.key.need, g.Size) >= g.Size
	}
	return q.cell.Feasible(l.key.need)
}

// start takes the task from its lane to the upstream.
func (q *Queuer) start(w *waiting, id unit.Upstream, charge unit.Resources, backfill bool) {
	if !q.zone.Reserve(w.Team, charge) {
		panic(fmt.Sprintf("queuer: task %s was started beyond the allotment of team %s", w.ID, w.Team))
	}
	r := q.run(w, id, charge)
	r.Backfill = backfill
	q.cell.Place(r)
	q.begin(w, r)
}

func (q *Queuer) run(w *waiting, id unit.Upstream, charge unit.Resources) placer.Placement {
	return placer.Placement{Task: w.Task, Upstream: id, Charge: charge, Started: q.now, EstimatedEnd: q.endsAt(q.now, w.Task)}
}

// begin counts a task that was placed and says so.
func (q *Queuer) begin(w *waiting, r placer.Placement) {
	if w.stage == inLane {
		q.dequeue(w, left)
	}
	w.stage = left
	delete(q.tasks, w.ID)
	q.counts[countOf(w.Task)]--
	q.charged(w.Task, r.Charge)
	q.out = append(q.out, Start{Task: w.ID, Upstream: r.Upstream})
}

// stop tells a running task to stop, once.
func (q *Queuer) stop(r placer.Placement) {
	if !q.cell.MarkStopping(r.ID) {
		return
	}
	t := q.team(r.Team)
	t.stopping = t.stopping.Add(r.Charge)
	if r.Preemptible() {
		t.preemptible = t.preemptible.Sub(r.Charge)
	}
	b, is := r.Kind.(placer.Batch)
	q.out = append(q.out, Preempt{Task: r.ID, Upstream: r.Upstream, Checkpoint: is && b.Checkpoints})
}
