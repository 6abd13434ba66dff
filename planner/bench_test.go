package planner_test

import (
	"fmt"
	"testing"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// BenchmarkStart measures the planner's time for a job of two tasks, from its submission to
// the recorded ends, on a domain that is three quarters full. One pass of the planner
// serves ten jobs, as the driver batches them.
//
//	go test ./planner -run - -bench Start -benchtime 2000x
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{48, 350, 5900} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) { benchmarkStart(b, n) })
	}
}

// jobsInPass is the number of jobs that one pass serves.
const jobsInPass = 10

func benchmarkStart(b *testing.B, n int) {
	state := keeper.New()
	c := config(0)
	state.ApplyCommand(keeper.SetConfig{Config: c})
	now := clock.Millis(1_000_000)
	p := planner.New(planner.Config{FencingToken: 1, LeaderSince: now, MaxLease: 6000, Retention: clock.Second}, state)
	for i := range n {
		p.HandleReport(now, planner.Report{Seq: 1, Clock: 1, Upstream: keeper.Upstream{
			ID: unit.Upstream(fmt.Sprintf("u%d", i)), Incarnation: 1, Address: fmt.Sprintf("u%d:1", i), Service: service,
			Capacity: unit.Resources{CPU: 32000, Memory: 128 * unit.Gigabyte},
		}}, func() {})
	}
	serveJobs(p, now, 0, n, keeper.Submission{Steps: []keeper.Step{{Count: 3, Need: unit.Resources{CPU: 8000}}}}, false)
	submission := keeper.Submission{Spec: "x", Steps: []keeper.Step{{Count: 2, Need: unit.Resources{CPU: 1000}}}}
	b.ResetTimer()
	for i := 0; i < b.N; i += jobsInPass {
		now += 10
		serveJobs(p, now, n+i, jobsInPass, submission, true)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/start")
}

// serveJobs submits jobs, starts their tasks and, if end is set, ends them.
func serveJobs(p *planner.Planner, now clock.Millis, from, count int, submission keeper.Submission, end bool) {
	for i := range count {
		id := keeper.JobID(fmt.Sprintf("%016x", from+i))
		p.HandleRequest(now, planner.Submit{Address: address(id), ID: id, Submission: submission}, func(planner.Reply) {})
	}
	p.Tick(now)
	_, effects := p.TakeOutput()
	for i, e := range effects {
		s, ok := e.(planner.Start)
		if !ok {
			continue
		}
		p.HandleStartResult(now, s.Run, s.Target, planner.Executed{}, 0)
		if end {
			p.HandlePollResult(now+1, now, s.Target, planner.PollResult{Incarnation: 1, Clock: 1 + now, Ended: []planner.EndedRun{{Seq: int64(now)*1000 + int64(i), Run: s.Run, Outcome: keeper.RunDone}}})
		}
	}
	p.TakeOutput()
}
