package placer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// spreadCandidates bounds how many upstreams are compared for a service.
const spreadCandidates = 64

// Find returns the upstream on which to start a task of size charge. A service
// goes to the rack with the fewest of its tasks, any other task to the upstream
// that the scorer ranks first. A task that qualifies as a probe goes to a
// quarantined upstream that awaits one. Find reports false if the task fits on
// no upstream now.
func (c *Cell) Find(t Task, charge unit.Resources) (unit.Upstream, bool) {
	need := charge.Vector()
	if u := c.findProbe(t, charge); u != nil {
		return u.ID, true
	}
	var u *upstream
	switch c.scorer.(type) {
	case FirstFit:
		u = c.findTightest(&need)
	case BestFit, LeastSum:
		u = c.findByKind(t, &need, c.findTightest)
	case Aligned:
		u = c.findByKind(t, &need, c.findAligned)
	}
	if u == nil {
		return "", false
	}
	return u.ID, true
}

func (c *Cell) findByKind(t Task, need *vector, packed func(*vector) *upstream) *upstream {
	switch t.Kind.(type) {
	case Service:
		return c.findSpread(t, need)
	default:
		return packed(need)
	}
}

func (c *Cell) findTightest(need *vector) *upstream {
	var found *upstream
	c.byFree.ascend(need, func(slot int32) bool {
		found = c.slots[slot]
		return false
	})
	return found
}

func (c *Cell) findAligned(need *vector) *upstream {
	var found *upstream
	best := -1.0
	remaining := alignedCandidates
	c.byFree.ascend(need, func(slot int32) bool {
		u := c.slots[slot]
		if a := alignment(unit.FromVector(*need), u.free(), u.Capacity); a > best {
			best, found = a, u
		}
		remaining--
		return remaining > 0
	})
	return found
}

// findSpread returns, among the emptiest upstreams, the one with the fewest
// tasks of the service in its rack, then on the upstream itself.
func (c *Cell) findSpread(t Task, need *vector) *upstream {
	var found *upstream
	var fewest, fewestHere int
	remaining := spreadCandidates
	counts := c.rackCounts[t.Workload]
	c.byFree.descend(need, func(slot int32) bool {
		u := c.slots[slot]
		inRack, here := counts[u.Rack], u.tasksOf(t.Workload)
		if found == nil || inRack < fewest || inRack == fewest && here < fewestHere {
			found, fewest, fewestHere = u, inRack, here
		}
		remaining--
		return remaining > 0 && (fewest > 0 || fewestHere > 0)
	})
	return found
}

func (u *upstream) tasksOf(workload unit.Workload) int {
	n := 0
	for _, p := range u.tasks {
		if p.Workload == workload {
			n++
		}
	}
	return n
}

// Fits reports whether an upstream has the free capacity for a task now.
// Backfill may also use capacity that a group has claimed, and may probe a
// quarantined upstream.
func (c *Cell) Fits(id unit.Upstream, charge unit.Resources, backfill bool) bool {
	u := c.upstreams[id]
	if u == nil {
		return false
	}
	if u.quarantined {
		return backfill && u.awaitsProbe() && charge.Fits(u.free())
	}
	if !u.usable() {
		return false
	}
	if backfill {
		return charge.Fits(u.unclaimed())
	}
	return charge.Fits(u.free())
}
