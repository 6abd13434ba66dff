package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// TestPropertyInvariantsUnderFaults runs a domain under random faults: lost and late
// orders, upstreams that crash, restart or are partitioned, and leaders that fail with what
// they hadn't committed, while zones are evacuated and evacuations withdrawn. The fake
// upstreams check each start, and no start is committed in an evacuated zone. Once the faults
// are over, all jobs must end.
func TestPropertyInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		pick := rng.IntN
		sim := newSimulation(t, pick, 4)
		sim.maxListedEnds, sim.evacuateBound = 2, 20
		sim.rareFaults = pick(2) == 0
		sim.takeOver()
		events := 150
		if sim.rareFaults {
			events = 600
		}
		for range events {
			sim.doRandomEvent()
			sim.step(clock.Millis(5 + pick(120)))
		}
		sim.settle()
	})
}

// doRandomEvent makes one random event happen, or none.
func (sim *simulation) doRandomEvent() {
	u := sim.upstreams[sim.pick(len(sim.upstreams))]
	kind := sim.pick(14)
	if sim.rareFaults && (kind < 4 && sim.pick(6) > 0 || kind >= 5 && kind <= 9 && kind != 7 && sim.pick(20) > 0) {
		return
	}
	switch kind {
	case 0, 1, 2, 3:
		sim.submit()
	case 4:
		sim.cancel()
	case 5:
		u.partitioned = !u.partitioned
	case 6:
		u.up = false
	case 7:
		if !u.up {
			u.restart()
		}
	case 8:
		u.draining = !u.draining
	case 10:
		sim.evacuate(u.zone, sim.pick(2) == 0)
	case 9:
		// The leader fails, and what it hadn't committed is lost.
		sim.planner = nil
		sim.leaderlessUntil = sim.now + clock.Millis(sim.pick(2000))
	}
}

func (sim *simulation) submit() {
	id := keeper.JobID(fmt.Sprintf("%016x", len(sim.jobs)))
	submission := keeper.Submission{Spec: "x"}
	for i := range 1 + sim.pick(2) {
		s := keeper.Step{
			Count: 1 + sim.pick(4), Gang: sim.pick(3) == 0, Estimate: 500, Checkpointing: sim.pick(2) == 0,
			Need: unit.Resources{CPU: unit.MilliCPU(500 + 500*sim.pick(3)), Memory: 100 * unit.Megabyte},
		}
		if i > 0 {
			s.DependsOn = []int{0}
		}
		submission.Steps = append(submission.Steps, s)
	}
	if len(submission.Steps) == 1 && sim.pick(5) == 0 {
		submission.Steps[0].LongRunning, submission.Steps[0].MaxUnavailable = true, sim.pick(3)
	}
	if sim.planner == nil || sim.now < sim.leaderlessUntil {
		return
	}
	sim.planner.HandleRequest(sim.now, planner.Submit{Address: address(id), ID: id, Submission: submission}, func(r planner.Reply) {
		if r.Code == planner.OK {
			sim.jobs = append(sim.jobs, id)
		}
	})
	sim.commit()
}

func address(id keeper.JobID) planner.Address {
	return planner.Address{Host: "h", Path: "/q/" + string(id), APIKey: "k"}
}

func (sim *simulation) cancel() {
	if len(sim.jobs) == 0 || sim.planner == nil || sim.now < sim.leaderlessUntil {
		return
	}
	sim.cancelJob(sim.jobs[sim.pick(len(sim.jobs))])
}

func (sim *simulation) cancelJob(id keeper.JobID) {
	sim.planner.HandleRequest(sim.now, planner.Cancel{Address: address(id), ID: id}, func(r planner.Reply) {
		if r.Phase == keeper.Cancelled {
			sim.cancelled[id] = true
		}
	})
	sim.commit()
}

// settle ends the faults and checks that all jobs end in a valid phase and leave nothing
// running.
func (sim *simulation) settle() {
	sim.faultless = true
	for _, u := range sim.upstreams {
		u.partitioned, u.draining = false, false
		if !u.up {
			u.restart()
		}
	}
	sim.step(2000)
	for _, zone := range simulatedZones {
		sim.evacuate(zone, true)
	}
	for _, id := range sim.jobs {
		// A long-running job ends only by its cancellation.
		if j := sim.log.Jobs[id]; j != nil && !j.Phase.IsFinal() && j.Submission.Steps[0].LongRunning {
			sim.cancelJob(id)
		}
	}
	for range 1200 {
		sim.step(50)
	}
	for _, id := range sim.jobs {
		j := sim.log.Jobs[id]
		switch {
		case j == nil:
			sim.failf("the accepted job %s is missing", id)
		case sim.cancelled[id] && j.Phase != keeper.Cancelled:
			sim.failf("the cancelled job %s is in phase %d", id, j.Phase)
		case !j.Phase.IsFinal():
			sim.failf("the job %s has not ended: %d live runs; state of the planner:\n%s", id, j.LiveRunCount, sim.planner.Describe())
		}
	}
	for _, u := range sim.upstreams {
		if len(u.runs) > 0 {
			sim.failf("%s still runs %v", u.id, sortedKeys(u.runs))
		}
		if state := sim.log.Upstreams[u.id]; state != nil && !state.Used.IsZero() {
			sim.failf("%s counts %+v as used", u.id, state.Used)
		}
	}
}

func TestAccountQuotaIsEnforced(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, func(int) int { return 1 }, 4)
	sim.faultless = true
	sim.log.ApplyCommand(keeper.SetConfig{Config: func() keeper.Config { c := config(3000); c.Version = 2; return c }()})
	sim.takeOver()
	sim.step(10)
	id := keeper.JobID("00000000000000aa")
	submission := keeper.Submission{Steps: []keeper.Step{{Count: 12, Need: unit.Resources{CPU: 1000}}}}
	sim.planner.HandleRequest(sim.now, planner.Submit{Address: address(id), ID: id, Submission: submission}, func(planner.Reply) {})
	maxUsed := unit.MilliCPU(0)
	for range 100 {
		sim.step(50)
		sum := unit.MilliCPU(0)
		for _, u := range sim.upstreams {
			sum += u.used().CPU
		}
		maxUsed = max(maxUsed, sum)
	}
	is.Equal(maxUsed, unit.MilliCPU(3000))
}
