package placer

import (
	"fmt"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// claim keeps room on an upstream for a task until the tasks that are in its
// way have ended.
type claim struct {
	Placement
	group bool
}

// ClaimUrgent keeps room for an urgent task, before reservations of groups.
func (c *Cell) ClaimUrgent(r Placement) { c.claim(r, false) }

// ClaimForGroup keeps room for one task of the group that has a reservation.
func (c *Cell) ClaimForGroup(r Placement) { c.claim(r, true) }

func (c *Cell) claim(r Placement, group bool) {
	u := c.upstreams[r.Upstream]
	if u == nil || c.claims[r.ID] != nil {
		panic(fmt.Sprintf("placer: task %s can't claim room on %s", r.ID, r.Upstream))
	}
	before := u.free()
	cl := &claim{Placement: r, group: group}
	c.claims[r.ID] = cl
	u.claims = append(u.claims, cl)
	u.addClaimed(cl, r.Charge)
	c.touch(u, before)
}

func (u *upstream) addClaimed(cl *claim, amount unit.Resources) {
	if cl.group {
		u.groupClaimed = u.groupClaimed.Add(amount)
	} else {
		u.urgentClaimed = u.urgentClaimed.Add(amount)
	}
}

// Unclaim gives claimed room back. It reports false if there was no claim.
func (c *Cell) Unclaim(id unit.Task) bool {
	cl := c.claims[id]
	if cl == nil {
		return false
	}
	u := c.upstreams[cl.Upstream]
	before := u.free()
	u.claims = slices.DeleteFunc(u.claims, func(o *claim) bool { return o == cl })
	delete(c.claims, id)
	u.addClaimed(cl, unit.Resources{}.Sub(cl.Charge))
	c.touch(u, before)
	c.forget(u)
	return true
}

// ClaimValid reports whether a claim can still come true: its upstream is
// usable and holds enough.
func (c *Cell) ClaimValid(id unit.Task) bool {
	cl := c.claims[id]
	if cl == nil {
		return false
	}
	u := c.upstreams[cl.Upstream]
	return u.usable() && u.urgentClaimed.Add(u.groupClaimed).Fits(u.Capacity)
}

// ClaimReady reports whether the room of an urgent claim is there.
func (c *Cell) ClaimReady(id unit.Task) bool {
	cl := c.claims[id]
	if cl == nil {
		return false
	}
	u := c.upstreams[cl.Upstream]
	return u.usable() && u.given.Add(cl.Charge).Fits(u.Capacity)
}

// PlaceClaimed starts a task on the room it claimed. It panics if the room isn't
// there.
func (c *Cell) PlaceClaimed(id unit.Task, r Placement) {
	cl := c.claims[id]
	u := c.upstreams[cl.Upstream]
	c.Unclaim(id)
	if !u.usable() || !r.Charge.Fits(u.Capacity.Sub(u.given)) && !c.unchecked {
		panic(fmt.Sprintf("placer: task %s was started on %s before its room was free", id, u.ID))
	}
	c.add(u, r)
}

// GroupReady reports whether all room that the group claimed is there. If it
// is but for tasks that run as backfill, it returns those that weren't told
// to stop yet.
func (c *Cell) GroupReady(tasks []unit.Task) (ready bool, inTheWay []Placement) {
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
		inTheWay = append(inTheWay, backfill...)
	}
	return ready, inTheWay
}

// withoutBackfill returns the room once the backfill has stopped, and the
// backfill that was not told to.
func (u *upstream) withoutBackfill() (unit.Resources, []Placement) {
	room := u.unclaimed()
	var backfill []Placement
	for _, r := range u.tasks {
		if !r.Backfill {
			continue
		}
		room = room.Add(r.Charge).Add(r.Extra)
		if !r.Stopping {
			backfill = append(backfill, *r)
		}
	}
	return room, backfill
}

// FindBackfill returns an upstream of the group's claims that has room for a
// task now.
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

// Claimed returns the upstream on which a task has room claimed.
func (c *Cell) Claimed(id unit.Task) unit.Upstream {
	cl := c.claims[id]
	if cl == nil {
		return ""
	}
	return cl.Upstream
}
