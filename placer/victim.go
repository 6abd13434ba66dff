package placer

import (
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// victimCandidates bounds how many upstreams are compared for preemption.
const victimCandidates = 32

// Cost returns what is lost by stopping a task, in units that the caller chooses.
// A task with a negative cost isn't preempted.
type Cost func(p Placement) int64

// Victims returns the upstream on which a task of size need can start at the
// least cost, and the tasks to stop there. It reports false if there is none.
//
// Upstreams on which the group has claims are considered last and only for
// urgent tasks, because a stream of small tasks would otherwise keep the group
// from starting. The list of tasks is empty if only these claims were in the way.
func (c *Cell) Victims(need unit.Resources, urgent bool, cost Cost) (unit.Upstream, []Placement, bool) {
	best := c.cheapestVictims(need, cost, func(u *upstream) bool { return u.groupClaimed.IsZero() })
	if best.upstream == nil && urgent {
		best = c.cheapestVictims(need, cost, func(u *upstream) bool { return !u.groupClaimed.IsZero() })
	}
	if best.upstream == nil {
		return "", nil, false
	}
	return best.upstream.ID, best.victims, true
}

// preemption is the set of tasks to stop to start a task on an upstream, and
// their total cost.
type preemption struct {
	upstream *upstream
	victims  []Placement
	cost     int64
}

func (c *Cell) cheapestVictims(need unit.Resources, cost Cost, eligible func(*upstream) bool) preemption {
	var best preemption
	remaining := victimCandidates
	needed := need.Vector()
	c.byReclaimable.ascend(&needed, func(slot int32) bool {
		u := c.slots[slot]
		if !eligible(u) {
			return true
		}
		remaining--
		victims, sum, enough := u.victims(need, cost)
		if enough && (best.upstream == nil || sum < best.cost) {
			best = preemption{upstream: u, victims: victims, cost: sum}
		}
		return remaining > 0 && (best.upstream == nil || best.cost > 0)
	})
	return best
}

// GroupVictims returns the tasks to stop to free the capacity that the group
// claimed. It reports false if stopping tasks doesn't free enough.
func (c *Cell) GroupVictims(tasks []unit.Task, cost Cost) ([]Placement, bool) {
	var victims []Placement
	seen := map[*upstream]struct{}{}
	for _, id := range tasks {
		u := c.upstreams[c.claims[id].Upstream]
		if _, again := seen[u]; again {
			continue
		}
		seen[u] = struct{}{}
		chosen, _, enough := u.victims(u.groupClaimed, cost)
		if !enough {
			return nil, false
		}
		victims = append(victims, chosen...)
	}
	return victims, true
}

// victims chooses tasks to stop, cheapest first, until need fits, and then drops
// those without which it fits too. It returns them with their total cost, and
// false if need doesn't fit.
func (u *upstream) victims(need unit.Resources, cost Cost) ([]Placement, int64, bool) {
	free := u.unclaimed().Add(u.stopping)
	var chosen []Placement
	for _, p := range u.preemptibleByCost(cost) {
		if need.Fits(free) {
			break
		}
		if !reduces(p, need.Sub(free)) {
			continue
		}
		chosen = append(chosen, *p)
		free = free.Add(p.Charge).Add(p.Extra)
	}
	if !need.Fits(free) {
		return nil, 0, false
	}
	var sum int64
	for i := len(chosen) - 1; i >= 0; i-- {
		charge := chosen[i].Charge.Add(chosen[i].Extra)
		if need.Fits(free.Sub(charge)) {
			free = free.Sub(charge)
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		sum += 1 + cost(chosen[i])
	}
	return chosen, sum, true
}

// reduces reports whether stopping a task reduces shortfall in any dimension.
func reduces(p *Placement, shortfall unit.Resources) bool {
	shortfallVector, taskVector := shortfall.Vector(), p.Charge.Add(p.Extra).Vector()
	for d := range shortfallVector {
		if shortfallVector[d] > 0 && taskVector[d] > 0 {
			return true
		}
	}
	return false
}

// preemptibleByCost returns the tasks that may be preempted, cheapest first. Of
// tasks of equal cost the last started comes first: it loses the least progress.
func (u *upstream) preemptibleByCost(cost Cost) []*Placement {
	var tasks []*Placement
	for _, p := range slices.Backward(u.tasks) {
		if p.Preemptible() && !p.Stopping && cost(*p) >= 0 {
			tasks = append(tasks, p)
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

// OverCapacityVictims returns the tasks to stop on an upstream whose capacity is
// less than what is charged to it, so that the rest fits. It also returns tasks
// that aren't preemptible.
func (c *Cell) OverCapacityVictims(id unit.Upstream, cost Cost) []Placement {
	u := c.upstreams[id]
	if u == nil || u.gone {
		return nil
	}
	var victims []Placement
	over := u.used.Sub(u.stopping).Sub(u.Capacity)
	tasks := slices.Clone(u.tasks)
	slices.Reverse(tasks)
	slices.SortStableFunc(tasks, func(a, b *Placement) int { return compare(cost(*a), cost(*b)) })
	for _, p := range tasks {
		if over.Fits(unit.Resources{}) {
			break
		}
		if p.Stopping || !reduces(p, over) {
			continue
		}
		victims = append(victims, *p)
		over = over.Sub(p.Charge).Sub(p.Extra)
	}
	return victims
}
