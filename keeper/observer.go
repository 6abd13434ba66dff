package keeper

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// RunEnd is the end of a live run of a task that wasn't done. An observer must not keep
// or change what it refers to.
type RunEnd struct {
	Job      *Job
	Step     *Step
	Task     TaskID
	Number   int
	Upstream unit.Upstream
	// Members are the upstreams of all members of a gang whose first member has ended as
	// done. It is empty for other ends.
	Members []unit.Upstream
	// StartedAt and EndedAt are the times of the commands that recorded the start and the
	// end. EndedAt is 0 if the end has no time, as for the runs of a removed upstream.
	StartedAt, EndedAt clock.Millis
	Outcome            RunOutcome
	// Resumed is set if the run may have started from a checkpoint.
	Resumed bool
}

// Observer learns from the ends of runs as commands are applied. Replicas that apply the
// same commands call it with the same ends in the same order.
type Observer interface {
	ObserveRunEnd(end RunEnd)
	// Clone returns an independent copy.
	Clone() Observer
}

// notifyObserver tells the observer that a live run ends. It must be called before the
// command changes the task.
func (s *State) notifyObserver(j *Job, st *StepState, t *Task, r *Run, c EndRun) {
	if s.Observer == nil || t.Done {
		return
	}
	step := &j.Submission.Steps[c.Task.Step]
	checkpoint := t.Checkpoint
	if step.Gang {
		checkpoint = st.Checkpoint
	}
	end := RunEnd{
		Job: j, Step: step, Task: c.Task, Number: c.Number, Upstream: c.Upstream,
		StartedAt: r.StartedAt, EndedAt: c.At, Outcome: c.Outcome,
		Resumed: step.Checkpointing && c.Number > 1 && checkpoint != "",
	}
	if step.Gang && c.Outcome == RunDone {
		for _, member := range st.Tasks {
			for _, o := range member.LiveRuns {
				if o.Number == c.Number {
					end.Members = append(end.Members, o.Upstream)
				}
			}
		}
	}
	s.Observer.ObserveRunEnd(end)
}
