package planner

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/predictor"
)

// Learner is a keeper.Observer that feeds a predictor with the ends of runs. Each instance
// that applies the log has one, so that a new leader knows what its predecessor knew.
type Learner struct{ predictor *predictor.Predictor }

var _ keeper.Observer = (*Learner)(nil)

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner { return &Learner{predictor: predictor.New()} }

// Clone implements keeper.Observer.
func (l *Learner) Clone() keeper.Observer { return &Learner{predictor: l.predictor.Clone()} }

// expiryDelay is how long a run that expires may have been over before: until its lease has
// expired and the lease's end is certain, nobody knows whether it still runs.
const expiryDelay = 6500 * clock.Millisecond

// ObserveRunEnd implements keeper.Observer. Runs that resumed, failed or may not have run
// say nothing about the time of a task.
func (l *Learner) ObserveRunEnd(end keeper.RunEnd) {
	if end.EndedAt == 0 || end.Resumed || end.Step.LongRunning {
		return
	}
	o := predictor.Observation{
		Task: taskOf(end.Job, end.Step, end.Task.Step), Upstream: end.Upstream, Members: end.Members,
		Took: end.EndedAt - end.StartedAt, At: end.EndedAt,
	}
	switch end.Outcome {
	case keeper.RunDone:
	case keeper.RunStopped, keeper.RunGangBroken:
		o.Censored = true
	case keeper.RunExpired:
		o.Censored = true
		o.Took -= expiryDelay
	default:
		return
	}
	l.predictor.Observe(o)
}

// taskOf describes the tasks of a step to the predictor.
func taskOf(j *keeper.Job, step *keeper.Step, index int) predictor.Task {
	return predictor.Task{
		Queue: j.Queue.Name, Account: j.Account, Step: predictor.StepID{Job: string(j.ID), Index: index},
		Count: step.Count, Gang: step.Gang,
		Image: step.Image, Need: step.Need, Estimate: step.Estimate,
	}
}
