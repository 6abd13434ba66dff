package keeper

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// ApplyCommand records a fact.
func (s *State) ApplyCommand(c Command) {
	switch c := c.(type) {
	case SetConfig:
		if c.Config.Version > s.Config.Version {
			s.Config = c.Config
		}
	case SetUpstream:
		s.setUpstream(c.Upstream)
	case RemoveUpstream:
		s.removeUpstream(c)
	case AcceptJob:
		s.accept(c)
	case EndJob:
		s.endJob(c)
	case ForgetJob:
		delete(s.Jobs, c.ID)
	case StartRun:
		s.start(c)
	case EndRun:
		s.end(c)
	case SaveCheckpoint:
		s.save(c)
	case AckEnds:
		s.note(c.Upstream, c.Incarnation, c.EndSeq)
	}
}

func (s *State) setUpstream(u Upstream) {
	h := s.Upstreams[u.ID]
	if h == nil {
		s.Upstreams[u.ID] = &UpstreamState{Upstream: u, Runs: map[RunKey]Allocation{}}
		return
	}
	if h.Incarnation == u.Incarnation {
		u.AckedEndSeq = h.AckedEndSeq
	}
	h.Upstream = u
}

// removeUpstream ends the runs of a life. The upstream itself stays if it has
// begun a new life.
func (s *State) removeUpstream(c RemoveUpstream) {
	if c.EndedIncarnation > 0 {
		s.EndedIncarnations[c.ID] = max(s.EndedIncarnations[c.ID], c.EndedIncarnation)
		s.trimOver()
	}
	h := s.Upstreams[c.ID]
	if h == nil {
		return
	}
	for _, k := range h.SortedRuns() {
		if h.Runs[k].Incarnation == c.Incarnation {
			s.end(EndRun{Task: k.Task, Number: k.Number, Upstream: c.ID, Incarnation: c.Incarnation, Outcome: RunExpired})
		}
	}
	if h.Incarnation == c.Incarnation && len(h.Runs) == 0 {
		delete(s.Upstreams, c.ID)
	}
}

// maxOver bounds the former upstreams that are remembered: some days' worth of
// restarts. A late report comes within seconds.
const maxOver = 4096

// trimOver forgets the former upstream whose life began first.
func (s *State) trimOver() {
	if len(s.EndedIncarnations) <= maxOver {
		return
	}
	var oldest unit.Upstream
	for id, life := range s.EndedIncarnations {
		if o, found := s.EndedIncarnations[oldest]; !found || life < o || life == o && id < oldest {
			oldest = id
		}
	}
	delete(s.EndedIncarnations, oldest)
}

func (s *State) accept(c AcceptJob) {
	if s.Jobs[c.ID] != nil {
		return
	}
	s.Jobs[c.ID] = &Job{
		ID: c.ID, Account: c.Account, Queue: c.Queue, Submission: c.Submission, AcceptedAt: c.At,
		Occurrences: map[int]*Occurrence{},
	}
}

func (s *State) endJob(c EndJob) {
	j := s.Jobs[c.ID]
	if j == nil || j.Phase.IsFinal() {
		return
	}
	j.finish(c.Phase, c.At)
}

// finish ends a job. Its tasks are kept while some of them have live runs.
func (j *Job) finish(p Phase, at clock.Millis) {
	j.Phase, j.EndedAt = p, at
	j.Submission.Spec = ""
	j.trim()
}

// trim drops what an ended job without live runs doesn't need.
func (j *Job) trim() {
	if j.Phase.IsFinal() && j.LiveRunCount == 0 {
		j.Occurrences = nil
		j.Submission.Steps = nil
	}
}

// Occurrence returns an occurrence, making it if it hasn't begun. It is nil for
// a job that has ended.
func (j *Job) occurrence(k int) *Occurrence {
	if o := j.Occurrences[k]; o != nil {
		return o
	}
	o := &Occurrence{Steps: make([]*StepState, len(j.Submission.Steps))}
	for i, st := range j.Submission.Steps {
		o.Steps[i] = &StepState{Tasks: make([]*Task, st.Count)}
		for x := range o.Steps[i].Tasks {
			o.Steps[i].Tasks[x] = &Task{}
		}
	}
	j.Occurrences[k] = o
	return o
}

func (s *State) start(c StartRun) {
	j := s.Jobs[c.Task.Job]
	if j == nil || j.Phase.IsFinal() {
		return
	}
	st := j.occurrence(c.Task.Occurrence).Steps[c.Task.Step]
	t := st.Tasks[c.Task.Index]
	t.LastRun = max(t.LastRun, c.Number)
	st.LastRun = max(st.LastRun, c.Number)
	r := &Run{Number: c.Number, Upstream: c.Upstream, Incarnation: c.Incarnation, At: c.At}
	t.LiveRuns = append(t.LiveRuns, r)
	j.LiveRunCount++
	j.Phase = Running
	s.hold(j, c.Task, r)
}

// LookupTask returns a task; nil if the job isn't known or nothing of it is kept.
func (s *State) LookupTask(id TaskID) (*Job, *StepState, *Task) {
	j := s.Jobs[id.Job]
	if j == nil || j.Occurrences[id.Occurrence] == nil {
		return j, nil, nil
	}
	steps := j.Occurrences[id.Occurrence].Steps
	if id.Step < 0 || id.Step >= len(steps) || id.Index < 0 || id.Index >= len(steps[id.Step].Tasks) {
		return j, nil, nil
	}
	return j, steps[id.Step], steps[id.Step].Tasks[id.Index]
}

func (s *State) end(c EndRun) {
	s.note(c.Upstream, c.Incarnation, c.EndSeq)
	j, st, t := s.LookupTask(c.Task)
	if t == nil {
		return
	}
	i := slices.IndexFunc(t.LiveRuns, func(r *Run) bool {
		return r.Number == c.Number && r.Upstream == c.Upstream && r.Incarnation == c.Incarnation
	})
	if i < 0 {
		if s.IsLateCompletion(c.Task, c.Number, c.Outcome) {
			s.judge(j, st, t, c)
			j.trim()
		}
		return
	}
	t.LiveRuns = slices.Delete(t.LiveRuns, i, i+1)
	j.LiveRunCount--
	s.release(j, c)
	s.judge(j, st, t, c)
	j.trim()
}

// IsLateCompletion reports whether the end of a run that isn't live any more says that
// its task is done: the upstream was taken for lost, and had carried it out before.
// While another run is live its own end counts.
func (s *State) IsLateCompletion(id TaskID, number int, how RunOutcome) bool {
	j, st, t := s.LookupTask(id)
	if t == nil || how != RunDone || t.Done || number > t.LastRun || j.Phase.IsFinal() {
		return false
	}
	step := &j.Submission.Steps[id.Step]
	if step.LongRunning {
		return false
	}
	if step.Gang {
		return !slices.ContainsFunc(st.Tasks, func(o *Task) bool { return len(o.LiveRuns) > 0 })
	}
	return len(t.LiveRuns) == 0
}

// release gives back what a run took.
func (s *State) release(j *Job, c EndRun) {
	if h := s.Upstreams[c.Upstream]; h != nil {
		key := RunKey{Task: c.Task, Number: c.Number}
		if held, ok := h.Runs[key]; ok {
			h.Used = h.Used.Sub(held.Need)
			delete(h.Runs, key)
		}
	}
	left := s.Used[j.Account].Sub(s.NeedOf(&j.Submission.Steps[c.Task.Step]))
	if left.IsZero() {
		delete(s.Used, j.Account)
		return
	}
	s.Used[j.Account] = left
}

// judge records what an end says of the task.
func (s *State) judge(j *Job, st *StepState, t *Task, c EndRun) {
	step := &j.Submission.Steps[c.Task.Step]
	if c.Checkpoint != "" && c.Outcome != RunDone {
		t.Checkpoint = c.Checkpoint
		st.Checkpoint = c.Checkpoint
	}
	switch {
	case c.Outcome == RunDone && !step.LongRunning:
		s.done(j, st, t, c, step)
	case c.Outcome == RunFailed && !step.LongRunning:
		t.Failures++
		if step.Gang && st.LastFailed < c.Number {
			st.LastFailed = c.Number
			st.Failures++
		}
	}
}

func (s *State) done(j *Job, st *StepState, t *Task, c EndRun, step *Step) {
	if step.Gang {
		// The members end together, so one end speaks for all.
		for _, other := range st.Tasks {
			if !other.Done {
				other.Done = true
				st.DoneTasks++
			}
		}
	} else if !t.Done {
		t.Done = true
		st.DoneTasks++
	} else {
		return
	}
	if st.DoneTasks < len(st.Tasks) || j.Phase.IsFinal() {
		return
	}
	s.stepDone(j, c)
}

// stepDone counts a step that has just become done.
func (s *State) stepDone(j *Job, c EndRun) {
	o := j.Occurrences[c.Task.Occurrence]
	done := 0
	for _, st := range o.Steps {
		if st.DoneTasks == len(st.Tasks) {
			done++
		}
	}
	if o.DoneSteps == done {
		return
	}
	o.DoneSteps = done
	if done < len(o.Steps) {
		return
	}
	j.DoneOccurrences++
	if j.DoneOccurrences >= j.Total() {
		j.finish(Completed, c.At)
	}
}

func (s *State) save(c SaveCheckpoint) {
	if _, st, t := s.LookupTask(c.Task); t != nil {
		t.Checkpoint = c.Checkpoint
		st.Checkpoint = c.Checkpoint
	}
}

func (s *State) note(id unit.Upstream, life Incarnation, number int64) {
	if h := s.Upstreams[id]; h != nil && h.Incarnation == life {
		h.AckedEndSeq = max(h.AckedEndSeq, number)
	}
}
