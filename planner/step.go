package planner

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

// step is a step of an occurrence that has tasks to start.
type step struct {
	id   keeper.StepID
	job  *keeper.Job
	spec *keeper.Step
	rank rank
	// rankedAt is when rank was determined last.
	rankedAt clock.Millis
	// queued: it stands in the planner's waiting list, since queuedAt.
	queued   bool
	queuedAt clock.Millis
	closed   bool
	// retryAt holds a step back after its starts went wrong.
	retryAt clock.Millis
	advice  *advice
	// blocked: it found no room, and is tried again at recheckAt unless something
	// changes for it first. capped: its account's maximum was in the way.
	blocked, capped bool
	recheckAt       clock.Millis
	// held is the room that it keeps from the steps that come after it; booking:
	// it does so as a gang that waits for more.
	held    []claimed
	booking bool
	// mayBook: it is one of the gangs that may do so in this pass.
	mayBook bool
	// claim is the room that others were told to make for it; claimAt is when
	// to look for some again.
	claim   *claim
	claimAt clock.Millis
	// timings are the tasks that have ended well, until all have.
	timings []timing
}

// rank orders the steps that wait.
type rank struct {
	tier tier
	// over: the work is a surplus of its account; see isOver.
	over     bool
	priority int
	deadline clock.Millis
	id       keeper.StepID
}

func (a rank) compare(b rank) int {
	switch {
	case a.tier != b.tier:
		return int(a.tier - b.tier)
	case a.over != b.over:
		if b.over {
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

// open takes a job's first steps into the waiting list.
func (p *Planner) open(j *keeper.Job) {
	p.urgent.see(j)
	p.seeGangs(j)
	if j.Submission.Repeat == 0 {
		p.refresh(j, 0)
		return
	}
	for k := range j.Occurrences {
		p.refresh(j, k)
	}
	p.timed[j.ID] = 0
}

// openDue opens the occurrences whose time has come.
func (p *Planner) openDue() {
	for _, id := range slices.Sorted(maps.Keys(p.timed)) {
		next := p.timed[id]
		j := p.state.Jobs[id]
		if j == nil || j.Phase.IsFinal() {
			delete(p.timed, id)
			continue
		}
		for next < j.Total() && j.DueAt(next) <= p.now {
			p.refresh(j, next)
			next++
		}
		if p.timed[id] = next; next >= j.Total() {
			delete(p.timed, id)
		}
	}
}

// refresh queues the steps of an occurrence that have tasks to start.
func (p *Planner) refresh(j *keeper.Job, occurrence int) {
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
			p.steps[id] = s
			p.byJob[j.ID] = append(p.byJob[j.ID], s)
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

func (p *Planner) enqueue(s *step) {
	if s.queued || s.closed {
		return
	}
	s.queued, s.queuedAt = true, p.now
	p.waiting = append(p.waiting, s)
	p.dirty = true
}

// rankEvery is how long a step's rank holds: what it says of time is as rough as
// the forecast of its tasks.
const rankEvery = 50 * clock.Millisecond

// order ranks the waiting steps by what they can still earn, then by whether their
// account has its share already, then by their queue's priority, then by their deadline.
func (p *Planner) order() {
	if p.now-p.shares.at >= rankEvery {
		p.updateShares()
	}
	for _, s := range p.waiting {
		if s.rankedAt > 0 && p.now-s.rankedAt < rankEvery {
			continue
		}
		s.rankedAt = p.now
		s.rank.over = p.isOver(s)
		if s.spec.LongRunning {
			// It earns for as long as it runs, so that it is never too late.
			s.rank.tier, s.rank.deadline = inTime, s.queuedAt+s.job.Queue.TargetLatency
			continue
		}
		g := p.goalOf(s.job, s.id.Occurrence)
		s.rank.deadline = g.deadline()
		s.rank.tier = g.tier(p.now + p.chain(s.job, s.id.Step))
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

// pending returns the tasks of a step that may be started now. A gang's are all
// of them or none: it starts anew once every member's run has ended.
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

// pendingTasks counts the tasks that may be started now.
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

// state returns the step's state; nil before its occurrence has begun.
func (s *step) state() *keeper.StepState {
	if o := s.job.Occurrences[s.id.Occurrence]; o != nil {
		return o.Steps[s.id.Step]
	}
	return nil
}

// nextRun returns the number for the next run of a task; a gang's members share
// one.
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

// checkpoint returns what a task goes on from.
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
	for _, s := range p.byJob[id] {
		s.closed = true
		delete(p.steps, s.id)
	}
	delete(p.byJob, id)
	delete(p.timed, id)
}
