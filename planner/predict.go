package planner

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

// predictStep returns the predicted running time of a task of a step; 0 for a step that runs
// until its job is cancelled.
func (p *Planner) predictStep(s *step) clock.Millis {
	if s.spec.LongRunning {
		return 0
	}
	return p.forecastOf(s.job).medians[s.id.Step]
}

// objectiveRequestSize is the number of upstreams per ticket request that the platform
// assumes when it determines a job's objective.
const objectiveRequestSize = 30

// criticalPath returns the predicted time of the longest chain of dependent steps that
// begins with the given step, or of the longest chain of all if from is -1.
func (p *Planner) criticalPath(j *keeper.Job, from int) clock.Millis {
	medians := p.forecastOf(j).medians
	advice := clock.Millis(0)
	if j.Queue.RequiresTicket {
		advice = clock.Millis(j.Queue.AdviceBaseMillis + objectiveRequestSize*j.Queue.AdvicePerUpstreamMillis)
	}
	ends := make([]clock.Millis, len(j.Submission.Steps))
	var longest clock.Millis
	for i, s := range j.Submission.Steps {
		start := clock.Millis(0)
		onChain := from < 0 || i == from
		for _, d := range s.DependsOn {
			if ends[d] > 0 {
				onChain = true
				start = max(start, ends[d])
			}
		}
		if onChain {
			ends[i] = start + advice + medians[i]
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// tier classifies a step by whether its job can still end within its objective.
type tier int

const (
	// inTime is the tier of jobs that can end within their objective.
	inTime tier = iota
	// late is the tier of jobs that can only end within lateFactor times their objective,
	// and so earn only a part of their worth.
	late
	// worthless is the tier of later jobs, which earn nothing any more but still have to
	// end.
	worthless
)

// lateFactor times its objective is the time within which a job still earns a part of
// its worth, by the platform's rules.
const lateFactor = 3

// objective is the start and the duration of the time within which an occurrence has to
// end.
type objective struct{ start, duration clock.Millis }

func (p *Planner) objectiveOf(j *keeper.Job, occurrence int) objective {
	start := j.AcceptedAt
	if due := j.DueAt(occurrence); due > 0 {
		start = due
	}
	return objective{start, j.Queue.TargetLatency + clock.Millis(j.Queue.Stretch*float64(p.criticalPath(j, -1)))}
}

func (o objective) deadline() clock.Millis { return o.start + o.duration }

func (o objective) tier(end clock.Millis) tier {
	switch {
	case end <= o.deadline():
		return inTime
	case end <= o.start+lateFactor*o.duration:
		return late
	}
	return worthless
}
