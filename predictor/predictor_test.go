package predictor_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/predictor"
	"github.com/chervilvane/chervilvane/unit"
)

// workload describes generated runs. Spreads are standard deviations of logarithms.
type workload struct {
	median                    float64
	between, within, estimate float64
	// bias is the logarithm of the factor by which estimates are too high.
	bias      float64
	speeds    []float64
	accounts  int
	meanTasks int
	gang      bool
	// heavy is the part of the tasks that take four times as long, each by itself.
	heavy float64
	// blind is set if estimates have nothing to do with the times.
	blind bool
	// stopped is the part of the runs that are stopped halfway at random.
	stopped float64
	// shiftAfter is the number of steps after which all times are three times as long.
	shiftAfter int
	// flood is the number of odd steps of one account between two usual steps.
	flood int
}

func usual() workload {
	return workload{median: 2000, between: 0.5, within: 0.2, estimate: 0.5, bias: 0.6, speeds: []float64{1}, accounts: 10, meanTasks: 8}
}

const (
	testUpstreams = 40
	// warmUp is the number of steps before the forecasts are judged.
	warmUp = 200
)

// result is how forecasts fared. Errors are absolute errors of the logarithm.
type result struct {
	tasks, within90              float64
	err, estimateErr, formerErr  float64
	estimateEarlier, formerTwice float64
	lateErr                      float64
	lateTasks, lateWithin90      float64
}

type runEnd struct {
	at clock.Millis
	o  predictor.Observation
	// forecast is that at the start of the run.
	forecast predictor.Forecast
	former   clock.Millis
	late     bool
	judged   bool
}

// play feeds generated steps to a predictor. Two of three tasks of a step start at once and
// the others after the first end, as capacity becomes free; ends are observed in their
// order. Steps overlap.
func (w workload) play(p *predictor.Predictor, seed uint64, steps int) result {
	rng := rand.New(rand.NewPCG(seed, seed))
	var pending []runEnd
	var former baseline
	var res result
	now := clock.Millis(1_000_000)
	speedOf := func(u int) float64 { return w.speeds[u%len(w.speeds)] }
	observe := func(until clock.Millis) {
		slices.SortStableFunc(pending, func(a, b runEnd) int { return cmp.Compare(a.at, b.at) })
		for len(pending) > 0 && pending[0].at <= until {
			e := pending[0]
			pending = pending[1:]
			p.Observe(e.o)
			if e.o.Censored {
				continue
			}
			if e.judged {
				res.add(e)
			}
			former.add(e.o.Task.Estimate, e.o.Took)
		}
	}
	for n := range steps {
		for flood := range w.flood + 1 {
			account, odd := 1+rng.IntN(w.accounts), flood > 0
			if odd {
				account = 0
			}
			scale := 1.0
			if odd {
				scale = 6
			}
			if w.shiftAfter > 0 && n >= w.shiftAfter {
				scale = 3
			}
			median := w.median * scale * math.Exp(w.between*rng.NormFloat64())
			guess := median
			if w.blind || odd {
				guess = w.median * math.Exp(rng.NormFloat64())
			}
			t := predictor.Task{
				Queue: "q", Account: unit.ClientAccount(fmt.Sprintf("k%d", account)), Step: predictor.StepID{Job: fmt.Sprintf("%d.%d", n, flood)},
				Count: 1 + rng.IntN(2*w.meanTasks-1), Gang: w.gang, Need: unit.Resources{CPU: unit.MilliCPU(1000 << rng.IntN(3))},
				Estimate: clock.Millis(max(guess*math.Exp(w.bias+w.estimate*rng.NormFloat64()), 1)),
			}
			now += clock.Millis(rng.IntN(100))
			observe(now)
			judged := !odd && n >= warmUp && (w.shiftAfter == 0 || n < w.shiftAfter || n >= w.shiftAfter+warmUp)
			if w.gang {
				pending = append(pending, w.gangEnd(p, rng, t, now, median, judged, former.predict(t.Estimate)))
				continue
			}
			first := clock.Millis(math.MaxInt64)
			begin := now
			var running []predictor.Running
			for i := range t.Count {
				upstream := rng.IntN(testUpstreams)
				took := median * math.Exp(w.within*rng.NormFloat64()) / speedOf(upstream)
				if rng.Float64() < w.heavy {
					took *= 4
				}
				late := i > t.Count*2/3
				if late && begin < first {
					running = runningAt(pending, t.Step, begin, first+50, p)
					begin = first + 50
					observe(begin)
					now = begin
				}
				id := unit.Upstream(fmt.Sprint(upstream))
				e := runEnd{
					at: begin + clock.Millis(took), late: late, judged: judged, former: former.predict(t.Estimate),
					forecast: p.Forecast(t, running).On(p.Slowness(id, begin)),
					o:        predictor.Observation{Task: t, Upstream: id, Took: clock.Millis(max(took, 1)), At: begin + clock.Millis(took)},
				}
				if rng.Float64() < w.stopped {
					e.o.Censored, e.o.Took = true, clock.Millis(max(took*rng.Float64(), 1))
					e.at = begin + e.o.Took
					e.o.At = e.at
				}
				first = min(first, e.at)
				pending = append(pending, e)
			}
		}
	}
	observe(math.MaxInt64)
	return res
}

// runningAt returns the runs of a step that began at a time and haven't ended at a later one.
func runningAt(pending []runEnd, step predictor.StepID, began, now clock.Millis, p *predictor.Predictor) []predictor.Running {
	var list []predictor.Running
	for _, e := range pending {
		if e.o.Task.Step == step && e.at > now {
			list = append(list, predictor.Running{Elapsed: now - began, Slowness: p.Slowness(e.o.Upstream, now)})
		}
	}
	return list
}

// gangEnd returns the end of a gang, which is as slow as its slowest member.
func (w workload) gangEnd(p *predictor.Predictor, rng *rand.Rand, t predictor.Task, now clock.Millis, median float64, judged bool, former clock.Millis) runEnd {
	o := predictor.Observation{Task: t}
	slowest, slowness := math.Inf(1), predictor.Slowness{}
	for i := range t.Count {
		upstream := rng.IntN(testUpstreams)
		id := unit.Upstream(fmt.Sprint(upstream))
		o.Members = append(o.Members, id)
		slowest = min(slowest, w.speeds[upstream%len(w.speeds)])
		if s := p.Slowness(id, now); i == 0 {
			slowness = s
		} else {
			slowness = slowness.Slower(s)
		}
	}
	o.Upstream, o.Took = o.Members[0], clock.Millis(max(median/slowest, 1))
	o.At = now + o.Took
	return runEnd{at: o.At, o: o, forecast: p.Forecast(t, nil).On(slowness), judged: judged, former: former}
}

func (r *result) add(e runEnd) {
	off := func(a clock.Millis) float64 {
		return math.Abs(math.Log(float64(max(a, 1)) / float64(e.o.Took)))
	}
	r.tasks++
	r.err += off(e.forecast.Median())
	r.estimateErr += off(e.o.Task.Estimate)
	r.formerErr += off(e.former)
	in := 0.0
	if e.o.Took <= e.forecast.Quantile(0.9) {
		in = 1
	}
	r.within90 += in
	if e.o.Took <= e.o.Task.Estimate {
		r.estimateEarlier++
	}
	if e.o.Took <= 2*e.former {
		r.formerTwice++
	}
	if e.late {
		r.lateTasks++
		r.lateWithin90 += in
		r.lateErr += off(e.forecast.Median())
	}
}

// TestQuantilesHold guards against forecasts whose high quantile promises too much or too
// little: of the ends predicted at the 0.9 quantile, 85 to 95 of 100 must come earlier, on
// each kind of workload. It prints the error and the calibration beside those of the
// client's estimate and of the former regression, on the same runs.
func TestQuantilesHold(t *testing.T) {
	change := func(f func(w *workload)) workload {
		w := usual()
		f(&w)
		return w
	}
	for name, w := range map[string]workload{
		"usual":             usual(),
		"narrow":            change(func(w *workload) { w.within = 0.15 }),
		"wide":              change(func(w *workload) { w.within = 0.3 }),
		"single tasks":      change(func(w *workload) { w.meanTasks = 1 }),
		"heavy tail":        change(func(w *workload) { w.heavy = 0.05 }),
		"blind estimates":   change(func(w *workload) { w.blind = true }),
		"unlike speeds":     change(func(w *workload) { w.speeds = []float64{0.7, 0.7, 1.7} }),
		"alike speeds":      change(func(w *workload) { w.speeds = []float64{0.8, 1, 1.25} }),
		"shift":             change(func(w *workload) { w.shiftAfter = 800 }),
		"flood":             change(func(w *workload) { w.flood = 5 }),
		"stopped runs":      change(func(w *workload) { w.stopped = 0.3 }),
		"gangs":             change(func(w *workload) { w.gang = true }),
		"gangs on unlike":   change(func(w *workload) { w.gang, w.speeds, w.meanTasks = true, []float64{0.7, 0.7, 1.7}, 2 }),
		"one account":       change(func(w *workload) { w.accounts = 1 }),
		"estimates are off": change(func(w *workload) { w.estimate, w.bias = 0.9, 1.5 }),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := w.play(predictor.New(), 1, 1600)
			held := r.within90 / r.tasks
			t.Logf("error %.3f (estimate %.3f, former %.3f); earlier than 0.9 quantile %.3f (than the estimate %.3f, than twice the former %.3f); with siblings: error %.3f, earlier %.3f of %.0f",
				r.err/r.tasks, r.estimateErr/r.tasks, r.formerErr/r.tasks, held, r.estimateEarlier/r.tasks, r.formerTwice/r.tasks,
				r.lateErr/max(r.lateTasks, 1), r.lateWithin90/max(r.lateTasks, 1), r.lateTasks)
			is.True(held >= 0.85 && held <= 0.95)
			is.True(r.err < r.estimateErr) // the forecast is closer than the client's estimate
		})
	}
}
