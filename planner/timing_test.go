package planner_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// TestTimingTellsStagesApart checks that the timing of a queue tells waiting for tickets, for
// capacity and for answers apart, and that it begins anew once it was taken.
func TestTimingTellsStagesApart(t *testing.T) {
	is := is.New(t)
	sim := newCalmSimulation(t, func(c *keeper.Config) {
		c.Queues[0].Queue.RequiresTicket, c.Queues[0].Queue.TicketTTL = true, 5000
	})
	sim.planner.HandleHeartbeat(sim.now, planner.Heartbeat{From: "e1", RequestsTickets: true})
	sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: newSubmission(4000, 1)})
	sim.planner.Tick(sim.now)
	request := takeOnly[planner.RequestTickets](t, sim)
	sim.now += 70
	sim.planner.HandleTickets(sim.now, request, map[unit.Upstream]string{"b": "ticket"}, 5000, nil)
	sim.now += 30
	sim.planner.Tick(sim.now)
	start := takeOnly[planner.Start](t, sim)
	sim.now += 20
	sim.planner.HandleStartResult(sim.now, start.Run, start.Target, planner.Executed{}, 0)
	sim.now += 200
	u := sim.upstreams[1]
	poll := func(wait clock.Millis, ended ...planner.EndedRun) {
		sentAt := sim.now
		sim.now += wait
		sim.planner.HandlePollResult(sim.now, sentAt, start.Target, planner.PollResult{
			Incarnation: 1, Clock: u.clock(), Running: []planner.RunStatus{{Run: start.Run}}, Ended: ended,
		})
	}
	poll(10)
	sim.now += 150
	poll(10, planner.EndedRun{Seq: 1, Run: start.Run, Outcome: keeper.RunDone})

	timing := sim.planner.TakeTiming()
	// The simulation polled the upstream before the job was submitted.
	is.Equal(timing.PollGap, planner.Span{Count: 2, Total: 470, Max: 320})
	q := timing.Queues["q"]
	is.Equal(q.Grant, planner.Span{Count: 1, Total: 70, Max: 70})
	is.Equal(q.Placement, planner.Span{Count: 1, Total: 100, Max: 100})
	is.Equal(q.Answer, planner.Span{Count: 1, Total: 20, Max: 20})
	is.Equal(q.Job, planner.Span{Count: 1, Total: 490, Max: 490})
	is.Equal(q.InTime, 1)
	is.Equal(len(sim.planner.TakeTiming().Queues), 0)
}
