package planner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// TestReplayForecastsHold guards the forecasts of the runs of a whole replay: of the ends
// predicted at the 0.9 quantile, 85 to 95 of 100 must come earlier, and the forecast must be
// closer than the client's estimate.
func TestReplayForecastsHold(t *testing.T) {
	for name, r := range map[string]replay{"equal": replays["small"], "unlike": replays["smallUnlike"]} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := r.run(1, nil).planner.Status().Forecast
			held := float64(s.EarlierThanHigh) / float64(s.Ends)
			t.Logf("%d ends, %.3f before the median, %.3f before the 0.9 quantile, error %.3f, of the estimate %.3f",
				s.Ends, float64(s.EarlierThanMedian)/float64(s.Ends), held, s.Error, s.EstimateError)
			is.True(held >= 0.85 && held <= 0.95)
			is.True(s.Error < s.EstimateError)
		})
	}
}

// TestSuccessorForecastsAsItsPredecessor guards the hand-over of the leadership: what another
// instance has learned from the log must give its planner the forecasts of the former leader.
func TestSuccessorForecastsAsItsPredecessor(t *testing.T) {
	is := is.New(t)
	l := replays["smallUnlike"].prepare(1, nil)
	replica, err := l.planner.State().Clone()
	is.NoErr(err)
	l.replica = replica
	l.run(l.now + 15*clock.Second)
	state, err := replica.Clone()
	is.NoErr(err)
	state.Now = nil
	successor := planner.New(planner.Config{FencingToken: 2, LeaderSince: l.now, MaxLease: 6000, Retention: clock.Minute}, state)
	l.planner.Tick(l.now)
	is.True(len(successor.Forecasts(0.5)) > 10)
	is.Equal(successor.Forecasts(0.5), l.planner.Forecasts(0.5))
	is.Equal(successor.Forecasts(0.9), l.planner.Forecasts(0.9))
	is.Equal(successor.Slowness("u0002"), l.planner.Slowness("u0002"))
}

// newLearnedPlanner returns a planner for idle upstreams of one task each on which tasks of
// some steps have run, as its log tells. Upstream i has the speed i%len(speeds).
func newLearnedPlanner(t *testing.T, upstreams int, speeds []float64) *planner.Planner {
	t.Helper()
	state := keeper.New()
	state.Observer = planner.NewLearner()
	state.ApplyCommand(keeper.SetConfig{Config: config(0)})
	id := func(i int) unit.Upstream { return unit.Upstream(fmt.Sprintf("u%02d", i)) }
	now := clock.Millis(1_000_000)
	for n := range 5 {
		job := keeper.JobID(fmt.Sprintf("%016x", n))
		state.ApplyCommand(keeper.AcceptJob{ID: job, At: now, Submission: keeper.Submission{Steps: []keeper.Step{{Count: upstreams, Estimate: 2000}}}})
		for i := range upstreams {
			state.ApplyCommand(keeper.StartRun{Task: keeper.TaskID{Job: job, Index: i}, Number: 1, Upstream: id(i), At: now})
		}
		for i := range upstreams {
			state.ApplyCommand(keeper.EndRun{
				Task: keeper.TaskID{Job: job, Index: i}, Number: 1, Upstream: id(i), Outcome: keeper.RunDone,
				At: now + clock.Millis(2000/speeds[i%len(speeds)]),
			})
		}
		now += 4000
	}
	p := planner.New(planner.Config{FencingToken: 1, LeaderSince: now, MaxLease: 6000, Retention: clock.Minute}, state)
	for i := range upstreams {
		p.HandleReport(now, planner.Report{Seq: 1, Clock: 1, Upstream: keeper.Upstream{
			ID: id(i), Incarnation: 1, Address: string(id(i)) + ":1", Service: service, Capacity: unit.Resources{CPU: 1000},
		}}, func() {})
	}
	return p
}

// TestTasksGoToFastUpstreams guards the placement by speed. Tasks must start on the fast
// upstreams. A gang that finds enough of them must not be held up by a slow member, and one
// that doesn't must leave them to others. Of 42 upstreams, 14 are fast.
func TestTasksGoToFastUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		tasks, fast int
		gang        bool
	}{
		"one task":                {tasks: 1, fast: 1},
		"a gang on fast ones":     {tasks: 10, fast: 10, gang: true},
		"a gang that needs more":  {tasks: 20, fast: 0, gang: true},
		"as many tasks, no gang":  {tasks: 20, fast: 14},
		"a gang on all upstreams": {tasks: 42, fast: 14, gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newLearnedPlanner(t, 42, []float64{0.7, 0.7, 1.7})
			is.True(p.Slowness("u02") < 0.75 && p.Slowness("u00") > 1.1) // the true ones are 0.59 and 1.43
			submission := newSubmission(1000, c.tasks)
			submission.Steps[0].Gang = c.gang
			p.HandleRequest(1_030_000, planner.Submit{Address: address(jobID), ID: jobID, Submission: submission}, func(planner.Reply) {})
			p.Tick(1_030_000)
			_, effects := p.TakeOutput()
			starts, fast := 0, 0
			for _, e := range effects {
				if s, ok := e.(planner.Start); ok {
					starts++
					if s.Forecast.Slowness < 1 {
						fast++
					}
				}
			}
			is.Equal(starts, c.tasks)
			is.Equal(fast, c.fast)
		})
	}
}

// TestRunIsOverdueByItsSiblings guards against a stalled run that holds up its job for long
// because the client's estimate is far too high: the ended tasks of the step tell that it is
// overdue. A run that makes progress is not stopped, however late it is.
func TestRunIsOverdueByItsSiblings(t *testing.T) {
	for name, progress := range map[string]bool{"no progress": false, "progress": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newCalmSimulation(t, func(*keeper.Config) {})
			submission := newSubmission(100, 6)
			submission.Steps[0].Estimate = 30 * clock.Second
			sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: submission})
			sim.planner.Tick(sim.now)
			byUpstream := map[unit.Upstream][]planner.Start{}
			var last planner.Start
			for _, s := range acceptStarts(sim) {
				byUpstream[s.Target.ID] = append(byUpstream[s.Target.ID], s)
				last = s
			}
			sim.now += clock.Second
			for id, list := range byUpstream {
				if id == last.Target.ID {
					pollWithEnds(sim, id, list[:len(list)-1], list[len(list)-1:])
					continue
				}
				pollWithEnds(sim, id, list, nil)
			}
			stopped := false
			percent := 1
			for i := range 100 {
				sim.now += 100
				if progress {
					percent = 1 + i/2
				}
				sim.planner.HandlePollResult(sim.now, sim.now, last.Target, planner.PollResult{
					Incarnation: 1, Clock: sim.upstream(last.Target.ID).clock(), Running: []planner.RunStatus{{Run: last.Run, Percent: percent}},
				})
				sim.planner.PollNowDone(last.Target)
				sim.planner.Tick(sim.now)
				_, effects := sim.planner.TakeOutput()
				for _, e := range effects {
					if s, ok := e.(planner.Stop); ok {
						is.Equal(s.Run, last.Run)
						stopped = true
					}
				}
			}
			is.Equal(stopped, !progress)
		})
	}
}

// TestRunThatIsNearlyDoneIsNotPreempted guards against stopping runs for an urgent step that
// their progress shows to end at once, although the client's estimate is much longer.
func TestRunThatIsNearlyDoneIsNotPreempted(t *testing.T) {
	for name, percent := range map[string]int{"nearly done": 90, "far from done": 25} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newCalmSimulation(t, func(k *keeper.Config) {
				k.Queues = append(k.Queues, keeper.QueueRoute{Host: "h", PathPrefix: "/low/", Queue: keeper.Queue{Name: "low", Service: service, Priority: 1, MaxAttempts: 3, Stretch: 90}})
			})
			low := newSubmission(1000, 12)
			low.Steps[0].Checkpointing, low.Steps[0].Estimate = true, 8*clock.Second
			sim.request(planner.Submit{Address: planner.Address{Host: "h", Path: "/low/" + string(jobID), APIKey: "k"}, ID: jobID, Submission: low})
			sim.planner.Tick(sim.now)
			running := map[unit.Upstream][]planner.RunStatus{}
			for _, s := range acceptStarts(sim) {
				running[s.Target.ID] = append(running[s.Target.ID], planner.RunStatus{Run: s.Run, Percent: percent})
			}
			sim.now += 3 * clock.Second
			for id, list := range running {
				sim.planner.HandlePollResult(sim.now, sim.now, planner.Target{ID: id, Incarnation: 1}, planner.PollResult{Incarnation: 1, Clock: sim.upstream(id).clock(), Running: list})
			}
			second := keeper.JobID("00000000000000ac")
			sim.request(planner.Submit{Address: address(second), ID: second, Submission: newSubmission(3000, 1)})
			sim.planner.Tick(sim.now)
			sim.now += 100
			sim.planner.Tick(sim.now)
			is.Equal(len(takeEffects[planner.Stop](sim)) > 0, percent < 50)
		})
	}
}

// TestForecastIsNotSent guards the format of orders, which instances of other versions relay:
// the forecast of a start stays with the leader.
func TestForecastIsNotSent(t *testing.T) {
	is := is.New(t)
	with, without := planner.Start{Spec: "x", Ticket: "t", Forecast: &planner.RunForecast{Median: 5}}, planner.Start{Spec: "x", Ticket: "t"}
	is.Equal(encoder.Marshal(with), encoder.Marshal(without))
	is.Equal(encoder.Marshal(without)[0], byte(0x86)) // an array of six fields
}
