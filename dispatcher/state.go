package dispatcher

import (
	"container/heap"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// request is a request that this scheduler tracks.
type request struct {
	Request
	// gangSize is the number of tasks that start together.
	gangSize int
	// deadline is when the last caller stops waiting; 0 if never.
	deadline clock.Millis
	// accepted is set if the caller was told that the request will run.
	accepted bool
	// maybeLogged is set if the log has or may have a record of the request,
	// so its outcome must be recorded.
	maybeLogged bool
	cancelled   bool
	// mayHaveRun is set if an upstream may have run part of the request. It
	// can't end as NotRun then.
	mayHaveRun bool
	// attempts counts the ended attempts against MaxAttempts.
	attempts int
	// liveAttempt is the attempt in progress; nil while the request is delayed
	// or after it has ended.
	liveAttempt *attempt
	// priorAttempt is the attempt of an earlier scheduler whose intent is in
	// the log and that no upstream has reported yet; empty if none.
	priorAttempt unit.Task
	// delayedUntil is when a delayed request is enqueued.
	delayedUntil clock.Millis
	// resume is set if the next attempt continues from a checkpoint.
	resume  bool
	outcome Outcome
	// outcomeRecorded is set once the outcome is committed, or if it needn't
	// be.
	outcomeRecorded bool
	// listed is set if the request is in Dispatcher.endedRequests.
	listed  bool
	endedAt clock.Millis
}

// attempt is one attempt to run a request, with the tasks that start together.
type attempt struct {
	id      unit.Task
	request *request
	tasks   []*task
	// intentMayExist is set if the log has or may have the intent of this
	// attempt.
	intentMayExist bool
	// epoch is the epoch under which the attempt was created.
	epoch unit.Epoch
	// abandoned is set once the attempt is given up and its tasks are only
	// waited for. refusal is the final one; nil if the request may be tried
	// again.
	abandoned bool
	refusal   *Refusal
	// firstFailure is the first failure that a task reported; nil if none.
	firstFailure *Done
	// endedByScheduler is set if this scheduler ended the attempt itself. The
	// attempt isn't counted against MaxAttempts.
	endedByScheduler bool
	// retryDelay is a fixed delay before the next attempt; 0 if none is set.
	retryDelay clock.Millis
}

// endedTask is a task that ended, and when.
type endedTask struct {
	task unit.Task
	at   clock.Millis
}

// phase is a task's state.
type phase int

const (
	// queued tasks wait for placement.
	queued phase = iota
	// placed tasks have resources reserved on an upstream.
	placed
	// sent tasks may run; no upstream has confirmed it.
	sent
	// running tasks were confirmed to run, by a reply or a report.
	running
	// unreported tasks belong to an adopted attempt and appeared in no report
	// yet.
	unreported
	// ended tasks don't run any more.
	ended
)

// task is one task of an attempt.
type task struct {
	id       unit.Task
	attempt  *attempt
	phase    phase
	upstream *upstream
	need     unit.Resources
	// chargedEpoch is the epoch in whose queue the task is charged.
	chargedEpoch unit.Epoch
	// endsBy is when the task has ended at the latest if no further reply or
	// report mentions it.
	endsBy clock.Millis
	// mustStop is set once the task must stop; checkpoint, if it must write a
	// checkpoint then.
	mustStop   bool
	checkpoint bool
	// done is the task's result, valid if finished is set.
	done     Done
	finished bool
}

// mayRun reports whether an upstream may run the task.
func (t *task) mayRun() bool {
	return t.phase == sent || t.phase == running || t.phase == unreported
}

// mayRun reports whether an upstream may run a task of the attempt, which may
// be nil.
func (a *attempt) mayRun() bool {
	if a == nil {
		return false
	}
	for _, t := range a.tasks {
		if t.mayRun() {
			return true
		}
	}
	return false
}

// upstream is an upstream that has reported to this scheduler.
type upstream struct {
	id          unit.Upstream
	incarnation unit.Incarnation
	// formerIncarnations holds earlier incarnations, whose delayed reports are
	// ignored except for the ended tasks in them.
	formerIncarnations map[unit.Incarnation]bool
	sequence           uint64
	address            string
	rack               unit.Rack
	capacity           unit.Resources
	// departing is set while the upstream is on its way out. It isn't cleared
	// before the next incarnation.
	departing bool
	silent    bool
	// claimed is set once the upstream has received this scheduler's epoch: it
	// refuses orders of earlier epochs and has reported every task it runs.
	claimed bool
	// confirmed is set once a successor is certain to learn that tasks may run
	// on the upstream.
	confirmed bool
	// reportedAt is when the latest report arrived.
	reportedAt clock.Millis
	tasks      map[unit.Task]*task
}

// deadlines is a heap of the requests with a deadline, earliest first.
type deadlines []deadline

type deadline struct {
	at      clock.Millis
	request *request
}

func (h deadlines) Len() int           { return len(h) }
func (h deadlines) Less(i, j int) bool { return h[i].at < h[j].at }
func (h deadlines) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlines) Push(x any) { *h = append(*h, x.(deadline)) }

// Pop implements heap.Interface.
func (h *deadlines) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = deadline{}
	*h = old[:len(old)-1]
	return last
}

// setDeadline moves a request's deadline to a later time. The entry of the
// earlier deadline stays in the heap and is skipped when it is due.
func (d *Dispatcher) setDeadline(r *request, at clock.Millis) {
	if r.accepted || r.outcome != nil || at <= r.deadline {
		return
	}
	r.deadline = at
	heap.Push(&d.deadlines, deadline{at: at, request: r})
}
