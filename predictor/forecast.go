package predictor

import (
	"math"

	"github.com/chervilvane/chervilvane/clock"
)

// Forecast is the distribution of a task's running time. The zero Forecast knows nothing.
type Forecast struct {
	normal
	// upper scales the upper half of the distribution.
	upper float64
	// Weight is the weight of the observations behind the forecast, in steps. Siblings is
	// the weight of those from the same step, in tasks.
	Weight, Siblings float64
	known            bool
}

// Running is a live run of a step.
type Running struct {
	Elapsed  clock.Millis
	Slowness Slowness
}

// Forecast returns the distribution of a task's running time on an upstream of usual speed.
// running are the live runs of the step, which take longer than they have run so far.
// Without them the first ends would make the others look short.
func (p *Predictor) Forecast(t Task, running []Running) Forecast {
	q, _ := p.queues.Peek(t.Queue)
	prior, weight, known := p.prior(&t, q)
	if !known {
		return Forecast{}
	}
	f := Forecast{upper: 1, Weight: weight, known: true}
	within := q.withinVariance()
	e, _ := p.steps.Peek(t.Step)
	step := withStep(prior, within, e)
	if e != nil {
		f.Siblings = e.weight
	}
	if len(running) > 0 {
		step = step.withRunning(within, running)
	}
	if q != nil {
		// The share of the step in the forecast decides between the two scales.
		share := f.Siblings / (f.Siblings + within/max(prior.variance-within, minSpread*minSpread))
		f.upper = math.Pow(float64(q.upper), 1-share) * math.Pow(float64(q.siblingUpper), share)
	}
	f.normal = normal{step.mean, step.variance + within}
	return f
}

// runningIterations is the number of Newton iterations for live runs. The logarithm of the
// likelihood is concave, so that few suffice.
const runningIterations = 3

// withRunning adds live runs to the distribution of a step's mean, as censored observations.
func (n normal) withRunning(within float64, running []Running) normal {
	spread, precision := math.Sqrt(within), 1/n.variance
	m, information := n.mean, precision
	for range runningIterations {
		gradient := (n.mean - m) * precision
		information = precision
		for _, r := range running {
			z := (math.Log(float64(max(r.Elapsed, 1))) - r.Slowness.mean - m) / spread
			if z < -3 {
				continue
			}
			h := hazard(z)
			gradient += h / spread
			information += max(h*(h-z), 0) / within
		}
		m += gradient / information
	}
	return normal{m, 1 / information}
}

// On returns the forecast for an upstream.
func (f Forecast) On(s Slowness) Forecast {
	f.mean += s.mean
	f.variance += s.variance
	return f
}

// IsKnown reports whether the forecast knows anything.
func (f Forecast) IsKnown() bool { return f.known }

// Spread returns the standard deviation of the logarithm of the time.
func (f Forecast) Spread() float64 { return math.Sqrt(f.variance) }

// maxLog bounds the logarithm of a predicted time, to about 30 years in milliseconds.
const maxLog = 27.5

// Quantile returns the time within which the task ends with probability q. It returns 0 if
// nothing is known.
func (f Forecast) Quantile(q float64) clock.Millis {
	if !f.known {
		return 0
	}
	return f.at(math.Sqrt2 * math.Erfinv(2*q-1))
}

// Median returns Quantile(0.5).
func (f Forecast) Median() clock.Millis {
	if !f.known {
		return 0
	}
	return f.at(0)
}

// at returns the time at z standard deviations.
func (f Forecast) at(z float64) clock.Millis {
	if z > 0 {
		z *= f.upper
	}
	return clock.Millis(math.Exp(min(f.mean+z*math.Sqrt(f.variance), maxLog)))
}

// Survival returns the probability that the task takes longer than a time.
func (f Forecast) Survival(time clock.Millis) float64 {
	if !f.known || time <= 0 {
		return 1
	}
	z := (math.Log(float64(time)) - f.mean) / math.Sqrt(f.variance)
	if z > 0 {
		z /= f.upper
	}
	return survival(z)
}

// Remaining returns the time within which a task that has run for some time ends with
// probability q.
func (f Forecast) Remaining(elapsed clock.Millis, q float64) clock.Millis {
	if !f.known {
		return 0
	}
	longer := f.Survival(elapsed) * (1 - q)
	if longer < 1e-300 {
		return 0
	}
	return max(f.at(math.Sqrt2*math.Erfcinv(2*longer))-elapsed, 0)
}

// WithTotal adds the total time that the task's own progress suggests. spread is the
// standard deviation of its logarithm.
func (f Forecast) WithTotal(total clock.Millis, spread float64) Forecast {
	if total <= 0 || spread <= 0 {
		return f
	}
	y, precision := math.Log(float64(total)), 1/(spread*spread)
	if !f.known {
		return Forecast{normal: normal{y, spread * spread}, upper: 1, known: true}
	}
	sum := 1/f.variance + precision
	f.mean, f.variance = (f.mean/f.variance+y*precision)/sum, 1/sum
	return f
}
