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
func TestEndsAreAckedOnlyToTheirIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		disturb     func(sim *simulation, s planner.Start)
		ackedEndSeq int64
	}{
		"a sound upstream": {disturb: func(*simulation, planner.Start) {}, ackedEndSeq: 7},
		"a look failed":    {disturb: func(sim *simulation, s planner.Start) { sim.planner.HandlePollFailure(sim.now, s.Target, false) }},
		"its clock went back": {disturb: func(sim *simulation, s planner.Start) {
			sim.planner.HandleStartResult(sim.now, s.Run, s.Target, planner.Executed{}, 1)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newCalmSimulation(t, func(*keeper.Config) {})
			sim.now += 20 * clock.Second
			for _, u := range sim.upstreams {
				u.seq = 99
				sim.planner.HandleReport(sim.now, planner.Report{Upstream: u.describe(), Clock: u.clock(), Seq: 99}, func() {})
			}
			sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: newSubmission(1000, 2)})
			sim.planner.Tick(sim.now)
			starts := acceptStarts(sim)
			sim.planner.HandlePollResult(sim.now, sim.now, starts[0].Target, planner.PollResult{
				Incarnation: 1, Clock: sim.upstream(starts[0].Target.ID).clock(), Ended: []planner.EndedRun{{Seq: 7, Run: starts[0].Run, Outcome: keeper.RunDone}},
			})
			is.Equal(starts[1].Target.ID, starts[0].Target.ID)
			c.disturb(sim, starts[1])
			poll, ok := sim.planner.NextPoll(sim.now, starts[0].Target.ID)
			is.True(ok)
			is.Equal(poll.AckedEndSeq, c.ackedEndSeq)
		})
	}
}

// TestFormerLifeDoesNotComeBack: a look finds a new life, then a late report of
// the former one arrives.
func TestLateReportOfFormerIncarnationIsIgnored(t *testing.T) {
	for name, between := range map[string]func(sim *simulation){
		"the same holder": func(*simulation) {},
		"a new holder":    func(sim *simulation) { sim.commit(); sim.takeOver() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newCalmSimulation(t, func(*keeper.Config) {})
			u := sim.upstreams[0]
			former := u.describe()
			sim.planner.HandlePollResult(sim.now, sim.now, planner.Target{ID: u.id, Incarnation: 1}, planner.PollResult{Incarnation: 5, Clock: 1})
			between(sim)
			sim.planner.HandleReport(sim.now, planner.Report{Upstream: former, Clock: u.clock(), Seq: 500}, func() {})
			for _, o := range sim.upstreams[1:] {
				o.draining = true
				o.seq = 500
				sim.planner.HandleReport(sim.now, planner.Report{Upstream: o.describe(), Clock: o.clock(), Seq: 501}, func() {})
			}
			sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: newSubmission(1000, 1)})
			sim.planner.Tick(sim.now)
			is.Equal(len(acceptStarts(sim)), 0)
		})
	}
}

// TestStartThatANewLifeMayHaveAnsweredIsKept: the answer to a start came from a
// new life under the same id, which a look finds only afterwards.
func TestStartPossiblyAnsweredByNextIncarnationStaysLive(t *testing.T) {
	for name, c := range map[string]struct {
		listed bool
		starts int
	}{
		"never listed":              {starts: 0},
		"listed by the former life": {listed: true, starts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newCalmSimulation(t, func(*keeper.Config) {})
			sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: newSubmission(1000, 1)})
			sim.planner.Tick(sim.now)
			s := acceptStarts(sim)[0]
			if c.listed {
				pollWithEnds(sim, s.Target.ID, nil, []planner.Start{s})
			}
			sim.planner.HandlePollResult(sim.now, sim.now, s.Target, planner.PollResult{Incarnation: 5, Clock: 1})
			sim.now += 100
			sim.planner.Tick(sim.now)
			is.Equal(len(acceptStarts(sim)), c.starts)
		})
	}
}

// TestLateEndOfALapsedRunIsTaken lets an upstream be silent until its lease has
// surely lapsed. Its task had ended before, which it lists once it answers again.
func TestLateEndOfExpiredRunIsApplied(t *testing.T) {
	for name, c := range map[string]struct {
		gang    bool
		tasks   int
		outcome keeper.RunOutcome
		want    keeper.Phase
		starts  int
	}{
		"done":       {tasks: 1, outcome: keeper.RunDone, want: keeper.Completed},
		"a gang":     {tasks: 2, gang: true, outcome: keeper.RunDone, want: keeper.Completed},
		"not ended":  {tasks: 1, outcome: keeper.RunExpired, want: keeper.Running, starts: 1},
		"one of two": {tasks: 2, outcome: keeper.RunDone, want: keeper.Running, starts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newCalmSimulation(t, func(*keeper.Config) {})
			for _, u := range sim.upstreams[1:] {
				u.seq++
				r := u.describe()
				r.Draining = true
				sim.planner.HandleReport(sim.now, planner.Report{Upstream: r, Clock: u.clock(), Seq: u.seq}, func() {})
			}
			submission := newSubmission(100, c.tasks)
			submission.Steps[0].Gang = c.gang
			sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: submission})
			sim.planner.Tick(sim.now)
			starts := acceptStarts(sim)
			is.Equal(len(starts), c.tasks)
			for range 100 {
				sim.now += 100
				sim.planner.HandlePollFailure(sim.now, starts[0].Target, false)
				sim.planner.Tick(sim.now)
			}
			is.Equal(len(acceptStarts(sim)), 0)
			result := planner.PollResult{Incarnation: 1, Clock: sim.upstream(starts[0].Target.ID).clock(), Ended: []planner.EndedRun{{Seq: 1, Run: starts[0].Run, Outcome: c.outcome}}}
			sim.planner.HandlePollResult(sim.now, sim.now, starts[0].Target, result)
			is.Equal(sim.planner.State().Jobs[jobID].Phase, c.want)
			sim.planner.Tick(sim.now)
			is.Equal(len(acceptStarts(sim)), c.starts)
		})
	}
}
