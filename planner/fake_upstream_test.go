package planner_test

import (
	"fmt"
	"strings"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// maxLease is the longest lease that the planner grants and a fake upstream accepts.
const maxLease = 3 * clock.Second

// fakeUpstream keeps the guarantees of the platform and nothing more: it executes every
// order that they allow, even one that exceeds its capacity.
type fakeUpstream struct {
	sim         *simulation
	id          unit.Upstream
	zone        unit.AvailabilityZone
	incarnation keeper.Incarnation
	up          bool
	partitioned bool
	// slowPercent is by how many percent its clock is slow.
	slowPercent clock.Millis
	draining    bool
	startedAt   clock.Millis
	seq         int64
	token       uint64
	leaseExpiry clock.Millis
	runs        map[keeper.RunKey]*fakeRun
	highestRun  map[keeper.TaskID]int
	ends        []planner.EndedRun
	lastEndSeq  int64
	ackedEndSeq int64
	capacity    unit.Resources
	// stopDelay is how long a stop takes; the run is listed meanwhile.
	stopDelay clock.Millis
}

// fakeRun is a run on a fake upstream.
type fakeRun struct {
	need unit.Resources
	// duration is what the run takes in all, unless a test prolongs it.
	duration, remaining clock.Millis
	// fails is set if the run ends as failed.
	fails bool
	// stopAt is when a stop takes effect; 0 if there is none.
	stopAt clock.Millis
}

func (u *fakeUpstream) clock() clock.Millis {
	return 1000 + (u.sim.now-u.startedAt)*(100-u.slowPercent)/100
}

func (u *fakeUpstream) describe() keeper.Upstream {
	return keeper.Upstream{
		ID: u.id, Incarnation: u.incarnation, Address: string(u.id) + ":1", Service: "s", Zone: u.zone,
		Rack: "r", Labels: []string{"a", string(u.zone), "r"}, Capacity: u.capacity, Draining: u.draining,
	}
}

// restart starts a new incarnation.
func (u *fakeUpstream) restart() {
	u.incarnation++
	u.sim.logEvent("%s starts incarnation %d", u.id, u.incarnation)
	u.up, u.draining = true, false
	u.startedAt = u.sim.now
	u.seq, u.token, u.leaseExpiry, u.lastEndSeq, u.ackedEndSeq = 0, 0, 0, 0, 0
	u.runs, u.highestRun, u.ends = map[keeper.RunKey]*fakeRun{}, map[keeper.TaskID]int{}, nil
}

func (u *fakeUpstream) used() unit.Resources {
	var sum unit.Resources
	for _, r := range u.runs {
		sum = sum.Add(r.need)
	}
	return sum
}

// start executes a start, which may be late.
func (u *fakeUpstream) start(token uint64, s planner.Start) planner.OrderResult {
	u.sim.logEvent("start %+v of run %d on %s incarnation %d token %d highest run %d", s.Run.Task, s.Run.Number, u.id, u.incarnation, u.token, u.highestRun[s.Run.Task])
	if token < u.token {
		return planner.Refused{Reason: planner.RefusedFenced}
	}
	u.token = token
	if u.runs[s.Run] != nil {
		return planner.Executed{}
	}
	if s.Run.Number <= u.highestRun[s.Run.Task] {
		return planner.Refused{Reason: planner.RefusedStaleRun}
	}
	if s.LeaseExpiry <= u.clock() {
		return planner.Refused{Reason: planner.RefusedExpired}
	}
	u.extendLease(s.LeaseExpiry)
	u.sim.checkStart(u, s)
	u.highestRun[s.Run.Task] = s.Run.Number
	need, duration, fails := u.sim.drawRun(s.Run)
	u.runs[s.Run] = &fakeRun{need: need, duration: duration, remaining: duration, fails: fails}
	if !u.used().Fits(u.capacity) {
		u.sim.failf("%s uses more than its capacity: %+v of %+v", u.id, u.used(), u.capacity)
	}
	return planner.Executed{}
}

func (u *fakeUpstream) extendLease(expiry clock.Millis) {
	u.leaseExpiry = max(u.leaseExpiry, min(expiry, u.clock()+maxLease))
}

func (u *fakeUpstream) stop(token uint64, s planner.Stop) planner.OrderResult {
	u.sim.logEvent("stop %+v of run %d on %s incarnation %d with token %d", s.Run.Task, s.Run.Number, u.id, u.incarnation, token)
	if token < u.token {
		return planner.Refused{Reason: planner.RefusedFenced}
	}
	u.token = token
	u.highestRun[s.Run.Task] = max(u.highestRun[s.Run.Task], s.Run.Number)
	if r := u.runs[s.Run]; r != nil && u.stopDelay > 0 {
		r.stopAt = u.sim.now + u.stopDelay
	} else if r != nil {
		u.end(s.Run, keeper.RunStopped)
	}
	return planner.Executed{}
}

func (u *fakeUpstream) poll(token uint64, poll planner.Poll) planner.PollResult {
	if token >= u.token {
		u.token = token
		u.ackedEndSeq = max(u.ackedEndSeq, poll.AckedEndSeq)
		if poll.LeaseExpiry > 0 {
			u.extendLease(poll.LeaseExpiry)
		}
	}
	result := planner.PollResult{Incarnation: u.incarnation, Clock: u.clock()}
	for key, r := range u.runs {
		result.Running = append(result.Running, planner.RunStatus{Run: key, Percent: int(max(100*(r.duration-r.remaining)/r.duration, 0))})
	}
	for _, e := range u.ends {
		if e.Seq > u.ackedEndSeq && (u.sim.maxListedEnds == 0 || len(result.Ended) < u.sim.maxListedEnds) {
			result.Ended = append(result.Ended, e)
		}
	}
	return result
}

func (u *fakeUpstream) end(key keeper.RunKey, outcome keeper.RunOutcome) {
	delete(u.runs, key)
	u.highestRun[key.Task] = max(u.highestRun[key.Task], key.Number)
	u.lastEndSeq++
	u.ends = append(u.ends, planner.EndedRun{Seq: u.lastEndSeq, Run: key, Outcome: outcome})
	if outcome == keeper.RunDone {
		u.sim.done[key.Task] = true
	}
}

// advance lets the runs make progress for some time, or ends them if the lease has expired.
func (u *fakeUpstream) advance(span clock.Millis) {
	if !u.up {
		return
	}
	if u.leaseExpiry > 0 && u.clock() >= u.leaseExpiry {
		for _, key := range sortedKeys(u.runs) {
			u.end(key, keeper.RunExpired)
		}
		return
	}
	for _, key := range sortedKeys(u.runs) {
		r := u.runs[key]
		if r.stopAt > 0 && u.sim.now >= r.stopAt {
			u.end(key, keeper.RunStopped)
			continue
		}
		if r.remaining -= span; r.remaining > 0 {
			continue
		}
		outcome := keeper.RunDone
		if r.fails {
			outcome = keeper.RunFailed
		}
		u.end(key, outcome)
	}
}

// failf fails the test. Its message includes the logged events that concern the task in the
// first argument, and the changes of leader.
func (sim *simulation) failf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	for _, event := range sim.events {
		if len(args) > 0 && strings.Contains(event, fmt.Sprintf("%+v", eventText(args[0]))) || strings.Contains(event, "new leader") {
			text += "\n" + event
		}
	}
	sim.t.Fatalf("at %d: %s", sim.now, text)
}

// eventText returns a task as logged events print it, and other values unchanged.
func eventText(v any) any {
	if t, ok := v.(keeper.TaskID); ok {
		return t.String()
	}
	return v
}
