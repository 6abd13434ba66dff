package queuer

import (
	"fmt"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Add queues a task. It returns nil if the task was accepted or is already
// waiting or running, else why it was refused.
func (q *Queuer) Add(now clock.Millis, t placer.Task) *dispatcher.Refusal {
	if _, known := q.tasks[t.ID]; known {
		return nil
	}
	if _, known := q.cell.Placement(t.ID); known {
		return nil
	}
	if refusal := q.admissionRefusal(now, t); refusal != nil {
		return refusal
	}
	q.seq++
	w := &waiting{Task: t, seq: q.seq, addedAt: now}
	q.tasks[t.ID] = w
	q.waitingCounts[countClass(t)]++
	if t.StartDeadline > 0 {
		q.deadlines.add(w)
	}
	q.enqueueOrDefer(w)
	return nil
}

// admissionRefusal returns why a task can't be queued, or nil if it can.
func (q *Queuer) admissionRefusal(now clock.Millis, t placer.Task) *dispatcher.Refusal {
	if q.waitingCounts[countClass(t)] >= q.config.MaxWaiting {
		return &dispatcher.Refusal{
			Reason:     dispatcher.ReasonOverloaded,
			Detail:     fmt.Sprintf("%d tasks of its kind are waiting already", q.config.MaxWaiting),
			Remedy:     "send it again later",
			RetryAfter: clock.Second,
		}
	}
	if r := q.limitRefusal(t); r != nil {
		return r
	}
	if q.hadUpstream && now-q.firstUpstreamAt >= upstreamGrace && !q.cell.Feasible(t.Need) {
		r := neverFitsRefusal(t)
		return &r
	}
	return nil
}

// limitRefusal refuses a task or gang that exceeds its team's limit by itself.
// It returns nil otherwise.
func (q *Queuer) limitRefusal(t placer.Task) *dispatcher.Refusal {
	tm := q.teams[t.Team]
	if tm == nil || tm.limit.IsZero() {
		return nil
	}
	need := t.Need
	if g, ok := t.Kind.(placer.Gang); ok {
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

// neverFitsRefusal is the refusal of a task that is larger than every upstream.
func neverFitsRefusal(t placer.Task) dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonNeverFits,
		Detail: fmt.Sprintf("no upstream of the zone holds %s", describe(t.Need)),
		Remedy: "ask for less, or add an upstream that holds as much",
	}
}

// infeasibleRefusal returns why the tasks of a lane can't start even if all
// upstreams are empty.
func (q *Queuer) infeasibleRefusal(l *lane) dispatcher.Refusal {
	r := neverFitsRefusal(placer.Task{Need: l.key.need})
	if g, ok := l.gang(); ok && q.cell.Feasible(l.key.need) {
		r.Detail = fmt.Sprintf("the upstreams of the zone together don't hold %d times %s", g.Size, describe(l.key.need))
		r.Remedy = "submit a smaller job, or add upstreams"
	}
	return r
}

func countClass(t placer.Task) class {
	if t.Urgent {
		return urgentClass
	}
	return ordinaryClass
}

// Adopt charges a task that an upstream reported as running, even if the charge
// exceeds the upstream's capacity or the team's allotment.
func (q *Queuer) Adopt(now clock.Millis, t placer.Task, id unit.Upstream) {
	if _, known := q.cell.Placement(t.ID); known {
		return
	}
	if w := q.tasks[t.ID]; w != nil {
		q.drop(w)
	}
	q.cell.Adopt(placer.Placement{Task: t, Upstream: id, Charge: t.Need, Started: now, EstimatedEnd: q.estimatedEnd(now, t)})
	q.quota.Adopt(t.Team, t.Need)
	q.addCharge(t, t.Need)
	q.maybeOverCapacity[id] = struct{}{}
	q.checkOverage = true
}

// addCharge adds a running task to the sums of its team, account and gang.
func (q *Queuer) addCharge(t placer.Task, charge unit.Resources) {
	tm := q.team(t.Team)
	tm.allocated = tm.allocated.Add(charge)
	if t.Preemptible() {
		tm.preemptible = tm.preemptible.Add(charge)
	}
	a := tm.account(t.Account)
	a.allocated = a.allocated.Add(charge)
	if g, ok := t.Kind.(placer.Gang); ok {
		q.runningGangTasks[gangKey{t.Team, g.ID}]++
	}
}

// drop removes a waiting task, whatever its stage.
func (q *Queuer) drop(w *waiting) {
	delete(q.tasks, w.ID)
	q.waitingCounts[countClass(w.Task)]--
	switch w.stage {
	case inLane:
		if q.reservation.has(w) {
			q.releaseReservation()
		}
		q.dequeue(w, removed)
	case claiming:
		q.unclaim(w)
		q.claims = slices.DeleteFunc(q.claims, func(o *waiting) bool { return o == w })
	case dependent, removed:
	}
	w.stage = removed
}

// Cancel removes a waiting task. It reports whether the task was waiting. A
// running task is for the caller to stop.
func (q *Queuer) Cancel(_ clock.Millis, id unit.Task) bool {
	w := q.tasks[id]
	if w == nil {
		return false
	}
	q.drop(w)
	return true
}

// FinishTask ends the charge of a task to its upstream, team and client account,
// and records the outcome. It does nothing if the task isn't running, so
// repeated calls are harmless.
func (q *Queuer) FinishTask(now clock.Millis, id unit.Task, outcome TaskOutcome) {
	p, running := q.cell.RemoveTask(id)
	if !running {
		return
	}
	q.quota.Unreserve(p.Team, p.Charge)
	q.removeCharge(p)
	switch outcome.(type) {
	case Succeeded:
		q.cell.RecordSuccess(p.Upstream, p.Workload)
		q.learnFromEnd(now, p)
	case Failed, UpstreamRefused:
		q.cell.RecordFailure(now, p.Upstream, p.Workload)
	case Stopped, UpstreamLost:
	}
}

// removeCharge removes a task that has ended from the sums of its team, account
// and gang.
func (q *Queuer) removeCharge(p placer.Placement) {
	tm := q.team(p.Team)
	tm.allocated = tm.allocated.Sub(p.Charge)
	switch {
	case p.Stopping:
		tm.stopping = tm.stopping.Sub(p.Charge)
	case p.Preemptible():
		tm.preemptible = tm.preemptible.Sub(p.Charge)
	}
	a := tm.account(p.Account)
	a.allocated = a.allocated.Sub(p.Charge)
	if g, ok := p.Kind.(placer.Gang); ok {
		key := gangKey{p.Team, g.ID}
		if q.runningGangTasks[key]--; q.runningGangTasks[key] <= 0 {
			delete(q.runningGangTasks, key)
		}
	}
	q.retryForAllotment(tm)
}

// retryForAllotment lets the lanes of a team that lacked allotment be tried
// again.
func (q *Queuer) retryForAllotment(tm *team) {
	for _, a := range tm.accounts {
		for c := range a.lanes {
			for _, l := range a.lanes[c] {
				if l.block == byAllotment || l.block == bySaving {
					l.block = untried
					q.passNeeded = true
				}
			}
		}
	}
}
