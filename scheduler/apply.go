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
		k.q.FinishTask(now, e.Task, ended(e.End))
		k.changed = true
	case dispatcher.Adopt:
		k.q.Adopt(now, k.adopted(e), e.Upstream)
	case dispatcher.UpdateUpstream:
		k.q.SetUpstream(now, placer.Upstream{ID: e.Upstream, Rack: e.Rack, Capacity: e.Capacity, Unschedulable: e.Unschedulable})
		k.changed = true
	case dispatcher.RemoveUpstream:
		k.q.RemoveUpstream(now, e.Upstream)
	case dispatcher.RecoveryComplete:
		for team := range k.state.Allotments(k.az) {
			k.q.ClearInherited(team)
		}
		k.changed = true
	case dispatcher.NotifyCallers:
		k.text.ended(now, e.Request, e.Outcome)
		k.out = append(k.out, e)
	case dispatcher.CommitIntent, dispatcher.RevokeIntent, dispatcher.SendStart, dispatcher.SendStop, dispatcher.Record:
		k.out = append(k.out, e)
	}
}

// ended turns the dispatcher's end of a task into the queue's.
func ended(e dispatcher.TaskOutcome) queuer.TaskOutcome {
	switch e := e.(type) {
	case dispatcher.Completed:
		if e.Failed {
			return queuer.Failed{}
		}
		return queuer.Succeeded{}
	case dispatcher.Stopped:
		return queuer.Stopped{Checkpointed: e.Checkpointed}
	case dispatcher.Unstarted:
		if e.UpstreamFault {
			return queuer.UpstreamRefused{}
		}
		return queuer.Stopped{}
	default:
		return queuer.UpstreamLost{}
	}
}

// enqueue puts a task in the queue, or rejects it with the reason.
func (k *core) enqueue(now clock.Millis, e dispatcher.Enqueue) {
	if !k.d.IsQueued(e.Task) {
		// Another task of the attempt was rejected meanwhile.
		return
	}
	s, ok := k.specOf(e.Request)
	if !ok {
		k.d.Reject(now, e.Task, notInText(e.Request))
		return
	}
	if s.maxWaiting > 0 && k.waiting[s.queue] >= s.maxWaiting {
		k.turnAway(now, e.Task, queueFull)
		return
	}
	t := s.task(e.Task, e.Attempt, e.Size, e.Request)
	t.StartDeadline = e.Deadline
	k.d.SetNeed(e.Task, t.Need)
	if refusal := k.q.Add(now, t); refusal != nil {
		k.turnAway(now, e.Task, *refusal)
		return
	}
	k.waiting[s.queue]++
	k.tasks[e.Task] = s.queue
	k.changed = true
}

// turnAway rejects a task that the queue doesn't take, or tries it again later
// if the queue is only full and the request was accepted.
func (k *core) turnAway(now clock.Millis, id unit.Task, why dispatcher.Refusal) {
	if why.Reason == dispatcher.ReasonOverloaded && k.d.Postpone(now, id) {
		return
	}
	k.d.Reject(now, id, why)
}

var queueFull = dispatcher.Refusal{
	Reason:     dispatcher.ReasonOverloaded,
	Detail:     "the queue holds as many waiting requests as it may",
	Remedy:     "send it again later, or raise the queue's MaxWaiting",
	RetryAfter: clock.Second,
}

// notInText is the refusal of a request whose queue or work the configuration
// in force doesn't have.
func notInText(r dispatcher.Request) dispatcher.Refusal {
	if key, is := parser.WorkloadKeyOf(r.ID); is {
		return dispatcher.Refusal{
			Reason: dispatcher.ReasonCancelled,
			Detail: "the configuration in force doesn't have the work " + string(key) + " any more",
			Remedy: "put the work back into the text",
		}
	}
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonNoSuchQueue,
		Detail: "the configuration in force has no queue " + string(r.Queue),
		Remedy: "submit to a queue of the configuration",
	}
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

// adopted describes a task that was found running.
func (k *core) adopted(e dispatcher.Adopt) placer.Task {
	s, _ := k.specOf(e.Request)
	attempt, size := dispatcher.AttemptOf(e.Running.Task)
	t := s.task(e.Running.Task, attempt, size, e.Request)
	t.Team = e.Running.Team
	t.Need = e.Running.Need
	return t
}
