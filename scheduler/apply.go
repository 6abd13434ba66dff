package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/queuer"
	"github.com/chervilvane/chervilvane/unit"
)

// applyEffects applies the dispatcher's effects to the queue and collects those
// that leave the process.
func (c *core) applyEffects(now clock.Millis) {
	for effects := c.dispatcher.Effects(); len(effects) > 0; effects = c.dispatcher.Effects() {
		for _, e := range effects {
			c.applyEffect(now, e)
		}
	}
}

func (c *core) applyEffect(now clock.Millis, e dispatcher.Effect) {
	switch e := e.(type) {
	case dispatcher.Enqueue:
		c.enqueue(now, e)
	case dispatcher.Dequeue:
		c.uncountQueued(e.Task)
		c.queuer.Cancel(now, e.Task)
	case dispatcher.Release:
		c.queuer.FinishTask(now, e.Task, taskOutcome(e.End))
		c.changed = true
	case dispatcher.Adopt:
		c.queuer.Adopt(now, c.adoptedTask(e), e.Upstream)
	case dispatcher.UpdateUpstream:
		c.queuer.SetUpstream(now, placer.Upstream{ID: e.Upstream, Rack: e.Rack, Capacity: e.Capacity, Unschedulable: e.Unschedulable})
		c.changed = true
	case dispatcher.RemoveUpstream:
		c.queuer.RemoveUpstream(now, e.Upstream)
	case dispatcher.RecoveryComplete:
		for team := range c.state.Allotments(c.az) {
			c.queuer.ClearInherited(team)
		}
		c.changed = true
	case dispatcher.NotifyCallers:
		c.workloads.recordEnd(now, e.Request, e.Outcome)
		c.effects = append(c.effects, e)
	case dispatcher.CommitIntent, dispatcher.RetractIntent, dispatcher.SendStart, dispatcher.SendStop, dispatcher.Record:
		c.effects = append(c.effects, e)
	}
}

// taskOutcome converts the dispatcher's outcome of a task to the queue's type.
func taskOutcome(e dispatcher.TaskOutcome) queuer.TaskOutcome {
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

// enqueue adds a task to the queue, or rejects or postpones it.
func (c *core) enqueue(now clock.Millis, e dispatcher.Enqueue) {
	if !c.dispatcher.IsQueued(e.Task) {
		// The attempt ended when another of its tasks was rejected.
		return
	}
	s, ok := c.specOf(e.Request)
	if !ok {
		c.dispatcher.Reject(now, e.Task, refusalNotConfigured(e.Request))
		return
	}
	if s.maxWaiting > 0 && c.waitingCount[s.queue] >= s.maxWaiting {
		c.rejectOrPostpone(now, e.Task, refusalQueueFull)
		return
	}
	t := s.task(e.Task, e.Attempt, e.Size, e.Request)
	t.StartDeadline = e.Deadline
	c.dispatcher.SetNeed(e.Task, t.Need)
	if refusal := c.queuer.Add(now, t); refusal != nil {
		c.rejectOrPostpone(now, e.Task, *refusal)
		return
	}
	c.waitingCount[s.queue]++
	c.queueOf[e.Task] = s.queue
	c.changed = true
}

// rejectOrPostpone rejects a task that the queue refused. If the queue is full
// and the request was accepted, the task is queued again later instead.
func (c *core) rejectOrPostpone(now clock.Millis, id unit.Task, refusal dispatcher.Refusal) {
	if refusal.Reason == dispatcher.ReasonOverloaded && c.dispatcher.Postpone(now, id) {
		return
	}
	c.dispatcher.Reject(now, id, refusal)
}

// refusalQueueFull is the refusal of a task whose queue holds MaxWaiting tasks.
var refusalQueueFull = dispatcher.Refusal{
	Reason:     dispatcher.ReasonOverloaded,
	Detail:     "the queue holds as many waiting requests as it may",
	Remedy:     "send it again later, or raise the queue's MaxWaiting",
	RetryAfter: clock.Second,
}

// refusalNotConfigured returns the refusal of a request whose queue or workload
// isn't in the configuration in force.
func refusalNotConfigured(r dispatcher.Request) dispatcher.Refusal {
	if key, isWorkload := parser.WorkloadKeyOf(r.ID); isWorkload {
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

// uncountQueued removes a task from the count of its queue, if it is counted.
func (c *core) uncountQueued(id unit.Task) {
	queue, ok := c.queueOf[id]
	if !ok {
		return
	}
	delete(c.queueOf, id)
	c.waitingCount[queue]--
	if c.waitingCount[queue] == 0 {
		delete(c.waitingCount, queue)
	}
}

// adoptedTask describes a task that an upstream was found to run.
func (c *core) adoptedTask(e dispatcher.Adopt) placer.Task {
	s, _ := c.specOf(e.Request)
	attempt, size := dispatcher.AttemptOf(e.Running.Task)
	t := s.task(e.Running.Task, attempt, size, e.Request)
	t.Team = e.Running.Team
	t.Need = e.Running.Need
	return t
}
