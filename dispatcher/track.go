package dispatcher

import (
	"container/heap"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// request is a request that this scheduler has heard of.
type request struct {
	Request
	// size is the number of tasks that start together.
	size int
	// deadline is when the caller stops waiting; 0 if never.
	deadline clock.Millis
	accepted bool
	// durable says that the log has, or may have, a record of the request, so
	// its end must be recorded.
	durable   bool
	cancelled bool
	// asked says that an upstream may have run some of it. NotRun is no longer
	// true then.
	asked    bool
	attempts int
	// live is the attempt in progress; nil while the request is held or has
	// ended.
	live *attempt
	// foreign is the attempt of an earlier scheduler that the log has and that
	// wasn't found yet.
	foreign unit.Task
	// heldUntil is when a request that is held is queued.
	heldUntil clock.Millis
	// resume says that the next attempt goes on from a checkpoint.
	resume   bool
	outcome  Outcome
	recorded bool
	// listed says that the request is in Dispatcher.ended.
	listed  bool
	endedAt clock.Millis
}

// attempt is one try to run a request: tasks that start together.
type attempt struct {
	id    unit.Task
	r     *request
	tasks []*task
	// intended says that the log has, or may have, the intent of this attempt.
	intended bool
	// epoch is the one that the attempt was made under.
	epoch unit.Epoch
	// over is set once the attempt was given up; its tasks only come to their
	// ends. why is the final reason; nil if the request may be tried again.
	over bool
	why  *Refusal
	// failed is the first failure that a task reported.
	failed *Done
	// blameless says that the attempt ended because this scheduler stopped it.
	blameless bool
	// pause is the wait before the next attempt.
	pause clock.Millis
}

// burial is a task that ended, and when.
type burial struct {
	task unit.Task
	at   clock.Millis
}

// phase is how far a task has come.
type phase int

const (
	// queued tasks wait for a place.
	queued phase = iota
	// placed tasks have resources reserved on an upstream.
	placed
	// sent tasks may run.
	sent
	// running tasks were reported to run.
	running
	// unseen tasks belong to an adopted attempt and weren't found yet.
	unseen
	// gone tasks don't run any more.
	gone
)

// task is one task of an attempt.
type task struct {
	id    unit.Task
	a     *attempt
	phase phase
	u     *upstream
	need  unit.Resources
	// charged is the epoch whose queue knows the task.
	charged unit.Epoch
	// until is when the task has surely ended if nothing more is heard of it.
	until clock.Millis
	// stop is set once the task must stop.
	stop       bool
	checkpoint bool
	done       Done
	finished   bool
}

// mayRun reports whether an upstream may run the task.
func (t *task) mayRun() bool {
	return t.phase == sent || t.phase == running || t.phase == unseen
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

// upstream is an upstream that reported to this scheduler.
type upstream struct {
	id          unit.Upstream
	incarnation unit.Incarnation
	// former are earlier incarnations; a late report of one changes nothing.
	former   map[unit.Incarnation]bool
	sequence uint64
	address  string
	rack     unit.Rack
	holds    unit.Resources
	// departing never goes back within an incarnation.
	departing bool
	silent    bool
	// claimed says that the upstream has seen this scheduler's epoch, so it
	// refuses orders of earlier ones and has reported all it runs.
	claimed bool
	// enrolled says that a successor would learn that work may run here.
	enrolled bool
	heardAt  clock.Millis
	tasks    map[unit.Task]*task
}

// deadlines is a heap of the requests with a deadline, earliest first.
type deadlines []deadline

type deadline struct {
	at clock.Millis
	r  *request
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

// setDeadline sets a request's deadline; an earlier entry of the heap is
// passed over when it comes up.
func (d *Dispatcher) setDeadline(r *request, at clock.Millis) {
	if r.accepted || r.outcome != nil || at <= r.deadline {
		return
	}
	r.deadline = at
	heap.Push(&d.deadlines, deadline{at: at, r: r})
}
