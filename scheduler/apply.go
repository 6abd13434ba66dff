package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/queuer"
	"github.com/chervilvane/chervilvane/unit"
)

// flush carries out the dispatcher's effects on the queue and keeps those that
// leave the process.
func (k *core) flush(now clock.Millis) {
	for effects := k.d.Effects(); len(effects) > 0; effects = k.d.Effects() {
		for _, e := range effects {
			k.apply(now, e)
		}
	}
}

func (k *core) apply(now clock.Millis, e dispatcher.Effect) {
	switch e := e.(type) {
	case dispatcher.Enqueue:
		k.enqueue(now, e)
	case dispatcher.Dequeue:
		k.leaveQueue(e.Task)
		k.q.Cancel(now, e.Task)
	case dispatcher.Release:
		k.q.Ended(now, e.Task, ended(e.End))
		k.changed = true
	case dispatcher.Adopt:
		k.q.Adopt(now, k.adopted(e), e.Upstream)
	case dispatcher.Announce:
		k.q.Worker(now, placer.Worker{ID: e.Upstream, Rack: e.Rack, Holds: e.Holds, Departing: e.Departing})
		k.changed = true
	case dispatcher.Withdraw:
		k.q.WorkerGone(now, e.Upstream)
	case dispatcher.Quiet:
		for team := range k.state.Allotments(k.az) {
			k.q.DropCarry(team)
		}
		k.changed = true
	case dispatcher.Intend, dispatcher.Unintend, dispatcher.Send, dispatcher.Halt, dispatcher.Record, dispatcher.Answer:
		k.out = append(k.out, e)
	}
}

// ended turns the dispatcher's end of a task into the queue's.
func ended(e dispatcher.End) queuer.End {
	switch e := e.(type) {
	case dispatcher.Completed:
		if e.Failed {
			return queuer.Failed{}
		}
		return queuer.Succeeded{}
	case dispatcher.Halted:
		return queuer.Stopped{Checkpointed: e.Checkpointed}
	case dispatcher.Unstarted:
		if e.Blame {
			return queuer.RefusedByUpstream{}
		}
		return queuer.Stopped{}
	default:
		return queuer.LostWithUpstream{}
	}
}

// enqueue puts a task in the queue, or rejects it with the reason.
func (k *core) enqueue(now clock.Millis, e dispatcher.Enqueue) {
	if !k.d.IsQueued(e.Task) {
		// Another task of the attempt was rejected meanwhile.
		return
	}
	queue, ok := k.config.FindQueue(e.Request.Queue)
	if !ok {
		k.d.Reject(now, e.Task, dispatcher.Refusal{
			Reason: dispatcher.ReasonNoSuchQueue,
			Detail: "the configuration in force has no queue " + string(e.Request.Queue),
			Remedy: "submit to a queue of the configuration",
		})
		return
	}
	if queue.MaxWaiting > 0 && k.waiting[queue.Name] >= queue.MaxWaiting {
		k.d.Reject(now, e.Task, dispatcher.Refusal{
			Reason:     dispatcher.ReasonOverloaded,
			Detail:     "the queue holds as many waiting requests as it may",
			Remedy:     "send it again later, or raise the queue's MaxWaiting",
			RetryAfter: clock.Second,
		})
		return
	}
	t := task(queue, e)
	k.d.SetNeed(e.Task, t.Need)
	if refusal := k.q.Add(now, t); refusal != nil {
		k.d.Reject(now, e.Task, *refusal)
		return
	}
	k.waiting[queue.Name]++
	k.tasks[e.Task] = queue.Name
	k.changed = true
}

// leaveQueue counts a task off its queue.
func (k *core) leaveQueue(id unit.Task) {
	queue, waits := k.tasks[id]
	if !waits {
		return
	}
	delete(k.tasks, id)
	k.waiting[queue]--
	if k.waiting[queue] == 0 {
		delete(k.waiting, queue)
	}
}

// task describes a queued request to the placer.
func task(queue parser.Queue, e dispatcher.Enqueue) placer.Task {
	return placer.Task{
		ID:         e.Task,
		Team:       queue.Team,
		Account:    e.Request.Account,
		Work:       queueWork(queue.Name),
		Kind:       kind(queue.Class, e.Attempt, e.Size, e.Request.Repeatable),
		Need:       queue.Need,
		Urgent:     queue.Urgent,
		Repeatable: e.Request.Repeatable,
		RunTime:    queue.RunTime,
		Deadline:   e.Deadline,
	}
}

// queueWork is the work that a queue's requests are learned under.
func queueWork(queue unit.Queue) unit.Work {
	return unit.Work("queue/" + queue)
}

// kind returns the placement policy of a queue's class. A task that isn't
// repeatable is never preempted: its one start is used up.
func kind(class parser.Class, attempt unit.Task, size int, repeatable bool) placer.Kind {
	switch class := class.(type) {
	case parser.AllAtOnce:
		return placer.Gang{Work: unit.Work(attempt), Size: size}
	case parser.Deferred:
		return placer.Batch{Checkpoints: class.Checkpoints && repeatable}
	default:
		return placer.Service{}
	}
}

// size returns how many tasks a queue's requests start together.
func (k *core) size(name unit.Queue) int {
	queue, _ := k.config.FindQueue(name)
	if class, is := queue.Class.(parser.AllAtOnce); is {
		return class.Tasks
	}
	return 1
}

// adopted describes a task that was found running.
func (k *core) adopted(e dispatcher.Adopt) placer.Task {
	queue, _ := k.config.FindQueue(e.Request.Queue)
	attempt, size := dispatcher.Attempt(e.Running.Task)
	return placer.Task{
		ID:         e.Running.Task,
		Team:       e.Running.Team,
		Account:    e.Request.Account,
		Work:       queueWork(queue.Name),
		Kind:       kind(queue.Class, attempt, size, e.Request.Repeatable),
		Need:       e.Running.Need,
		Urgent:     queue.Urgent,
		Repeatable: e.Request.Repeatable,
		RunTime:    queue.RunTime,
	}
}
