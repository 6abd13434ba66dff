package placer

import (
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// victimCandidates bounds the upstreams that are compared for preemption.
const victimCandidates = 32

// Cost says how much is lost by stopping a task; a negative cost spares the
// task.
type Cost func(r Placement) int64

// Victims finds the upstream where work of size need displaces least, and the
// tasks to stop there. Upstreams where the group has its claims come last, and
// only for urgent work: a stream of small tasks would never let the group
// start. There may be none to stop, if only these claims were in the way.
func (c *Cell) Victims(need unit.Resources, urgent bool, cost Cost) (unit.Upstream, []Placement, bool) {
	best := c.leastVictims(need, cost, func(u *upstream) bool { return u.groupClaimed.IsZero() })
	if best.upstream == nil && urgent {
		best = c.leastVictims(need, cost, func(u *upstream) bool { return !u.groupClaimed.IsZero() })
	}
	if best.upstream == nil {
		return "", nil, false
	}
	return best.upstream.ID, best.victims, true
}

// displaced is what starting a task on an upstream displaces.
type displaced struct {
	upstream *upstream
	victims  []Placement
	cost     int64
}

func (c *Cell) leastVictims(need unit.Resources, cost Cost, eligible func(*upstream) bool) displaced {
	var best displaced
	left := victimCandidates
	v := need.Vector()
	c.yielding.ascend(&v, func(slot int32) bool {
		u := c.slots[slot]
		if !eligible(u) {
			return true
		}
		left--
		victims, sum, enough := u.victims(need, cost)
		if enough && (best.upstream == nil || sum < best.cost) {
			best = displaced{upstream: u, victims: victims, cost: sum}
		}
		return left > 0 && (best.upstream == nil || best.cost > 0)
	})
	return best
}

// GroupVictims returns the tasks to stop so that the room that the group
// claimed is there, or reports false if stopping isn't enough.
func (c *Cell) GroupVictims(tasks []unit.Task, cost Cost) ([]Placement, bool) {
	var out []Placement
	seen := map[*upstream]struct{}{}
	for _, id := range tasks {
		u := c.upstreams[c.claims[id].Upstream]
		if _, again := seen[u]; again {
			continue
		}
		seen[u] = struct{}{}
		some, _, enough := u.victims(u.groupClaimed, cost)
		if !enough {
			return nil, false
		}
		out = append(out, some...)
	}
	return out, true
}

// victims chooses tasks, cheapest first, until need fits, and then leaves out
// those that turned out not to be needed. It reports whether they are enough.
func (u *upstream) victims(need unit.Resources, cost Cost) ([]Placement, int64, bool) {
	room := u.unclaimed().Add(u.stopping)
	var chosen []Placement
	for _, r := range u.byCost(cost) {
		if need.Fits(room) {
			break
		}
		if !helps(r, need.Sub(room)) {
			continue
		}
		chosen = append(chosen, *r)
		room = room.Add(r.Charge).Add(r.Extra)
	}
	if !need.Fits(room) {
		return nil, 0, false
	}
	var sum int64
	for i := len(chosen) - 1; i >= 0; i-- {
		whole := chosen[i].Charge.Add(chosen[i].Extra)
		if need.Fits(room.Sub(whole)) {
			room = room.Sub(whole)
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		sum += 1 + cost(chosen[i])
	}
	return chosen, sum, true
}

// helps reports whether stopping a task gives something of what lacks.
func helps(r *Placement, lacks unit.Resources) bool {
	l, c := lacks.Vector(), r.Charge.Add(r.Extra).Vector()
	for d := range l {
		if l[d] > 0 && c[d] > 0 {
			return true
		}
	}
	return false
}

// byCost returns the tasks that may be stopped, the cheapest first; of equal
// ones the last started, which has the least work to lose.
func (u *upstream) byCost(cost Cost) []*Placement {
	var tasks []*Placement
	for _, r := range slices.Backward(u.tasks) {
		if r.Preemptible() && !r.Stopping && cost(*r) >= 0 {
			tasks = append(tasks, r)
		}
	}
	slices.SortStableFunc(tasks, func(a, b *Placement) int { return compare(cost(*a), cost(*b)) })
	return tasks
}

func compare(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// OverCapacityVictims returns, for an upstream that holds less than it was given, the
// tasks to stop so that the rest fits.
func (c *Cell) OverCapacityVictims(id unit.Upstream, cost Cost) []Placement {
	u := c.upstreams[id]
	if u == nil || u.gone {
		return nil
	}
	var out []Placement
	over := u.given.Sub(u.stopping).Sub(u.Capacity)
	tasks := slices.Clone(u.tasks)
	slices.Reverse(tasks)
	slices.SortStableFunc(tasks, func(a, b *Placement) int { return compare(cost(*a), cost(*b)) })
	for _, r := range tasks {
		if over.Fits(unit.Resources{}) {
			break
		}
		if r.Stopping || !helps(r, over) {
			continue
		}
		out = append(out, *r)
		over = over.Sub(r.Charge).Sub(r.Extra)
	}
	return out
}
