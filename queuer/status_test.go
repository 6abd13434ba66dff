package queuer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

func TestWaitReason(t *testing.T) {
	work := newJob("work", plain, resources(1, 1, 1, 0), clock.Minute)
	cases := map[string]struct {
		prepare func(*simulation) *job
		reason  dispatcher.Reason
		detail  string
	}{
		"it depends on another workload": {
			prepare: func(sim *simulation) *job {
				j := forTeam("a", work)
				j.DependsOn = []unit.Workload{"first"}
				return sim.add(j)
			},
			reason: dispatcher.ReasonOverloaded, detail: "it starts after first",
		},
		"its team has no allotment": {
			prepare: func(sim *simulation) *job { return sim.add(forTeam("none", work)) },
			reason:  dispatcher.ReasonTeamLimit, detail: "team none lacks 1000 mCPU, 1000 MB of memory, 1 slots of its allotment in this zone",
		},
		"no upstream has the capacity": {
			prepare: func(sim *simulation) *job {
				sim.add(forTeam("a", notRepeatable(newJob("large", plain, resources(8, 1, 1, 0), clock.Minute))))
				return sim.add(forTeam("b", work))
			},
			reason: dispatcher.ReasonOverloaded, detail: "no upstream has 1000 mCPU, 1000 MB of memory, 1 slots free",
		},
		"a gang isn't complete": {
			prepare: func(sim *simulation) *job {
				return sim.add(forTeam("a", newJob("gang", placer.Gang{ID: "gang", Size: 2}, resources(1, 1, 1, 0), clock.Minute)))
			},
			reason: dispatcher.ReasonOverloaded, detail: "only 1 of the 2 tasks that start together were submitted",
		},
		"a gang is larger than the cell": {
			prepare: func(sim *simulation) *job {
				sim.add(forTeam("a", newJob("gang", placer.Gang{ID: "gang", Size: 2}, resources(8, 1, 1, 0), clock.Minute)))
				return sim.add(forTeam("a", newJob("gang", placer.Gang{ID: "gang", Size: 2}, resources(8, 1, 1, 0), clock.Minute)))
			},
			reason: dispatcher.ReasonNeverFits, detail: "the upstreams of the zone together don't hold 2 times 8000 mCPU, 1000 MB of memory, 1 slots",
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSettledSimulation(1, "a", "b")
			j := tt.prepare(sim)
			sim.advance(clock.Second, nil)
			why, waiting := sim.q.WaitReason(j.ID)
			is.True(waiting)
			is.Equal(why.Reason, tt.reason)
			is.Equal(why.Detail, tt.detail)
			is.True(why.Remedy != "")
			is.Equal(sim.q.Status(10).First[0].Why, why)
		})
	}
}

func TestRejectReasons(t *testing.T) {
	work := forTeam("a", newJob("work", plain, resources(1, 1, 1, 0), clock.Minute))
	cases := map[string]struct {
		prepare func(*simulation) *job
		reason  dispatcher.Reason
	}{
		"a dependency fails": {
			prepare: func(sim *simulation) *job {
				j := work
				j.DependsOn = []unit.Workload{"first"}
				added := sim.add(j)
				sim.q.ResolveDependency("first", false)
				return added
			},
			reason: dispatcher.ReasonDependencyFailed,
		},
		"the deadline passes": {
			prepare: func(sim *simulation) *job {
				j := work
				j.Team = "none"
				j.StartDeadline = sim.now + 10*clock.Second
				return sim.add(j)
			},
			reason: dispatcher.ReasonDeadline,
		},
		"the only upstream that is large enough was removed": {
			prepare: func(sim *simulation) *job {
				sim.q.SetUpstream(sim.now, placer.Upstream{ID: "large", Capacity: resources(32, 32, 8, 8), Unschedulable: true})
				j := work
				j.Need = resources(16, 1, 1, 0)
				added := sim.add(j)
				sim.q.RemoveUpstream(sim.now, "large")
				return added
			},
			reason: dispatcher.ReasonNeverFits,
		},
		"a gang is larger than the cell": {
			prepare: func(sim *simulation) *job {
				j := forTeam("a", newJob("gang", placer.Gang{ID: "gang", Size: 2}, resources(8, 1, 1, 0), clock.Minute))
				sim.add(j)
				return sim.add(j)
			},
			reason: dispatcher.ReasonNeverFits,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSettledSimulation(1, "a")
			j := tt.prepare(sim)
			other := sim.add(work)
			var reason dispatcher.Reason
			for sim.now < 10*clock.Minute && reason == "" {
				sim.now += clock.Second
				for _, d := range sim.q.Decide(sim.now, 100) {
					if r, ok := d.(Reject); ok && r.Task == j.ID {
						reason = r.Refusal.Reason
					}
					if s, ok := d.(Start); ok && s.Task == other.ID {
						other.running = true
					}
				}
			}
			is.Equal(reason, tt.reason)
			is.True(other.running) // the rejected task didn't block another
		})
	}
}

func TestCancelBurst(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(4, "a")
	sim.advance(clock.Second, nil)
	var ids []unit.Task
	for i := range 10_000 {
		j := newJob("work", checkpointed, resources(1+i%8, 1, 1, 0), clock.Second)
		ids = append(ids, sim.add(forTeam("a", j)).ID)
	}
	sim.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		is.True(sim.q.Cancel(sim.now, id))
		is.True(!sim.q.Cancel(sim.now, id)) // a repeated call is harmless
	}
	is.Equal(sim.q.Waiting(), 0)
	is.Equal(len(sim.q.lanes), 0)
	is.Equal(len(sim.q.Decide(sim.now, 100)), 0)
}

// TestAdjustAllotmentsReleasesUnusedExcess checks that AdjustAllotments releases
// the excess that isn't used, returns the same part until FinishRelease, and
// releases nothing that tasks of an earlier scheduler may use.
func TestAdjustAllotmentsReleasesUnusedExcess(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	allotments := map[unit.Team]unit.Resources{"a": resources(10, 0, 0, 0)}
	excess := map[unit.Team]unit.Resources{"a": resources(4, 0, 0, 0)}
	is.Equal(len(q.AdjustAllotments(allotments, excess)), 0) // SetInherited may still be called
	q.SetInherited("a", allotments["a"])
	q.Decide(clock.Second, 1)
	is.Equal(len(q.AdjustAllotments(allotments, excess)), 0)
	q.Adopt(clock.Second, placer.Task{ID: "t", Team: "a", Kind: plain, Need: resources(7, 0, 0, 0)}, "u")
	q.ClearInherited("a")
	pending := map[unit.Team]unit.Resources{"a": resources(3, 0, 0, 0)}
	is.Equal(q.AdjustAllotments(allotments, excess), pending)
	q.FinishTask(clock.Second, "t", Succeeded{})
	is.Equal(q.AdjustAllotments(allotments, excess), pending) // there is one release at a time
	q.FinishRelease("a", resources(7, 0, 0, 0), resources(1, 0, 0, 0))
	remaining := q.AdjustAllotments(map[unit.Team]unit.Resources{"a": resources(7, 0, 0, 0)}, map[unit.Team]unit.Resources{"a": resources(1, 0, 0, 0)})
	is.Equal(remaining, map[unit.Team]unit.Resources{"a": resources(1, 0, 0, 0)})
}
