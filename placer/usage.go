package placer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// overuseTolerated is the part of what an upstream holds, as a divisor, that
// tasks may use beyond it before some are stopped: measured use is noisy.
const overuseTolerated = 8

// RecordUsage charges what a task was seen to use beyond its charge, as far as its
// upstream has room, so that nothing else is placed there. It reports whether
// the tasks there use so much more than the upstream holds that OverCapacityVictims has
// some to stop.
func (c *Cell) RecordUsage(id unit.Task, usage unit.Resources) bool {
	r := c.running[id]
	if r == nil || r.Stopping {
		return false
	}
	u := c.upstreams[r.Upstream]
	before := u.free()
	c.grow(u, r, usage.Sub(r.Charge).Max(unit.Resources{}))
	c.touch(u, before)
	return u.isOverused()
}

// grow splits what a task uses beyond its charge into the part that there is
// room for and the rest.
func (c *Cell) grow(u *upstream, r *Placement, beyond unit.Resources) {
	room := u.Capacity.Sub(u.given).Max(unit.Resources{})
	extra := beyond.Min(r.Extra.Add(room))
	change := extra.Sub(r.Extra)
	r.Extra, r.Unmet = extra, beyond.Sub(extra)
	u.given = u.given.Add(change)
	if r.Preemptible() {
		u.preemptible = u.preemptible.Add(change)
	}
}

// growUnmet gives room that was freed to the tasks that use it already.
func (c *Cell) growUnmet(u *upstream) {
	if u.gone {
		return
	}
	for _, r := range u.tasks {
		if !r.Stopping && !r.Unmet.IsZero() {
			c.grow(u, r, r.Extra.Add(r.Unmet))
		}
	}
}

// unmet is what the tasks that stay use beyond what the upstream holds.
func (u *upstream) unmet() unit.Resources {
	var sum unit.Resources
	for _, r := range u.tasks {
		if !r.Stopping {
			sum = sum.Add(r.Unmet)
		}
	}
	return sum.Sub(u.stopping).Max(unit.Resources{})
}

func (u *upstream) isOverused() bool {
	over, holds := u.unmet().Vector(), u.Capacity.Vector()
	for d := range over {
		if over[d] > holds[d]/overuseTolerated {
			return true
		}
	}
	return false
}

// OveruseVictims returns the batch tasks to stop on an upstream whose tasks use much
// more than it holds.
func (c *Cell) OveruseVictims(id unit.Upstream, cost Cost) []Placement {
	u := c.upstreams[id]
	if u == nil || u.gone || !u.isOverused() {
		return nil
	}
	over := u.unmet()
	var out []Placement
	for _, r := range u.byCost(cost) {
		if over.IsZero() {
			break
		}
		whole := r.Charge.Add(r.Extra).Add(r.Unmet)
		if over.Min(whole).IsZero() {
			continue
		}
		out = append(out, *r)
		over = over.Sub(whole).Max(unit.Resources{})
	}
	return out
}
