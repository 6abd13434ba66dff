package queuer

import (
	"container/heap"
	"fmt"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Decide returns the decisions that the scheduler must carry out now, about
// maxDecisions at most. It may exceed maxDecisions to return all starts of a gang
// in one call, or a claim together with the preemptions that free its capacity.
func (q *Queuer) Decide(now clock.Millis, maxDecisions int) []Decision {
	q.now, q.maxDecisions, q.decisions = now, maxDecisions, nil
	q.cell.Tick(now)
	q.rejectExpired()
	q.rejectDependants()
	q.rejectInfeasible()
	q.stopOverCapacity()
	q.stopOverAllotment()
	q.startReadyClaims()
	q.advanceReservation()
	q.collectFreed()
	q.runPass(urgentClass)
	if q.passNeeded || q.capacityFreed() {
		q.runPass(ordinaryClass)
	}
	q.searchAtIntervals()
	return q.decisions
}

func (q *Queuer) full() bool { return len(q.decisions) >= q.maxDecisions }

// teamHeap orders the teams of a pass, lowest load first.
type teamHeap []*team

func (h teamHeap) Len() int           { return len(h) }
func (h teamHeap) Less(i, j int) bool { return h[i].load < h[j].load }
func (h teamHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*team)) }

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// runPass tries the lanes of a class in order until none can start a task.
func (q *Queuer) runPass(c class) {
	freed := c == urgentClass || q.capacityFreed()
	if c == ordinaryClass {
		q.passNeeded = false
	}
	h := q.newPass(c, freed)
	for len(h) > 0 && !q.full() {
		t := h[0]
		l := q.nextLane(t, c, freed)
		if l == nil {
			heap.Pop(&h)
			continue
		}
		if q.tryLane(l) {
			q.setLoad(t, c)
			heap.Fix(&h, 0)
			if freed && c == ordinaryClass && !q.capacityFreed() {
				freed = false
				h = q.newPass(c, freed)
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
		q.endPass(len(h) == 0, freed)
	}
}

// newPass returns the teams that have a lane of the class to try.
func (q *Queuer) newPass(c class, freed bool) teamHeap {
	var h teamHeap
	for _, t := range q.teamsByName {
		if t.lanes[c] == 0 {
			continue
		}
		hasLane := false
		for _, a := range t.accounts {
			a.next = 0
			hasLane = a.nextLane(c, freed) != nil || hasLane
		}
		if hasLane {
			q.setLoad(t, c)
			h = append(h, t)
		}
	}
	heap.Init(&h)
	return h
}

// endPass requests another pass if lanes are left to try. After a complete pass
// over all lanes that may use freed capacity, it clears the list of freed
// upstreams and recomputes minBlockedCharge.
func (q *Queuer) endPass(complete, freed bool) {
	if !complete {
		q.passNeeded = true
		return
	}
	if !freed {
		return
	}
	q.freed = nil
	q.minBlockedCharge = unlimited
	for _, l := range q.lanes {
		if l.class == ordinaryClass && l.block == byCapacity {
			q.minBlockedCharge = q.minBlockedCharge.Min(l.failedCharge)
		}
	}
}

var unlimited = unit.FromVector([unit.Dimensions]int64{unit.Unlimited, unit.Unlimited, unit.Unlimited, unit.Unlimited, unit.Unlimited})

// setLoad sets a team's load: by the Fair policy its weighted dominant share, by
// Arrival the arrival of the oldest task that the pass has yet to try.
func (q *Queuer) setLoad(t *team, c class) {
	if q.fair {
		t.load = loadOf(t.allocated.Add(t.remoteAllocated), q.cell.Total(), t.share)
		return
	}
	t.load = float64(q.seq + 1)
	for _, a := range t.accounts {
		if a.next < len(a.lanes[c]) {
			t.load = min(t.load, float64(a.lanes[c][a.next].headSeq))
		}
	}
}

// nextLane returns the lane of a team to try next: the first in the order of the
// account with the least allocated. It is nil if none is left. Lanes that found
// no capacity are tried only if some was freed. Lanes that lack allotment aren't
// tried until it changes and resets them to untried.
func (q *Queuer) nextLane(t *team, c class, freed bool) *lane {
	var found *lane
	var least float64
	for _, a := range t.accounts {
		l := a.nextLane(c, freed)
		if l == nil {
			continue
		}
		load := float64(l.headSeq)
		if q.fair {
			load = loadOf(a.allocated, q.cell.Total(), 1)
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

// tryLane starts the first task of a lane if it can start now. It reports whether
// the lane changed.
func (q *Queuer) tryLane(l *lane) bool {
	if l.reserved {
		return false
	}
	if _, ok := l.gang(); ok {
		return q.tryGang(l)
	}
	w := l.first()
	if !q.mayStart(w) {
		return true
	}
	if l.class == ordinaryClass && !q.mightFit(l, l.failedCharge, w.Preemptible()) {
		return false
	}
	charge := q.chargeFor(w.Task)
	if !q.allotmentFits(l, charge, 1) {
		if l.class == urgentClass {
			q.stopOwnTeam(l, charge)
		}
		return false
	}
	if q.mightFit(l, charge, w.Preemptible()) {
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
	q.blockForCapacity(l, charge)
	return false
}

// allotmentFits reports whether a team's allotment suffices for n charges now.
// If not, it sets why the lane is blocked. After the reservation delay it also
// makes the team save its allotment for the lane.
func (q *Queuer) allotmentFits(l *lane, charge unit.Resources, n int) bool {
	if s := l.team.savingFor; s != nil && s != l && l.class == ordinaryClass {
		l.block = bySaving
		return false
	}
	need := times(charge, n)
	if q.quota.Fits(l.team.name, need) {
		if l.team.savingFor == l {
			l.team.savingFor = nil
			q.retryForAllotment(l.team)
		}
		return true
	}
	if l.blockedSince == 0 {
		l.blockedSince = q.now
	}
	if q.fair && q.now-l.blockedSince >= q.config.reservationDelay() && need.Fits(q.quota.Allotment(l.team.name)) {
		l.team.savingFor = l
	}
	l.block = byAllotment
	return false
}

// blockForCapacity records that the first task of a lane fits on no upstream now.
func (q *Queuer) blockForCapacity(l *lane, charge unit.Resources) {
	l.block = byCapacity
	l.failedCharge = charge
	q.minBlockedCharge = q.minBlockedCharge.Min(charge)
	if l.blockedSince == 0 {
		l.blockedSince = q.now
	}
}

// isFeasible reports whether the tasks of a lane could start if all upstreams
// were empty. Before the first SetUpstream it reports true.
func (q *Queuer) isFeasible(l *lane) bool {
	if !q.hadUpstream {
		return true
	}
	if g, ok := l.gang(); ok {
		return q.cell.FeasibleCount(l.key.need, g.Size) >= g.Size
	}
	return q.cell.Feasible(l.key.need)
}

// start places the first task of a lane on an upstream.
func (q *Queuer) start(w *waiting, id unit.Upstream, charge unit.Resources, backfill bool) {
	if !q.quota.Reserve(w.Team, charge) {
		panic(fmt.Sprintf("queuer: task %s was started beyond the allotment of team %s", w.ID, w.Team))
	}
	p := q.newPlacement(w, id, charge)
	p.Backfill = backfill
	q.cell.Place(p)
	q.recordStart(w, p)
}

func (q *Queuer) newPlacement(w *waiting, id unit.Upstream, charge unit.Resources) placer.Placement {
	return placer.Placement{Task: w.Task, Upstream: id, Charge: charge, Started: q.now, EstimatedEnd: q.estimatedEnd(q.now, w.Task)}
}

// recordStart removes a task that was placed from the waiting ones, charges it
// and adds the Start decision.
func (q *Queuer) recordStart(w *waiting, p placer.Placement) {
	if w.stage == inLane {
		q.dequeue(w, removed)
	}
	w.stage = removed
	delete(q.tasks, w.ID)
	q.waitingCounts[countClass(w.Task)]--
	q.addCharge(w.Task, p.Charge)
	q.decisions = append(q.decisions, Start{Task: w.ID, Upstream: p.Upstream})
}

// stop adds the decision to preempt a running task, unless it was told to stop
// before.
func (q *Queuer) stop(p placer.Placement) {
	if !q.cell.MarkStopping(p.ID) {
		return
	}
	t := q.team(p.Team)
	t.stopping = t.stopping.Add(p.Charge)
	if p.Preemptible() {
		t.preemptible = t.preemptible.Sub(p.Charge)
	}
	b, ok := p.Kind.(placer.Batch)
	q.decisions = append(q.decisions, Preempt{Task: p.ID, Upstream: p.Upstream, Checkpoint: ok && b.Checkpoints})
}
