package planner

import (
	"math"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

// priorWeight is the weight of the client's estimate, as a number of runs, in the slope of
// a forecast. Few runs say little about the slope.
const priorWeight = 20

// forecast predicts the running times of a queue's tasks from the clients' estimates, which
// may be far off. It is a linear regression of the logarithms. Where the estimates carry no
// information, the slope is near 0 and the forecast is the usual time.
type forecast struct {
	n            float64
	meanX, meanY float64
	varX, covXY  float64
}

// add adds a run that took a known time without an interruption.
func (f *forecast) add(estimate, took clock.Millis) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(float64(estimate)), math.Log(float64(took))
	f.n++
	dx := x - f.meanX
	f.meanX += dx / f.n
	f.meanY += (y - f.meanY) / f.n
	f.varX += dx * (x - f.meanX)
	f.covXY += dx * (y - f.meanY)
}

// predict returns the predicted running time of a task. Without any run it returns the
// estimate.
func (f *forecast) predict(estimate clock.Millis) clock.Millis {
	if estimate <= 0 || f == nil || f.n < 1 {
		return estimate
	}
	// The prior assumes that the estimate is right, with a spread of about a factor of e.
	slope := (f.covXY + priorWeight) / (f.varX + priorWeight)
	slope = min(max(slope, 0), 1)
	x := math.Log(float64(estimate))
	y := f.meanY + slope*(x-f.meanX)
	weight := f.n / (f.n + 1)
	return clock.Millis(math.Exp(weight*y + (1-weight)*x))
}

// forecastOf returns the forecast of a job's queue.
func (p *Planner) forecastOf(j *keeper.Job) *forecast {
	f := p.forecasts[j.Queue.Name]
	if f == nil {
		f = &forecast{}
		p.forecasts[j.Queue.Name] = f
	}
	return f
}

// predictStep returns the predicted running time of a task of a step; 0 for a step that runs
// until its job is cancelled.
func (p *Planner) predictStep(s *step) clock.Millis {
	if s.spec.LongRunning {
		return 0
	}
	return p.forecastOf(s.job).predict(s.spec.Estimate)
}

// objectiveRequestSize is the number of upstreams per ticket request that the platform
// assumes when it determines a job's objective.
const objectiveRequestSize = 30

// criticalPath returns the predicted time of the longest chain of dependent steps that
// begins with the given step, or of the longest chain of all if from is -1.
func (p *Planner) criticalPath(j *keeper.Job, from int) clock.Millis {
	f := p.forecastOf(j)
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
			ends[i] = start + advice + f.predict(s.Estimate)
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
