package predictor_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/predictor"
	"github.com/chervilvane/chervilvane/unit"
)

// task returns a task of a step that no other test task belongs to.
func task(step string, count int, estimate clock.Millis) predictor.Task {
	return predictor.Task{Queue: "q", Account: "a", Step: predictor.StepID{Job: step}, Count: count, Estimate: estimate}
}

func logRatio(a, b clock.Millis) float64 { return math.Abs(math.Log(float64(a) / float64(b))) }

// TestNothingKnown guards against an answer without a basis: without an observation the
// estimate is the forecast, with a wide spread, and without an estimate there is none.
func TestNothingKnown(t *testing.T) {
	is := is.New(t)
	p := predictor.New()
	f := p.Forecast(task("s", 1, 2000), nil)
	is.True(logRatio(f.Median(), 2000) < 0.01)
	is.True(f.Quantile(0.9) > 4000)
	is.Equal(f.Weight, 0.)
	f = p.Forecast(task("s", 1, 0), nil)
	is.Equal(f.Quantile(0.9), clock.Millis(0))
	is.Equal(f.Remaining(100, 0.5), clock.Millis(0))
	p.Observe(predictor.Observation{Task: task("s", 1, 2000), Took: -5, At: 10}) // a time that can't be
	is.Equal(p.Forecast(task("s", 1, 2000), nil).Weight, 0.)
}

// TestFirstSiblingPredictsTheRest guards against a forecast that keeps to the estimate
// although a task of the same step has ended.
func TestFirstSiblingPredictsTheRest(t *testing.T) {
	is := is.New(t)
	p := predictor.New()
	s := task("s", 10, 8000)
	before := p.Forecast(s, nil)
	p.Observe(predictor.Observation{Task: s, Upstream: "u", Took: 2000, At: 10_000})
	after := p.Forecast(s, nil)
	is.True(logRatio(after.Median(), 2000) < 0.3)
	is.True(after.Spread() < before.Spread()/2)
	is.Equal(after.Siblings, 1.)
	// Nine others run on for longer: the first end was an early one.
	var running []predictor.Running
	for range 9 {
		running = append(running, predictor.Running{Elapsed: 2600, Slowness: p.Slowness("u", 10_000)})
	}
	is.True(p.Forecast(s, running).Median() > after.Median()*5/4)
}

// TestUpstreamsAreToldFromTasks guards against taking long tasks for slow upstreams: the
// speeds must be found although each step has another length.
func TestUpstreamsAreToldFromTasks(t *testing.T) {
	for name, speeds := range map[string][]float64{"wide": {0.7, 0.7, 1.7}, "narrow": {0.8, 1, 1.25}, "equal": {1, 1, 1}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := usual()
			w.speeds = speeds
			p := predictor.New()
			w.play(p, 2, 600)
			mean, off := 0.0, 0.0
			learned := func(u int) float64 {
				return -math.Log(p.Slowness(unit.Upstream(fmt.Sprint(u)), 1_040_000).Factor())
			}
			for u := range testUpstreams {
				mean += (math.Log(speeds[u%len(speeds)]) - learned(u)) / testUpstreams
			}
			for u := range testUpstreams {
				off += math.Abs(math.Log(speeds[u%len(speeds)])-learned(u)-mean) / testUpstreams
			}
			t.Logf("mean error of the logarithm of the speeds %.3f", off)
			is.True(off < 0.1)
		})
	}
}

// TestFloodOfOneAccountMovesNoOther guards the forecasts of other accounts against one that
// sends many odd jobs: six times as long, estimates without information, five for each usual
// one.
func TestFloodOfOneAccountMovesNoOther(t *testing.T) {
	is := is.New(t)
	calm, flooded := usual(), usual()
	flooded.flood = 5
	a, b := predictor.New(), predictor.New()
	without, with := calm.play(a, 3, 1000), flooded.play(b, 3, 1000)
	t.Logf("error of the others: %.3f without and %.3f with the flood", without.err/without.tasks, with.err/with.tasks)
	is.True(with.err/with.tasks < without.err/without.tasks*1.1)
	for account := 1; account <= 10; account++ {
		s := task("new", 5, 3000)
		s.Account = unit.ClientAccount(fmt.Sprintf("k%d", account))
		is.True(logRatio(a.Forecast(s, nil).Median(), b.Forecast(s, nil).Median()) < 0.35)
	}
}

// TestShiftIsFollowed guards against a forecast that keeps to times of long ago: after the
// tasks of all accounts have become three times as long, 100 steps suffice.
func TestShiftIsFollowed(t *testing.T) {
	is := is.New(t)
	p := predictor.New()
	observe := func(n int, took clock.Millis) {
		for i := range n {
			s := task(fmt.Sprint(took, i), 1, 2000)
			s.Account = unit.ClientAccount(fmt.Sprint(i % 10))
			p.Observe(predictor.Observation{Task: s, Upstream: unit.Upstream(fmt.Sprint(i % 40)), Took: took, At: 1_000_000 + clock.Millis(i)*100})
		}
	}
	forecast := func() clock.Millis {
		s := task("new", 1, 2000)
		s.Account = "3"
		return p.Forecast(s, nil).Median()
	}
	observe(1000, 2000)
	is.True(logRatio(forecast(), 2000) < 0.1)
	observe(100, 6000)
	is.True(logRatio(forecast(), 6000) < 0.35)
}

// TestStoppedRunCountsAsAtLeastSoLong guards against taking a stop for an end: many runs of
// short time that were stopped must not make tasks look short, and runs that were stopped
// late must make them look long.
func TestStoppedRunCountsAsAtLeastSoLong(t *testing.T) {
	is := is.New(t)
	p := predictor.New()
	for i := range 50 {
		p.Observe(predictor.Observation{Task: task(fmt.Sprint(i), 1, 4000), Upstream: "u", Took: 200, At: 1_000_000 + clock.Millis(i), Censored: true})
	}
	is.True(logRatio(p.Forecast(task("new", 1, 4000), nil).Median(), 4000) < 0.2)
	for i := range 20 {
		p.Observe(predictor.Observation{Task: task("long", 20, 4000), Upstream: "u", Took: 9000, At: 1_000_000 + clock.Millis(i), Censored: true})
	}
	is.True(p.Forecast(task("long", 20, 4000), nil).Median() > 8000)
}

// TestRemainingTime guards the predicted end of a run: it is never before now, its median
// shrinks while the run is early and grows again once the run is overdue, and progress that
// the upstream lists narrows it.
func TestRemainingTime(t *testing.T) {
	is := is.New(t)
	p := predictor.New()
	f := p.Forecast(task("s", 1, 4000), nil)
	is.Equal(f.Remaining(0, 0.5), f.Median())
	is.True(f.Remaining(2000, 0.5) < f.Median())
	is.True(f.Remaining(2000, 0.5)+2000 > f.Median())
	is.True(f.Remaining(60_000, 0.5) > 0)
	for _, q := range []float64{0.1, 0.5, 0.9} {
		is.True(logRatio(f.Remaining(1, q)+1, f.Quantile(q)) < 0.01)
	}
	near := f.WithTotal(10_000, 0.1) // half done after 5 s
	is.True(logRatio(near.Median(), 10_000) < 0.05)
	is.True(near.Spread() < 0.11)
	is.True(near.Remaining(9900, 0.5) < 800)
}

// TestCopyLearnsAlike guards the hand-over of the leadership: a copy and another replica
// that saw the same ends give the same forecasts, and what the copy learns later doesn't
// change the original.
func TestCopyLearnsAlike(t *testing.T) {
	is := is.New(t)
	w := usual()
	w.speeds = []float64{0.7, 0.7, 1.7}
	a, b := predictor.New(), predictor.New()
	w.play(a, 4, 300)
	w.play(b, 4, 300)
	c := a.Clone()
	forecast := func(p *predictor.Predictor) predictor.Forecast {
		s := task("new", 4, 3000)
		s.Account = "k2"
		return p.Forecast(s, nil).On(p.Slowness("3", 1_020_000))
	}
	is.Equal(forecast(a), forecast(b))
	is.Equal(forecast(a), forecast(c))
	before := forecast(a)
	w.play(c, 5, 300)
	is.Equal(forecast(a), before)
	w.play(b, 5, 300)
	is.Equal(forecast(c), forecast(b)) // the copy drops and keeps the same entries
}

// TestMemoryIsBounded guards against a state that grows with the number of queues, accounts,
// images, unfinished steps and upstreams ever seen.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	p := predictor.New()
	for i := range 20_000 {
		name := fmt.Sprint(i)
		s := predictor.Task{Queue: unit.Queue(name), Account: unit.ClientAccount(name), Image: name, Step: predictor.StepID{Job: name}, Count: 100, Estimate: 1000}
		for range 2 {
			p.Observe(predictor.Observation{Task: s, Upstream: unit.Upstream(name), Took: 1000, At: clock.Millis(1000 + i)})
		}
		s.Count, s.Step.Job = 1, name+"x"
		p.Observe(predictor.Observation{Task: s, Upstream: unit.Upstream(name), Took: 1000, At: clock.Millis(1000 + i)})
	}
	queues, effects, steps, upstreams := p.Entries()
	is.True(queues <= predictor.MaxQueues)
	is.True(effects <= predictor.MaxEffects)
	is.True(steps <= predictor.MaxSteps)
	is.True(upstreams <= predictor.MaxUpstreams)
}

// BenchmarkForecast measures a forecast for a task on an upstream. The planner makes some of
// them for each waiting step and caches them.
func BenchmarkForecast(b *testing.B) {
	p := predictor.New()
	usual().play(p, 1, 300)
	s := task("299.0", 8, 3000)
	for b.Loop() {
		_ = p.Forecast(s, nil).On(p.Slowness("3", 1_020_000)).Quantile(0.9)
	}
}
