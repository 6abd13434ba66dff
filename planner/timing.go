package planner

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// Span sums up durations.
type Span struct {
	Count      int
	Total, Max clock.Millis
}

// Add adds a duration; one below zero counts as zero.
func (s *Span) Add(d clock.Millis) {
	d = max(d, 0)
	s.Count++
	s.Total += d
	s.Max = max(s.Max, d)
}

// Mean returns the mean duration; 0 if there is none.
func (s Span) Mean() clock.Millis {
	if s.Count == 0 {
		return 0
	}
	return s.Total / clock.Millis(s.Count)
}

// Timing tells where the time of jobs went, by queue, and how long ends of runs may have
// waited to be listed.
type Timing struct {
	Queues map[unit.Queue]*QueueTiming
	// PollGap is the time between the answer of an upstream and its next poll. An end in
	// between waits for that poll.
	PollGap Span
	// Searches counts the searches of passes for a step's capacity and for upstreams to request
	// tickets for.
	Searches int
}

// QueueTiming tells where the time of a queue's jobs went.
type QueueTiming struct {
	// Grant is the time from when a step is queued until the advice service has granted the
	// first upstream; Placement from when it is queued until all its tasks have been started.
	Grant, Placement Span
	// Answer is the time from the decision to start a run until its upstream has answered.
	Answer Span
	// Job is the time from the acceptance of a job until its completion. The completed jobs
	// are counted by tier, as of the last forecast before a step was started. Jobs whose steps
	// a former leader started aren't counted.
	Job                     Span
	InTime, Late, Worthless int
}

// TakeTiming returns the timing since the last call.
func (p *Planner) TakeTiming() Timing {
	t := p.timing
	p.timing = Timing{}
	return t
}

// SortedQueues returns the names of the queues in order.
func (t Timing) SortedQueues() []unit.Queue { return slices.Sorted(maps.Keys(t.Queues)) }

func (t *Timing) queue(name unit.Queue) *QueueTiming {
	q := t.Queues[name]
	if q == nil {
		if t.Queues == nil {
			t.Queues = map[unit.Queue]*QueueTiming{}
		}
		q = &QueueTiming{}
		t.Queues[name] = q
	}
	return q
}

// timeGrant counts the first answer of the advice service that grants an upstream to a step.
func (p *Planner) timeGrant(s *step, hadGrant bool) {
	if !hadGrant && s.hasAnyGrant() && s.queued {
		p.timing.queue(s.job.Queue.Name).Grant.Add(p.now - s.queuedAt)
	}
}

// timePlacement counts a step of which all tasks have been started.
func (p *Planner) timePlacement(s *step) {
	p.timing.queue(s.job.Queue.Name).Placement.Add(p.now - s.queuedAt)
}

// timeAnswer counts the first answer to a start.
func (p *Planner) timeAnswer(r *run) {
	if r.job != nil && !r.inherited {
		p.timing.queue(r.job.Queue.Name).Answer.Add(p.now - r.sentAt)
	}
}

// timeJob counts a job that has ended. steps are those that this leader has tracked.
func (p *Planner) timeJob(j *keeper.Job, steps []*step) {
	if j == nil || j.Phase != keeper.Completed || j.Submission.Repeat > 0 || len(steps) == 0 {
		return
	}
	q := p.timing.queue(j.Queue.Name)
	q.Job.Add(j.EndedAt - j.AcceptedAt)
	var o objective
	for _, s := range steps {
		if s.rankedAt > 0 {
			o = s.objective
		}
	}
	if o.duration == 0 {
		return
	}
	switch o.tier(j.EndedAt) {
	case inTime:
		q.InTime++
	case late:
		q.Late++
	case worthless:
		q.Worthless++
	}
}
