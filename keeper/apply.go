package keeper

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// ApplyCommand applies one command.
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
		s.acceptJob(c)
	case EndJob:
		s.endJob(c)
	case ForgetJob:
		delete(s.Jobs, c.ID)
	case StartRun:
		s.startRun(c)
	case EndRun:
		s.endRun(c)
	case SaveCheckpoint:
		s.saveCheckpoint(c)
	case AckEnds:
		s.ackEnds(c.Upstream, c.Incarnation, c.EndSeq)
	case SetEvacuation:
		s.setEvacuation(c)
	}
}

func (s *State) setUpstream(u Upstream) {
	current := s.Upstreams[u.ID]
	if current == nil {
		s.Upstreams[u.ID] = &UpstreamState{Upstream: u, Runs: map[RunKey]Allocation{}}
		return
	}
	if current.Incarnation == u.Incarnation {
		u.AckedEndSeq = current.AckedEndSeq
	}
	current.Upstream = u
}

// removeUpstream ends the runs of an incarnation. The upstream itself stays if it
// has a newer incarnation.
func (s *State) removeUpstream(c RemoveUpstream) {
	if c.EndedIncarnation > 0 {
		s.EndedIncarnations[c.ID] = max(s.EndedIncarnations[c.ID], c.EndedIncarnation)
		s.trimEndedIncarnations()
	}
	u := s.Upstreams[c.ID]
	if u == nil {
		return
	}
	for _, k := range u.SortedRuns() {
		if u.Runs[k].Incarnation == c.Incarnation {
			s.endRun(EndRun{Task: k.Task, Number: k.Number, Upstream: c.ID, Incarnation: c.Incarnation, Outcome: RunExpired})
		}
	}
	if u.Incarnation == c.Incarnation && len(u.Runs) == 0 {
		delete(s.Upstreams, c.ID)
	}
}

// maxEndedIncarnations bounds EndedIncarnations. It covers the restarts of some
// days; a late report arrives within seconds.
const maxEndedIncarnations = 4096

// trimEndedIncarnations drops the oldest incarnation if there are too many.
func (s *State) trimEndedIncarnations() {
	if len(s.EndedIncarnations) <= maxEndedIncarnations {
		return
	}
	var oldest unit.Upstream
	for id, incarnation := range s.EndedIncarnations {
		if lowest, found := s.EndedIncarnations[oldest]; !found || incarnation < lowest || incarnation == lowest && id < oldest {
			oldest = id
		}
	}
	delete(s.EndedIncarnations, oldest)
}

func (s *State) acceptJob(c AcceptJob) {
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

// finish ends a job. Its tasks are kept while any of them has a live run.
func (j *Job) finish(p Phase, at clock.Millis) {
	j.Phase, j.EndedAt = p, at
	j.Submission.Spec = ""
	j.trim()
}

// trim drops the steps and tasks of a job that has ended and has no live run.
func (j *Job) trim() {
	if j.Phase.IsFinal() && j.LiveRunCount == 0 {
		j.Occurrences = nil
		j.Submission.Steps = nil
	}
}

// occurrence returns an occurrence and creates it if it hasn't begun. The job must
// not have ended.
func (j *Job) occurrence(number int) *Occurrence {
	if o := j.Occurrences[number]; o != nil {
		return o
	}
	o := &Occurrence{Steps: make([]*StepState, len(j.Submission.Steps))}
	for i, st := range j.Submission.Steps {
		o.Steps[i] = &StepState{Tasks: make([]*Task, st.Count)}
		for index := range o.Steps[i].Tasks {
			o.Steps[i].Tasks[index] = &Task{}
		}
	}
	j.Occurrences[number] = o
	return o
}

func (s *State) startRun(c StartRun) {
	j := s.Jobs[c.Task.Job]
	if j == nil || j.Phase.IsFinal() {
		return
	}
	st := j.occurrence(c.Task.Occurrence).Steps[c.Task.Step]
	t := st.Tasks[c.Task.Index]
	t.LastRun = max(t.LastRun, c.Number)
	st.LastRun = max(st.LastRun, c.Number)
	r := &Run{Number: c.Number, Upstream: c.Upstream, Incarnation: c.Incarnation, StartedAt: c.At}
	t.LiveRuns = append(t.LiveRuns, r)
	j.LiveRunCount++
	s.charge(j, c.Task, r)
}

// LookupTask returns a task with its job and step. The job is nil if it is unknown;
// the step and the task are nil if they don't exist or were dropped.
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

func (s *State) endRun(c EndRun) {
	s.ackEnds(c.Upstream, c.Incarnation, c.EndSeq)
	j, st, t := s.LookupTask(c.Task)
	if t == nil {
		return
	}
	i := slices.IndexFunc(t.LiveRuns, func(r *Run) bool {
		return r.Number == c.Number && r.Upstream == c.Upstream && r.Incarnation == c.Incarnation
	})
	if i < 0 {
		if s.IsLateCompletion(c.Task, c.Number, c.Outcome) {
			s.recordOutcome(j, st, t, c)
			j.trim()
		}
		return
	}
	s.notifyObserver(j, st, t, t.LiveRuns[i], c)
	t.LiveRuns = slices.Delete(t.LiveRuns, i, i+1)
	j.LiveRunCount--
	s.release(j, c)
	s.recordOutcome(j, st, t, c)
	j.trim()
}

// IsLateCompletion reports whether the outcome of a run that isn't live any more
// completes its task. This happens if the upstream was considered lost although it
// had already finished the run. While another run is live, the outcome of that run
// counts instead.
func (s *State) IsLateCompletion(id TaskID, number int, outcome RunOutcome) bool {
	j, st, t := s.LookupTask(id)
	if t == nil || outcome != RunDone || t.Done || number > t.LastRun || j.Phase.IsFinal() {
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

// release subtracts the need of an ended run from Used of its upstream and account.
func (s *State) release(j *Job, c EndRun) {
	if u := s.Upstreams[c.Upstream]; u != nil {
		key := RunKey{Task: c.Task, Number: c.Number}
		if allocation, ok := u.Runs[key]; ok {
			u.Used = u.Used.Sub(allocation.Need)
			delete(u.Runs, key)
		}
	}
	remaining := s.Used[j.Account].Sub(s.NeedOf(&j.Submission.Steps[c.Task.Step]))
	if remaining.IsZero() {
		delete(s.Used, j.Account)
		return
	}
	s.Used[j.Account] = remaining
}

// recordOutcome records the effect of a run's outcome on its task.
func (s *State) recordOutcome(j *Job, st *StepState, t *Task, c EndRun) {
	step := &j.Submission.Steps[c.Task.Step]
	if c.Outcome != RunLost && !j.Phase.IsFinal() {
		j.Phase = Running
	}
	if c.Checkpoint != "" && c.Outcome != RunDone {
		t.Checkpoint = c.Checkpoint
		st.Checkpoint = c.Checkpoint
	}
	switch {
	case c.Outcome == RunDone && !step.LongRunning:
		s.markDone(j, st, t, c, step)
	case c.Outcome == RunFailed && !step.LongRunning:
		t.Failures++
		if step.Gang && st.LastFailedRun < c.Number {
			st.LastFailedRun = c.Number
			st.Failures++
		}
	}
}

func (s *State) markDone(j *Job, st *StepState, t *Task, c EndRun, step *Step) {
	if step.Gang {
		// Gang members end together, so one that is done completes all.
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

// stepDone updates the occurrence and the job after a step has become done.
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
	if j.DoneOccurrences >= j.OccurrenceCount() {
		j.finish(Completed, c.At)
	}
}

func (s *State) saveCheckpoint(c SaveCheckpoint) {
	if _, st, t := s.LookupTask(c.Task); t != nil {
		t.Checkpoint = c.Checkpoint
		st.Checkpoint = c.Checkpoint
	}
}

// ackEnds records that the ends of an upstream's incarnation up to seq are handled.
func (s *State) ackEnds(id unit.Upstream, incarnation Incarnation, seq int64) {
	if u := s.Upstreams[id]; u != nil && u.Incarnation == incarnation {
		u.AckedEndSeq = max(u.AckedEndSeq, seq)
	}
}
