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

// cell returns a world of upstreams with 8 cores and 8 slots that has settled.
func cell(workers int, teams ...unit.Team) *world {
	w := newWorld(Config{}, 1)
	allotments := map[unit.Team]unit.Resources{}
	for _, t := range teams {
		allotments[t] = unlimited
	}
	w.q.SetAllotments(allotments)
	w.workers(workers, size(8, 8, 8, 8))
	w.now = clock.Minute
	return w
}

func of(team unit.Team, j job) job {
	j.Team = team
	return j
}

func once(j job) job {
	j.Repeatable = false
	return j
}

// flood keeps the cell full of small tasks that can't be preempted.
func flood(w *world, team unit.Team, j job) func() {
	return func() {
		for w.q.Waiting() < 50 {
			j.runs = clock.Millis(5+w.rng.IntN(10)) * clock.Second
			w.add(of(team, j))
		}
	}
}

// largeStarts reports whether a task of a whole upstream starts within a
// minute and a half in a cell that is full of small tasks of the same team.
func largeStarts(broken func(*Queuer)) bool {
	w := cell(4, "a")
	broken(w.q)
	small := once(kindOf("small", plain, size(1, 1, 1, 0), 10*clock.Second))
	arrive := flood(w, "a", small)
	w.advance(30*clock.Second, arrive)
	large := w.add(of("a", once(kindOf("large", plain, size(8, 8, 8, 0), 10*clock.Second))))
	w.advance(90*clock.Second, arrive)
	return large.running || w.jobs[large.ID] == nil
}

func TestLargeTaskIsNotStarved(t *testing.T) {
	is := is.New(t)
	is.True(largeStarts(func(*Queuer) {}))
	is.True(!largeStarts(func(q *Queuer) { q.noReservations = true })) // the broken variant is noticed
}

// TestGangsDontDeadlock submits gangs that need more than half of the cell
// each while small tasks arrive, and wants all of them to run.
func TestGangsDontDeadlock(t *testing.T) {
	is := is.New(t)
	w := cell(4, "a", "b", "c")
	arrive := flood(w, "c", once(kindOf("small", plain, size(1, 1, 1, 0), 10*clock.Second)))
	w.advance(20*clock.Second, arrive)
	var members []*job
	for _, team := range []unit.Team{"a", "b"} {
		g := placer.Gang{ID: unit.Workload("gang-" + team), Size: 5}
		for range g.Size {
			members = append(members, w.add(of(team, kindOf(string(team), g, size(4, 4, 4, 0), 20*clock.Second))))
		}
	}
	w.advance(180*clock.Second, arrive)
	for _, m := range members {
		is.True(m.started > 0 && !m.running) // ran to its end
	}
	is.Equal(members[0].started, members[4].started)
	is.Equal(members[5].started, members[9].started)
}

// TestBackfillDoesNotDelay keeps a reservation waiting for a long task, with
// backfill that runs ten times longer than it declares.
func TestBackfillDoesNotDelay(t *testing.T) {
	is := is.New(t)
	w := cell(1, "a", "b")
	w.add(of("a", once(kindOf("long", plain, size(4, 1, 1, 0), 30*clock.Second))))
	w.advance(clock.Second, nil)
	g := placer.Gang{ID: "gang", Size: 2}
	var members []*job
	for range g.Size {
		members = append(members, w.add(of("a", kindOf("gang", g, size(4, 1, 1, 0), 10*clock.Second))))
	}
	w.advance(3*clock.Second, nil)
	short := kindOf("short", checkpointed, size(2, 1, 1, 0), 5*clock.Second)
	short.runs = 50 * clock.Second
	filler := w.add(of("b", short))
	tooLong := w.add(of("b", kindOf("too-long", checkpointed, size(2, 1, 1, 0), clock.Minute)))
	w.advance(clock.Second, nil)
	is.True(filler.running)   // it is expected to end before the reservation
	is.True(!tooLong.running) // this one isn't
	w.advance(40*clock.Second, nil)
	is.Equal(members[0].started, members[1].started)
	is.True(members[0].started <= clock.Minute+30*clock.Second+stopTakes+tick)
}

func TestUrgentPreempts(t *testing.T) {
	is := is.New(t)
	w := cell(4, "a", "b")
	for range 32 {
		w.add(of("a", kindOf("roster", checkpointed, size(1, 1, 1, 0), clock.Hour)))
	}
	w.advance(clock.Second, nil)
	var holds []*job
	for range 20 {
		holds = append(holds, w.add(of("b", urgent(kindOf("hold", plain, size(1, 1, 1, 0), clock.Second), false))))
	}
	w.advance(1500*clock.Millisecond, nil)
	for _, h := range holds {
		is.True(h.started > 0)
	}
	is.Equal(w.preemptions, 20)
}

func TestServicesSpread(t *testing.T) {
	is := is.New(t)
	w := cell(24, "a")
	racks := map[string]int{}
	var members []*job
	for range 8 {
		members = append(members, w.add(of("a", kindOf("booking", placer.Service{}, size(1, 1, 0, 0), clock.Hour))))
	}
	w.advance(clock.Second, nil)
	upstreams := map[unit.Upstream]bool{}
	for _, m := range members {
		var n int
		fmt.Sscanf(string(m.on), "u%d", &n)
		racks[fmt.Sprint(n/6)]++
		upstreams[m.on] = true
	}
	is.Equal(racks, map[string]int{"0": 2, "1": 2, "2": 2, "3": 2})
	is.Equal(len(upstreams), 8)
}

func TestSharesInAFullCell(t *testing.T) {
	is := is.New(t)
	w := cell(10, "a", "b")
	w.q.SetTeams([]Team{{Name: "a", Share: 3}, {Name: "b", Share: 1}})
	for range 200 {
		for _, team := range []unit.Team{"a", "b"} {
			w.add(of(team, kindOf(string(team), checkpointed, size(1, 1, 1, 0), 30*clock.Second)))
		}
	}
	w.advance(20*clock.Second, nil)
	is.Equal(w.q.Allocated()["a"].Slots, unit.Count(60))
	is.Equal(w.q.Allocated()["b"].Slots, unit.Count(20))
	// What b holds elsewhere counts.
	w.q.SetRemoteAllocated(map[unit.Team]unit.Resources{"b": size(20, 0, 0, 0)})
	w.advance(40*clock.Second, nil)
	is.True(w.q.Allocated()["b"].Slots <= 6)
}

func TestFaultyUpstreams(t *testing.T) {
	cases := map[string]struct {
		faulty         []unit.Upstream
		failsAnywhere  bool
		startsOnFaulty int
		quarantined    int
	}{
		"one upstream fails everything": {faulty: []unit.Upstream{"u0000"}, startsOnFaulty: 11, quarantined: 1},
		"three of ten do":               {faulty: []unit.Upstream{"u0000", "u0004", "u0007"}, startsOnFaulty: 33, quarantined: 3},
		"one job fails everywhere":      {failsAnywhere: true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := cell(10, "a")
			for _, u := range tt.faulty {
				w.faulty[u] = true
			}
			w.advance(25*clock.Second, func() {
				if w.rng.IntN(3) == 0 {
					w.add(of("a", kindOf("good", plain, size(1, 1, 1, 0), clock.Second)))
				}
			})
			for i := range 40 {
				w.failing = tt.failsAnywhere
				w.add(of("a", kindOf(fmt.Sprint("bad", i%2), plain, size(1, 1, 1, 0), clock.Second)))
			}
			w.advance(4*clock.Second, nil)
			quarantined := 0
			for _, u := range w.q.Status(0).Upstreams {
				if u.State == placer.Quarantined {
					quarantined++
				}
			}
			is.Equal(quarantined, tt.quarantined)
			is.True(w.onFaulty <= tt.startsOnFaulty)
		})
	}
}

func TestQuarantineEnds(t *testing.T) {
	is := is.New(t)
	w := cell(2, "a")
	w.faulty["u0000"] = true
	arrive := func() {
		if w.now%(100*clock.Millisecond) == 0 {
			w.add(of("a", kindOf("work", plain, size(1, 1, 1, 0), 500*clock.Millisecond)))
		}
	}
	w.advance(20*clock.Second, arrive)
	is.Equal(w.q.Status(0).Upstreams[0].State, placer.Quarantined)
	delete(w.faulty, "u0000")
	w.advance(40*clock.Second, arrive)
	is.Equal(w.q.Status(0).Upstreams[0].State, placer.Ready)
}

func TestLearnedSizes(t *testing.T) {
	is := is.New(t)
	w := cell(1, "a")
	j := kindOf("work", checkpointed, size(1, 1, 1, 0), 10*clock.Second)
	j.uses = size(2, 2, 1, 0)
	for range 20 {
		w.add(of("a", j))
	}
	w.advance(2*clock.Second, nil) // eight started by their declared size
	w.advance(30*clock.Second, nil)
	is.Equal(w.q.Allocated()["a"].CPU, 8*unit.Core)
	is.Equal(w.q.Allocated()["a"].Slots, unit.Count(4))
}

func TestRefusals(t *testing.T) {
	fits := of("a", kindOf("work", plain, size(1, 1, 1, 0), clock.Second)).Task
	cases := map[string]struct {
		change func(*placer.Task)
		reason dispatcher.Reason
	}{
		"it fits":                 {change: func(*placer.Task) {}},
		"it fits no upstream":     {change: func(t *placer.Task) { t.Need.CPU = 9 * unit.Core }, reason: dispatcher.ReasonNeverFits},
		"it passes the limit":     {change: func(t *placer.Task) { t.Team = "small"; t.Need.CPU = 2 * unit.Core }, reason: dispatcher.ReasonTeamLimit},
		"the queue is full":       {change: func(t *placer.Task) { t.Team = "full" }, reason: dispatcher.ReasonOverloaded},
		"urgent work is let in":   {change: func(t *placer.Task) { t.Team = "full"; t.Urgent = true }},
		"a gang passes the limit": {change: func(t *placer.Task) { t.Team = "small"; t.Kind = placer.Gang{ID: "g", Size: 2} }, reason: dispatcher.ReasonTeamLimit},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := cell(1, "a")
			w.q.config.MaxWaiting = 10
			w.q.SetTeams([]Team{{Name: "small", Share: 1, Limit: size(1, 100, 100, 100)}})
			task := fits
			task.ID = "asked"
			tt.change(&task)
			for i := range 10 {
				filler := fits
				filler.ID = unit.Task(fmt.Sprint("filler", i))
				if task.Team == "full" {
					is.Equal(w.q.Add(w.now, filler), nil)
				}
			}
			refusal := w.q.Add(w.now, task)
			if tt.reason == "" {
				is.Equal(refusal, nil)
				return
			}
			is.Equal(refusal.Reason, tt.reason)
			is.True(refusal.Detail != "" && refusal.Remedy != "")
		})
	}
}
