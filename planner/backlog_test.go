package planner_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
)

// TestFloodOfOneAccountIsBounded guards the leader's memory against an account that submits
// at least ten times the jobs that its backlog may hold.
func TestFloodOfOneAccountIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		jobs       int
		submission keeper.Submission
	}{
		"many small jobs": {jobs: 400_000, submission: newSubmission(100, 1)},
		"large jobs":      {jobs: 200, submission: newSubmission(100, 100_000)},
		"long texts":      {jobs: 4000, submission: keeper.Submission{Spec: string(make([]byte, 200_000)), Steps: newSubmission(100, 1).Steps}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newCalmSimulation(t, func(k *keeper.Config) {
				k.Accounts = append(k.Accounts, keeper.Account{Name: "other", Keys: []string{"o"}})
			})
			ids := 0
			submit := func(key string, id keeper.JobID, submission keeper.Submission) planner.Reply {
				var reply planner.Reply
				to := address(id)
				to.APIKey = key
				sim.planner.HandleRequest(sim.now, planner.Submit{Address: to, ID: id, Submission: submission}, func(a planner.Reply) { reply = a })
				_, effects := sim.planner.TakeOutput()
				effects[0].(planner.Respond).Send()
				return reply
			}
			next := func() keeper.JobID {
				ids++
				return keeper.JobID(fmt.Sprintf("%016x", ids))
			}
			before := heapInUse()
			var accepted []keeper.JobID
			refused := 0
			for range c.jobs {
				id := next()
				switch a := submit("k", id, c.submission); a.Code {
				case planner.OK:
					accepted = append(accepted, id)
				case planner.Overloaded:
					refused++
					is.True(a.RetryAfter > 0)
				default:
					t.Fatal(a)
				}
			}
			is.True(len(accepted) <= c.jobs/10)
			is.Equal(len(accepted)+refused, c.jobs)
			is.True(heapInUse()-before < 2*int64(planner.MaxBacklog))
			// Other accounts aren't affected, and an accepted job may be submitted again.
			is.Equal(submit("o", next(), newSubmission(100, 1)).Code, planner.OK)
			is.Equal(submit("k", accepted[0], c.submission).Code, planner.OK)
			// Ended jobs free a part of the backlog.
			for _, id := range accepted[:len(accepted)/2] {
				sim.planner.HandleRequest(sim.now, planner.Cancel{Address: address(id), ID: id}, func(planner.Reply) {})
			}
			sim.now += 1000
			sim.planner.Tick(sim.now)
			sim.planner.TakeOutput()
			is.Equal(submit("k", next(), c.submission).Code, planner.OK)
		})
	}
}

// heapInUse returns the bytes in use after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
