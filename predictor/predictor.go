// Package predictor forecasts the running times of tasks from the runs that have ended. It
// uses no clock, log or I/O; the same observations in the same order give the same
// forecasts.
//
// The model adds logarithms: the time of a run is that of its task and the slowness of its
// upstream. The time of a task is predicted from the client's estimate by a regression of
// its queue, corrected by effects of the account, the image and the size, and then by the
// ended tasks of the same step, which are the strongest evidence (docs/design/forecast.md).
package predictor

import (
	"math"
	"math/bits"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// StepID identifies a step of a job. The occurrences of a repeated job share it.
type StepID struct {
	Job   string
	Index int
}

// Task is what is known of a task before it starts.
type Task struct {
	Queue   unit.Queue
	Account unit.ClientAccount
	Step    StepID
	// Count is the number of tasks of the step.
	Count int
	// Gang is set if the tasks of the step start and end together.
	Gang  bool
	Image string
	Need  unit.Resources
	// Estimate is the client's estimate, or 0.
	Estimate clock.Millis
}

// Observation is the end of a run.
type Observation struct {
	Task     Task
	Upstream unit.Upstream
	// Members are the upstreams of all members of a gang that has ended as done.
	Members []unit.Upstream
	Took    clock.Millis
	// At is the time of the end.
	At clock.Millis
	// Censored is set if the run was ended from outside: the task takes at least as long.
	Censored bool
}

// Bounds of the memory: together 7 MB when all are reached. An entry that was not observed for the longest
// time is dropped first.
const (
	maxQueues    = 256
	maxEffects   = 4096
	maxSteps     = 4096
	maxUpstreams = 8192
	// maxTimings bounds the ended tasks of a step whose upstreams are compared at once.
	maxTimings = 16
)

// Standard deviations and weights before any observation. The spreads are those of
// logarithms.
const (
	// priorSpread is that of the running time around the client's estimate. Estimates are
	// off by a factor of 1.6 to 2.5.
	priorSpread = 0.7
	// priorWithin is that of the tasks inside a step, 0.15 to 0.3.
	priorWithin = 0.25
	// minSpread keeps a step of equal tasks from being forecast as certain.
	minSpread = 0.03
	// priorSpeedSpread is that between upstreams, until it is learned. Deployments with
	// upstreams of 0.8 to 1.25 times the usual speed have 0.2.
	priorSpeedSpread = 0.2
	// priorWeight is the weight of the spreads above, in steps.
	priorWeight = 4
)

const (
	// varianceWindow and withinWindow are the weights over which the variances of a queue
	// are averaged, in steps and in tasks.
	varianceWindow = 100
	withinWindow   = 400
	// maxResidual bounds the residual that is learned from, in standard deviations, so that
	// one odd run moves little.
	maxResidual = 2.5
	// speedVarianceRate is the weight of a new comparison in the variance between upstreams.
	speedVarianceRate = 0.005
	// speedHalfLife is the time in which an upstream's slowness halves without new runs, so
	// that a slow upstream is tried again.
	speedHalfLife = clock.Minute
)

// Predictor holds what was learned. It isn't safe for concurrent use.
type Predictor struct {
	queues  *simplelru.LRU[unit.Queue, *queue]
	effects *simplelru.LRU[effectKey, *effect]
	steps   *simplelru.LRU[StepID, *evidence]
	speeds  *simplelru.LRU[unit.Upstream, *speed]
	// speedVariance is the variance of the slowness between upstreams.
	speedVariance float64
}

// queue is what was learned of a queue.
type queue struct {
	regression regression
	// total is the variance around the forecast that knows no task of the step, within the
	// one inside steps.
	total, within variance
	// upper and siblingUpper scale the upper half of the distribution without and with
	// evidence from the step, so that its 0.9 quantile holds.
	upper, siblingUpper scale
}

// evidence is what the ended tasks of a step tell.
type evidence struct {
	// weight and mean are those of the logarithms without the slowness of the upstreams.
	weight, mean float64
	done         int
	// firstAt is the time of the first end.
	firstAt clock.Millis
	// timings are the runs whose upstreams are still to be compared.
	timings []timing
}

type timing struct {
	upstream unit.Upstream
	log      float64
}

// New returns a predictor that knows nothing.
func New() *Predictor {
	return &Predictor{
		queues: newLRU[unit.Queue, *queue](maxQueues), effects: newLRU[effectKey, *effect](maxEffects),
		steps: newLRU[StepID, *evidence](maxSteps), speeds: newLRU[unit.Upstream, *speed](maxUpstreams),
		speedVariance: priorSpeedSpread * priorSpeedSpread,
	}
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	l, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // The size isn't positive.
	}
	return l
}

// Clone returns an independent copy.
func (p *Predictor) Clone() *Predictor {
	c := New()
	c.speedVariance = p.speedVariance
	copyLRU(c.queues, p.queues)
	copyLRU(c.effects, p.effects)
	copyLRU(c.speeds, p.speeds)
	copyLRU(c.steps, p.steps)
	for _, e := range c.steps.Values() {
		e.timings = append([]timing(nil), e.timings...)
	}
	return c
}

// copyLRU adds copies of all entries, the oldest first.
func copyLRU[K comparable, V any](to, from *simplelru.LRU[K, *V]) {
	for _, key := range from.Keys() {
		value, _ := from.Peek(key)
		entry := *value
		to.Add(key, &entry)
	}
}

// touch returns an entry as the latest used one. It adds it if there is none.
func touch[K comparable, V any](l *simplelru.LRU[K, *V], key K, add func() *V) *V {
	if v, ok := l.Get(key); ok {
		return v
	}
	v := add()
	l.Add(key, v)
	return v
}

// effectKind is a property of tasks by which forecasts are corrected.
type effectKind uint8

const (
	byAccount effectKind = iota
	byImage
	bySize
	effectKinds
)

// effectKey identifies the tasks of a queue that share a property.
type effectKey struct {
	queue unit.Queue
	kind  effectKind
	name  string
	size  int
}

// keysOf returns the keys of the effects on a task. Sizes are classed by factors of 2.
func keysOf(t *Task) [effectKinds]effectKey {
	return [effectKinds]effectKey{
		{queue: t.Queue, kind: byAccount, name: string(t.Account)},
		{queue: t.Queue, kind: byImage, name: t.Image},
		{queue: t.Queue, kind: bySize, size: bits.Len64(uint64(max(t.Need.CPU, 0)))},
	}
}

// isUnknown reports whether the property isn't known: there are no images without a name.
func (k effectKey) isUnknown() bool { return k.kind == byImage && k.name == "" }

// normal is a normal distribution of the logarithm of a time.
type normal struct{ mean, variance float64 }

// prior returns the distribution for a task without evidence from its step, and the weight
// of the observations behind it. It is false if nothing is known.
func (p *Predictor) prior(t *Task, q *queue) (normal, float64, bool) {
	x := math.Log(float64(max(t.Estimate, 1)))
	if q == nil {
		return normal{x, priorSpread * priorSpread}, 0, t.Estimate > 0
	}
	if t.Estimate <= 0 {
		x = q.regression.meanX
	}
	n := normal{q.regression.predict(x), q.total.value(priorSpread, priorWeight)}
	weight := q.regression.weight
	for _, key := range keysOf(t) {
		if key.isUnknown() {
			continue
		}
		e, ok := p.effects.Peek(key)
		if !ok {
			continue
		}
		n.mean += e.mean
		if key.kind == byAccount {
			n.variance = e.spread.valueAround(n.variance, accountSpreadWeight)
			weight += e.spread.weight
		}
	}
	return n, weight, q.regression.weight > 0 || t.Estimate > 0
}

// withStep adds the evidence of a step to a distribution for its tasks. It returns the
// distribution of the step's mean; a task has the variance within in addition.
func withStep(prior normal, within float64, e *evidence) normal {
	between := max(prior.variance-within, minSpread*minSpread)
	if e == nil || e.weight == 0 {
		return normal{prior.mean, between}
	}
	precision := 1/between + e.weight/within
	return normal{(prior.mean/between + e.weight*e.mean/within) / precision, 1 / precision}
}

func (q *queue) withinVariance() float64 {
	if q == nil {
		return priorWithin * priorWithin
	}
	return max(q.within.value(priorWithin, priorWeight), minSpread*minSpread)
}

// Observe learns from the end of a run.
func (p *Predictor) Observe(o Observation) {
	if o.Took <= 0 || o.At <= 0 {
		return
	}
	t := &o.Task
	q := touch(p.queues, t.Queue, func() *queue { return &queue{upper: 1, siblingUpper: 1} })
	slowness := p.slownessOf(&o)
	// y is the logarithm of the task's time on an upstream of usual speed.
	y := math.Log(float64(o.Took)) - slowness.mean
	prior, _, known := p.prior(t, q)
	if !known {
		if o.Censored {
			return
		}
		prior.mean = y
	}
	e, _ := p.steps.Get(t.Step)
	within := q.withinVariance()
	step := withStep(prior, within, e)
	weight := 1.0
	if !t.Gang || o.Censored {
		weight = 1 / float64(max(t.Count, 1))
	}
	if o.Censored {
		var information float64
		y, information = normal{step.mean, step.variance + within}.impute(y)
		if information < minInformation {
			return
		}
		weight *= information
	} else {
		q.calibrate(prior, slowness, y, weight)
	}
	p.learnPrior(q, t, prior, y, weight, o.At)
	p.learnStep(q, &o, step, e, y, weight)
}

// learnPrior updates what is known of tasks before any of their step has ended.
func (p *Predictor) learnPrior(q *queue, t *Task, prior normal, y, weight float64, at clock.Millis) {
	limit := maxResidual * math.Sqrt(prior.variance)
	residual := min(max(y-prior.mean, -limit), limit)
	keys := keysOf(t)
	var list [effectKinds]*effect
	for i, key := range keys {
		if key.isUnknown() {
			continue
		}
		list[i] = touch(p.effects, key, func() *effect { return newEffect(key.kind) })
	}
	account := list[byAccount]
	// An account that sends many times as much as others, or other tasks than they, counts
	// little in what all accounts share.
	shared := weight / (1 + account.volume.add(at, weight)/accountSaturation) * account.likeness()
	account.spread.add(residual*residual, weight, varianceWindow)
	q.total.add(residual*residual, shared, varianceWindow)
	corrections := 0.0
	for i, e := range list {
		if e == nil {
			continue
		}
		w := shared
		if i == int(byAccount) {
			w = weight
		}
		e.update(residual, w, prior.variance)
		corrections += e.mean
	}
	x := math.Log(float64(max(t.Estimate, 1)))
	if t.Estimate <= 0 {
		x = q.regression.meanX
	}
	q.regression.add(x, prior.mean+residual-corrections, shared)
}

// learnStep adds a run to the evidence of its step, and compares the upstreams of the step
// once enough tasks have ended.
func (p *Predictor) learnStep(q *queue, o *Observation, step normal, e *evidence, y, weight float64) {
	t := &o.Task
	within := q.withinVariance()
	if t.Count == 1 && !t.Gang && !o.Censored {
		p.learnSpeed(o.Upstream, y-step.mean, step.variance+within, o.At)
	}
	if e == nil {
		e = &evidence{firstAt: o.At}
		p.steps.Add(t.Step, e)
	}
	if !o.Censored && !t.Gang {
		weight = 1
	}
	if e.weight >= 1 && !o.Censored {
		limit := maxResidual * math.Sqrt(within)
		d := min(max(y-e.mean, -limit), limit)
		q.within.add(d*d*e.weight/(e.weight+1), 1, withinWindow)
		if o.At-o.Took >= e.firstAt {
			q.siblingUpper.add((y-step.mean)/math.Sqrt(step.variance+within), siblingScaleRate)
		}
	}
	e.weight += weight
	e.mean += (y - e.mean) * weight / e.weight
	if o.Censored || t.Gang {
		return
	}
	e.done++
	e.timings = append(e.timings, timing{o.Upstream, math.Log(float64(o.Took))})
	complete := e.done%max(t.Count, 1) == 0
	if complete || len(e.timings) >= maxTimings {
		p.compareUpstreams(e.timings, within, o.At)
		e.timings = nil
	}
}

// minInformation is the least information of a censored run that is learned from, relative
// to that of a whole run.
const minInformation = 0.01

// impute returns the expected logarithm of a time that is at least c, and the information in
// that bound relative to an observed time.
func (n normal) impute(c float64) (y, information float64) {
	spread := math.Sqrt(n.variance)
	z := min((c-n.mean)/spread, maxResidual)
	h := hazard(z)
	return n.mean + spread*h, min(max(h*(h-z), 0), 1)
}

// hazard returns the hazard rate of the standard normal distribution.
func hazard(z float64) float64 {
	if z > 6 {
		return z + 1/z
	}
	return math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / survival(z)
}

// survival returns the probability that a standard normal variable exceeds z.
func survival(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }
