package queuer

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// enqueueOrDefer puts a task into its lane, or defers it until the workloads that
// it depends on are resolved.
func (q *Queuer) enqueueOrDefer(w *waiting) {
	w.unresolved = 0
	for _, workload := range w.DependsOn {
		ok, known := q.resolved[workload]
		if known && ok {
			continue
		}
		w.unresolved++
		q.dependants[workload] = append(q.dependants[workload], w)
		if known {
			q.failedWorkloads = append(q.failedWorkloads, workload)
		}
	}
	if w.unresolved == 0 || q.ignoreDependencies {
		q.enqueue(w)
		return
	}
	w.stage = dependent
}

// ResolveDependency records the result of a workload that others may depend on.
// ok means that it is done or, for a service, that it runs; its dependants may
// then start. Otherwise it has failed permanently and they are rejected.
func (q *Queuer) ResolveDependency(workload unit.Workload, ok bool) {
	q.resolved[workload] = ok
	if !ok {
		q.failedWorkloads = append(q.failedWorkloads, workload)
		q.releaseClaims(func(w *waiting) bool { return slices.Contains(w.DependsOn, workload) })
		return
	}
	ready := q.dependants[workload]
	delete(q.dependants, workload)
	for _, w := range ready {
		if w.stage != dependent {
			continue
		}
		if w.unresolved--; w.unresolved == 0 {
			q.enqueue(w)
		}
	}
}

// mayStart reports whether all workloads that a task depends on are still
// resolved. If not, it defers the task again. A workload that is run again may
// fail after it was done once; its dependants then wait to be rejected.
func (q *Queuer) mayStart(w *waiting) bool {
	if q.ignoreDependencies || !q.hasUnmetDependency(w) {
		return true
	}
	q.dequeue(w, removed)
	q.enqueueOrDefer(w)
	return false
}

func (q *Queuer) hasUnmetDependency(w *waiting) bool {
	return slices.ContainsFunc(w.DependsOn, func(workload unit.Workload) bool { return !q.resolved[workload] })
}

// rejectDependants rejects the tasks that depend on a failed workload.
func (q *Queuer) rejectDependants() {
	for len(q.failedWorkloads) > 0 {
		workload := q.failedWorkloads[0]
		for len(q.dependants[workload]) > 0 {
			if q.full() {
				return
			}
			w := q.dependants[workload][0]
			q.dependants[workload] = q.dependants[workload][1:]
			if w.stage == dependent {
				q.reject(w, dependencyFailedRefusal(workload))
			}
		}
		delete(q.dependants, workload)
		q.failedWorkloads = q.failedWorkloads[1:]
	}
}

func dependencyFailedRefusal(workload unit.Workload) dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonDependencyFailed,
		Detail: fmt.Sprintf("it starts after %s, which failed", workload),
		Remedy: fmt.Sprintf("mend %s, run it, and submit this again", workload),
	}
}

// reject removes a waiting task and adds the decision to reject it.
func (q *Queuer) reject(w *waiting, refusal dispatcher.Refusal) {
	q.drop(w)
	q.decisions = append(q.decisions, Reject{Task: w.ID, Refusal: refusal})
}

// deadlines is a heap of the waiting tasks that have a start deadline. A task
// that no longer waits stays until it reaches the top.
type deadlines []*waiting

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].StartDeadline < d[j].StartDeadline }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*waiting)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return w
}

func (d *deadlines) add(w *waiting) { heap.Push(d, w) }

// expired removes and returns a waiting task whose start deadline has passed, or
// returns nil.
func (d *deadlines) expired(now clock.Millis) *waiting {
	for len(*d) > 0 {
		if first := (*d)[0]; first.stage != removed && first.StartDeadline > now {
			return nil
		}
		if w := heap.Pop(d).(*waiting); w.stage != removed {
			return w
		}
	}
	return nil
}

// rejectExpired rejects the tasks whose start deadline has passed.
func (q *Queuer) rejectExpired() {
	for !q.full() {
		w := q.deadlines.expired(q.now)
		if w == nil {
			return
		}
		q.reject(w, dispatcher.Refusal{
			Reason: dispatcher.ReasonDeadline,
			Detail: fmt.Sprintf("it waited %s and its deadline has passed", q.now-w.addedAt),
			Remedy: "allow more time, or submit it when the zone is less busy",
		})
	}
}

// findInfeasible lists the lanes whose tasks fit on no upstream, not even an
// empty one.
func (q *Queuer) findInfeasible() {
	for _, l := range q.lanes {
		if l.block == byCapacity && !l.infeasible && !q.isFeasible(l) {
			l.infeasible = true
			l.infeasibleSince = q.now
			q.infeasible = append(q.infeasible, l)
		}
	}
	slices.SortFunc(q.infeasible, func(a, b *lane) int { return cmp.Compare(a.headSeq, b.headSeq) })
}

// rejectInfeasible rejects the tasks that have fitted on no upstream, not even an
// empty one, for infeasibleTimeout.
func (q *Queuer) rejectInfeasible() {
	lanes := q.infeasible
	q.infeasible = nil
	for _, l := range lanes {
		switch {
		case l.count == 0 || q.isFeasible(l):
			l.infeasible = false
		case q.full() || q.now < max(q.firstUpstreamAt+upstreamGrace, l.infeasibleSince+infeasibleTimeout):
			q.infeasible = append(q.infeasible, l)
		default:
			l.infeasible = false
			for _, w := range l.waitingTasks() {
				q.reject(w, q.infeasibleRefusal(l))
			}
		}
	}
}
