package planner

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// run holds the leader's knowledge of a live run beyond the state.
type run struct {
	key         keeper.RunKey
	upstream    unit.Upstream
	incarnation keeper.Incarnation
	// need is the capacity that the run uses. job and spec are nil for an orphan and for a
	// run whose job was dropped from the state.
	need       unit.Resources
	job        *keeper.Job
	spec       *keeper.Step
	recordedAt clock.Millis
	// inherited is set if a former leader ordered the start. appliedAt is then the time at
	// which this instance applied the entry that records the start; 0 if unknown.
	inherited bool
	appliedAt clock.Millis
	// orphan is set if the run isn't in the state; it only has to be stopped.
	orphan bool
	// listed is set once the incarnation to which the start was sent has listed the run.
	listed bool
	// resumed is set if the run started from a checkpoint.
	resumed bool
	// sentAt is when the start was added to the effects.
	sentAt  clock.Millis
	ackedAt clock.Millis
	// indeterminate is set while the start has an indeterminate result and may still be
	// executed.
	indeterminate   bool
	indeterminateAt clock.Millis
	stopRequested   bool
	nextStopAt      clock.Millis
	stopPending     bool
	stopAckedAt     clock.Millis
	checkpoint      string
	percent         int
	progressAt      clock.Millis
	// firstProgress is the progress as it was first listed. progressWentBack is set if it
	// has ever become less. suggested is the total time that the progress first suggested.
	firstProgress    progress
	progressWentBack bool
	suggested        clock.Millis
	// forecast is the forecast at the start; nil for an inherited run. latestEnd is the latest
	// end of the run with which its job can still end in time; 0 for an inherited run, which
	// is therefore never preempted.
	forecast  *RunForecast
	latestEnd clock.Millis
	// endForecast is the cached median of the run's end, as of endForecastAt.
	endForecast, endForecastAt clock.Millis
	// nextCheckAt is when to check next whether the run makes progress. overdue is set once
	// it was found to be overdue, as it is from overdueAt on.
	nextCheckAt, overdueAt clock.Millis
	overdue                bool
}

// mayStartLate reports whether the start may still be executed.
func (r *run) mayStartLate() bool { return r.ackedAt == 0 && !r.inherited }

// MaxStartDelay bounds the time from the decision to start a run until the driver sends the
// order. It must be longer than a commit takes on an overloaded leader. A run that is lost
// before a hand-over waits as much longer as it began closer to the hand-over than this.
const MaxStartDelay = 1 * clock.Second

// lastSentAt returns the latest time at which the start can have been sent. For an
// inherited run that is MaxStartDelay after this instance applied the start, which it did
// after the decision, and at the latest the time at which it became leader.
func (r *run) lastSentAt(since clock.Millis) clock.Millis {
	switch {
	case !r.inherited:
		return r.sentAt
	case r.appliedAt == 0:
		return since
	}
	return min(since, r.appliedAt+MaxStartDelay)
}

// updateProgress records the run's latest checkpoint and progress.
func (r *run) updateProgress(now clock.Millis, status RunStatus) {
	if status.Checkpoint != "" {
		r.checkpoint = status.Checkpoint
	}
	if status.Percent == r.percent && r.progressAt > 0 {
		return
	}
	if r.progressAt == 0 {
		r.firstProgress = progress{status.Percent, now}
	}
	r.progressWentBack = r.progressWentBack || status.Percent < r.percent
	r.percent, r.progressAt = status.Percent, now
	if r.suggested == 0 {
		r.suggested = r.totalByProgress()
	}
}

const (
	// stopRetryInterval is the time between two stop orders for the same run.
	stopRetryInterval = 400 * clock.Millisecond
	// brokenGangGrace is how long the other members of a gang may take to end by themselves
	// after one has ended, before they are stopped.
	brokenGangGrace = 300 * clock.Millisecond
)

// addRun begins to track a live run of the state.
func (p *Planner) addRun(u *upstream, r *run) {
	r.upstream = u.ID
	r.need = u.Runs[r.key].Need
	if r.spec = p.stepSpec(r.key); r.spec != nil {
		r.job = p.state.Jobs[r.key.Task.Job]
	}
	p.runs[r.key] = r
	u.liveRuns = append(u.liveRuns, r)
}

// dropRun stops tracking a run.
func (p *Planner) dropRun(r *run) {
	delete(p.runs, r.key)
	delete(p.stopping, r.key)
	if u := p.upstreams[r.upstream]; u != nil {
		u.liveRuns = slices.DeleteFunc(u.liveRuns, func(o *run) bool { return o == r })
	}
}

// requestStop has a run stopped, with the first stop sent at the given time.
func (p *Planner) requestStop(r *run, at clock.Millis) {
	r.stopRequested, r.nextStopAt = true, at
	if r.stopAckedAt == 0 {
		p.stopping[r.key] = r
	}
}

// startRun records the start of a task and orders it.
func (p *Planner) startRun(s *step, index, number int, u *upstream, ticket string) {
	id := s.id.TaskID(index)
	p.record(keeper.StartRun{Task: id, Number: number, Upstream: u.ID, Incarnation: u.Incarnation, At: p.now})
	key := keeper.RunKey{Task: id, Number: number}
	if s.spec.TargetTailLatency > 0 {
		p.stopBestEffortRuns(u)
	}
	checkpoint := s.checkpoint(index)
	f := p.forecastStart(s, u)
	chain := p.criticalPath(s.job, s.id.Step)
	p.addRun(u, &run{
		key: key, incarnation: u.Incarnation, recordedAt: p.now, sentAt: p.now, resumed: checkpoint != "",
		forecast: f, latestEnd: s.rank.deadline - max(chain-f.Median, 0),
	})
	p.addEffect(Start{
		Run: key, Target: u.target(), Spec: s.job.Submission.Spec, Ticket: ticket,
		LeaseExpiry: u.extendLease(p.now, p.cfg.MaxLease), Checkpoint: checkpoint, Forecast: f,
	})
}

// HandleStartResult handles the result of a start. clockAt is the upstream's clock, or 0 if
// the answer didn't include it.
func (p *Planner) HandleStartResult(now clock.Millis, key keeper.RunKey, to Target, result OrderResult, clockAt clock.Millis) {
	p.now = max(p.now, now)
	if u := p.upstreams[to.ID]; u != nil && u.Incarnation == to.Incarnation {
		p.updateClockFromOrder(u, clockAt)
	}
	r := p.runs[key]
	if r == nil {
		return
	}
	switch a := result.(type) {
	case Executed:
		if r.ackedAt == 0 {
			p.timeAnswer(r)
		}
		r.ackedAt = p.now
		r.indeterminate = false
		p.noteBegun(key.Task.Job)
	case Refused:
		p.handleRefusal(r, a.Reason)
	case Indeterminate:
		if r.ackedAt == 0 {
			p.pollAfterIndeterminate(r)
		}
	}
}

// handleRefusal ends a run whose start was refused.
func (p *Planner) handleRefusal(r *run, reason RefusalReason) {
	u := p.upstreams[r.upstream]
	if u != nil {
		switch reason {
		case RefusedUnhealthy, RefusedCapacity, RefusedIncarnation:
			// The next valid answer to a poll makes it schedulable again.
			u.failing = true
		}
	}
	if reason == RefusedInvalidTicket {
		p.expireTicket(r.key.Task.StepID(), r.upstream)
	}
	if s := p.steps[r.key.Task.StepID()]; s != nil {
		s.retryAt = p.now + stepBackoff
	}
	p.endRun(r, keeper.RunLost, "", 0)
	p.stopGang(r.key, 0)
}

// stopGang stops the other members of a gang's run after a wait.
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
			if r := p.runs[keeper.RunKey{Task: key.Task.StepID().TaskID(i), Number: l.Number}]; r != nil && !r.stopRequested {
				p.requestStop(r, p.now+wait)
			}
		}
	}
}

// repeatStops requests the stops that a former leader may not have brought to an end before
// it lost its leadership: only a leader's memory holds them.
func (p *Planner) repeatStops() {
	p.stopBrokenGangs()
	for _, u := range p.byID {
		for _, r := range u.liveRuns {
			if r.job == nil || r.job.Phase.IsFinal() {
				p.requestStop(r, p.now)
			}
		}
		if p.hasLatencySensitiveRun(u) {
			p.stopBestEffortRuns(u)
		}
	}
}

// stopBrokenGangs stops the remaining runs of gangs of which a member has ended.
func (p *Planner) stopBrokenGangs() {
	for key, r := range p.runs {
		j, st, _ := p.state.LookupTask(key.Task)
		if st == nil || !j.Submission.Steps[key.Task.Step].Gang {
			continue
		}
		for _, t := range st.Tasks {
			if !slices.ContainsFunc(t.LiveRuns, func(l *keeper.Run) bool { return l.Number == key.Number }) {
				p.requestStop(r, p.now+brokenGangGrace)
			}
		}
	}
}

// HandleStopResult handles the result of a stop. clockAt is the upstream's clock, or 0 if
// the answer didn't include it.
func (p *Planner) HandleStopResult(now clock.Millis, key keeper.RunKey, result OrderResult, clockAt clock.Millis) {
	p.now = max(p.now, now)
	r := p.runs[key]
	if r == nil {
		return
	}
	if u := p.upstreams[r.upstream]; u != nil && u.Incarnation == r.incarnation {
		p.updateClockFromOrder(u, clockAt)
	}
	r.stopPending = false
	if _, ok := result.(Executed); ok {
		r.stopAckedAt = p.now
		delete(p.stopping, key)
		if u := p.upstreams[r.upstream]; u != nil && r.indeterminate {
			p.pollNow(u)
		}
		return
	}
	r.nextStopAt = p.now + stopRetryInterval
}

// endRun records the end of a run and updates its task and job. endSeq is the sequence
// number under which the upstream listed the end, or 0.
func (p *Planner) endRun(r *run, outcome keeper.RunOutcome, checkpoint string, endSeq int64) {
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	p.dropRun(r)
	p.dirty = true
	if r.orphan {
		delete(p.orphans[r.upstream], r.key)
		return
	}
	if u := p.upstreams[r.upstream]; u != nil {
		p.markFreed(u)
	}
	if j := p.state.Jobs[r.key.Task.Job]; j != nil {
		p.quotaFreed[j.Account] = true
	}
	p.judgeForecast(r, outcome)
	p.record(keeper.EndRun{
		Task: r.key.Task, Number: r.key.Number, Upstream: r.upstream, Incarnation: r.incarnation,
		Outcome: outcome, Checkpoint: checkpoint, EndSeq: endSeq, At: p.now,
	})
	p.learnFromRun(r, outcome)
	p.afterRunEnd(r.key, outcome)
}

// afterRunEnd updates the task and the job of a run that has ended.
func (p *Planner) afterRunEnd(key keeper.RunKey, outcome keeper.RunOutcome) {
	j, st, t := p.state.LookupTask(key.Task)
	if j == nil || j.Phase.IsFinal() || t == nil {
		p.closeJob(key.Task.Job)
		return
	}
	step := &j.Submission.Steps[key.Task.Step]
	failures := t.Failures
	if step.Gang {
		failures = st.Failures
		if outcome != keeper.RunDone {
			p.stopGang(key, brokenGangGrace)
		}
	}
	if outcome == keeper.RunFailed && failures >= p.maxAttempts(j) && !step.LongRunning {
		p.endJob(j, keeper.Failed)
		return
	}
	p.queueReadySteps(j, key.Task.Occurrence)
}

// maxAttempts returns the limit of failed runs that applies to a job.
func (p *Planner) maxAttempts(j *keeper.Job) int {
	if q, ok := p.state.Config.QueueByName(j.Queue.Name); ok {
		return max(q.MaxAttempts, 1)
	}
	return max(j.Queue.MaxAttempts, 1)
}

// sweepRuns sends the stops that are due, including those to repeat.
func (p *Planner) sweepRuns() {
	var due []*run
	for _, r := range p.stopping {
		if !r.stopPending && p.now >= r.nextStopAt && p.upstreams[r.upstream] != nil {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *run) int { return a.key.Compare(b.key) })
	for _, r := range due {
		r.stopPending = true
		p.addEffect(Stop{Run: r.key, Target: p.upstreams[r.upstream].target()})
	}
}
