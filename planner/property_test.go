package planner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	sim.checkEnded()
}

// checkEnded checks that all accepted jobs have ended in a valid phase and have left nothing
// running.
func (sim *simulation) checkEnded() {
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

// TestHandOverAtEveryStep guards against what a leader loses when it takes over in the middle
// of a load: there is a new leader after each step of a recorded load, once with all of its
// predecessor's commands and once without those of the last pass.
func TestHandOverAtEveryStep(t *testing.T) {
	for step := range handOverSteps {
		for _, loses := range []bool{false, true} {
			handOver{seed: 1, steps: []int{step}, loses: loses, long: step%4 == 0}.run(t)
		}
	}
}

// TestPropertyHandOver is like TestHandOverAtEveryStep, for random loads with several
// hand-overs, of which some follow after a time without a leader, and with faults of orders
// and reports in some loads.
func TestPropertyHandOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		handOver{
			seed:       rapid.Uint64().Draw(t, "seed"),
			steps:      rapid.SliceOfN(rapid.IntRange(0, handOverSteps-1), 1, 4).Draw(t, "steps"),
			loses:      rapid.Bool().Draw(t, "loses"),
			faults:     rapid.Bool().Draw(t, "faults"),
			long:       rapid.IntRange(0, 7).Draw(t, "long") == 7,
			leaderless: clock.Millis(rapid.IntRange(0, 1500).Draw(t, "leaderless")),
		}.run(t)
	})
}

const (
	// handOverSteps is the number of steps of the load of a handOver, and handOverStep the
	// time of each.
	handOverSteps = 40
	handOverStep  = 150 * clock.Millisecond
)

// handOver is a load with jobs of two accounts, of which one submits more than it is
// entitled to, with gangs, tickets and an evacuation.
type handOver struct {
	seed uint64
	// steps are the steps after which another leader takes over, the given time later. If
	// loses is set, what the former leader decided last isn't committed.
	steps []int
	loses bool
	// faults is set if orders and reports are lost or late, long if runs take up to 6 s.
	faults, long bool
	leaderless   clock.Millis
}

func (h handOver) run(t interface {
	Fatalf(format string, args ...any)
},
) {
	rng := rand.New(rand.NewPCG(h.seed, 1))
	sim := newSimulation(t, rng.IntN, 4)
	sim.faultless, sim.grantsTickets, sim.entitlementSlack, sim.evacuateBound = !h.faults, true, 2, 20
	// Runs that take longer than that of the usual load are moved out of the zone.
	sim.rareFaults = h.long
	sim.log.ApplyCommand(keeper.SetConfig{Config: handOverConfig()})
	sim.takeOver()
	accepted := map[keeper.JobID]planner.Submit{}
	for i := range handOverSteps {
		jobs := rng.IntN(3)
		if h.long {
			// There has to be room for moves.
			jobs /= 2
		}
		for range jobs {
			sim.submitRecorded(accepted, h.draw(rng, len(sim.jobs)+100*i))
		}
		switch i {
		case handOverSteps / 4:
			sim.evacuate("z0", false)
		case handOverSteps * 3 / 4:
			sim.evacuate("z0", true)
		}
		sim.step(handOverStep)
		if slices.Contains(h.steps, i) {
			sim.handOver(h, accepted)
		}
	}
	sim.faultless = true
	sim.step(2 * clock.Second)
	sim.evacuate("z0", true)
	for range 1200 {
		sim.step(100)
		if !slices.ContainsFunc(sim.jobs, func(id keeper.JobID) bool { return !sim.log.Jobs[id].Phase.IsFinal() }) {
			break
		}
	}
	// The other members of a gang of which one is done end by themselves here, within the
	// longest time of a run.
	for range 70 {
		sim.step(100)
	}
	sim.checkEnded()
}

// handOverConfig has an urgent queue, and one that requires tickets, in which account a is
// entitled to two jobs a second.
func handOverConfig() keeper.Config {
	c := config(0)
	c.Version = 2
	low := &c.Queues[0].Queue
	low.Priority, low.RequiresTicket, low.TicketTTL, low.AdviceBaseMillis, low.Stretch = 1, true, 2500, 40, 2
	low.MaxAttempts = 20
	c.Queues = append(c.Queues, keeper.QueueRoute{Host: "h", PathPrefix: "/u/", Queue: keeper.Queue{
		Name: "u", Service: service, MaxAttempts: 20, Stretch: 20, TargetLatency: 500,
	}})
	c.Accounts = []keeper.Account{
		{Name: "a", Keys: []string{"k"}, Weight: 2},
		{Name: "b", Keys: []string{"l"}, Weight: 20, Quota: unit.Resources{CPU: 12000}},
	}
	return c
}

// draw draws a job.
func (h handOver) draw(rng *rand.Rand, number int) planner.Submit {
	id := keeper.JobID(fmt.Sprintf("%016x", number))
	to, account := address(id), "k"
	if rng.IntN(3) == 0 {
		to.APIKey, account = "l", "l"
	}
	s := keeper.Step{
		Count: 1 + rng.IntN(4), Gang: rng.IntN(3) == 0, Estimate: 500, Checkpointing: rng.IntN(2) == 0,
		Need: unit.Resources{CPU: unit.MilliCPU(500 + 500*rng.IntN(3)), Memory: 100 * unit.Megabyte},
	}
	if account == "l" && rng.IntN(2) == 0 {
		to.Path = "/u/" + string(id)
	}
	submission := keeper.Submission{Spec: "x", Steps: []keeper.Step{s}}
	if rng.IntN(3) == 0 {
		s.DependsOn = []int{0}
		submission.Steps = append(submission.Steps, s)
	}
	return planner.Submit{Address: to, ID: id, Submission: submission}
}

// submitRecorded submits a job and records it if it was accepted.
func (sim *simulation) submitRecorded(accepted map[keeper.JobID]planner.Submit, r planner.Submit) {
	if sim.planner == nil || sim.now < sim.leaderlessUntil {
		return
	}
	sim.planner.HandleRequest(sim.now, r, func(reply planner.Reply) {
		if _, again := accepted[r.ID]; !again && reply.Code == planner.OK {
			accepted[r.ID] = r
			sim.jobs = append(sim.jobs, r.ID)
		}
	})
	sim.commit()
}

// handOver has another leader take over. All accepted jobs are then submitted again, as after
// lost answers, which must be acknowledged: a refusal says that the job hasn't run.
func (sim *simulation) handOver(h handOver, accepted map[keeper.JobID]planner.Submit) {
	if sim.planner == nil {
		return
	}
	sim.planner.Tick(sim.now + 1)
	if !h.loses {
		sim.commit()
	}
	sim.planner, sim.leaderlessUntil = nil, sim.now+h.leaderless
	for sim.planner == nil {
		sim.step(20)
	}
	for _, id := range sim.jobs {
		sim.planner.HandleRequest(sim.now, accepted[id], func(reply planner.Reply) {
			if reply.Code != planner.OK {
				sim.failf("the accepted job %s is refused when it is sent again: %+v", id, reply)
			}
		})
	}
	sim.commit()
}
