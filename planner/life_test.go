package planner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
)

// TestEndsOfANewLifeAreNotForgotten: the number of the last noted end is sent
// only to the life that it belongs to.
func TestEndsOfANewLifeAreNotForgotten(t *testing.T) {
	for name, c := range map[string]struct {
		doubt func(w *world, s planner.Start)
		noted int64
	}{
		"a sound upstream": {doubt: func(*world, planner.Start) {}, noted: 7},
		"a look failed":    {doubt: func(w *world, s planner.Start) { w.planner.HandlePollFailure(w.now, s.Target, false) }},
		"its clock went back": {doubt: func(w *world, s planner.Start) {
			w.planner.HandleStartResult(w.now, s.Run, s.Target, planner.Executed{}, 1)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := quiet(t, func(*keeper.Config) {})
			w.now += 20 * clock.Second
			for _, u := range w.upstreams {
				u.seq = 99
				w.planner.Report(w.now, planner.Report{Upstream: u.describe(), Clock: u.clock(), Seq: 99}, func() {})
			}
			w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(1000, 2)})
			w.planner.Tick(w.now)
			starts := startsOf(w)
			w.planner.HandlePollResult(w.now, w.now, starts[0].Target, planner.PollResult{
				Incarnation: 1, Clock: w.upstream(starts[0].Target.ID).clock(), Ended: []planner.EndedRun{{Seq: 7, Run: starts[0].Run, Outcome: keeper.RunDone}},
			})
			is.Equal(starts[1].Target.ID, starts[0].Target.ID)
			c.doubt(w, starts[1])
			l, ok := w.planner.NextPoll(w.now, starts[0].Target.ID)
			is.True(ok)
			is.Equal(l.AckedEndSeq, c.noted)
		})
	}
}

// TestFormerLifeDoesNotComeBack: a look finds a new life, then a late report of
// the former one arrives.
func TestFormerLifeDoesNotComeBack(t *testing.T) {
	for name, again := range map[string]func(w *world){
		"the same holder": func(*world) {},
		"a new holder":    func(w *world) { w.commit(); w.takeOver() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := quiet(t, func(*keeper.Config) {})
			u := w.upstreams[0]
			former := u.describe()
			w.planner.HandlePollResult(w.now, w.now, planner.Target{ID: u.id, Incarnation: 1}, planner.PollResult{Incarnation: 5, Clock: 1})
			again(w)
			w.planner.Report(w.now, planner.Report{Upstream: former, Clock: u.clock(), Seq: 500}, func() {})
			for _, o := range w.upstreams[1:] {
				o.draining = true
				o.seq = 500
				w.planner.Report(w.now, planner.Report{Upstream: o.describe(), Clock: o.clock(), Seq: 501}, func() {})
			}
			w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(1000, 1)})
			w.planner.Tick(w.now)
			is.Equal(len(startsOf(w)), 0)
		})
	}
}

// TestStartThatANewLifeMayHaveAnsweredIsKept: the answer to a start came from a
// new life under the same id, which a look finds only afterwards.
func TestStartThatANewLifeMayHaveAnsweredIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		listed bool
		starts int
	}{
		"never listed":              {starts: 0},
		"listed by the former life": {listed: true, starts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := quiet(t, func(*keeper.Config) {})
			w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(1000, 1)})
			w.planner.Tick(w.now)
			s := startsOf(w)[0]
			if c.listed {
				endOn(w, s.Target.ID, nil, []planner.Start{s})
			}
			w.planner.HandlePollResult(w.now, w.now, s.Target, planner.PollResult{Incarnation: 5, Clock: 1})
			w.now += 100
			w.planner.Tick(w.now)
			is.Equal(len(startsOf(w)), c.starts)
		})
	}
}

// TestLateEndOfALapsedRunIsTaken lets an upstream be silent until its lease has
// surely lapsed. Its task had ended before, which it lists once it answers again.
func TestLateEndOfALapsedRunIsTaken(t *testing.T) {
	for name, c := range map[string]struct {
		gang   bool
		tasks  int
		how    keeper.RunOutcome
		want   keeper.Phase
		starts int
	}{
		"done":       {tasks: 1, how: keeper.RunDone, want: keeper.Completed},
		"a gang":     {tasks: 2, gang: true, how: keeper.RunDone, want: keeper.Completed},
		"not ended":  {tasks: 1, how: keeper.RunExpired, want: keeper.Running, starts: 1},
		"one of two": {tasks: 2, how: keeper.RunDone, want: keeper.Running, starts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := quiet(t, func(*keeper.Config) {})
			for _, u := range w.upstreams[1:] {
				u.seq++
				r := u.describe()
				r.Draining = true
				w.planner.Report(w.now, planner.Report{Upstream: r, Clock: u.clock(), Seq: u.seq}, func() {})
			}
			work := submission(100, c.tasks)
			work.Steps[0].Gang = c.gang
			w.ask(planner.Submit{Address: address(first), ID: first, Submission: work})
			w.planner.Tick(w.now)
			starts := startsOf(w)
			is.Equal(len(starts), c.tasks)
			for range 100 {
				w.now += 100
				w.planner.HandlePollFailure(w.now, starts[0].Target, false)
				w.planner.Tick(w.now)
			}
			is.Equal(len(startsOf(w)), 0)
			seen := planner.PollResult{Incarnation: 1, Clock: w.upstream(starts[0].Target.ID).clock(), Ended: []planner.EndedRun{{Seq: 1, Run: starts[0].Run, Outcome: c.how}}}
			w.planner.HandlePollResult(w.now, w.now, starts[0].Target, seen)
			is.Equal(w.planner.State().Jobs[first].Phase, c.want)
			w.planner.Tick(w.now)
			is.Equal(len(startsOf(w)), c.starts)
		})
	}
}
