package planner

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// run is what the holder knows of a live run beyond the state.
type run struct {
	key  keeper.RunKey
	host unit.Upstream
	life keeper.Incarnation
	// need is the room that it takes; job and spec are nil for a stray and for a
	// run of a job of which nothing is kept.
	need unit.Resources
	job  *keeper.Job
	spec *keeper.Step
	at   clock.Millis
	// inherited: a former holder ordered it.
	inherited bool
	// stray: the run isn't in the state; it only has to be stopped.
	stray bool
	// listed: the life that it was ordered on has listed it.
	listed bool
	// resumed: it goes on from a checkpoint.
	resumed bool
	// sentAt is when the order to start was last handed out.
	sentAt  clock.Millis
	ackedAt clock.Millis
	// unanswered: the start may be carried out later.
	unanswered   bool
	unansweredAt clock.Millis
	stopWanted   bool
	stopAt       clock.Millis
	stopPending  bool
	stoppedAt    clock.Millis
	checkpoint   string
	percent      int
	movedAt      clock.Millis
	// doneBy is the latest time at which its end leaves its job in time, and takes
	// how long it was expected to take. Both are 0 for an inherited run, which
	// therefore never gives way.
	doneBy, takes clock.Millis
	// checkAt is when to look whether the run makes progress.
	checkAt clock.Millis
}

// isDoubtful reports whether the start may still be carried out.
func (r *run) isDoubtful() bool { return r.ackedAt == 0 && !r.inherited }

// orderedAt returns the latest time at which the start can have been sent.
func (r *run) orderedAt(since clock.Millis) clock.Millis {
	if r.inherited {
		return since
	}
	return r.sentAt
}

// watch notes how far a run is.
func (r *run) watch(now clock.Millis, s RunStatus) {
	if s.Checkpoint != "" {
		r.checkpoint = s.Checkpoint
	}
	if s.Percent != r.percent || r.movedAt == 0 {
		r.percent, r.movedAt = s.Percent, now
	}
}

const (
	// stopRetry is the time between two orders to stop the same run.
	stopRetry = 400 * clock.Millisecond
	// brokenWait is how long the members of a broken gang may take to end by
	// themselves before they are stopped.
	brokenWait = 300 * clock.Millisecond
)

// addRun begins to look after a live run of the state.
func (p *Planner) addRun(h *host, r *run) {
	r.host = h.ID
	r.need = h.Runs[r.key].Need
	if r.spec = p.specOf(r.key); r.spec != nil {
		r.job = p.state.Jobs[r.key.Task.Job]
	}
	p.runs[r.key] = r
	h.live = append(h.live, r)
}

// dropRun ends looking after a run.
func (p *Planner) dropRun(r *run) {
	delete(p.runs, r.key)
	delete(p.stopping, r.key)
	if h := p.hosts[r.host]; h != nil {
		h.live = slices.DeleteFunc(h.live, func(o *run) bool { return o == r })
	}
}

// wantStop has a run stopped from the given time on.
func (p *Planner) wantStop(r *run, at clock.Millis) {
	r.stopWanted, r.stopAt = true, at
	if r.stoppedAt == 0 {
		p.stopping[r.key] = r
	}
}

// begin records and orders the start of a task.
func (p *Planner) begin(s *step, index, number int, h *host, ticket string) {
	id := s.id.TaskID(index)
	p.record(keeper.StartRun{Task: id, Number: number, Upstream: h.ID, Incarnation: h.Incarnation, At: p.now})
	key := keeper.RunKey{Task: id, Number: number}
	if s.spec.TargetTailLatency > 0 {
		p.stopFillers(h)
	}
	saved := s.checkpoint(index)
	takes, rest := p.forecastOf(s.job).predict(s.spec.Estimate), p.chain(s.job, s.id.Step)
	p.addRun(h, &run{
		key: key, life: h.Incarnation, at: p.now, sentAt: p.now, resumed: saved != "",
		takes: takes, doneBy: s.rank.deadline - max(rest-takes, 0),
	})
	p.effect(Start{
		Run: key, Target: h.target(), Spec: s.job.Submission.Spec, Ticket: ticket,
		LeaseExpiry: h.lease(p.now, p.cfg.MaxLease), Checkpoint: saved,
	})
}

// HandleStartResult takes the answer to a start; clockAt is the upstream's clock, if it
// told it.
func (p *Planner) HandleStartResult(now clock.Millis, key keeper.RunKey, to Target, a OrderResult, clockAt clock.Millis) {
	p.now = max(p.now, now)
	if h := p.hosts[to.ID]; h != nil && h.Incarnation == to.Incarnation {
		p.hearOrder(h, clockAt)
	}
	r := p.runs[key]
	if r == nil {
		return
	}
	switch a := a.(type) {
	case Executed:
		r.ackedAt = p.now
		r.unanswered = false
	case Refused:
		p.refused(r, a.Reason)
	case Indeterminate:
		if r.ackedAt == 0 {
			p.doubt(r)
		}
	}
}

// refused ends a run that was surely not started.
func (p *Planner) refused(r *run, why RefusalReason) {
	h := p.hosts[r.host]
	if h != nil {
		switch why {
		case RefusedUnhealthy, RefusedCapacity, RefusedIncarnation:
			// The next look tells whether it can be used again.
			h.failing = true
		}
	}
	if why == RefusedInvalidTicket {
		p.dropTicket(r.key.Task.StepID(), r.host)
	}
	if s := p.steps[r.key.Task.StepID()]; s != nil {
		s.retryAt = p.now + stepBackoff
	}
	p.endRun(r, keeper.RunLost, "", 0)
	p.stopGang(r.key, 0)
}

// stopGang stops the other members of a gang's run, after a wait.
func (p *Planner) stopGang(key keeper.RunKey, wait clock.Millis) {
	j, st, _ := p.state.LookupTask(key.Task)
	if st == nil || !j.Submission.Steps[key.Task.Step].Gang {
		return
	}
	for i, t := range st.Tasks {
		for _, l := range t.LiveRuns {
			if l.Number != key.Number {
				continue
			}
			if r := p.runs[keeper.RunKey{Task: key.Task.StepID().TaskID(i), Number: l.Number}]; r != nil && !r.stopWanted {
				p.wantStop(r, p.now+wait)
			}
		}
	}
}

// stopBrokenGangs stops the runs that are left of gangs of which a member has
// ended, which a former holder may have left undone.
func (p *Planner) stopBrokenGangs() {
	for key, r := range p.runs {
		j, st, _ := p.state.LookupTask(key.Task)
		if st == nil || !j.Submission.Steps[key.Task.Step].Gang {
			continue
		}
		for _, t := range st.Tasks {
			if !slices.ContainsFunc(t.LiveRuns, func(l *keeper.Run) bool { return l.Number == key.Number }) {
				p.wantStop(r, p.now+brokenWait)
			}
		}
	}
}

// HandleStopResult takes the answer to a stop.
func (p *Planner) HandleStopResult(now clock.Millis, key keeper.RunKey, a OrderResult, clockAt clock.Millis) {
	p.now = max(p.now, now)
	r := p.runs[key]
	if r == nil {
		return
	}
	if h := p.hosts[r.host]; h != nil && h.Incarnation == r.life {
		p.hearOrder(h, clockAt)
	}
	r.stopPending = false
	if _, ok := a.(Executed); ok {
		r.stoppedAt = p.now
		delete(p.stopping, key)
		if h := p.hosts[r.host]; h != nil && r.unanswered {
			p.peek(h)
		}
		return
	}
	r.stopAt = p.now + stopRetry
}

// endRun records the end of a run and what follows for its task.
func (p *Planner) endRun(r *run, how keeper.RunOutcome, checkpoint string, noted int64) {
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	p.dropRun(r)
	p.dirty = true
	if r.stray {
		delete(p.strays[r.host], r.key)
		return
	}
	if h := p.hosts[r.host]; h != nil {
		p.free(h)
	}
	if j := p.state.Jobs[r.key.Task.Job]; j != nil {
		p.eased[j.Account] = true
	}
	p.record(keeper.EndRun{
		Task: r.key.Task, Number: r.key.Number, Upstream: r.host, Incarnation: r.life,
		Outcome: how, Checkpoint: checkpoint, EndSeq: noted, At: p.now,
	})
	p.learn(r, how)
	p.follow(r.key, how)
}

// follow looks after the task and the job of a run that has ended.
func (p *Planner) follow(key keeper.RunKey, how keeper.RunOutcome) {
	j, st, t := p.state.LookupTask(key.Task)
	if j == nil || j.Phase.IsFinal() || t == nil {
		p.closeJob(key.Task.Job)
		return
	}
	step := &j.Submission.Steps[key.Task.Step]
	failures := t.Failures
	if step.Gang {
		failures = st.Failures
		if how != keeper.RunDone {
			p.stopGang(key, brokenWait)
		}
	}
	if how == keeper.RunFailed && failures >= p.maxAttempts(j) && !step.LongRunning {
		p.endJob(j, keeper.Failed)
		return
	}
	p.refresh(j, key.Task.Occurrence)
}

// maxAttempts returns the bound of failed runs that is in force for a job.
func (p *Planner) maxAttempts(j *keeper.Job) int {
	if q, ok := p.state.Config.QueueByName(j.Queue.Name); ok {
		return max(q.MaxAttempts, 1)
	}
	return max(j.Queue.MaxAttempts, 1)
}

// sweepRuns repeats orders whose answer is missing.
func (p *Planner) sweepRuns() {
	var due []*run
	for _, r := range p.stopping {
		if !r.stopPending && p.now >= r.stopAt && p.hosts[r.host] != nil {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *run) int { return a.key.Compare(b.key) })
	for _, r := range due {
		r.stopPending = true
		p.effect(Stop{Run: r.key, Target: p.hosts[r.host].target()})
	}
}
