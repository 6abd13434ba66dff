package planner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// TestLargeGangAsksSeveralInstances has one gang wait on more upstreams than a
// question may name.
func TestLargeGangAsksSeveralInstances(t *testing.T) {
	for name, c := range map[string]struct {
		tasks, advisers, want int
		gang                  bool
	}{
		"a large gang":       {tasks: 20, advisers: 64, gang: true, want: 4},
		"a small gang":       {tasks: 4, advisers: 64, gang: true, want: 1},
		"few instances":      {tasks: 20, advisers: 20, gang: true, want: 1},
		"tasks without gang": {tasks: 20, advisers: 64, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLoad(1, 500, c.advisers, 64*unit.Gigabyte, largeQueues()[:1])
			l.quiet = true
			to := planner.Address{Host: "h", Path: "/build/" + string(first), APIKey: loadKey(0)}
			work := keeper.Submission{Steps: []keeper.Step{{Count: c.tasks, Gang: c.gang, Need: unit.Resources{CPU: 1000}, Estimate: 500}}}
			l.planner.HandleRequest(l.now, planner.Submit{Address: to, ID: first, Submission: work}, func(planner.Reply) {})
			l.planner.Tick(l.now)
			_, effects := l.planner.TakeOutput()
			asked := map[unit.Upstream]bool{}
			questions := 0
			for _, e := range effects {
				q, ok := e.(planner.RequestTickets)
				if !ok {
					continue
				}
				questions++
				for _, u := range q.Upstreams {
					is.True(!asked[u]) // no upstream is asked about twice
					asked[u] = true
				}
			}
			is.Equal(questions, c.want)
		})
	}
}

// TestNothingStopsForAGangWithoutTickets has a gang wait on full upstreams. Until its
// tickets last long enough for the stops, nothing gives way to it.
func TestNothingStopsForAGangWithoutTickets(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(k *keeper.Config) {
		k.Queues[0].Queue.RequiresTicket, k.Queues[0].Queue.TicketTTL, k.Queues[0].Queue.Stretch = true, 2000, 40
		k.Queues = append(k.Queues, keeper.QueueRoute{Host: "h", PathPrefix: "/low/", Queue: keeper.Queue{
			Name: "low", Service: service, Priority: 1, MaxAttempts: 3, Stretch: 9,
		}})
	})
	fillWithLow(is, w, 5*clock.Second)
	w.planner.HandleHeartbeat(w.now, planner.Heartbeat{From: "e1", RequestsTickets: true})
	second := keeper.JobID("00000000000000ac")
	gang := keeper.Submission{Steps: []keeper.Step{{Count: 2, Gang: true, Need: unit.Resources{CPU: 3000}, Estimate: 500}}}
	w.ask(planner.Submit{Address: address(second), ID: second, Submission: gang})
	w.planner.Tick(w.now)
	q := only[planner.RequestTickets](t, w)
	// These tickets end before what gives way can have stopped.
	tickets := map[unit.Upstream]string{"a": "1", "b": "2", "c": "3"}
	w.planner.HandleTickets(w.now, q, tickets, 300, nil)
	for range 2 { // stops go out in the pass after the decision
		w.planner.Tick(w.now)
	}
	_, effects := w.planner.TakeOutput()
	var again []planner.RequestTickets
	for _, e := range effects {
		switch e := e.(type) {
		case planner.Stop:
			t.Errorf("%v is stopped for a gang whose tickets end too soon", e.Run)
		case planner.RequestTickets:
			again = append(again, e)
		}
	}
	is.Equal(len(again), 1)
	w.now += 200
	w.planner.HandleTickets(w.now, again[0], tickets, 2000, nil)
	for range 2 {
		w.planner.Tick(w.now)
	}
	is.Equal(len(taken[planner.Stop](w)), 6)
}
