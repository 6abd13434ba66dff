package planner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// TestLargeGangRequestsTicketsInParallel guards against a large gang that waits for one
// ticket request after the other. The domain has more upstreams than one request may name.
func TestLargeGangRequestsTicketsInParallel(t *testing.T) {
	for name, c := range map[string]struct {
		tasks, requesters, want int
		gang                    bool
	}{
		"a large gang":       {tasks: 20, requesters: 64, gang: true, want: 4},
		"a small gang":       {tasks: 4, requesters: 64, gang: true, want: 1},
		"few instances":      {tasks: 20, requesters: 20, gang: true, want: 1},
		"tasks without gang": {tasks: 20, requesters: 64, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLoad(1, 500, c.requesters, 64*unit.Gigabyte, largeQueues()[:1])
			l.submissionsEnded = true
			to := planner.Address{Host: "h", Path: "/build/" + string(jobID), APIKey: loadKey(0)}
			submission := keeper.Submission{Steps: []keeper.Step{{Count: c.tasks, Gang: c.gang, Need: unit.Resources{CPU: 1000}, Estimate: 500}}}
			l.planner.HandleRequest(l.now, planner.Submit{Address: to, ID: jobID, Submission: submission}, func(planner.Reply) {})
			l.planner.Tick(l.now)
			_, effects := l.planner.TakeOutput()
			requested := map[unit.Upstream]bool{}
			requests := 0
			for _, e := range effects {
				q, ok := e.(planner.RequestTickets)
				if !ok {
					continue
				}
				requests++
				for _, u := range q.Upstreams {
					is.True(!requested[u]) // no upstream is in two requests
					requested[u] = true
				}
			}
			is.Equal(requests, c.want)
		})
	}
}

// TestGangPreemptsOnlyWithLastingTickets guards against preemption for a gang that can't
// start afterwards: all upstreams are full, and nothing may be stopped for the gang until
// its tickets last longer than the stops take.
func TestGangPreemptsOnlyWithLastingTickets(t *testing.T) {
	is := is.New(t)
	sim := newCalmSimulation(t, func(k *keeper.Config) {
		k.Queues[0].Queue.RequiresTicket, k.Queues[0].Queue.TicketTTL, k.Queues[0].Queue.Stretch = true, 2000, 40
		k.Queues = append(k.Queues, keeper.QueueRoute{Host: "h", PathPrefix: "/low/", Queue: keeper.Queue{
			Name: "low", Service: service, Priority: 1, MaxAttempts: 3, Stretch: 9,
		}})
	})
	fillWithLowPriority(is, sim, 5*clock.Second)
	sim.planner.HandleHeartbeat(sim.now, planner.Heartbeat{From: "e1", RequestsTickets: true})
	second := keeper.JobID("00000000000000ac")
	gang := keeper.Submission{Steps: []keeper.Step{{Count: 2, Gang: true, Need: unit.Resources{CPU: 3000}, Estimate: 500}}}
	sim.request(planner.Submit{Address: address(second), ID: second, Submission: gang})
	sim.planner.Tick(sim.now)
	q := takeOnly[planner.RequestTickets](t, sim)
	// These tickets expire before the victims can have stopped.
	tickets := map[unit.Upstream]string{"a": "1", "b": "2", "c": "3"}
	sim.planner.HandleTickets(sim.now, q, tickets, 300, nil)
	for range 2 { // stops are sent in the pass after the decision
		sim.planner.Tick(sim.now)
	}
	_, effects := sim.planner.TakeOutput()
	var renewals []planner.RequestTickets
	for _, e := range effects {
		switch e := e.(type) {
		case planner.Stop:
			t.Errorf("%v is stopped for a gang whose tickets expire too soon", e.Run)
		case planner.RequestTickets:
			renewals = append(renewals, e)
		}
	}
	is.Equal(len(renewals), 1)
	sim.now += 200
	sim.planner.HandleTickets(sim.now, renewals[0], tickets, 2000, nil)
	for range 2 {
		sim.planner.Tick(sim.now)
	}
	is.Equal(len(takeEffects[planner.Stop](sim)), 6)
}
