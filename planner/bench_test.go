package planner_test

import (
	"fmt"
	"testing"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// BenchmarkStart measures a job of two tasks from its submission to the noted
// ends, on a domain that is three quarters full. One pass of the planner serves
// ten jobs, as the driver gathers them.
//
//	go test ./planner -run - -bench Start -benchtime 2000x
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{48, 350, 5900} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) { benchmarkStart(b, n) })
	}
}

// jobsInPass is how many jobs one pass serves.
const jobsInPass = 10

func benchmarkStart(b *testing.B, n int) {
	state := keeper.New()
	c := config(0)
	state.Do(keeper.SetConfig{Config: c})
	now := clock.Millis(1_000_000)
	p := planner.New(planner.Config{Token: 1, Since: now, MaxHold: 6000, Retention: clock.Second}, state)
	for i := range n {
		p.Report(now, planner.Report{Seq: 1, Clock: 1, Upstream: keeper.Upstream{
			ID: unit.Upstream(fmt.Sprintf("u%d", i)), Life: 1, Address: fmt.Sprintf("u%d:1", i), Service: service,
			Capacity: unit.Resources{CPU: 32000, Memory: 128 * unit.Gigabyte},
		}}, func() {})
	}
	serve(p, now, 0, n, keeper.Submission{Steps: []keeper.Step{{Count: 3, Need: unit.Resources{CPU: 8000}}}}, false)
	work := keeper.Submission{Spec: "x", Steps: []keeper.Step{{Count: 2, Need: unit.Resources{CPU: 1000}}}}
	b.ResetTimer()
	for i := 0; i < b.N; i += jobsInPass {
		now += 10
		serve(p, now, n+i, jobsInPass, work, true)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/start")
}

// serve submits jobs, starts their tasks and, if asked, ends them.
func serve(p *planner.Planner, now clock.Millis, from, count int, work keeper.Submission, end bool) {
	for i := range count {
		id := keeper.JobID(fmt.Sprintf("%016x", from+i))
		p.Handle(now, planner.Submit{To: address(id), ID: id, Work: work}, func(planner.Reply) {})
	}
	p.Tick(now)
	_, effects := p.Take()
	for i, e := range effects {
		s, ok := e.(planner.Start)
		if !ok {
			continue
		}
		p.Started(now, s.Run, s.To, planner.Done{}, 0)
		if end {
			p.Looked(now+1, now, s.To, planner.Seen{Life: 1, Clock: 1 + now, Ends: []planner.SeenEnd{{Number: int64(now)*1000 + int64(i), Run: s.Run, How: keeper.Done}}})
		}
	}
	p.Take()
}
