package placer

import (
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// victimCandidates bounds the upstreams that are compared for preemption.
const victimCandidates = 16

// Cost says how much is lost by stopping a task; the caller adds to it by
// what it knows of shares.
type Cost func(r Running) int64

// Victims finds the upstream where urgent work of size need displaces least,
// and the tasks to stop there. There may be none to stop, if only the claims
// of a group were in the way.
func (c *Cell) Victims(need unit.Resources, cost Cost) (unit.Upstream, []Running, bool) {
	var found *upstream
	var victims []Running
	var least int64
	left := victimCandidates
	v := need.Vector()
	c.yielding.ascend(&v, func(slot int32) bool {
		u := c.slots[slot]
		some, sum := u.victims(need, cost)
		if found == nil || sum < least {
			found, victims, least = u, some, sum
		}
		left--
		return left > 0 && least > 0
	})
	if found == nil {
		return "", nil, false
	}
	return found.ID, victims, true
}

// victims chooses tasks, cheapest first, until need fits, and then leaves out
// those that turned out not to be needed.
func (u *upstream) victims(need unit.Resources, cost Cost) ([]Running, int64) {
	room := u.unclaimed().Add(u.stopping)
	var chosen []Running
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
	return chosen, sum
}

// helps reports whether stopping a task gives something of what lacks.
func helps(r *Running, lacks unit.Resources) bool {
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
func (u *upstream) byCost(cost Cost) []*Running {
	var tasks []*Running
	for _, r := range slices.Backward(u.tasks) {
		if r.Preemptible() && !r.Stopping {
			tasks = append(tasks, r)
		}
	}
	slices.SortStableFunc(tasks, func(a, b *Running) int { return compare(cost(*a), cost(*b)) })
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

// Overfull returns, for an upstream that holds less than it was given, the
// tasks to stop so that the rest fits.
func (c *Cell) Overfull(id unit.Upstream, cost Cost) []Running {
	u := c.upstreams[id]
	if u == nil || u.gone {
		return nil
	}
	var out []Running
	over := u.given.Sub(u.stopping).Sub(u.Holds)
	tasks := slices.Clone(u.tasks)
	slices.Reverse(tasks)
	slices.SortStableFunc(tasks, func(a, b *Running) int { return compare(cost(*a), cost(*b)) })
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
