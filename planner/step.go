package planner

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/attributor"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// step is a step of an occurrence that has tasks to start.
type step struct {
	id   keeper.StepID
	job  *keeper.Job
	spec *keeper.Step
	rank rank
	// rankedAt is when rank was last determined. objective is that of the occurrence, as of
	// then.
	rankedAt  clock.Millis
	objective objective
	// queued is set while the step is in Planner.waiting, since queuedAt.
	queued   bool
	queuedAt clock.Millis
	closed   bool
	// retryAt is the time before which nothing is started, after a refused start.
	retryAt clock.Millis
	tickets *stepTickets
	// blocked is set if there was no capacity for the step. It is tried again at
	// blockedUntil, or once something changes for it. quotaLimited is set if its account's
	// quota was the limit.
	blocked, quotaLimited bool
	blockedUntil          clock.Millis
	// bookings are the capacity that steps of lower rank can't use. bookingGang is set if
	// the step booked it as a gang that waits for more.
	bookings    []booking
	bookingGang bool
	// mayBook is set for the gangs that may book capacity in this pass.
	mayBook bool
	// claim is the capacity that preempted runs free for the step; nextClaimAt is when to
	// search for victims again.
	claim       *claim
	nextClaimAt clock.Millis
	// results are those of the step's runs since this instance became leader. avoidedUntil is
	// set for the upstreams on which tasks have failed repeatedly.
	results      attributor.Workload
	avoidedUntil map[unit.Upstream]clock.Millis
}

// rank orders the waiting steps.
type rank struct {
	tier tier
	// surplus is set if the job exceeds its account's entitlement.
	surplus bool
	// overShare is the result of isOverShare.
	overShare bool
	priority  int
	deadline  clock.Millis
	id        keeper.StepID
}

func (a rank) compare(b rank) int {
	switch {
	case a.tier != b.tier:
		return int(a.tier - b.tier)
	case a.surplus != b.surplus:
		if b.surplus {
			return -1
		}
		return 1
	case a.overShare != b.overShare:
		if b.overShare {
			return -1
		}
		return 1
	case a.priority != b.priority:
		return a.priority - b.priority
	case a.deadline < b.deadline:
		return -1
	case a.deadline > b.deadline:
		return 1
	case a.id.Job != b.id.Job:
		if a.id.Job < b.id.Job {
			return -1
		}
		return 1
	case a.id.Occurrence != b.id.Occurrence:
		return a.id.Occurrence - b.id.Occurrence
	}
	return a.id.Step - b.id.Step
}

// openJob queues the steps of a job that are ready.
func (p *Planner) openJob(j *keeper.Job) {
	p.urgent.add(j)
	p.addGangSizes(j)
	if j.Submission.Repeat == 0 {
		p.queueReadySteps(j, 0)
		return
	}
	for k := range j.Occurrences {
		p.queueReadySteps(j, k)
	}
	p.nextOccurrence[j.ID] = 0
}

// maxOpenSteps bounds the queued steps of a repeated job, of which any number of occurrences
// may be due at once.
const maxOpenSteps = 1000

// openDueOccurrences queues the steps of the occurrences that have become due. Those beyond
// maxOpenSteps follow as earlier ones are done.
func (p *Planner) openDueOccurrences() {
	for _, id := range slices.Sorted(maps.Keys(p.nextOccurrence)) {
		next := p.nextOccurrence[id]
		j := p.state.Jobs[id]
		if j == nil || j.Phase.IsFinal() {
			delete(p.nextOccurrence, id)
			continue
		}
		open := max(maxOpenSteps/len(j.Submission.Steps), 1)
		for next < j.OccurrenceCount() && j.DueAt(next) <= p.now && next-j.DoneOccurrences < open {
			p.queueReadySteps(j, next)
			next++
		}
		if p.nextOccurrence[id] = next; next >= j.OccurrenceCount() {
			delete(p.nextOccurrence, id)
		}
	}
}

// queueReadySteps queues the steps of an occurrence whose dependencies are done and that
// have tasks to start.
func (p *Planner) queueReadySteps(j *keeper.Job, occurrence int) {
	for i := range j.Submission.Steps {
		id := keeper.StepID{Job: j.ID, Occurrence: occurrence, Step: i}
		s := p.steps[id]
		if !p.isReady(j, id) {
			continue
		}
		if s == nil {
			s = p.newStep(j, id)
		}
		if p.pendingTasks(s) == 0 {
			continue
		}
		if p.steps[id] == nil {
			p.trackStep(s)
		}
		s.blocked = false
		p.enqueue(s)
	}
}

func (p *Planner) newStep(j *keeper.Job, id keeper.StepID) *step {
	return &step{
		id: id, job: j, spec: &j.Submission.Steps[id.Step],
		rank: rank{priority: j.Queue.Priority, id: id},
	}
}

// trackStep begins to track a step of a job that hasn't ended.
func (p *Planner) trackStep(s *step) {
	p.steps[s.id] = s
	p.stepsByJob[s.id.Job] = append(p.stepsByJob[s.id.Job], s)
}

func (p *Planner) enqueue(s *step) {
	if s.queued || s.closed {
		return
	}
	s.queued, s.queuedAt = true, p.now
	p.waiting = append(p.waiting, s)
	p.dirty = true
}

// rankInterval is how long a step's rank is kept. Ranking more often gains nothing, since
// the forecasts are rough.
const rankInterval = 50 * clock.Millisecond

// rankWaiting sorts the waiting steps by tier, then by whether their job is surplus or their
// account over its share, then by the priority of their queue, then by deadline.
func (p *Planner) rankWaiting() {
	if p.now-p.shares.at >= rankInterval {
		p.updateShares()
	}
	for _, s := range p.waiting {
		if s.rankedAt > 0 && p.now-s.rankedAt < rankInterval {
			continue
		}
		s.rankedAt = p.now
		s.rank.overShare = p.isOverShare(s)
		s.rank.surplus = p.isSurplus(s)
		if s.spec.LongRunning {
			// A long-running task is worth something while it runs, so it is never late.
			s.rank.tier, s.rank.deadline = inTime, s.queuedAt+s.job.Queue.TargetLatency
			continue
		}
		o := p.objectiveOf(s.job, s.id.Occurrence)
		s.objective = o
		s.rank.deadline = o.deadline() - p.acquisitionTime(s)
		s.rank.tier = o.tier(p.now + p.criticalPath(s.job, s.id.Step))
	}
	slices.SortFunc(p.waiting, func(a, b *step) int { return a.rank.compare(b.rank) })
}

// isReady reports whether all steps that a step depends on are done.
func (p *Planner) isReady(j *keeper.Job, id keeper.StepID) bool {
	depends := j.Submission.Steps[id.Step].DependsOn
	if len(depends) == 0 {
		return true
	}
	o := j.Occurrences[id.Occurrence]
	if o == nil {
		return false
	}
	for _, d := range depends {
		if o.Steps[d].DoneTasks < len(o.Steps[d].Tasks) {
			return false
		}
	}
	return true
}

// pending returns the tasks of a step that may be started now. For a gang it returns all of
// them or none: a gang restarts once every member's run has ended.
func (p *Planner) pending(s *step) []int {
	var list []int
	o := s.job.Occurrences[s.id.Occurrence]
	for x := range s.spec.Count {
		if o == nil {
			list = append(list, x)
			continue
		}
		t := o.Steps[s.id.Step].Tasks[x]
		switch {
		case !t.Done && len(t.LiveRuns) == 0:
			list = append(list, x)
		case s.spec.Gang:
			return nil
		}
	}
	return list
}

// pendingTasks returns the number of tasks that pending would return.
func (p *Planner) pendingTasks(s *step) int {
	st := s.state()
	if st == nil {
		return s.spec.Count
	}
	n := 0
	for _, t := range st.Tasks {
		switch {
		case !t.Done && len(t.LiveRuns) == 0:
			n++
		case s.spec.Gang:
			return 0
		}
	}
	return n
}

// state returns the step's state. It returns nil before its occurrence has begun.
func (s *step) state() *keeper.StepState {
	if o := s.job.Occurrences[s.id.Occurrence]; o != nil {
		return o.Steps[s.id.Step]
	}
	return nil
}

// nextRun returns the number of the next run of a task. The members of a gang share one.
func (s *step) nextRun(index int) int {
	st := s.state()
	switch {
	case st == nil:
		return 1
	case s.spec.Gang:
		return st.LastRun + 1
	}
	return st.Tasks[index].LastRun + 1
}

// checkpoint returns the checkpoint from which a task resumes. It is empty if the task
// starts from the beginning.
func (s *step) checkpoint(index int) string {
	st := s.state()
	switch {
	case st == nil || !s.spec.Checkpointing:
		return ""
	case s.spec.Gang:
		return st.Checkpoint
	}
	return st.Tasks[index].Checkpoint
}

// closeJob drops the steps of a job that has ended.
func (p *Planner) closeJob(id keeper.JobID) {
	j := p.state.Jobs[id]
	if j != nil && !j.Phase.IsFinal() {
		return
	}
	p.timeJob(j, p.stepsByJob[id])
	for _, s := range p.stepsByJob[id] {
		s.closed = true
		delete(p.steps, s.id)
	}
	delete(p.stepsByJob, id)
	delete(p.forecasts, id)
	delete(p.begun, id)
	delete(p.nextOccurrence, id)
	p.entitlements.remove(id)
}
