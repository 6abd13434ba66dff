package worker

import (
	"fmt"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// memory is how long the id of a task is known after its end, so that an order
// that the network kept back doesn't run it again. Orders expire much sooner.
const memory = 10 * clock.Minute

// reportMemory is how long it is known when a report left. It is longer than
// any order may be late.
const reportMemory = clock.Minute

// table decides which tasks run. It has no clock and isn't safe for concurrent
// use.
type table struct {
	holds       unit.Resources
	free        unit.Resources
	epoch       unit.Epoch
	departing   bool
	incarnation unit.Incarnation
	// sequence numbers the reports; sentAt holds when the latest ones left.
	sequence uint64
	sentAt   map[uint64]clock.Millis
	// oldest is the lowest number in sentAt.
	oldest uint64
	// announced is set once a report of the departure was answered.
	announced bool
	running   map[unit.Task]*running
	ended     map[unit.Task]dispatcher.Ended
	// gone holds ids that may never start again, with the time from which on
	// they may be forgotten: refused tasks and ends that were taken.
	gone map[unit.Task]gone
}

type running struct {
	order dispatcher.StartOrder
	until clock.Millis
	// stopped is set once the task was told to stop; it holds its resources
	// until it has ended.
	stopped      bool
	checkpointed bool
}

type gone struct {
	refusal string
	until   clock.Millis
}

func newTable(holds unit.Resources, in unit.Incarnation) table {
	return table{
		holds:       holds,
		free:        holds,
		incarnation: in,
		sentAt:      map[uint64]clock.Millis{},
		oldest:      1,
		running:     map[unit.Task]*running{},
		ended:       map[unit.Task]dispatcher.Ended{},
		gone:        map[unit.Task]gone{},
	}
}

// decision is what becomes of a start order. The set is closed: run, join,
// refuse, answered, forgotten.
type decision interface{ decision() }

// run is an order to carry out.
type run struct{}

// join is a doubled order of a task that runs.
type join struct{}

// refuse is a task that never runs here.
type refuse struct{ reply dispatcher.Refused }

// answered is a doubled order of a task that has ended.
type answered struct{ end dispatcher.Ended }

// forgotten is a doubled order of a task that ran here and whose end was taken
// by a scheduler.
type forgotten struct{}

func (run) decision()       {}
func (join) decision()      {}
func (refuse) decision()    {}
func (answered) decision()  {}
func (forgotten) decision() {}

// start decides on an order that waited for a time before now.
func (t *table) start(o dispatcher.StartOrder, waited, now clock.Millis) decision {
	if _, is := t.running[o.Task]; is {
		return join{}
	}
	if e, is := t.ended[o.Task]; is {
		return answered{end: e}
	}
	if g, is := t.gone[o.Task]; is {
		if g.refusal == "" {
			return forgotten{}
		}
		return refuse{dispatcher.Refused{Detail: g.refusal, Epoch: t.epoch}}
	}
	if why := t.refusal(o, waited, now); why != "" {
		t.gone[o.Task] = gone{refusal: why, until: now + memory}
		return refuse{dispatcher.Refused{Detail: why, Epoch: t.epoch}}
	}
	t.epoch = o.Epoch
	t.free = t.free.Sub(o.Need)
	t.running[o.Task] = &running{order: o, until: now + o.Lease}
	return run{}
}

// refusal says why an order of an unknown task is refused, or "".
func (t *table) refusal(o dispatcher.StartOrder, waited, now clock.Millis) string {
	switch {
	case o.Incarnation != "" && o.Incarnation != t.incarnation:
		return fmt.Sprintf("the order is for incarnation %s", o.Incarnation)
	case t.isStale(o, now):
		return "the order was made from a report that is too old by now"
	case o.Epoch < t.epoch:
		return fmt.Sprintf("epoch %d is older than %d", o.Epoch, t.epoch)
	case o.Expiry > 0 && waited > o.Expiry:
		return fmt.Sprintf("the order came %s after it was sent, allowed were %s", waited, o.Expiry)
	case o.Lease <= 0:
		return "the order has no lease"
	case t.departing:
		return "the upstream departs"
	case !o.Need.Fits(t.free):
		return "the upstream has no room"
	}
	return ""
}

// isStale reports whether an order rests on a report that left longer ago than
// the order may be late. It is the upstream's own clock that counts, so an
// order that waited in a buffer while this process was paused is found too.
func (t *table) isStale(o dispatcher.StartOrder, now clock.Millis) bool {
	if o.Sequence == 0 {
		return false
	}
	sentAt, known := t.sentAt[o.Sequence]
	return !known || now-sentAt > o.Expiry
}

// stop marks a task as told to stop and reports whether it runs.
func (t *table) stop(o dispatcher.StopOrder) bool {
	r, is := t.running[o.Task]
	if !is {
		return false
	}
	r.stopped = true
	r.checkpointed = r.checkpointed || o.Checkpoint
	return true
}

// end records the end of a running task. An end after the lease counts as
// stopped, whatever the task returned: the task may run elsewhere by now.
func (t *table) end(id unit.Task, done dispatcher.Done, now clock.Millis) dispatcher.Ended {
	r := t.running[id]
	delete(t.running, id)
	t.free = t.free.Add(r.order.Need)
	e := dispatcher.Ended{Task: id, Request: r.order.Request, Team: r.order.Team, Done: done}
	if r.stopped || now >= r.until {
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

// expire marks the tasks whose lease has ended as stopped, returns those that
// weren't before, and forgets ids of long ago.
func (t *table) expire(now clock.Millis) []unit.Task {
	var ids []unit.Task
	for id, r := range t.running {
		if now >= r.until && !r.stopped {
			r.stopped = true
			ids = append(ids, id)
		}
	}
	for id, g := range t.gone {
		if now >= g.until {
			delete(t.gone, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// report fills in what the table knows, in a report that leaves at now.
func (t *table) report(r dispatcher.Report, now clock.Millis) dispatcher.Report {
	t.sequence++
	t.sentAt[t.sequence] = now
	for now-t.sentAt[t.oldest] > reportMemory {
		delete(t.sentAt, t.oldest)
		t.oldest++
	}
	r.Incarnation = t.incarnation
	r.Sequence = t.sequence
	r.Holds = t.holds
	r.Departing = t.departing
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

// reply takes the answer to a report that was sent at a time, and returns the
// tasks to stop. The answer of an older epoch's scheduler has no effect.
func (t *table) reply(sent dispatcher.Report, r dispatcher.ReportReply, sentAt, now clock.Millis) []unit.Task {
	if r.Epoch < t.epoch {
		return nil
	}
	t.epoch = r.Epoch
	t.announced = t.announced || sent.Departing
	stop := map[unit.Task]bool{}
	var ids []unit.Task
	for _, o := range r.Stop {
		stop[o.Task] = true
		if t.stop(o) {
			ids = append(ids, o.Task)
		}
	}
	for _, s := range sent.Running {
		// A lease that has ended stays so: the task may run elsewhere by now.
		if task, is := t.running[s.Task]; is && !stop[s.Task] && now < task.until {
			task.until = max(task.until, sentAt+r.Lease)
		}
	}
	for _, id := range r.Forget {
		if _, is := t.ended[id]; is {
			delete(t.ended, id)
			t.gone[id] = gone{until: now + memory}
		}
	}
	return ids
}

func (t *table) isSettled() bool {
	return t.announced && len(t.running) == 0 && len(t.ended) == 0
}
