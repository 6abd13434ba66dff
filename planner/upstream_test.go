package planner_test

import (
	"fmt"
	"strings"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// maxHold is the longest lease that a fake upstream grants.
const maxHold = 3 * clock.Second

// upstream is a fake worker that keeps the platform's promises and nothing
// more: it starts whatever it is told.
type upstream struct {
	w    *world
	id   unit.Upstream
	life keeper.Incarnation
	up   bool
	cut  bool
	// slow is by how many percent its clock is slow.
	slow     clock.Millis
	draining bool
	bornAt   clock.Millis
	seq      int64
	token    uint64
	lease    clock.Millis
	runs     map[keeper.RunKey]*fakeRun
	highest  map[keeper.TaskID]int
	ends     []planner.EndedRun
	number   int64
	noted    int64
	capacity unit.Resources
}

// fakeRun is a run on a fake upstream.
type fakeRun struct {
	need unit.Resources
	left clock.Millis
	// fails: it ends as failed.
	fails bool
}

func (u *upstream) clock() clock.Millis {
	return 1000 + (u.w.now-u.bornAt)*(100-u.slow)/100
}

func (u *upstream) describe() keeper.Upstream {
	return keeper.Upstream{
		ID: u.id, Incarnation: u.life, Address: string(u.id) + ":1", Service: "s", Zone: "z",
		Rack: "r", Labels: []string{"a", "r"}, Capacity: u.capacity, Draining: u.draining,
	}
}

// begin starts a new life.
func (u *upstream) begin() {
	u.life++
	u.w.note("%s begins life %d", u.id, u.life)
	u.up, u.draining = true, false
	u.bornAt = u.w.now
	u.seq, u.token, u.lease, u.number, u.noted = 0, 0, 0, 0, 0
	u.runs, u.highest, u.ends = map[keeper.RunKey]*fakeRun{}, map[keeper.TaskID]int{}, nil
}

func (u *upstream) used() unit.Resources {
	var sum unit.Resources
	for _, r := range u.runs {
		sum = sum.Add(r.need)
	}
	return sum
}

// start carries out an order, maybe late.
func (u *upstream) start(token uint64, s planner.Start) planner.OrderResult {
	u.w.note("start %+v of %d on %s life %d fence %d highest %d", s.Run.Task, s.Run.Number, u.id, u.life, u.token, u.highest[s.Run.Task])
	if token < u.token {
		return planner.Refused{Reason: planner.RefusedFenced}
	}
	u.token = token
	if u.runs[s.Run] != nil {
		return planner.Executed{}
	}
	if s.Run.Number <= u.highest[s.Run.Task] {
		return planner.Refused{Reason: planner.RefusedStaleRun}
	}
	if s.LeaseExpiry <= u.clock() {
		return planner.Refused{Reason: planner.RefusedExpired}
	}
	u.extend(s.LeaseExpiry)
	u.w.checkStart(u, s)
	u.highest[s.Run.Task] = s.Run.Number
	need, length, fails := u.w.truth(s.Run)
	u.runs[s.Run] = &fakeRun{need: need, left: length, fails: fails}
	if !u.used().Fits(u.capacity) {
		u.w.flaw("%s is over its capacity: %+v of %+v", u.id, u.used(), u.capacity)
	}
	return planner.Executed{}
}

func (u *upstream) extend(expires clock.Millis) {
	u.lease = max(u.lease, min(expires, u.clock()+maxHold))
}

func (u *upstream) stop(token uint64, s planner.Stop) planner.OrderResult {
	u.w.note("stop %+v of %d on %s life %d by %d", s.Run.Task, s.Run.Number, u.id, u.life, token)
	if token < u.token {
		return planner.Refused{Reason: planner.RefusedFenced}
	}
	u.token = token
	u.highest[s.Run.Task] = max(u.highest[s.Run.Task], s.Run.Number)
	if u.runs[s.Run] != nil {
		u.end(s.Run, keeper.RunStopped)
	}
	return planner.Executed{}
}

func (u *upstream) look(token uint64, l planner.Poll) planner.PollResult {
	if token >= u.token {
		u.token = token
		u.noted = max(u.noted, l.AckedEndSeq)
		if l.LeaseExpiry > 0 {
			u.extend(l.LeaseExpiry)
		}
	}
	s := planner.PollResult{Incarnation: u.life, Clock: u.clock()}
	for key := range u.runs {
		s.Running = append(s.Running, planner.RunStatus{Run: key})
	}
	for _, e := range u.ends {
		if e.Seq > u.noted {
			s.Ended = append(s.Ended, e)
		}
	}
	return s
}

func (u *upstream) end(key keeper.RunKey, how keeper.RunOutcome) {
	delete(u.runs, key)
	u.highest[key.Task] = max(u.highest[key.Task], key.Number)
	u.number++
	u.ends = append(u.ends, planner.EndedRun{Seq: u.number, Run: key, Outcome: how})
	if how == keeper.RunDone {
		u.w.done[key.Task] = true
	}
}

// work lets the runs go on for some time.
func (u *upstream) work(span clock.Millis) {
	if !u.up {
		return
	}
	if u.lease > 0 && u.clock() >= u.lease {
		for _, key := range sorted(u.runs) {
			u.end(key, keeper.RunExpired)
		}
		return
	}
	for _, key := range sorted(u.runs) {
		r := u.runs[key]
		if r.left -= span; r.left > 0 {
			continue
		}
		how := keeper.RunDone
		if r.fails {
			how = keeper.RunFailed
		}
		u.end(key, how)
	}
}

// flaw ends the test with what happened to a task, or with its last notes.
func (w *world) flaw(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	for _, n := range w.notes {
		if len(args) > 0 && strings.Contains(n, fmt.Sprintf("%+v", noted(args[0]))) || strings.Contains(n, "holder") {
			text += "\n" + n
		}
	}
	w.t.Fatalf("at %d: %s", w.now, text)
}

// noted returns a task as notes print it.
func noted(v any) any {
	if t, ok := v.(keeper.TaskID); ok {
		return t.String()
	}
	return v
}
