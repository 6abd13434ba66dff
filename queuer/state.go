package queuer

import (
	"fmt"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/limiter"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Queuer holds the waiting tasks of one availability zone, its cell and its
// allotments.
type Queuer struct {
	config  Config
	cell    *placer.Cell
	zone    *limiter.Zone
	waiting map[unit.Task]*waiting
	order   []*waiting
	settled map[unit.Work]bool
}

type waiting struct {
	placer.Task
	since clock.Millis
	gone  bool
}

// New returns a queuer without upstreams, teams and tasks.
func New(config Config) *Queuer {
	if config.MaxWaiting <= 0 {
		config.MaxWaiting = DefaultMaxWaiting
	}
	return &Queuer{
		config:  config,
		cell:    placer.NewCell(placer.FirstFit{}),
		zone:    limiter.NewZone(),
		waiting: map[unit.Task]*waiting{},
		settled: map[unit.Work]bool{},
	}
}

// Zone returns the zone's spending, for returning spare allotments.
func (q *Queuer) Zone() *limiter.Zone { return q.zone }

// SetTeams sets the teams and their shares.
func (q *Queuer) SetTeams(_ []Team) {}

// SetAllotments sets the zone's allotment of each team's limit. A team that
// isn't named has none.
func (q *Queuer) SetAllotments(allotments map[unit.Team]unit.Resources) {
	for team := range q.zone.Teams() {
		q.zone.Set(team, allotments[team])
	}
	for team, a := range allotments {
		q.zone.Set(team, a)
	}
}

// SetOthers sets what each team holds in the other zones, which is known late.
func (q *Queuer) SetOthers(_ map[unit.Team]unit.Resources) {}

// Worker announces an upstream or changes it. It may hold less than before.
func (q *Queuer) Worker(_ clock.Millis, w placer.Worker) {
	q.cell.SetWorker(w)
}

// WorkerGone takes an upstream out and returns its tasks. They stay charged
// until Ended is called for each.
func (q *Queuer) WorkerGone(_ clock.Millis, id unit.Upstream) []unit.Task {
	return q.cell.Remove(id)
}

// Add queues a task. The refusal is nil if it was taken, also if it is known
// already.
func (q *Queuer) Add(now clock.Millis, t placer.Task) *dispatcher.Refusal {
	if _, known := q.waiting[t.ID]; known {
		return nil
	}
	if _, known := q.cell.Running(t.ID); known {
		return nil
	}
	if len(q.waiting) >= q.config.MaxWaiting && !t.Urgent {
		return &dispatcher.Refusal{
			Reason:     dispatcher.ReasonOverloaded,
			Detail:     fmt.Sprintf("%d tasks are waiting already", len(q.waiting)),
			Remedy:     "send it again later",
			RetryAfter: clock.Second,
		}
	}
	w := &waiting{Task: t, since: now}
	q.waiting[t.ID] = w
	q.order = append(q.order, w)
	return nil
}

// Adopt charges a task that an upstream reported as running, also if that
// passes what the upstream holds or the team's allotment.
func (q *Queuer) Adopt(_ clock.Millis, t placer.Task, id unit.Upstream) {
	if _, known := q.cell.Running(t.ID); known {
		return
	}
	if w := q.waiting[t.ID]; w != nil {
		q.drop(w)
	}
	q.cell.Adopt(t, t.Need, id)
	q.zone.Adopt(t.Team, t.Need)
}

func (q *Queuer) drop(w *waiting) {
	w.gone = true
	delete(q.waiting, w.ID)
}

// Cancel takes a waiting task out. It reports whether the task was waiting; a
// running one is the caller's to stop.
func (q *Queuer) Cancel(_ clock.Millis, id unit.Task) bool {
	w := q.waiting[id]
	if w == nil {
		return false
	}
	q.drop(w)
	return true
}

// Ended takes a task off its upstream and its team's account. Repeated calls
// are harmless.
func (q *Queuer) Ended(_ clock.Millis, id unit.Task, _ End) {
	r, was := q.cell.End(id)
	if was {
		q.zone.Free(r.Team, r.Charge)
	}
}

// Settle says that a work is done or, for a service, running (ok), or has
// failed for good. Its dependants start or are rejected.
func (q *Queuer) Settle(work unit.Work, ok bool) {
	q.settled[work] = ok
}

// Usage takes the measured use of a running task.
func (q *Queuer) Usage(_ unit.Task, _ unit.Resources) {}

// Carry counts what a predecessor may have started against a team's allotment
// until Adopt finds it or DropCarry is called.
func (q *Queuer) Carry(team unit.Team, amount unit.Resources) {
	q.zone.Carry(team, amount)
}

// DropCarry is called once every upstream of the zone was claimed, or the
// leases of the predecessor's tasks have surely ended.
func (q *Queuer) DropCarry(team unit.Team) {
	q.zone.DropCarry(team)
}

// Decide returns what must be done now, at most about max decisions. A gang's
// starts come in one call.
func (q *Queuer) Decide(_ clock.Millis, most int) []Decision {
	q.order = slices.DeleteFunc(q.order, func(w *waiting) bool { return w.gone })
	var out []Decision
	for _, w := range q.order {
		if len(out) >= most {
			break
		}
		if d := q.try(w); d != nil {
			out = append(out, d)
			q.drop(w)
		}
	}
	return out
}

func (q *Queuer) try(w *waiting) Decision {
	for _, after := range w.After {
		ok, settled := q.settled[after]
		if !settled {
			return nil
		}
		if !ok {
			return Reject{Task: w.ID, Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonDependencyFailed, Detail: "work " + string(after) + " failed"}}
		}
	}
	id, fits := q.cell.Find(w.Task, w.Need)
	if !fits || !q.zone.Reserve(w.Team, w.Need) {
		return nil
	}
	q.cell.Place(w.Task, w.Need, id)
	return Start{Task: w.ID, Upstream: id}
}

// Why tells why a task waits and what it would need. It reports false if the
// task isn't waiting.
func (q *Queuer) Why(id unit.Task) (dispatcher.Refusal, bool) {
	w := q.waiting[id]
	if w == nil {
		return dispatcher.Refusal{}, false
	}
	if lacks := q.zone.Lacks(w.Team, w.Need); !lacks.IsZero() {
		return dispatcher.Refusal{Reason: dispatcher.ReasonTeamLimit, Detail: "the team is at its limit"}, true
	}
	return dispatcher.Refusal{Reason: dispatcher.ReasonOverloaded, Detail: "no upstream has room"}, true
}

// Waiting returns the number of waiting tasks.
func (q *Queuer) Waiting() int { return len(q.waiting) }

// Status is the queuer's part of the status page.
type Status struct {
	Upstreams []placer.Status
	Waiting   int
	// First lists the first waiting tasks.
	First []WaitingTask
}

// WaitingTask is a waiting task and why it waits.
type WaitingTask struct {
	Task  unit.Task
	Team  unit.Team
	Since clock.Millis
	Why   dispatcher.Refusal
}

// Status returns the upstreams and the first n waiting tasks.
func (q *Queuer) Status(n int) Status {
	s := Status{Upstreams: q.cell.Status(), Waiting: len(q.waiting)}
	for _, w := range q.order {
		if len(s.First) >= n {
			break
		}
		if why, ok := q.Why(w.ID); ok && !w.gone {
			s.First = append(s.First, WaitingTask{Task: w.ID, Team: w.Team, Since: w.since, Why: why})
		}
	}
	return s
}
