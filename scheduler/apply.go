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
	case dispatcher.CommitIntent, dispatcher.RevokeIntent, dispatcher.SendStart, dispatcher.SendStop, dispatcher.Record:
		c.effects = append(c.effects, e)
	}
}

// ended turns the dispatcher's end of a task into the queue's.
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

// enqueue puts a task in the queue, or rejects it with the reason.
func (c *core) enqueue(now clock.Millis, e dispatcher.Enqueue) {
	if !c.dispatcher.IsQueued(e.Task) {
		// Another task of the attempt was rejected meanwhile.
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

// turnAway rejects a task that the queue doesn't take, or tries it again later
// if the queue is only full and the request was accepted.
func (c *core) rejectOrPostpone(now clock.Millis, id unit.Task, why dispatcher.Refusal) {
	if why.Reason == dispatcher.ReasonOverloaded && c.dispatcher.Postpone(now, id) {
		return
	}
	c.dispatcher.Reject(now, id, why)
}

var refusalQueueFull = dispatcher.Refusal{
	Reason:     dispatcher.ReasonOverloaded,
	Detail:     "the queue holds as many waiting requests as it may",
	Remedy:     "send it again later, or raise the queue's MaxWaiting",
	RetryAfter: clock.Second,
}

// notInText is the refusal of a request whose queue or work the configuration
// in force doesn't have.
func refusalNotConfigured(r dispatcher.Request) dispatcher.Refusal {
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
func (c *core) uncountQueued(id unit.Task) {
	queue, waits := c.queueOf[id]
	if !waits {
		return
	}
	delete(c.queueOf, id)
	c.waitingCount[queue]--
	if c.waitingCount[queue] == 0 {
		delete(c.waitingCount, queue)
	}
}

// adopted describes a task that was found running.
func (c *core) adoptedTask(e dispatcher.Adopt) placer.Task {
	s, _ := c.specOf(e.Request)
	attempt, size := dispatcher.AttemptOf(e.Running.Task)
	t := s.task(e.Running.Task, attempt, size, e.Request)
	t.Team = e.Running.Team
	t.Need = e.Running.Need
	return t
}
