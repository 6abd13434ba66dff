package queuer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// WaitReason returns why a task waits and what would let it start. It reports
// false if the task isn't waiting.
func (q *Queuer) WaitReason(id unit.Task) (dispatcher.Refusal, bool) {
	w := q.tasks[id]
	if w == nil {
		return dispatcher.Refusal{}, false
	}
	return q.waitReason(w), true
}

func (q *Queuer) waitReason(w *waiting) dispatcher.Refusal {
	switch w.stage {
	case dependent:
		return q.dependencyReason(w)
	case claiming:
		return overloadedRefusal(fmt.Sprintf("room is being made for it on %s", q.cell.Claimed(w.ID)), "nothing; it starts once the tasks in its way have stopped")
	case inLane, removed:
	}
	l := w.lane
	charge := q.chargeFor(w.Task)
	switch {
	case l.reserved:
		return overloadedRefusal(
			fmt.Sprintf("room is reserved for it, expected in %s", max(0, q.reservation.readyAt-q.now)),
			"nothing; it starts once the tasks that run there have ended")
	case !q.hadUpstream:
		return overloadedRefusal("no upstream of the zone has announced itself", "start upstreams in the zone")
	case !q.isFeasible(l):
		return q.infeasibleRefusal(l)
	case l.block == byIncompleteGang:
		g, _ := l.gang()
		return overloadedRefusal(fmt.Sprintf("only %d of the %d tasks that start together were submitted", l.count, g.Size), "submit the other tasks")
	}
	if shortfall := q.quota.Shortfall(w.Team, charge); !shortfall.IsZero() {
		return dispatcher.Refusal{
			Reason: dispatcher.ReasonTeamLimit,
			Detail: fmt.Sprintf("team %s lacks %s of its allotment in this zone", w.Team, describe(shortfall)),
			Remedy: "it starts when work of the team ends or the limit is raised",
		}
	}
	return q.blockedReason(w, charge)
}

func (q *Queuer) dependencyReason(w *waiting) dispatcher.Refusal {
	var names []string
	for _, workload := range w.DependsOn {
		if !q.resolved[workload] {
			names = append(names, string(workload))
		}
	}
	return overloadedRefusal("it starts after "+strings.Join(names, ", "), "nothing; it starts once they are done")
}

func (q *Queuer) blockedReason(w *waiting, charge unit.Resources) dispatcher.Refusal {
	l := w.lane
	switch {
	case l.first() != w:
		return overloadedRefusal("tasks like it came before it", "it starts in its turn")
	case l.block == bySaving:
		return overloadedRefusal(fmt.Sprintf("team %s saves its allotment for larger work that came before", w.Team), "it starts after that")
	case l.block == untried:
		return overloadedRefusal("other teams hold less of their share, and start before", "it starts in its turn")
	default:
		return overloadedRefusal(
			fmt.Sprintf("no upstream has %s free", describe(charge)),
			"it starts when enough has ended on one upstream, or with more upstreams")
	}
}

func overloadedRefusal(detail, remedy string) dispatcher.Refusal {
	return dispatcher.Refusal{Reason: dispatcher.ReasonOverloaded, Detail: detail, Remedy: remedy, RetryAfter: clock.Second}
}

// describe formats an amount for messages, without the dimensions that are zero.
func describe(r unit.Resources) string {
	var parts []string
	if r.CPU != 0 {
		parts = append(parts, fmt.Sprintf("%d mCPU", r.CPU))
	}
	if r.Memory != 0 {
		parts = append(parts, fmt.Sprintf("%d MB of memory", (r.Memory+unit.Megabyte-1)/unit.Megabyte))
	}
	for _, c := range []struct {
		n    unit.Count
		name string
	}{{r.Accelerators, "accelerators"}, {r.Slots, "slots"}, {r.Connections, "connections"}} {
		if c.n != 0 {
			parts = append(parts, fmt.Sprintf("%d %s", c.n, c.name))
		}
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

// Status is the queuer's part of the status page.
type Status struct {
	Upstreams []placer.Status
	// Waiting is the number of waiting tasks.
	Waiting int
	// First lists the oldest waiting tasks.
	First []WaitingTask
}

// WaitingTask is a waiting task and why it waits.
type WaitingTask struct {
	Task  unit.Task
	Team  unit.Team
	Since clock.Millis
	Why   dispatcher.Refusal
}

// Status returns the upstreams and the n oldest waiting tasks.
func (q *Queuer) Status(n int) Status {
	s := Status{Upstreams: q.cell.Status(), Waiting: len(q.tasks)}
	for _, w := range q.firstWaiting(n) {
		s.First = append(s.First, WaitingTask{Task: w.ID, Team: w.Team, Since: w.addedAt, Why: q.waitReason(w)})
	}
	return s
}

// firstWaiting returns the n oldest waiting tasks.
func (q *Queuer) firstWaiting(n int) []*waiting {
	var first []*waiting
	for _, l := range q.lanes {
		first = append(first, l.firstTasks(n)...)
	}
	first = append(first, q.claims...)
	for _, dependants := range q.dependants {
		for _, w := range dependants {
			if w.stage == dependent {
				first = append(first, w)
			}
		}
	}
	slices.SortFunc(first, func(a, b *waiting) int { return cmp.Compare(a.seq, b.seq) })
	first = slices.Compact(first)
	return first[:min(n, len(first))]
}

// firstTasks returns the n oldest tasks that wait in a lane.
func (l *lane) firstTasks(n int) []*waiting {
	var first []*waiting
	for _, w := range l.tasks[l.head:] {
		if len(first) >= n {
			break
		}
		if w.stage == inLane {
			first = append(first, w)
		}
	}
	return first
}
