package planner_test

import (
	"fmt"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// simulation is a domain with fake upstreams, leaders that may lose what they haven't
// committed, and messages that are lost or late.
type simulation struct {
	t interface {
		Fatalf(format string, args ...any)
	}
	pick func(n int) int
	now  clock.Millis
	// faultless is set if no faults are injected any more.
	faultless bool

	// log is the committed state.
	log     *keeper.State
	planner *planner.Planner
	term    uint64
	// maxListedEnds is the most ends that an upstream lists at once; 0 is unlimited.
	maxListedEnds int
	// rareFaults is set if leaders and upstreams fail rarely, and runs take longer. Only a
	// leader that has led for some time moves runs out of an evacuated zone.
	rareFaults bool
	// leaderlessUntil is the time until which there is no leader.
	leaderlessUntil clock.Millis

	upstreams []*fakeUpstream
	messages  []message
	// reports are the delayed reports that have not arrived yet.
	reports    []lateReport
	jobs       []keeper.JobID
	cancelled  map[keeper.JobID]bool
	done       map[keeper.TaskID]bool
	nextPollAt map[unit.Upstream]clock.Millis
	started    map[keeper.RunKey]bool
	// recordedLost are the runs whose outcome was committed as lost.
	recordedLost map[keeper.RunKey]bool
	// evacuateBound is the planner's Config.EvacuateBound.
	evacuateBound clock.Millis
	// evacuated are the zones of which an evacuation was acknowledged and no withdrawal was
	// sent since then.
	evacuated map[unit.AvailabilityZone]bool
	// entitlementSlack is the planner's Config.EntitlementSlack.
	entitlementSlack float64
	// grantsTickets is set if an instance requests tickets and all upstreams are granted.
	// ticketRequests have no answer yet.
	grantsTickets  bool
	ticketRequests []planner.RequestTickets
	// migrations are the moves that were announced.
	migrations []planner.Migration
	// events are the logged events, for the message of a failure.
	events []string
}

// message is an order that has not arrived yet.
type message struct {
	at    clock.Millis
	token uint64
	order planner.Effect
	// answerLost is set if the answer is lost.
	answerLost bool
	// timedOut is set if the message represents the timeout of the leader's wait for the
	// answer.
	timedOut bool
}

// lateReport is a delayed report of an upstream.
type lateReport struct {
	at     clock.Millis
	report planner.Report
}

// orderTimeout is how long the leader waits for the answer to an order.
const orderTimeout = 1 * clock.Second

const service = "s"

// simulatedZones are the zones of the upstreams, in turn.
var simulatedZones = []unit.AvailabilityZone{"z0", "z1"}

func newSimulation(t interface {
	Fatalf(format string, args ...any)
}, pick func(n int) int, upstreams int,
) *simulation {
	sim := &simulation{
		t: t, pick: pick, now: 1_000_000, log: keeper.New(),
		cancelled: map[keeper.JobID]bool{}, done: map[keeper.TaskID]bool{},
		nextPollAt: map[unit.Upstream]clock.Millis{}, started: map[keeper.RunKey]bool{}, recordedLost: map[keeper.RunKey]bool{},
		evacuated: map[unit.AvailabilityZone]bool{},
	}
	for i := range upstreams {
		u := &fakeUpstream{
			sim: sim, id: unit.Upstream('a' + rune(i)), zone: simulatedZones[i%len(simulatedZones)], slowPercent: clock.Millis(pick(3)),
			capacity: unit.Resources{CPU: 4000, Memory: 4 * unit.Gigabyte},
		}
		u.restart()
		sim.upstreams = append(sim.upstreams, u)
	}
	sim.log.Now = func() clock.Millis { return sim.now }
	sim.log.ApplyCommand(keeper.SetConfig{Config: config(0)})
	sim.takeOver()
	return sim
}

// config returns a configuration with one queue and one account, whose quota is the given
// CPU; 0 is unlimited.
func config(quota unit.MilliCPU) keeper.Config {
	return keeper.Config{
		Version: 1,
		Queues: []keeper.QueueRoute{{Host: "h", PathPrefix: "/q/", Queue: keeper.Queue{
			Name: "q", Service: service, MaxAttempts: 3, Stretch: 2, TargetLatency: 500,
		}}},
		Services: []keeper.Service{{Name: service}},
		Accounts: []keeper.Account{{Name: "t", Keys: []string{"k"}, Quota: unit.Resources{CPU: quota}}},
	}
}

func (sim *simulation) logEvent(format string, args ...any) {
	sim.events = append(sim.events, fmt.Sprintf("%d ", sim.now)+fmt.Sprintf(format, args...))
}

// takeOver starts a new leader from the committed state.
func (sim *simulation) takeOver() {
	sim.term++
	sim.logEvent("new leader %d", sim.term)
	state, err := sim.log.Clone()
	if err != nil {
		sim.failf("restoring the committed state: %v", err)
	}
	sim.planner = planner.New(planner.Config{FencingToken: sim.term, LeaderSince: sim.now, MaxLease: maxLease, MaxListedEnds: sim.maxListedEnds, Retention: clock.Hour, EvacuateBound: sim.evacuateBound, EntitlementSlack: sim.entitlementSlack}, state)
	// The answers go to the leader that has asked.
	sim.ticketRequests = nil
	sim.checkEvacuations()
}

// commit commits the planner's commands and executes its effects.
func (sim *simulation) commit() {
	commands, effects := sim.planner.TakeOutput()
	for _, c := range commands {
		sim.log.ApplyCommand(c)
		if s, ok := c.(keeper.StartRun); ok && sim.log.EvacuatedZones[sim.upstream(s.Upstream).zone] {
			sim.failf("%s starts on %s, in an evacuated zone", s.Task, s.Upstream)
		}
		if e, ok := c.(keeper.EndRun); ok && e.Outcome == keeper.RunLost {
			sim.recordedLost[keeper.RunKey{Task: e.Task, Number: e.Number}] = true
		}
		sim.logEvent("committed %T %+v", c, c)
	}
	for _, e := range effects {
		switch e := e.(type) {
		case planner.Respond:
			e.Send()
		case planner.Start, planner.Stop:
			sim.send(e)
		case planner.PollNow:
			sim.nextPollAt[e.Target.ID] = sim.now
			sim.planner.PollNowDone(e.Target)
		case planner.RequestTickets:
			sim.ticketRequests = append(sim.ticketRequests, e)
		case planner.Migration:
			sim.checkMigration(e)
			sim.migrations = append(sim.migrations, e)
		}
	}
}

func (sim *simulation) send(order planner.Effect) {
	m := message{at: sim.now + clock.Millis(1+sim.pick(10)), token: sim.term, order: order}
	if !sim.faultless {
		switch sim.pick(16) {
		case 0:
			m.answerLost = true
		case 1, 2:
			m.answerLost = true
			m.at = sim.now + clock.Millis(sim.pick(12000)/(1+2*sim.pick(2)))
		case 3:
			m.answerLost = true
			m.at = sim.now + clock.Day
		}
	}
	sim.messages = append(sim.messages, m)
	if m.answerLost {
		sim.messages = append(sim.messages, message{at: sim.now + orderTimeout, token: sim.term, order: order, timedOut: true})
	}
}

// step advances the simulation by some time.
func (sim *simulation) step(span clock.Millis) {
	sim.now += span
	for _, u := range sim.upstreams {
		u.advance(span)
	}
	sim.deliver()
	if sim.now < sim.leaderlessUntil {
		return
	}
	if sim.planner == nil {
		sim.takeOver()
	}
	sim.sendReports()
	sim.pollUpstreams()
	sim.answerTicketRequests()
	sim.planner.Tick(sim.now)
	sim.commit()
}

func (sim *simulation) answerTicketRequests() {
	if !sim.grantsTickets {
		return
	}
	sim.planner.HandleHeartbeat(sim.now, planner.Heartbeat{From: "e1", RequestsTickets: true})
	for _, q := range sim.ticketRequests {
		tickets := map[unit.Upstream]string{}
		for _, id := range q.Upstreams {
			tickets[id] = "ticket"
		}
		sim.planner.HandleTickets(sim.now, q, tickets, 0, nil)
	}
	sim.ticketRequests = nil
}

func (sim *simulation) deliver() {
	due := sim.messages
	sim.messages = nil
	for _, m := range due {
		if m.at > sim.now {
			sim.messages = append(sim.messages, m)
			continue
		}
		sim.deliverMessage(m)
	}
}

func (sim *simulation) deliverMessage(m message) {
	var to planner.Target
	switch o := m.order.(type) {
	case planner.Start:
		to = o.Target
	case planner.Stop:
		to = o.Target
	}
	u := sim.upstream(to.ID)
	var result planner.OrderResult = planner.Indeterminate{}
	if u.up && !u.partitioned && !m.timedOut {
		switch o := m.order.(type) {
		case planner.Start:
			// A start that one incarnation has ruled out may still reach the next one. This
			// is an open point of docs/design/platform.md.
			if sim.recordedLost[o.Run] && u.incarnation > o.Target.Incarnation {
				return
			}
			result = u.start(m.token, o)
		case planner.Stop:
			result = u.stop(m.token, o)
		}
	}
	if sim.planner == nil || m.token != sim.term || m.answerLost {
		return
	}
	switch o := m.order.(type) {
	case planner.Start:
		sim.planner.HandleStartResult(sim.now, o.Run, o.Target, result, 0)
	case planner.Stop:
		sim.planner.HandleStopResult(sim.now, o.Run, result, 0)
	}
}

func (sim *simulation) upstream(id unit.Upstream) *fakeUpstream {
	return sim.upstreams[int(id[0]-'a')]
}

func (sim *simulation) sendReports() {
	for _, u := range sim.upstreams {
		if !u.up || u.partitioned {
			continue
		}
		u.seq++
		r := planner.Report{Upstream: u.describe(), Clock: u.clock(), Seq: u.seq}
		if !sim.faultless && sim.pick(20) == 0 {
			sim.reports = append(sim.reports, lateReport{sim.now + clock.Millis(sim.pick(4000)), r})
			continue
		}
		sim.planner.HandleReport(sim.now, r, func() {})
	}
	due := sim.reports
	sim.reports = nil
	for _, l := range due {
		if l.at > sim.now {
			sim.reports = append(sim.reports, l)
			continue
		}
		sim.planner.HandleReport(sim.now, l.report, func() {})
	}
}

// pollUpstreams polls each upstream from time to time. The planner's output is committed
// before each poll, as in the driver.
func (sim *simulation) pollUpstreams() {
	for _, u := range sim.upstreams {
		if sim.now < sim.nextPollAt[u.id] {
			continue
		}
		sim.nextPollAt[u.id] = sim.now + clock.Millis(50+sim.pick(200))
		sim.commit()
		poll, ok := sim.planner.NextPoll(sim.now, u.id)
		if !ok {
			continue
		}
		answerLost := !sim.faultless && sim.pick(15) == 0
		if !u.up || u.partitioned || poll.Target.Incarnation != u.incarnation && answerLost {
			sim.planner.HandlePollFailure(sim.now, poll.Target, false)
			continue
		}
		answer := u.poll(sim.term, poll)
		if answerLost {
			sim.planner.HandlePollFailure(sim.now, poll.Target, false)
			continue
		}
		sim.planner.HandlePollResult(sim.now, sim.now, poll.Target, answer)
	}
}

// checkStart checks that a start breaks no guarantee: no other run of the task is live, the
// task isn't done, and its dependencies are.
func (sim *simulation) checkStart(u *fakeUpstream, s planner.Start) {
	task := s.Run.Task
	for _, o := range sim.upstreams {
		if !o.up {
			continue
		}
		for key := range o.runs {
			if key.Task == task {
				sim.failf("%s runs on %s as run %d and starts on %s as run %d", task, o.id, key.Number, u.id, s.Run.Number)
			}
		}
	}
	j := sim.log.Jobs[task.Job]
	if j == nil {
		sim.failf("%s starts although its job was never accepted", task)
		return
	}
	// The members of a gang end together, which these fakes don't implement.
	gang := len(j.Submission.Steps) > task.Step && j.Submission.Steps[task.Step].Gang
	if _, _, t := sim.log.LookupTask(task); t != nil && t.Done && !gang && !sim.started[s.Run] && j.Phase != keeper.Completed {
		sim.failf("%s starts after its end was committed", task)
	}
	sim.started[s.Run] = true
	if j.Phase.IsFinal() {
		// The start was sent before the job ended and is executed late.
		return
	}
	for _, d := range j.Submission.Steps[task.Step].DependsOn {
		for x := range j.Submission.Steps[d].Count {
			if !sim.done[keeper.StepID{Job: task.Job, Occurrence: task.Occurrence, Step: d}.TaskID(x)] && !j.Submission.Steps[d].Gang {
				sim.failf("%s starts before task %d of step %d has ended", task, x, d)
			}
		}
	}
}

// drawRun returns what a run uses, how long it takes and whether it fails.
func (sim *simulation) drawRun(run keeper.RunKey) (unit.Resources, clock.Millis, bool) {
	j := sim.log.Jobs[run.Task.Job]
	need := unit.Resources{CPU: 1}
	if j != nil && len(j.Submission.Steps) > run.Task.Step {
		need = j.Submission.Steps[run.Task.Step].Need
	}
	longest := 1500
	if sim.rareFaults {
		longest = 6000
	}
	return need, clock.Millis(50 + sim.pick(longest)), sim.pick(12) == 0
}

func sortedKeys(runs map[keeper.RunKey]*fakeRun) []keeper.RunKey {
	keys := make([]keeper.RunKey, 0, len(runs))
	for k := range runs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, keeper.RunKey.Compare)
	return keys
}
