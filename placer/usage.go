package placer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// overuseDivisor sets how far the usage on an upstream may exceed its capacity
// before tasks are stopped: by capacity/overuseDivisor. Measured usage is noisy.
const overuseDivisor = 8

// RecordUsage charges the measured usage of a task above its charge, as far as
// its upstream has free capacity, so that nothing else is placed there. It
// reports whether the usage on the upstream exceeds its capacity by so much that
// OveruseVictims should be called.
func (c *Cell) RecordUsage(id unit.Task, usage unit.Resources) bool {
	p := c.running[id]
	if p == nil || p.Stopping {
		return false
	}
	u := c.upstreams[p.Upstream]
	freeBefore := u.free()
	c.setExtra(u, p, usage.Sub(p.Charge).Max(unit.Resources{}))
	c.reindex(u, freeBefore)
	return u.isOverused()
}

// setExtra splits a task's usage above its charge into Extra, as far as the
// upstream has capacity for it, and Unmet.
func (c *Cell) setExtra(u *upstream, p *Placement, excess unit.Resources) {
	free := u.Capacity.Sub(u.used).Max(unit.Resources{})
	extra := excess.Min(p.Extra.Add(free))
	change := extra.Sub(p.Extra)
	p.Extra, p.Unmet = extra, excess.Sub(extra)
	u.used = u.used.Add(change)
	if p.Preemptible() {
		u.preemptible = u.preemptible.Add(change)
	}
}

// chargeUnmet charges freed capacity to the tasks whose Unmet usage fits in it.
func (c *Cell) chargeUnmet(u *upstream) {
	if u.gone {
		return
	}
	for _, p := range u.tasks {
		if !p.Stopping && !p.Unmet.IsZero() {
			c.setExtra(u, p, p.Extra.Add(p.Unmet))
		}
	}
}

// unmet returns the usage that exceeds the upstream's capacity once its stopping
// tasks have ended.
func (u *upstream) unmet() unit.Resources {
	var sum unit.Resources
	for _, p := range u.tasks {
		if !p.Stopping {
			sum = sum.Add(p.Unmet)
		}
	}
	return sum.Sub(u.stopping).Max(unit.Resources{})
}

func (u *upstream) isOverused() bool {
	unmet, capacity := u.unmet().Vector(), u.Capacity.Vector()
	for d := range unmet {
		if unmet[d] > capacity[d]/overuseDivisor {
			return true
		}
	}
	return false
}

// OveruseVictims returns the batch tasks to stop on an upstream, cheapest first,
// if the usage there exceeds its capacity by more than the tolerance.
func (c *Cell) OveruseVictims(id unit.Upstream, cost Cost) []Placement {
	u := c.upstreams[id]
	if u == nil || u.gone || !u.isOverused() {
		return nil
	}
	unmet := u.unmet()
	var victims []Placement
	for _, p := range u.preemptibleByCost(cost) {
		if unmet.IsZero() {
			break
		}
		charge := p.Charge.Add(p.Extra).Add(p.Unmet)
		if unmet.Min(charge).IsZero() {
			continue
		}
		victims = append(victims, *p)
		unmet = unmet.Sub(charge).Max(unit.Resources{})
	}
	return victims
}
