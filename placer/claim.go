package placer

import (
	"fmt"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// claim keeps capacity of an upstream for a task until the tasks that use it
// have ended.
type claim struct {
	Placement
	// group is set for a claim of ClaimForGroup.
	group bool
}

// ClaimUrgent claims capacity for a single task that waits for others to stop.
// It may claim capacity that a group has claimed. It panics if the upstream isn't
// known or the task has a claim already.
func (c *Cell) ClaimUrgent(p Placement) { c.claim(p, false) }

// ClaimForGroup claims capacity for one task of the group that has the
// reservation. It panics as ClaimUrgent does.
func (c *Cell) ClaimForGroup(p Placement) { c.claim(p, true) }

func (c *Cell) claim(p Placement, group bool) {
	u := c.upstreams[p.Upstream]
	if u == nil || c.claims[p.ID] != nil {
		panic(fmt.Sprintf("placer: task %s can't claim capacity on %s: upstream unknown or task has a claim", p.ID, p.Upstream))
	}
	freeBefore := u.free()
	cl := &claim{Placement: p, group: group}
	c.claims[p.ID] = cl
	u.claims = append(u.claims, cl)
	u.addClaimed(cl, p.Charge)
	c.reindex(u, freeBefore)
}

func (u *upstream) addClaimed(cl *claim, amount unit.Resources) {
	if cl.group {
		u.groupClaimed = u.groupClaimed.Add(amount)
	} else {
		u.urgentClaimed = u.urgentClaimed.Add(amount)
	}
}

// Unclaim releases the claim of a task. It reports false if there was none.
func (c *Cell) Unclaim(id unit.Task) bool {
	cl := c.claims[id]
	if cl == nil {
		return false
	}
	u := c.upstreams[cl.Upstream]
	freeBefore := u.free()
	u.claims = slices.DeleteFunc(u.claims, func(other *claim) bool { return other == cl })
	delete(c.claims, id)
	u.addClaimed(cl, unit.Resources{}.Sub(cl.Charge))
	c.reindex(u, freeBefore)
	c.removeIfUnused(u)
	return true
}

// ClaimValid reports whether a claim can still be met: its upstream is usable
// and has the capacity for all claims on it.
func (c *Cell) ClaimValid(id unit.Task) bool {
	cl := c.claims[id]
	if cl == nil {
		return false
	}
	u := c.upstreams[cl.Upstream]
	return u.usable() && u.urgentClaimed.Add(u.groupClaimed).Fits(u.Capacity)
}

// ClaimReady reports whether the capacity that an urgent task claimed is free.
func (c *Cell) ClaimReady(id unit.Task) bool {
	cl := c.claims[id]
	if cl == nil {
		return false
	}
	u := c.upstreams[cl.Upstream]
	return u.usable() && u.used.Add(cl.Charge).Fits(u.Capacity)
}

// PlaceClaimed starts a task on the capacity that it claimed and ends the claim.
// It panics if that capacity isn't free yet.
func (c *Cell) PlaceClaimed(id unit.Task, p Placement) {
	cl := c.claims[id]
	u := c.upstreams[cl.Upstream]
	c.Unclaim(id)
	if !u.usable() || !p.Charge.Fits(u.Capacity.Sub(u.used)) && !c.unchecked {
		panic(fmt.Sprintf("placer: task %s was started on %s before its capacity was free", id, u.ID))
	}
	c.add(u, p)
}

// GroupReady reports whether all capacity that the group claimed is free. If
// only backfill still uses some of it, GroupReady returns the backfill tasks that
// haven't been told to stop.
func (c *Cell) GroupReady(tasks []unit.Task) (ready bool, blocking []Placement) {
	ready = true
	seen := map[*upstream]struct{}{}
	for _, id := range tasks {
		u := c.upstreams[c.claims[id].Upstream]
		if _, again := seen[u]; again {
			continue
		}
		seen[u] = struct{}{}
		if u.groupClaimed.Fits(u.unclaimed()) {
			continue
		}
		ready = false
		without, backfill := u.withoutBackfill()
		if !u.groupClaimed.Fits(without) {
			return false, nil
		}
		blocking = append(blocking, backfill...)
	}
	return ready, blocking
}

// withoutBackfill returns the result of unclaimed once all backfill has ended,
// and the backfill tasks that haven't been told to stop.
func (u *upstream) withoutBackfill() (unit.Resources, []Placement) {
	free := u.unclaimed()
	var backfill []Placement
	for _, p := range u.tasks {
		if !p.Backfill {
			continue
		}
		free = free.Add(p.Charge).Add(p.Extra)
		if !p.Stopping {
			backfill = append(backfill, *p)
		}
	}
	return free, backfill
}

// FindBackfill returns an upstream on which the group has a claim and which has
// the capacity for a task of size charge until the group starts. It reports
// false if there is none.
func (c *Cell) FindBackfill(group []unit.Task, charge unit.Resources) (unit.Upstream, bool) {
	for _, id := range group {
		cl := c.claims[id]
		if cl == nil {
			continue
		}
		u := c.upstreams[cl.Upstream]
		if u.usable() && charge.Fits(u.unclaimed()) {
			return u.ID, true
		}
	}
	return "", false
}

// Claimed returns the upstream on which a task has a claim, "" if it has none.
func (c *Cell) Claimed(id unit.Task) unit.Upstream {
	cl := c.claims[id]
	if cl == nil {
		return ""
	}
	return cl.Upstream
}
