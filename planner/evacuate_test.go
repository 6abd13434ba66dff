package planner_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// evacuate has a zone evacuated or its evacuation withdrawn, if there is a leader.
func (sim *simulation) evacuate(zone unit.AvailabilityZone, withdraw bool) {
	if sim.planner == nil || sim.now < sim.leaderlessUntil {
		return
	}
	if withdraw {
		delete(sim.evacuated, zone)
	}
	sim.planner.HandleRequest(sim.now, planner.Evacuate{Zone: zone, Withdraw: withdraw}, func(r planner.Reply) {
		if r.Code != planner.OK || sim.log.EvacuatedZones[zone] == withdraw {
			sim.failf("evacuation of %s (withdrawal: %t) got the reply %+v; committed: %v", zone, withdraw, r, sim.log.EvacuatedZones)
		}
		if !withdraw {
			sim.evacuated[zone] = true
		}
	})
	sim.commit()
}

// checkEvacuations checks that the acknowledged evacuations hold at a new leader.
func (sim *simulation) checkEvacuations() {
	for zone := range sim.evacuated {
		if !sim.planner.State().EvacuatedZones[zone] {
			sim.failf("the new leader doesn't know of the evacuation of %s", zone)
		}
	}
}

// checkMigration checks that a run that is stopped, or another member of its gang, is in an
// evacuated zone and that, by the committed state, no more members of a long-running step are
// away than may be. Where none may be, one at a time is stopped.
func (sim *simulation) checkMigration(e planner.Migration) {
	evacuated := func(id unit.Upstream) bool { return sim.log.EvacuatedZones[sim.upstream(id).zone] }
	j, st, t := sim.log.LookupTask(e.Run.Task)
	members := []*keeper.Task{t}
	if j.Submission.Steps[e.Run.Task.Step].Gang {
		members = st.Tasks
	}
	if evacuated(e.To) || !slices.ContainsFunc(members, func(t *keeper.Task) bool {
		return slices.ContainsFunc(t.LiveRuns, func(r *keeper.Run) bool { return r.Number == e.Run.Number && evacuated(r.Upstream) })
	}) {
		sim.failf("%s moves from %s to %s", e.Run.Task, e.From, e.To)
	}
	spec := j.Submission.Steps[e.Run.Task.Step]
	if !spec.LongRunning {
		return
	}
	away := 1
	for i, t := range st.Tasks {
		if i != e.Run.Task.Index && len(t.LiveRuns) == 0 {
			away++
		}
	}
	if away > max(spec.MaxUnavailable, 1) {
		sim.failf("%s is stopped as number %d of a step that allows %d to be away", e.Run.Task, away, spec.MaxUnavailable)
	}
}

// countIn returns the number of runs in a zone.
func (sim *simulation) countIn(zone unit.AvailabilityZone) int {
	n := 0
	for _, u := range sim.upstreams {
		if u.zone == zone {
			n += len(u.runs)
		}
	}
	return n
}

// stepLong advances a simulation in which no run ends by itself.
func (sim *simulation) stepLong(span clock.Millis) {
	for end := sim.now + span; sim.now < end; {
		sim.step(20)
		for id := range sim.log.Jobs {
			sim.prolongRuns(id)
		}
	}
}

// newZones returns a simulation without faults of upstreams that are in two zones in turn.
// The first leader has led for some time.
func newZones(t *testing.T, upstreams int) *simulation {
	sim := newSimulation(t, func(int) int { return 1 }, upstreams)
	sim.faultless = true
	c := config(0)
	c.Version, c.Queues[0].Queue.Stretch = 2, 40
	sim.log.ApplyCommand(keeper.SetConfig{Config: c})
	sim.takeOver()
	sim.stepLong(4 * clock.Second)
	return sim
}

// TestNoTaskStartsInEvacuatedZone guards against starts in an evacuated zone, which the
// simulation reports, and against tasks that don't start after the withdrawal. Three of the
// five upstreams are in the evacuated zone.
func TestNoTaskStartsInEvacuatedZone(t *testing.T) {
	for name, c := range map[string]struct {
		gang, handOver, restart bool
		// running is the number of the job's 12 tasks that can run outside the zone.
		running int
	}{
		"tasks":                     {running: 8},
		"a gang":                    {gang: true},
		"tasks and a new leader":    {handOver: true, running: 8},
		"a gang and a new leader":   {gang: true, handOver: true},
		"restarted tasks":           {restart: true, running: 8},
		"a restarted gang":          {gang: true, restart: true},
		"restarted, new leader too": {restart: true, handOver: true, running: 8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newZones(t, 5)
			submission := newSubmission(1000, 12)
			submission.Steps[0].Gang, submission.Steps[0].Estimate = c.gang, clock.Minute
			submit := func() {
				is.Equal(sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: submission}).Code, planner.OK)
				sim.stepLong(500)
			}
			if c.restart {
				submit()
				is.True(sim.countIn("z0") > 4)
			}
			sim.evacuate("z0", false)
			if c.handOver {
				sim.takeOver()
			}
			for _, u := range sim.upstreams {
				for _, key := range sortedKeys(u.runs) {
					u.end(key, keeper.RunStopped)
				}
			}
			if !c.restart {
				submit()
			}
			sim.stepLong(clock.Second)
			is.Equal(sim.countIn("z0"), 0)
			is.Equal(sim.countRunning(), c.running)
			sim.evacuate("z0", true)
			sim.stepLong(clock.Second)
			is.Equal(sim.countRunning(), 12)
		})
	}
}

// TestEvacuateIsIdempotent guards against a resend that is refused or changes something, and
// against names that make the state grow.
func TestEvacuateIsIdempotent(t *testing.T) {
	many := make([]planner.Evacuate, 0, 257)
	for i := range 257 {
		many = append(many, planner.Evacuate{Zone: unit.AvailabilityZone(fmt.Sprint("z", i))})
	}
	on, off := planner.Evacuate{Zone: "z0"}, planner.Evacuate{Zone: "z0", Withdraw: true}
	for name, c := range map[string]struct {
		requests []planner.Evacuate
		commands int
		zones    int
		last     planner.Code
	}{
		"evacuated":                      {requests: []planner.Evacuate{on}, commands: 1, zones: 1},
		"evacuated again":                {requests: []planner.Evacuate{on, on}, commands: 1, zones: 1},
		"withdrawn":                      {requests: []planner.Evacuate{on, off}, commands: 2},
		"withdrawn again":                {requests: []planner.Evacuate{on, off, off}, commands: 2},
		"withdrawn without one":          {requests: []planner.Evacuate{off}},
		"all zones":                      {requests: []planner.Evacuate{on, {Zone: "z1"}}, commands: 2, zones: 2},
		"no name":                        {requests: []planner.Evacuate{{}}, last: planner.Invalid},
		"a name too long":                {requests: []planner.Evacuate{{Zone: unit.AvailabilityZone(strings.Repeat("z", 257))}}, last: planner.Invalid},
		"too many zones":                 {requests: many, commands: 256, zones: 256, last: planner.Invalid},
		"too many zones, and a resend":   {requests: append(many[:257:257], on), commands: 256, zones: 256},
		"too many, and their withdrawal": {requests: append(many[:257:257], off), commands: 257, zones: 255},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newZones(t, 1)
			var reply planner.Reply
			commands := 0
			for _, r := range c.requests {
				sim.planner.HandleRequest(sim.now, r, func(a planner.Reply) { reply = a })
				list, effects := sim.planner.TakeOutput()
				commands += len(list)
				effects[0].(planner.Respond).Send()
			}
			is.Equal(reply.Code, c.last)
			is.Equal(commands, c.commands)
			is.Equal(len(sim.planner.Status().EvacuatedZones), c.zones)
		})
	}
}

// TestTicketsAreRequestedOutsideEvacuatedZones guards against advice that is asked for and
// paid for in vain.
func TestTicketsAreRequestedOutsideEvacuatedZones(t *testing.T) {
	is := is.New(t)
	sim := newCalmSimulation(t, func(c *keeper.Config) {
		c.Queues[0].Queue.RequiresTicket, c.Queues[0].Queue.TicketTTL = true, 2000
	})
	sim.planner.HandleHeartbeat(sim.now, planner.Heartbeat{From: "e1", RequestsTickets: true})
	sim.evacuate("z0", false)
	sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: newSubmission(4000, 2)})
	sim.planner.Tick(sim.now)
	q := takeOnly[planner.RequestTickets](t, sim)
	is.Equal(q.Upstreams, []unit.Upstream{"b"})
	sim.planner.HandleTickets(sim.now, q, map[unit.Upstream]string{"b": "ticket"}, 2000, nil)
	sim.evacuate("z0", true)
	sim.planner.Tick(sim.now)
	is.Equal(takeOnly[planner.RequestTickets](t, sim).Upstreams, []unit.Upstream{"a", "c"})
}

// TestRunsLeaveEvacuatedZone guards against runs that are stopped without need or without
// a place to start again, and against those that occupy an evacuated zone for long. The
// upstreams a, c and e are in the zone; the runs are on a.
func TestRunsLeaveEvacuatedZone(t *testing.T) {
	long := keeper.Step{Count: 2, Need: unit.Resources{CPU: 1000}, Estimate: clock.Minute, Checkpointing: true}
	with := func(change func(s *keeper.Step)) keeper.Step {
		s := long
		change(&s)
		return s
	}
	for name, c := range map[string]struct {
		step  keeper.Step
		moves bool
		// quota replaces the account's quota after the start. others is the size of the tasks
		// of a gang of another job: it needs more than there is outside the zone.
		quota, others unit.MilliCPU
		allZones      bool
		// tickets is set if starts require tickets.
		tickets, handOver bool
	}{
		"a checkpoint and much time to go":   {step: long, moves: true},
		"a checkpoint and a new leader":      {step: long, moves: true, handOver: true},
		"a checkpoint and little time to go": {step: with(func(s *keeper.Step) { s.Estimate = 9 * clock.Second })},
		"no checkpoint":                      {step: with(func(s *keeper.Step) { s.Checkpointing = false })},
		"a gang with checkpoints":            {step: with(func(s *keeper.Step) { s.Gang = true }), moves: true},
		"a gang without checkpoints":         {step: with(func(s *keeper.Step) { s.Gang, s.Checkpointing = true, false })},
		"long-running without checkpoints":   {step: with(func(s *keeper.Step) { s.LongRunning, s.Checkpointing = true, false }), moves: true},
		"long-running and a new leader":      {step: with(func(s *keeper.Step) { s.LongRunning = true }), moves: true, handOver: true},
		"a long-running gang":                {step: with(func(s *keeper.Step) { s.LongRunning, s.Gang = true, true })},
		"a long-running gang that may miss":  {step: with(func(s *keeper.Step) { s.LongRunning, s.Gang, s.MaxUnavailable = true, true, 2 }), moves: true},
		"no upstream with the label outside": {step: with(func(s *keeper.Step) { s.Requires = "z0" })},
		"all zones evacuated":                {step: long, allZones: true},
		"a quota that was lowered":           {step: long, quota: 1500},
		"capacity booked by a gang":          {step: long, others: 3500},
		"a ticketed step":                    {step: long, tickets: true, moves: true},
		"a ticketed step and a new leader":   {step: long, tickets: true, handOver: true, moves: true},
		"long-running, ticketed, new leader": {step: with(func(s *keeper.Step) { s.LongRunning = true }), tickets: true, handOver: true, moves: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newZones(t, 5)
			k := sim.planner.State().Config
			k.Version++
			k.Queues[0].Queue.RequiresTicket, k.Queues[0].Queue.TicketTTL = c.tickets, 2000
			sim.grantsTickets = c.tickets
			is.Equal(sim.request(planner.PutConfig{Config: k}).Code, planner.OK)
			is.Equal(sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: keeper.Submission{Spec: "x", Steps: []keeper.Step{c.step}}}).Code, planner.OK)
			sim.stepLong(500)
			is.Equal(len(sim.upstreams[0].runs), 2)
			if c.quota > 0 {
				lowered := config(c.quota)
				lowered.Version = k.Version + 1
				is.Equal(sim.request(planner.PutConfig{Config: lowered}).Code, planner.OK)
			}
			sim.evacuate("z0", false)
			if c.allZones {
				sim.evacuate("z1", false)
			}
			if c.others > 0 {
				second := keeper.JobID("00000000000000ab")
				gang := keeper.Submission{Spec: "x", Steps: []keeper.Step{{Count: 3, Gang: true, Need: unit.Resources{CPU: c.others}, Estimate: clock.Minute}}}
				is.Equal(sim.request(planner.Submit{Address: address(second), ID: second, Submission: gang}).Code, planner.OK)
			}
			if c.handOver {
				sim.takeOver()
			}
			sim.stepLong(8 * clock.Second)
			is.Equal(sim.countRunning(), 2)
			is.Equal(sim.countIn("z0") == 0, c.moves)
			is.Equal(len(sim.migrations) > 0, c.moves)
			is.Equal(sim.planner.Status().EvacuatingRuns, sim.countIn("z0"))
		})
	}
}

// TestMembersMoveOneByOne guards against a long-running step of which more members are away
// than it allows while its zone is evacuated; also if the leader changes while a stop that it
// ordered takes effect, and the member is still listed.
func TestMembersMoveOneByOne(t *testing.T) {
	for name, c := range map[string]struct {
		mayMiss  int
		handOver bool
	}{
		"none may be away": {}, "one may be away": {mayMiss: 1}, "two may be away": {mayMiss: 2},
		"a new leader after each stop": {handOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newZones(t, 3)
			for _, u := range sim.upstreams {
				u.stopDelay = 200
			}
			step := keeper.Step{Count: 4, LongRunning: true, MaxUnavailable: c.mayMiss, Need: unit.Resources{CPU: 1000}, Estimate: 500}
			is.Equal(sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: keeper.Submission{Spec: "x", Steps: []keeper.Step{step}}}).Code, planner.OK)
			sim.stepLong(500)
			is.Equal(sim.countIn("z0"), 4)
			sim.evacuate("z0", false)
			least, handOvers := 4, 0
			for range 1000 {
				sim.stepLong(20)
				least = min(least, sim.countRunning())
				if stops := sim.countStopping(); c.handOver && stops > 0 && len(sim.migrations) > handOvers {
					handOvers = len(sim.migrations)
					sim.takeOver()
				}
			}
			is.Equal(sim.countIn("z1"), 4)
			is.True(least >= 4-max(c.mayMiss, 1))
			is.Equal(len(sim.migrations), 4)
		})
	}
}

// countStopping returns the number of runs with a stop that is taking effect.
func (sim *simulation) countStopping() int {
	n := 0
	for _, u := range sim.upstreams {
		for _, r := range u.runs {
			if r.stopAt > 0 {
				n++
			}
		}
	}
	return n
}

// TestNoMemberIsStoppedWhileAnotherIsAway guards against two members away at once: one is on
// an upstream that can't be reached, while another is in an evacuated zone.
func TestNoMemberIsStoppedWhileAnotherIsAway(t *testing.T) {
	is := is.New(t)
	sim := newZones(t, 4)
	step := keeper.Step{Count: 2, LongRunning: true, MaxPerUpstream: 1, Need: unit.Resources{CPU: 1000}, Estimate: 500}
	is.Equal(sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: keeper.Submission{Spec: "x", Steps: []keeper.Step{step}}}).Code, planner.OK)
	sim.stepLong(500)
	is.Equal(len(sim.upstreams[0].runs)+len(sim.upstreams[1].runs), 2)
	sim.upstreams[1].partitioned = true
	sim.stepLong(500)
	sim.evacuate("z0", false)
	sim.stepLong(clock.Second)
	is.Equal(len(sim.migrations), 0)
	sim.upstreams[1].partitioned = false
	sim.stepLong(2 * clock.Second)
	is.Equal(len(sim.migrations), 1)
	is.Equal(sim.countIn("z1"), 2)
}

// TestFewRunsMoveAtOnce guards against an evacuation that stops everything at once, which
// takes the other zones' capacity for restores, and against runs that are stopped for one and
// the same place.
func TestFewRunsMoveAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		// others is the number of tasks that run outside the zone, of 16 for which there is
		// room. stuck is set if stops take longer than the test.
		others int
		stuck  bool
		moves  int
	}{
		"room for all":                 {moves: 16},
		"room for three":               {others: 13, moves: 3},
		"stops that don't take effect": {stuck: true, moves: 8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newZones(t, 2)
			for i := range 16 {
				id := keeper.JobID(fmt.Sprintf("%016x", i))
				submission := newSubmission(250, 1)
				submission.Steps[0].Estimate, submission.Steps[0].Checkpointing = clock.Minute, true
				is.Equal(sim.request(planner.Submit{Address: address(id), ID: id, Submission: submission}).Code, planner.OK)
			}
			sim.stepLong(500)
			is.Equal(sim.countIn("z0"), 16)
			if c.others > 0 {
				other := newSubmission(250, c.others)
				other.Steps[0].Requires, other.Steps[0].Estimate = "z1", clock.Minute
				is.Equal(sim.request(planner.Submit{Address: address(jobID), ID: jobID, Submission: other}).Code, planner.OK)
				sim.stepLong(500)
			}
			if c.stuck {
				sim.upstreams[0].stopDelay = clock.Day
			}
			sim.evacuate("z0", false)
			sim.stepLong(4 * clock.Second)
			is.Equal(len(sim.migrations), c.moves)
		})
	}
}

// TestCapacityIsReservedForAMove guards against a run that is stopped and then finds its
// place taken: while it is being stopped, a task of a more urgent job arrives.
func TestCapacityIsReservedForAMove(t *testing.T) {
	is := is.New(t)
	sim := newZones(t, 2)
	submit := func(id keeper.JobID, s keeper.Step) {
		is.Equal(sim.request(planner.Submit{Address: address(id), ID: id, Submission: keeper.Submission{Spec: "x", Steps: []keeper.Step{s}}}).Code, planner.OK)
	}
	submit(jobID, keeper.Step{Count: 1, Need: unit.Resources{CPU: 3000}, Estimate: clock.Minute, Checkpointing: true})
	sim.stepLong(500)
	is.Equal(sim.countIn("z0"), 1)
	sim.evacuate("z0", false)
	for len(sim.migrations) == 0 {
		sim.stepLong(20)
	}
	submit("00000000000000ab", keeper.Step{Count: 1, Need: unit.Resources{CPU: 3000}, Estimate: clock.Second})
	sim.stepLong(clock.Second)
	is.Equal(sim.log.Jobs[jobID].LiveRunCount, 1)
	is.Equal(sim.countIn("z1"), 1)
}

// TestSearchForMovesIsLinear guards against a search for runs to move that looks at all
// members of a step for each of them: the members may not be stopped, since others are away.
// An evacuation has to be acknowledged within a second.
func TestSearchForMovesIsLinear(t *testing.T) {
	const members = 10_000
	now := clock.Millis(1_000_000)
	state := keeper.New()
	state.ApplyCommand(keeper.SetConfig{Config: config(0)})
	for i := range 2 {
		state.ApplyCommand(keeper.SetUpstream{Upstream: keeper.Upstream{
			ID: unit.Upstream(fmt.Sprint("u", i)), Incarnation: 1, Address: fmt.Sprintf("u%d:1", i), Service: service, Zone: "z0",
			Capacity: unit.Resources{CPU: 4 * members},
		}})
	}
	state.ApplyCommand(keeper.AcceptJob{ID: jobID, Account: "t", Queue: config(0).Queues[0].Queue, Submission: keeper.Submission{
		Steps: []keeper.Step{{Count: members, Need: unit.Resources{CPU: 1}, LongRunning: true}},
	}, At: now})
	answers := [2]planner.PollResult{{Incarnation: 1, Clock: 1000}, {Incarnation: 1, Clock: 1000}}
	for x := range members {
		u := 0
		if x < 2 {
			u = 1
		}
		key := keeper.RunKey{Task: keeper.StepID{Job: jobID}.TaskID(x), Number: 1}
		state.ApplyCommand(keeper.StartRun{Task: key.Task, Number: 1, Upstream: unit.Upstream(fmt.Sprint("u", u)), Incarnation: 1, At: now})
		answers[u].Running = append(answers[u].Running, planner.RunStatus{Run: key})
	}
	state.ApplyCommand(keeper.SetEvacuation{Zone: "z0", Evacuated: true})
	p := planner.New(planner.Config{FencingToken: 1, LeaderSince: now, MaxLease: clock.Minute, Retention: clock.Hour}, state)
	now += 3500
	for i, a := range answers {
		p.HandlePollResult(now, now-10, planner.Target{ID: unit.Upstream(fmt.Sprint("u", i)), Incarnation: 1}, a)
	}
	p.HandlePollFailure(now, planner.Target{ID: "u1", Incarnation: 1}, false)
	started := time.Now()
	p.Tick(now + 10)
	if took := time.Since(started); took > time.Second {
		t.Errorf("a pass took %v with %d runs in an evacuated zone", took, members)
	}
}
