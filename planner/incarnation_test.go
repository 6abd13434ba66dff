package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// TestEndsAreAckedOnlyToTheirIncarnation guards against the loss of a new incarnation's
// ends. The new incarnation numbers its ends anew, so a poll with the last sequence number
// of the former one would make it forget them. The number must not be sent once there are
// signs of a restart.
func TestEndsAreAckedOnlyToTheirIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		disturb     func(sim *simulation, s planner.Start)
		ackedEndSeq int64
	}{
		"a healthy upstream": {disturb: func(*simulation, planner.Start) {}, ackedEndSeq: 7},
		"a failed poll":      {disturb: func(sim *simulation, s planner.Start) { sim.planner.HandlePollFailure(sim.now, s.Target, false) }},
		"a clock that went back": {disturb: func(sim *simulation, s planner.Start) {
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

// TestLateReportOfFormerIncarnationIsIgnored guards against starts on an incarnation that
// has ended: a poll finds a new incarnation, then a late report of the former one arrives.
func TestLateReportOfFormerIncarnationIsIgnored(t *testing.T) {
	for name, between := range map[string]func(sim *simulation){
		"the same leader": func(*simulation) {},
		"a new leader":    func(sim *simulation) { sim.commit(); sim.takeOver() },
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

// TestStartPossiblyAnsweredByNextIncarnationStaysLive guards against two runs of a task at
// once: the answer to a start came from a new incarnation under the same id, and only a
// later poll finds that incarnation. The run must stay live unless the former incarnation
// had listed it.
func TestStartPossiblyAnsweredByNextIncarnationStaysLive(t *testing.T) {
	for name, c := range map[string]struct {
		listed bool
		starts int
	}{
		"never listed":                     {starts: 0},
		"listed by the former incarnation": {listed: true, starts: 1},
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

// TestLateEndOfExpiredRunIsApplied guards against a task that runs again although it is
// done: an upstream is silent until its lease has expired, and once it answers again it
// lists the end of a run from before.
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

// TestLateReportAfterHandOverKeepsDraining guards against starts on an upstream that leaves:
// a report from before it began to drain reaches a new leader, which doesn't know the sequence
// number of the last report. A report from after the hand-over may take the draining back.
func TestLateReportAfterHandOverKeepsDraining(t *testing.T) {
	for name, c := range map[string]struct {
		polled, resumes bool
		starts          int
	}{
		"before the first poll": {},
		"after the first poll":  {polled: true},
		"ready again":           {polled: true, resumes: true, starts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newCalmSimulation(t, func(*keeper.Config) {})
			u := sim.upstreams[0]
			late := planner.Report{Upstream: u.describe(), Clock: u.clock(), Seq: 100}
			for _, o := range sim.upstreams {
				o.draining, o.seq = true, 100
			}
			sim.step(10)
			sim.takeOver()
			if c.polled {
				for range 10 {
					sim.step(50)
				}
				sim.takeOver()
				sim.planner.HandlePollResult(sim.now, sim.now, planner.Target{ID: u.id, Incarnation: 1}, planner.PollResult{Incarnation: 1, Clock: u.clock()})
			}
			report := late
			if c.resumes {
				report.Clock, report.Seq = u.clock()+1, 200
			}
			sim.planner.HandleReport(sim.now, report, func() {})
			sim.planner.HandleReport(sim.now, late, func() {})
			sim.planner.HandlePollResult(sim.now, sim.now, planner.Target{ID: u.id, Incarnation: 1}, planner.PollResult{Incarnation: 1, Clock: u.clock()})
			sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: newSubmission(1000, 1)})
			sim.planner.Tick(sim.now)
			is.Equal(len(acceptStarts(sim)), c.starts)
		})
	}
}

// TestManyLostUpstreamsAreSweptInTime guards against a sweep that visits all steps for each
// lost upstream: a zone of a domain of 5,900 upstreams is lost, each with a run that may still
// start late, while 1,000 steps wait. Sweeps follow each other in 50 ms.
func TestManyLostUpstreamsAreSweptInTime(t *testing.T) {
	const lost, waiting = 2000, 1000
	now := clock.Millis(1_000_000)
	c := config(0)
	c.Queues[0].Queue.RequiresTicket = true
	state := keeper.New()
	state.ApplyCommand(keeper.SetConfig{Config: c})
	state.ApplyCommand(keeper.AcceptJob{ID: jobID, Queue: c.Queues[0].Queue, Submission: keeper.Submission{Steps: []keeper.Step{{Count: lost, Estimate: 500}}}, At: now})
	for i := range lost {
		state.ApplyCommand(keeper.SetUpstream{Upstream: reportOf(i, 1, now).Upstream})
		state.ApplyCommand(keeper.StartRun{Task: keeper.StepID{Job: jobID}.TaskID(i), Number: 1, Upstream: reportOf(i, 1, now).Upstream.ID, Incarnation: 1, At: now})
	}
	for i := range waiting {
		state.ApplyCommand(keeper.AcceptJob{ID: keeper.JobID(fmt.Sprintf("%016x", i)), Queue: c.Queues[0].Queue, Submission: keeper.Submission{Steps: []keeper.Step{{Count: 1, Estimate: 500}}}, At: now})
	}
	p := planner.New(planner.Config{FencingToken: 1, LeaderSince: now, MaxLease: maxLease, Retention: clock.Hour}, state)
	// One upstream works, and all steps were refused there.
	p.HandleReport(now, reportOf(lost, 1, now), func() {})
	for i := range waiting {
		p.HandleHeartbeat(now, planner.Heartbeat{From: unit.Instance(fmt.Sprint("e", i)), RequestsTickets: true})
	}
	for _, q := range takeTicketRequests(p, now+10) {
		p.HandleTickets(now+15, q, nil, 0, nil)
	}
	for i := range lost {
		p.HandlePollFailure(now+20, planner.Target{ID: reportOf(i, 1, now).Upstream.ID, Incarnation: 1}, true)
	}
	best := clock.Minute.Duration()
	for i := range 5 {
		started := time.Now()
		p.Tick(now + 100 + clock.Millis(60*i))
		best = min(best, time.Since(started))
	}
	if best > 50*time.Millisecond {
		t.Errorf("a pass takes %v", best)
	}
}
