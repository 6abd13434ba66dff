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

// TestReportOfUnknownServiceChangesNothing guards against upstreams that another writer takes
// out of use: reports under their ids, of a service that no configuration names, with a later
// start and an address of their own. Their own reports must still count, and a job must start.
func TestReportOfUnknownServiceChangesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		// before is set if the reports arrive before those of the upstreams, stored if a
		// former version has recorded them.
		before, stored bool
	}{
		"after the upstreams' own reports":  {},
		"before the upstreams' own reports": {before: true},
		"recorded by a former version":      {stored: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newCalmSimulation(t, func(*keeper.Config) {})
			if c.before {
				sim = newSimulation(t, func(int) int { return 1 }, 3)
				sim.faultless = true
			}
			acked := 0
			for seq := range 3 {
				for _, u := range sim.upstreams {
					d := keeper.Upstream{ID: u.id, Incarnation: 99, Address: "agent:" + string(u.id), Service: "metrics", Zone: u.zone}
					if c.stored && seq == 0 {
						sim.log.ApplyCommand(keeper.SetUpstream{Upstream: d})
						continue
					}
					sim.planner.HandleReport(sim.now, planner.Report{Upstream: d, Clock: 1, Seq: int64(seq + 1)}, func() { acked++ })
				}
				if c.stored && seq == 0 {
					sim.takeOver()
				}
				sim.commit()
				for range 10 {
					sim.step(50)
				}
			}
			is.True(acked > 0) // the other writer is answered
			is.True(sim.planner.Status().IgnoredReports >= acked)
			sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: newSubmission(1000, 1)})
			for range 40 {
				sim.step(50)
			}
			is.Equal(sim.log.Jobs[jobID].Phase, keeper.Completed)
		})
	}
}

// TestDrainingCountsWhileTheServiceIsRemoved guards against starts on an upstream that leaves:
// it begins to drain while no configuration names its service, and a later configuration names
// it again.
func TestDrainingCountsWhileTheServiceIsRemoved(t *testing.T) {
	is := is.New(t)
	sim := newCalmSimulation(t, func(*keeper.Config) {})
	put := func(version int64, services ...keeper.Service) {
		c := config(0)
		c.Version, c.Services = version, services
		is.Equal(sim.request(planner.PutConfig{Config: c}).Code, planner.OK)
	}
	put(3)
	for _, u := range sim.upstreams {
		u.draining = true
	}
	sim.step(50)
	put(4, keeper.Service{Name: service})
	sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: newSubmission(1000, 1)})
	sim.planner.Tick(sim.now)
	is.Equal(len(acceptStarts(sim)), 0)
}
