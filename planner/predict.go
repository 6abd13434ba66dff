package planner

import (
	"math"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

// priorRuns is how many runs the client's estimate counts for, beside those
// that were seen, in the slope of a forecast. Few runs say little.
const priorRuns = 20

// forecast predicts how long a queue's tasks take from the clients' estimates,
// which may be far off: a linear regression of the logarithms. Where estimates
// say nothing the slope is near 0 and the forecast is the usual time.
type forecast struct {
	n            float64
	meanX, meanY float64
	varX, covXY  float64
}

// see adds a run that took a known time without a break.
func (f *forecast) see(estimate, took clock.Millis) {
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

// predict returns how long a task will take.
func (f *forecast) predict(estimate clock.Millis) clock.Millis {
	if estimate <= 0 || f == nil || f.n < 1 {
		return estimate
	}
	// The prior takes the estimate at its word, with a spread of about one
	// factor of e.
	slope := (f.covXY + priorRuns) / (f.varX + priorRuns)
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

// chainWorkers is how many upstreams a question for advice names in the
// platform's reckoning of a job's objective.
const chainWorkers = 30

// chain returns the predicted time of the longest chain of steps that begins
// with the given step, or the longest of all for -1.
func (p *Planner) chain(j *keeper.Job, from int) clock.Millis {
	f := p.forecastOf(j)
	advice := clock.Millis(0)
	if j.Queue.RequiresTicket {
		advice = clock.Millis(j.Queue.AdviceBase + chainWorkers*j.Queue.AdvicePerUpstream)
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

// tier says what a step's job can still earn.
type tier int

const (
	// inTime: it can end within its objective.
	inTime tier = iota
	// late: it can end within three times its objective, which earns a part.
	late
	// worthless: it earns nothing any more, but has to end.
	worthless
)

// lateFactor is up to how many times the objective a job earns a part; the
// platform's rules give it.
const lateFactor = 3

// goal is when an occurrence has to end to earn.
type goal struct{ from, objective clock.Millis }

func (p *Planner) goalOf(j *keeper.Job, occurrence int) goal {
	from := j.AcceptedAt
	if due := j.DueAt(occurrence); due > 0 {
		from = due
	}
	return goal{from, j.Queue.TargetLatency + clock.Millis(j.Queue.Stretch*float64(p.chain(j, -1)))}
}

func (g goal) deadline() clock.Millis { return g.from + g.objective }

func (g goal) tier(end clock.Millis) tier {
	switch {
	case end <= g.deadline():
		return inTime
	case end <= g.from+lateFactor*g.objective:
		return late
	}
	return worthless
}
