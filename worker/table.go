package worker

import (
	"fmt"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// taskIDRetention is how long a task's id is kept after its end was acknowledged
// or its order refused, so that an order delayed by the network doesn't start the
// task again. It is much longer than the expiry of an order.
const taskIDRetention = 10 * clock.Minute

// reportRetention is how long the sending time of a report is kept. It is longer
// than the expiry of any order.
const reportRetention = clock.Minute

// table holds the state of an upstream and decides which tasks run. The times
// are arguments of its methods. It isn't safe for concurrent use.
type table struct {
	capacity    unit.Resources
	free        unit.Resources
	epoch       unit.Epoch
	draining    bool
	incarnation unit.Incarnation
	// sequence is the number of the last report; sentAt holds the sending times
	// of the latest reports by their number.
	sequence uint64
	sentAt   map[uint64]clock.Millis
	// oldestSequence is the lowest key of sentAt.
	oldestSequence uint64
	// departureReported is set once a scheduler has replied to a report with
	// Departing set.
	departureReported bool
	running           map[unit.Task]*runningTask
	ended             map[unit.Task]dispatcher.Ended
	// retired holds the tasks that must not start again: those that were
	// refused and those whose end a scheduler has acknowledged.
	retired map[unit.Task]retiredTask
}

type runningTask struct {
	order    dispatcher.StartOrder
	leaseEnd clock.Millis
	// stopped is set once the task must stop. The task keeps its resources until
	// it has ended.
	stopped      bool
	checkpointed bool
}

type retiredTask struct {
	// refusal is why the task's order was refused. It is empty if the task ran
	// and its end was acknowledged.
	refusal string
	// forgetAt is the time from which on the task's id is no longer kept.
	forgetAt clock.Millis
}

func newTable(capacity unit.Resources, incarnation unit.Incarnation) table {
	return table{
		capacity:       capacity,
		free:           capacity,
		incarnation:    incarnation,
		sentAt:         map[uint64]clock.Millis{},
		oldestSequence: 1,
		running:        map[unit.Task]*runningTask{},
		ended:          map[unit.Task]dispatcher.Ended{},
		retired:        map[unit.Task]retiredTask{},
	}
}

// decision is the result of a start order. It is one of run, join, refuse,
// alreadyEnded and endAcknowledged.
type decision interface{ decision() }

// run is the decision to start the task.
type run struct{}

// join is the decision on a repeated order for a running task.
type join struct{}

// refuse is the decision on a task that this upstream must never run.
type refuse struct{ reply dispatcher.Refused }

// alreadyEnded is the decision on a repeated order for a task that has ended.
type alreadyEnded struct{ end dispatcher.Ended }

// endAcknowledged is the decision on a repeated order for a task whose end a
// scheduler has acknowledged; the table no longer holds that end.
type endAcknowledged struct{}

func (run) decision()             {}
func (join) decision()            {}
func (refuse) decision()          {}
func (alreadyEnded) decision()    {}
func (endAcknowledged) decision() {}

// start decides on a start order that arrived at now-delay. If the decision is run,
// it reserves the task's resources and grants its lease.
func (t *table) start(o dispatcher.StartOrder, delay, now clock.Millis) decision {
	if _, ok := t.running[o.Task]; ok {
		return join{}
	}
	if e, ok := t.ended[o.Task]; ok {
		return alreadyEnded{end: e}
	}
	if retired, ok := t.retired[o.Task]; ok {
		if retired.refusal == "" {
			return endAcknowledged{}
		}
		return refuse{dispatcher.Refused{Detail: retired.refusal, Epoch: t.epoch}}
	}
	if detail := t.refusalDetail(o, delay, now); detail != "" {
		t.retired[o.Task] = retiredTask{refusal: detail, forgetAt: now + taskIDRetention}
		return refuse{dispatcher.Refused{Detail: detail, Epoch: t.epoch}}
	}
	t.epoch = o.Epoch
	t.free = t.free.Sub(o.Need)
	t.running[o.Task] = &runningTask{order: o, leaseEnd: now + o.Lease}
	return run{}
}

// refusalDetail returns why the order for a new task must be refused, or "".
func (t *table) refusalDetail(o dispatcher.StartOrder, delay, now clock.Millis) string {
	switch {
	case o.Incarnation != "" && o.Incarnation != t.incarnation:
		return fmt.Sprintf("the order is for incarnation %s", o.Incarnation)
	case t.isStale(o, now):
		return "the order was made from a report that is too old by now"
	case o.Epoch < t.epoch:
		return fmt.Sprintf("epoch %d is older than %d", o.Epoch, t.epoch)
	case o.Expiry > 0 && delay > o.Expiry:
		return fmt.Sprintf("the order came %s after it was sent, allowed were %s", delay, o.Expiry)
	case o.Lease <= 0:
		return "the order has no lease"
	case t.draining:
		return "the upstream departs"
	case !o.Need.Fits(t.free):
		return "the upstream has no room"
	}
	return ""
}

// isStale reports whether the report on which an order is based was sent longer
// ago than the order's expiry, or is unknown. The age is measured by the
// upstream's own clock, so it includes the time that an order waited in a buffer
// while this process was paused.
func (t *table) isStale(o dispatcher.StartOrder, now clock.Millis) bool {
	if o.Sequence == 0 {
		return false
	}
	sentAt, known := t.sentAt[o.Sequence]
	return !known || now-sentAt > o.Expiry
}

// markStopped marks a running task as stopped. It returns false if the task
// isn't running.
func (t *table) markStopped(o dispatcher.StopOrder) bool {
	r, ok := t.running[o.Task]
	if !ok {
		return false
	}
	r.stopped = true
	r.checkpointed = r.checkpointed || o.Checkpoint
	return true
}

// endTask records the end of a running task. A task that ends after its lease has
// expired counts as stopped, whatever it returned, since another upstream may
// already run it.
func (t *table) endTask(id unit.Task, done dispatcher.Done, now clock.Millis) dispatcher.Ended {
	r := t.running[id]
	delete(t.running, id)
	t.free = t.free.Add(r.order.Need)
	e := dispatcher.Ended{Task: id, Request: r.order.Request, Team: r.order.Team, Done: done}
	if r.stopped || now >= r.leaseEnd {
		e = dispatcher.Ended{
			Task:         id,
			Request:      r.order.Request,
			Team:         r.order.Team,
			Stopped:      true,
			Checkpointed: r.checkpointed,
		}
	}
	t.ended[id] = e
	return e
}

// expire marks the tasks whose lease has expired as stopped and returns those
// that it newly marked, in the order of their ids. It also deletes the retired
// tasks whose retention is over.
func (t *table) expire(now clock.Millis) []unit.Task {
	var ids []unit.Task
	for id, r := range t.running {
		if now >= r.leaseEnd && !r.stopped {
			r.stopped = true
			ids = append(ids, id)
		}
	}
	for id, retired := range t.retired {
		if now >= retired.forgetAt {
			delete(t.retired, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// buildReport returns r with the fields set that the table holds, as a report
// that is sent at now.
func (t *table) buildReport(r dispatcher.Report, now clock.Millis) dispatcher.Report {
	t.sequence++
	t.sentAt[t.sequence] = now
	for now-t.sentAt[t.oldestSequence] > reportRetention {
		delete(t.sentAt, t.oldestSequence)
		t.oldestSequence++
	}
	r.Incarnation = t.incarnation
	r.Sequence = t.sequence
	r.Holds = t.capacity
	r.Departing = t.draining
	r.Epoch = t.epoch
	for id, task := range t.running {
		r.Running = append(r.Running, dispatcher.Running{
			Task:    id,
			Request: task.order.Request,
			Team:    task.order.Team,
			Epoch:   task.order.Epoch,
			Need:    task.order.Need,
			Usage:   task.order.Need,
		})
	}
	for _, e := range t.ended {
		r.Ended = append(r.Ended, e)
	}
	return r
}

// applyReply applies the reply to a report that was sent at sentAt: it renews
// leases, deletes acknowledged ends and returns the tasks to stop. It ignores the
// reply of a scheduler of an older epoch.
func (t *table) applyReply(sent dispatcher.Report, r dispatcher.ReportReply, sentAt, now clock.Millis) []unit.Task {
	if r.Epoch < t.epoch {
		return nil
	}
	t.epoch = r.Epoch
	t.departureReported = t.departureReported || sent.Departing
	stop := map[unit.Task]bool{}
	var ids []unit.Task
	for _, o := range r.Stop {
		stop[o.Task] = true
		if t.markStopped(o) {
			ids = append(ids, o.Task)
		}
	}
	for _, s := range sent.Running {
		// An expired lease must not be renewed: another upstream may already
		// run the task.
		if task, ok := t.running[s.Task]; ok && !stop[s.Task] && now < task.leaseEnd {
			task.leaseEnd = max(task.leaseEnd, sentAt+r.Lease)
		}
	}
	for _, id := range r.Forget {
		if _, ok := t.ended[id]; ok {
			delete(t.ended, id)
			t.retired[id] = retiredTask{forgetAt: now + taskIDRetention}
		}
	}
	return ids
}

// isDrained reports whether a draining upstream may shut down: a scheduler has
// received the report of its departure, no task runs, and all ends are
// acknowledged.
func (t *table) isDrained() bool {
	return t.departureReported && len(t.running) == 0 && len(t.ended) == 0
}
