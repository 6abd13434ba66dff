package predictor

import (
	"math"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// regressionWindow is the weight over which a regression is averaged, in steps.
	regressionWindow = 200
	// slopeWeight is the weight of the client's estimate in the slope, in steps. Few steps
	// say little about the slope.
	slopeWeight = 8
)

// regression is a linear regression of the logarithm of the time on that of the client's
// estimate. Where estimates carry no information, the slope is near 0 and the prediction is
// the usual time. Old observations fade.
type regression struct{ weight, meanX, meanY, varX, covXY float64 }

func (r *regression) add(x, y, weight float64) {
	if r.weight == 0 {
		*r = regression{weight: weight, meanX: x, meanY: y}
		return
	}
	fade := 1 - weight/regressionWindow
	r.varX, r.covXY = r.varX*fade, r.covXY*fade
	r.weight = r.weight*fade + weight
	dx := x - r.meanX
	r.meanX += dx * weight / r.weight
	r.meanY += (y - r.meanY) * weight / r.weight
	r.varX += weight * dx * (x - r.meanX)
	r.covXY += weight * dx * (y - r.meanY)
}

// predict returns the expected logarithm of the time. The prior assumes that the estimate is
// right, with a spread of about a factor of e.
func (r *regression) predict(x float64) float64 {
	slope := min(max((r.covXY+slopeWeight)/(r.varX+slopeWeight), 0), 1)
	known := r.weight / (r.weight + 1)
	return known*(r.meanY+slope*(x-r.meanX)) + (1-known)*x
}

// variance is a weighted mean of squares, of which old ones fade.
type variance struct{ sum, weight float64 }

func (v *variance) add(square, weight, window float64) {
	fade := 1 - min(weight/window, 1)
	v.sum, v.weight = v.sum*fade+square*weight, v.weight*fade+weight
}

// value returns the variance with a prior of the given spread and weight.
func (v *variance) value(spread, weight float64) float64 {
	return v.valueAround(spread*spread, weight)
}

// valueAround returns the variance with a prior variance of the given weight.
func (v *variance) valueAround(prior, weight float64) float64 {
	return (v.sum + prior*weight) / (v.weight + weight)
}

const (
	// accountSpreadWeight is the weight of the queue's variance in that of an account, in
	// steps.
	accountSpreadWeight = 10
	// accountSaturation is the number of steps in volumeHalfLife from which on further steps
	// of an account count less for others. An account then counts at most as much as one
	// with this number of steps.
	accountSaturation = 10
	volumeHalfLife    = clock.Minute
)

// effect is the correction of forecasts for the tasks that share a property.
type effect struct {
	normal
	drift float64
	// spread is the variance of an account's tasks, volume the recent number of its steps.
	spread variance
	volume volume
}

// newEffect returns an effect without observations. Accounts differ more than images and
// sizes. The drift lets an effect follow a shift within some tens of steps.
func newEffect(kind effectKind) *effect {
	if kind == byAccount {
		return &effect{normal: normal{variance: 0.25}, drift: 0.0004}
	}
	return &effect{normal: normal{variance: 0.06}, drift: 0.0002}
}

// unlikeSpread is the correction of an account from which on its tasks say little about those
// of others.
const unlikeSpread = 0.4

// likeness returns how much an account's tasks say about those of others, from 0 to 1.
func (e *effect) likeness() float64 { return 1 / (1 + e.mean*e.mean/(unlikeSpread*unlikeSpread)) }

// update learns from the residual of a forecast with the given variance.
func (e *effect) update(residual, weight, variance float64) {
	e.variance += e.drift * weight
	gain := e.variance / (e.variance + variance/max(weight, 1e-6))
	e.mean += gain * residual
	e.variance *= 1 - gain
}

// volume is a number of steps of which old ones fade.
type volume struct {
	steps float64
	at    clock.Millis
}

// add adds to the volume and returns it.
func (v *volume) add(at clock.Millis, steps float64) float64 {
	v.steps = v.steps*fadeOver(at-v.at, volumeHalfLife) + steps
	v.at = max(v.at, at)
	return v.steps
}

// fadeOver returns the part that is left after a time.
func fadeOver(passed, halfLife clock.Millis) float64 {
	return math.Exp2(-float64(max(passed, 0)) / float64(halfLife))
}

// scale is a factor on the upper half of a distribution.
type scale float64

const (
	// calibrated is the quantile that scales keep, and calibratedAt its place in the
	// standard normal distribution.
	calibrated   = 0.9
	calibratedAt = 1.2815515655446004
	// scaleRate and siblingScaleRate are how fast scales change, for a step and for a task
	// of a step.
	scaleRate        = 0.15
	siblingScaleRate = 0.02
	minScale         = 0.5
	maxScale         = 4
)

// add moves the scale so that in the long run a tenth of the values exceed the 0.9 quantile.
func (s *scale) add(z, rate float64) {
	step := calibrated - 1
	if z > calibratedAt*float64(*s) {
		step = calibrated
	}
	*s = scale(min(max(float64(*s)*math.Exp(rate*step), minScale), maxScale))
}

// calibrate updates the scale for forecasts without evidence from the step.
func (q *queue) calibrate(prior, slowness normal, y, weight float64) {
	q.upper.add((y-prior.mean)/math.Sqrt(prior.variance+slowness.variance), scaleRate*weight)
}

// speed is an upstream's slowness: the logarithm of the time of tasks there, relative to an
// upstream of usual speed.
type speed struct {
	normal
	at clock.Millis
}

// Slowness is the distribution of the logarithm of an upstream's time factor.
type Slowness struct{ normal }

// Factor returns the expected running time of a task there, relative to the usual time.
func (s Slowness) Factor() float64 { return math.Exp(s.mean) }

// Slowness returns what is known of an upstream at a time.
func (p *Predictor) Slowness(id unit.Upstream, now clock.Millis) Slowness {
	s, ok := p.speeds.Peek(id)
	if !ok {
		return Slowness{normal{0, p.speedVariance}}
	}
	return Slowness{p.speedAt(s, now)}
}

// speedAt returns an upstream's slowness, which goes back to the usual one with time.
func (p *Predictor) speedAt(s *speed, now clock.Millis) normal {
	fade := fadeOver(now-s.at, speedHalfLife)
	return normal{s.mean * fade, p.speedVariance - (p.speedVariance-s.variance)*fade}
}

// slownessOf returns the slowness that applied to a run. A gang is as slow as its slowest
// member.
func (p *Predictor) slownessOf(o *Observation) normal {
	if len(o.Members) == 0 {
		return p.Slowness(o.Upstream, o.At).normal
	}
	slowest := p.Slowness(o.Members[0], o.At)
	for _, id := range o.Members[1:] {
		slowest = slowest.Slower(p.Slowness(id, o.At))
	}
	return slowest.normal
}

// Slower returns the slower one of two.
func (s Slowness) Slower(o Slowness) Slowness {
	if o.mean > s.mean {
		return o
	}
	return s
}

// compareUpstreams learns the slowness of the upstreams on which tasks of one step have run.
// within is the variance inside the step.
func (p *Predictor) compareUpstreams(timings []timing, within float64, at clock.Millis) {
	if len(timings) < 2 {
		return
	}
	mean := 0.0
	residuals := make([]float64, len(timings))
	for i, t := range timings {
		residuals[i] = t.log - p.Slowness(t.upstream, at).mean
		mean += residuals[i] / float64(len(timings))
	}
	for i, t := range timings {
		p.learnSpeed(t.upstream, residuals[i]-mean, within*(1+1/float64(len(timings))), at)
	}
}

// learnSpeed learns from the residual of a run on an upstream. noise is the residual's
// variance on upstreams of known speed.
func (p *Predictor) learnSpeed(id unit.Upstream, residual, noise float64, at clock.Millis) {
	s := touch(p.speeds, id, func() *speed { return &speed{normal: normal{0, p.speedVariance}, at: at} })
	now := p.speedAt(s, at)
	limit := maxResidual * math.Sqrt(now.variance+noise)
	gain := now.variance / (now.variance + noise)
	s.mean = now.mean + gain*min(max(residual, -limit), limit)
	s.variance, s.at = now.variance*(1-gain), max(s.at, at)
	p.speedVariance += speedVarianceRate * (s.mean*s.mean + s.variance - p.speedVariance)
	p.speedVariance = max(p.speedVariance, minSpread*minSpread)
}
