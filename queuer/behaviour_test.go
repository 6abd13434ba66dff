package queuer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// newSettledSimulation returns a simulation with the given number of upstreams of
// 8 cores and 8 slots. Its time is past upstreamGrace. The teams have unlimited
// allotments.
func newSettledSimulation(upstreams int, teams ...unit.Team) *simulation {
	sim := newSimulation(Config{}, 1)
	allotments := map[unit.Team]unit.Resources{}
	for _, t := range teams {
		allotments[t] = unlimited
	}
	sim.q.SetAllotments(allotments)
	sim.addUpstreams(upstreams, resources(8, 8, 8, 8))
	sim.now = clock.Minute
	return sim
}

func forTeam(team unit.Team, j job) job {
	j.Team = team
	return j
}

func notRepeatable(j job) job {
	j.Repeatable = false
	return j
}

// keepFull returns a function that fills the queue up to 50 copies of a job with
// random run times.
func keepFull(sim *simulation, team unit.Team, j job) func() {
	return func() {
		for sim.q.Waiting() < 50 {
			j.actualRunTime = clock.Millis(5+sim.rng.IntN(10)) * clock.Second
			sim.add(forTeam(team, j))
		}
	}
}

// largeTaskStarts reports whether a task that needs a whole upstream starts within
// 90 seconds in a cell that is full of small tasks of the same team. broken
// changes the queuer first.
func largeTaskStarts(broken func(*Queuer)) bool {
	sim := newSettledSimulation(4, "a")
	broken(sim.q)
	small := notRepeatable(newJob("small", plain, resources(1, 1, 1, 0), 10*clock.Second))
	arrive := keepFull(sim, "a", small)
	sim.advance(30*clock.Second, arrive)
	large := sim.add(forTeam("a", notRepeatable(newJob("large", plain, resources(8, 8, 8, 0), 10*clock.Second))))
	sim.advance(90*clock.Second, arrive)
	return large.running || sim.jobs[large.ID] == nil
}

func TestLargeTaskIsNotStarved(t *testing.T) {
	is := is.New(t)
	is.True(largeTaskStarts(func(*Queuer) {}))
	is.True(!largeTaskStarts(func(q *Queuer) { q.noReservations = true })) // the test detects the broken variant
}

// TestGangsDoNotDeadlock submits two gangs that each need more than half of the
// cell while small tasks arrive, and requires that both run.
func TestGangsDoNotDeadlock(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(4, "a", "b", "c")
	arrive := keepFull(sim, "c", notRepeatable(newJob("small", plain, resources(1, 1, 1, 0), 10*clock.Second)))
	sim.advance(20*clock.Second, arrive)
	var members []*job
	for _, team := range []unit.Team{"a", "b"} {
		g := placer.Gang{ID: unit.Workload("gang-" + team), Size: 5}
		for range g.Size {
			members = append(members, sim.add(forTeam(team, newJob(string(team), g, resources(4, 4, 4, 0), 20*clock.Second))))
		}
	}
	sim.advance(180*clock.Second, arrive)
	for _, m := range members {
		is.True(m.started > 0 && !m.running) // ran to its end
	}
	is.Equal(members[0].started, members[4].started)
	is.Equal(members[5].started, members[9].started)
}

// TestBackfillDoesNotDelayReservation makes a reservation wait for a long task,
// with backfill that runs ten times as long as it declares. The backfill must be
// stopped when the reservation's capacity would be free without it.
func TestBackfillDoesNotDelayReservation(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(1, "a", "b")
	sim.add(forTeam("a", notRepeatable(newJob("long", plain, resources(4, 1, 1, 0), 30*clock.Second))))
	sim.advance(clock.Second, nil)
	g := placer.Gang{ID: "gang", Size: 2}
	var members []*job
	for range g.Size {
		members = append(members, sim.add(forTeam("a", newJob("gang", g, resources(4, 1, 1, 0), 10*clock.Second))))
	}
	sim.advance(3*clock.Second, nil)
	short := newJob("short", checkpointed, resources(2, 1, 1, 0), 5*clock.Second)
	short.actualRunTime = 50 * clock.Second
	filler := sim.add(forTeam("b", short))
	tooLong := sim.add(forTeam("b", newJob("too-long", checkpointed, resources(2, 1, 1, 0), clock.Minute)))
	sim.advance(clock.Second, nil)
	is.True(filler.running)   // it is expected to end before the reservation
	is.True(!tooLong.running) // this one isn't
	sim.advance(40*clock.Second, nil)
	is.Equal(members[0].started, members[1].started)
	is.True(members[0].started <= clock.Minute+30*clock.Second+stopTime+tick)
}

func TestUrgentTasksPreemptBatch(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(4, "a", "b")
	for range 32 {
		sim.add(forTeam("a", newJob("roster", checkpointed, resources(1, 1, 1, 0), clock.Hour)))
	}
	sim.advance(clock.Second, nil)
	var urgentJobs []*job
	for range 20 {
		urgentJobs = append(urgentJobs, sim.add(forTeam("b", urgent(newJob("hold", plain, resources(1, 1, 1, 0), clock.Second), false))))
	}
	sim.advance(1500*clock.Millisecond, nil)
	for _, j := range urgentJobs {
		is.True(j.started > 0)
	}
	is.Equal(sim.preemptions, 20)
}

func TestServiceIsSpreadOverRacks(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(24, "a")
	racks := map[string]int{}
	var members []*job
	for range 8 {
		members = append(members, sim.add(forTeam("a", newJob("booking", placer.Service{}, resources(1, 1, 0, 0), clock.Hour))))
	}
	sim.advance(clock.Second, nil)
	upstreams := map[unit.Upstream]bool{}
	for _, m := range members {
		var n int
		fmt.Sscanf(string(m.upstream), "u%d", &n)
		racks[fmt.Sprint(n/6)]++
		upstreams[m.upstream] = true
	}
	is.Equal(racks, map[string]int{"0": 2, "1": 2, "2": 2, "3": 2})
	is.Equal(len(upstreams), 8)
}

func TestFullCellIsSharedByWeight(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(10, "a", "b")
	sim.q.SetTeams([]Team{{Name: "a", Share: 3}, {Name: "b", Share: 1}})
	for range 200 {
		for _, team := range []unit.Team{"a", "b"} {
			sim.add(forTeam(team, newJob(string(team), checkpointed, resources(1, 1, 1, 0), 30*clock.Second)))
		}
	}
	sim.advance(20*clock.Second, nil)
	is.Equal(sim.q.Allocated()["a"].Slots, unit.Count(60))
	is.Equal(sim.q.Allocated()["b"].Slots, unit.Count(20))
	// What b's tasks are charged in other zones counts for its share.
	sim.q.SetRemoteAllocated(map[unit.Team]unit.Resources{"b": resources(20, 0, 0, 0)})
	sim.advance(40*clock.Second, nil)
	is.True(sim.q.Allocated()["b"].Slots <= 6)
}

func TestFaultyUpstreamsAreQuarantined(t *testing.T) {
	cases := map[string]struct {
		faulty         []unit.Upstream
		failsAnywhere  bool
		startsOnFaulty int
		quarantined    int
	}{
		"one upstream fails everything": {faulty: []unit.Upstream{"u0000"}, startsOnFaulty: 11, quarantined: 1},
		"three of ten fail everything":  {faulty: []unit.Upstream{"u0000", "u0004", "u0007"}, startsOnFaulty: 33, quarantined: 3},
		"one job fails everywhere":      {failsAnywhere: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSettledSimulation(10, "a")
			for _, u := range tt.faulty {
				sim.faulty[u] = true
			}
			sim.advance(25*clock.Second, func() {
				if sim.rng.IntN(3) == 0 {
					sim.add(forTeam("a", newJob("good", plain, resources(1, 1, 1, 0), clock.Second)))
				}
			})
			for i := range 40 {
				sim.failing = tt.failsAnywhere
				sim.add(forTeam("a", newJob(fmt.Sprint("bad", i%2), plain, resources(1, 1, 1, 0), clock.Second)))
			}
			sim.advance(4*clock.Second, nil)
			quarantined := 0
			for _, u := range sim.q.Status(0).Upstreams {
				if u.State == placer.Quarantined {
					quarantined++
				}
			}
			is.Equal(quarantined, tt.quarantined)
			is.True(sim.startsOnFaulty <= tt.startsOnFaulty)
		})
	}
}

func TestQuarantineEndsAfterRepair(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(2, "a")
	sim.faulty["u0000"] = true
	arrive := func() {
		if sim.now%(100*clock.Millisecond) == 0 {
			sim.add(forTeam("a", newJob("work", plain, resources(1, 1, 1, 0), 500*clock.Millisecond)))
		}
	}
	sim.advance(20*clock.Second, arrive)
	is.Equal(sim.q.Status(0).Upstreams[0].State, placer.Quarantined)
	delete(sim.faulty, "u0000")
	sim.advance(40*clock.Second, arrive)
	is.Equal(sim.q.Status(0).Upstreams[0].State, placer.Ready)
}

func TestTasksAreChargedByLearnedUsage(t *testing.T) {
	is := is.New(t)
	sim := newSettledSimulation(1, "a")
	j := newJob("work", checkpointed, resources(1, 1, 1, 0), 10*clock.Second)
	j.actualUsage = resources(2, 2, 1, 0)
	for range 20 {
		sim.add(forTeam("a", j))
	}
	sim.advance(2*clock.Second, nil) // eight started, charged by their declared need
	sim.advance(30*clock.Second, nil)
	is.Equal(sim.q.Allocated()["a"].CPU, 8*unit.Core)
	is.Equal(sim.q.Allocated()["a"].Slots, unit.Count(4))
}

func TestAddRefusals(t *testing.T) {
	fits := forTeam("a", newJob("work", plain, resources(1, 1, 1, 0), clock.Second)).Task
	cases := map[string]struct {
		change func(*placer.Task)
		reason dispatcher.Reason
	}{
		"it fits":                {change: func(*placer.Task) {}},
		"it fits on no upstream": {change: func(t *placer.Task) { t.Need.CPU = 9 * unit.Core }, reason: dispatcher.ReasonNeverFits},
		"it exceeds the limit":   {change: func(t *placer.Task) { t.Team = "small"; t.Need.CPU = 2 * unit.Core }, reason: dispatcher.ReasonTeamLimit},
		"the queue is full":      {change: func(t *placer.Task) { t.Team = "full" }, reason: dispatcher.ReasonOverloaded},
		"the queue is full of batch, it is urgent": {change: func(t *placer.Task) { t.Team = "full"; t.Urgent = true }},
		"a gang exceeds the limit":                 {change: func(t *placer.Task) { t.Team = "small"; t.Kind = placer.Gang{ID: "g", Size: 2} }, reason: dispatcher.ReasonTeamLimit},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSettledSimulation(1, "a")
			sim.q.config.MaxWaiting = 10
			sim.q.SetTeams([]Team{{Name: "small", Share: 1, Limit: resources(1, 100, 100, 100)}})
			task := fits
			task.ID = "asked"
			tt.change(&task)
			for i := range 10 {
				filler := fits
				filler.ID = unit.Task(fmt.Sprint("filler", i))
				if task.Team == "full" {
					is.Equal(sim.q.Add(sim.now, filler), nil)
				}
			}
			refusal := sim.q.Add(sim.now, task)
			if tt.reason == "" {
				is.Equal(refusal, nil)
				return
			}
			is.Equal(refusal.Reason, tt.reason)
			is.True(refusal.Detail != "" && refusal.Remedy != "")
		})
	}
}
