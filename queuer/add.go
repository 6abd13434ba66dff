package queuer

import (
	"fmt"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Add queues a task. The refusal is nil if it was taken, also if it is known
// already.
func (q *Queuer) Add(now clock.Millis, t placer.Task) *dispatcher.Refusal {
	if _, known := q.tasks[t.ID]; known {
		return nil
	}
	if _, known := q.cell.Placement(t.ID); known {
		return nil
	}
	if refusal := q.refusal(now, t); refusal != nil {
		return refusal
	}
	q.seq++
	w := &waiting{Task: t, seq: q.seq, since: now}
	q.tasks[t.ID] = w
	q.counts[countOf(t)]++
	if t.StartDeadline > 0 {
		q.deadlines.add(w)
	}
	q.await(w)
	return nil
}

// refusal tells why a task can't be taken.
func (q *Queuer) refusal(now clock.Millis, t placer.Task) *dispatcher.Refusal {
	if q.counts[countOf(t)] >= q.config.MaxWaiting {
		return &dispatcher.Refusal{
			Reason:     dispatcher.ReasonOverloaded,
			Detail:     fmt.Sprintf("%d tasks of its kind are waiting already", q.config.MaxWaiting),
			Remedy:     "send it again later",
			RetryAfter: clock.Second,
		}
	}
	if r := q.passesLimit(t); r != nil {
		return r
	}
	if q.started && now-q.since >= settleTime && !q.cell.Feasible(t.Need) {
		r := neverFits(t)
		return &r
	}
	return nil
}

// passesLimit refuses work that passes its team's limit by itself.
func (q *Queuer) passesLimit(t placer.Task) *dispatcher.Refusal {
	tm := q.teams[t.Team]
	if tm == nil || tm.limit.IsZero() {
		return nil
	}
	need := t.Need
	if g, is := t.Kind.(placer.Gang); is {
		need = times(need, g.Size)
	}
	if need.Fits(tm.limit) {
		return nil
	}
	return &dispatcher.Refusal{
		Reason: dispatcher.ReasonTeamLimit,
		Detail: fmt.Sprintf("it needs %s, and the limit of team %s is %s", describe(need), t.Team, describe(tm.limit)),
		Remedy: "ask for less, or have the operator raise the team's limit",
	}
}

func neverFits(t placer.Task) dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonNeverFits,
		Detail: fmt.Sprintf("no upstream of the zone holds %s", describe(t.Need)),
		Remedy: "ask for less, or add an upstream that holds as much",
	}
}

// impossible tells why no task of a lane can run, were all upstreams empty.
func (q *Queuer) impossible(l *lane) dispatcher.Refusal {
	r := neverFits(placer.Task{Need: l.key.need})
	if g, is := l.gang(); is && q.cell.Feasible(l.key.need) {
		r.Detail = fmt.Sprintf("the upstreams of the zone together don't hold %d times %s", g.Size, describe(l.key.need))
		r.Remedy = "submit a smaller job, or add upstreams"
	}
	return r
}

func countOf(t placer.Task) class {
	if t.Urgent {
		return urgentClass
	}
	return ordinaryClass
}

// Adopt charges a task that an upstream reported as running, also if that
// passes what the upstream holds or the team's allotment.
func (q *Queuer) Adopt(now clock.Millis, t placer.Task, id unit.Upstream) {
	if _, known := q.cell.Placement(t.ID); known {
		return
	}
	if w := q.tasks[t.ID]; w != nil {
		q.drop(w)
	}
	q.cell.Adopt(placer.Placement{Task: t, Upstream: id, Charge: t.Need, Started: now, EstimatedEnd: q.endsAt(now, t)})
	q.zone.Adopt(t.Team, t.Need)
	q.charged(t, t.Need)
	q.shrunk[id] = struct{}{}
	q.checkOver = true
}

// charged counts a task that runs now.
func (q *Queuer) charged(t placer.Task, charge unit.Resources) {
	tm := q.team(t.Team)
	tm.held = tm.held.Add(charge)
	if t.Preemptible() {
		tm.preemptible = tm.preemptible.Add(charge)
	}
	a := tm.account(t.Account)
	a.held = a.held.Add(charge)
	if g, is := t.Kind.(placer.Gang); is {
		q.gangs[gangKey{t.Team, g.ID}]++
	}
}

// drop takes a waiting task out, wherever it waits.
func (q *Queuer) drop(w *waiting) {
	delete(q.tasks, w.ID)
	q.counts[countOf(w.Task)]--
	switch w.stage {
	case inLane:
		if q.reservation.has(w) {
			q.releaseReservation()
		}
		q.dequeue(w, left)
	case claiming:
		q.unclaim(w)
		q.claims = slices.DeleteFunc(q.claims, func(o *waiting) bool { return o == w })
	case dependent, left:
	}
	w.stage = left
}

// Cancel takes a waiting task out. It reports whether the task was waiting; a
// running one is the caller's to stop.
func (q *Queuer) Cancel(_ clock.Millis, id unit.Task) bool {
	w := q.tasks[id]
	if w == nil {
		return false
	}
	q.drop(w)
	return true
}

// FinishTask takes a task off its upstream and its team's account. Repeated calls
// are harmless.
func (q *Queuer) FinishTask(now clock.Millis, id unit.Task, end TaskOutcome) {
	r, was := q.cell.RemoveTask(id)
	if !was {
		return
	}
	q.zone.Unreserve(r.Team, r.Charge)
	q.uncharged(r)
	switch end.(type) {
	case Succeeded:
		q.cell.RecordSuccess(r.Upstream, r.Workload)
		q.learnEnd(now, r)
	case Failed, UpstreamRefused:
		q.cell.RecordFailure(now, r.Upstream, r.Workload)
	case Stopped, UpstreamLost:
	}
}

func (q *Queuer) uncharged(r placer.Placement) {
	tm := q.team(r.Team)
	tm.held = tm.held.Sub(r.Charge)
	switch {
	case r.Stopping:
		tm.stopping = tm.stopping.Sub(r.Charge)
	case r.Preemptible():
		tm.preemptible = tm.preemptible.Sub(r.Charge)
	}
	a := tm.account(r.Account)
	a.held = a.held.Sub(r.Charge)
	if g, is := r.Kind.(placer.Gang); is {
		key := gangKey{r.Team, g.ID}
		if q.gangs[key]--; q.gangs[key] <= 0 {
			delete(q.gangs, key)
		}
	}
	q.freedAllotment(tm)
}

// freedAllotment lets the lanes of a team that lacked allotment try again.
func (q *Queuer) freedAllotment(tm *team) {
	for _, a := range tm.accounts {
		for c := range a.lanes {
			for _, l := range a.lanes[c] {
				if l.block == byLimit || l.block == bySaving {
					l.block = untried
					q.recheck = true
				}
			}
		}
	}
}
