package planner_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
)

// TestReportEndsNoOtherUpstream guards against two runs of a task at once: a report with the
// address of an upstream, under another id and with a later start, must not end the upstream's
// runs. Only an answer from the address shows which of the two serves there.
func TestReportEndsNoOtherUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		// service is that of the report.
		service string
		// replaced is set if the reported upstream answers the poll of the other one.
		replaced bool
		starts   int
	}{
		"an entry of another writer":                         {service: "metrics"},
		"a late report of an upstream whose clock was ahead": {service: service},
		"an upstream that has taken over the address":        {service: service, replaced: true, starts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newCalmSimulation(t, func(*keeper.Config) {})
			sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: newSubmission(1000, 1)})
			sim.planner.Tick(sim.now)
			s := acceptStarts(sim)[0]
			pollWithEnds(sim, s.Target.ID, nil, []planner.Start{s})
			sim.now += 100
			sim.planner.HandleReport(sim.now, planner.Report{Seq: 1, Clock: 1, Upstream: keeper.Upstream{
				ID: "other", Incarnation: 99, Address: s.Target.Address, Service: c.service, Zone: s.Target.Zone,
			}}, func() {})
			_, effects := sim.planner.TakeOutput()
			polled := slices.ContainsFunc(effects, func(e planner.Effect) bool {
				p, ok := e.(planner.PollNow)
				return ok && p.Target.ID == s.Target.ID
			})
			if c.replaced {
				is.True(polled) // the upstream must be asked at once
				sim.planner.HandlePollFailure(sim.now, s.Target, true)
			} else {
				pollWithEnds(sim, s.Target.ID, nil, []planner.Start{s})
			}
			sim.planner.Tick(sim.now + 100)
			is.Equal(len(acceptStarts(sim)), c.starts)
		})
	}
}
