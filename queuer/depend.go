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

// await queues a task, or keeps it until the work it depends on has settled.
func (q *Queuer) await(w *waiting) {
	w.unsettled = 0
	for _, work := range w.DependsOn {
		ok, settled := q.settled[work]
		if settled && ok {
			continue
		}
		w.unsettled++
		q.dependants[work] = append(q.dependants[work], w)
		if settled {
			q.failed = append(q.failed, work)
		}
	}
	if w.unsettled == 0 || q.ignoreDependencies {
		q.enqueue(w)
		return
	}
	w.stage = dependent
}

// ResolveDependency says that a work is done or, for a service, running (ok), or has
// failed for good. Its dependants start or are rejected.
func (q *Queuer) ResolveDependency(work unit.Workload, ok bool) {
	q.settled[work] = ok
	if !ok {
		q.failed = append(q.failed, work)
		q.giveUpClaims(func(w *waiting) bool { return slices.Contains(w.DependsOn, work) })
		return
	}
	ready := q.dependants[work]
	delete(q.dependants, work)
	for _, w := range ready {
		if w.stage != dependent {
			continue
		}
		if w.unsettled--; w.unsettled == 0 {
			q.enqueue(w)
		}
	}
}

// mayStart reports whether all that a task depends on has settled still. Work
// that is run again may fail after it was done once; its dependants then wait
// for the rejection.
func (q *Queuer) mayStart(w *waiting) bool {
	if q.ignoreDependencies || !q.lacksDependency(w) {
		return true
	}
	q.dequeue(w, left)
	q.await(w)
	return false
}

func (q *Queuer) lacksDependency(w *waiting) bool {
	return slices.ContainsFunc(w.DependsOn, func(work unit.Workload) bool { return !q.settled[work] })
}

// rejectDependants ends the tasks whose dependency failed.
func (q *Queuer) rejectDependants() {
	for len(q.failed) > 0 {
		work := q.failed[0]
		for len(q.dependants[work]) > 0 {
			if q.full() {
				return
			}
			w := q.dependants[work][0]
			q.dependants[work] = q.dependants[work][1:]
			if w.stage == dependent {
				q.reject(w, dependencyFailed(work))
			}
		}
		delete(q.dependants, work)
		q.failed = q.failed[1:]
	}
}

func dependencyFailed(work unit.Workload) dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonDependencyFailed,
		Detail: fmt.Sprintf("it starts after %s, which failed", work),
		Remedy: fmt.Sprintf("mend %s, run it, and submit this again", work),
	}
}

// reject ends a waiting task.
func (q *Queuer) reject(w *waiting, refusal dispatcher.Refusal) {
	q.drop(w)
	q.out = append(q.out, Reject{Task: w.ID, Refusal: refusal})
}

// deadlines is a heap of the waiting tasks that have one. Tasks that left are
// dropped when they come up.
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

// expired returns a task whose deadline has passed, or nil.
func (d *deadlines) expired(now clock.Millis) *waiting {
	for len(*d) > 0 {
		if first := (*d)[0]; first.stage != left && first.StartDeadline > now {
			return nil
		}
		if w := heap.Pop(d).(*waiting); w.stage != left {
			return w
		}
	}
	return nil
}

// rejectExpired ends the tasks that are too late to start.
func (q *Queuer) rejectExpired() {
	for !q.full() {
		w := q.deadlines.expired(q.now)
		if w == nil {
			return
		}
		q.reject(w, dispatcher.Refusal{
			Reason: dispatcher.ReasonDeadline,
			Detail: fmt.Sprintf("it waited %s and its deadline has passed", q.now-w.since),
			Remedy: "allow more time, or submit it when the zone is less busy",
		})
	}
}

// watchImpossible finds lanes whose tasks fit no upstream, full or empty.
func (q *Queuer) watchImpossible() {
	for _, l := range q.lanes {
		if l.block == byCapacity && !l.watched && !q.isPossible(l) {
			l.watched = true
			l.impossibleSince = q.now
			q.watched = append(q.watched, l)
		}
	}
	slices.SortFunc(q.watched, func(a, b *lane) int { return cmp.Compare(a.at, b.at) })
}

// rejectImpossible ends the tasks that have fitted no upstream, full or empty,
// for so long that none is expected.
func (q *Queuer) rejectImpossible() {
	watched := q.watched
	q.watched = nil
	for _, l := range watched {
		switch {
		case l.live == 0 || q.isPossible(l):
			l.watched = false
		case q.full() || q.now < max(q.since+settleTime, l.impossibleSince+impossibleTime):
			q.watched = append(q.watched, l)
		default:
			l.watched = false
			for _, w := range l.all() {
				q.reject(w, q.impossible(l))
			}
		}
	}
}
