package keeper_test

import (
	"fmt"
	"testing"

	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// largeState returns a state of about the size that the users' largest deployment
// has after a minute: 1,100 upstreams, 10,000 jobs, most of them ended, and 10,000
// live runs.
func largeState() *keeper.State {
	s := keeper.New()
	for i := range 1100 {
		s.ApplyCommand(keeper.SetUpstream{Upstream: keeper.Upstream{
			ID: unit.Upstream(fmt.Sprintf("i-%08x", i)), Incarnation: 1_700_000_000_000, Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
			Service: "booking", Zone: "southeast-a", Rack: "r1-3", Labels: []string{"a", "r1-3"}, Machine: fmt.Sprintf("m-%08x", i),
			Capacity: unit.Resources{CPU: 32000, Memory: 64 * unit.Gigabyte},
		}})
	}
	for j := range 10_000 {
		id := keeper.JobID(fmt.Sprintf("%016x", j))
		submission := keeper.Submission{Spec: "a specification of usual length, as the users' clients send it", Steps: []keeper.Step{
			{Count: 20, Need: unit.Resources{CPU: 1000, Memory: unit.Gigabyte}, Estimate: 2000, Checkpointing: true},
		}}
		s.ApplyCommand(keeper.AcceptJob{ID: id, Account: "t", Queue: keeper.Queue{Name: "q", Service: "booking"}, Submission: submission, At: 1000})
		if j < 9_500 {
			s.ApplyCommand(keeper.EndJob{ID: id, Phase: keeper.Completed, At: 2000})
			continue
		}
		for x := range 20 {
			s.ApplyCommand(keeper.StartRun{
				Task: keeper.TaskID{Job: id, Index: x}, Number: 1, Incarnation: 1_700_000_000_000, At: 1500,
				Upstream: unit.Upstream(fmt.Sprintf("i-%08x", (j*20+x)%1100)),
			})
		}
	}
	return s
}

// BenchmarkSnapshot measures how long it takes to encode a snapshot and to restore
// it, as a new leader does.
func BenchmarkSnapshot(b *testing.B) {
	s := largeState()
	data := s.Snapshot()
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			s.Snapshot()
		}
		b.ReportMetric(float64(len(data))/1e6, "MB")
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := keeper.New().Restore(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}
