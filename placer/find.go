package placer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// spreadCandidates bounds the upstreams that are compared for a service.
const spreadCandidates = 64

// Find returns the upstream that a task of size charge goes to: a service
// where the fewest of its tasks share its rack, other work where it packs
// best by the scorer.
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
		u = c.findFor(t, &need, c.findTightest)
	case Aligned:
		u = c.findFor(t, &need, c.findAligned)
	}
	if u == nil {
		return "", false
	}
	return u.ID, true
}

func (c *Cell) findFor(t Task, need *vector, packed func(*vector) *upstream) *upstream {
	switch t.Kind.(type) {
	case Service:
		return c.findSpread(t, need)
	default:
		return packed(need)
	}
}

func (c *Cell) findTightest(need *vector) *upstream {
	var found *upstream
	c.open.ascend(need, func(slot int32) bool {
		found = c.slots[slot]
		return false
	})
	return found
}

func (c *Cell) findAligned(need *vector) *upstream {
	var found *upstream
	best := -1.0
	left := alignedCandidates
	c.open.ascend(need, func(slot int32) bool {
		u := c.slots[slot]
		if a := alignment(unit.FromVector(*need), u.free(), u.Capacity); a > best {
			best, found = a, u
		}
		left--
		return left > 0
	})
	return found
}

// findSpread compares the emptiest upstreams by the tasks of the service in
// their rack, then on themselves.
func (c *Cell) findSpread(t Task, need *vector) *upstream {
	var found *upstream
	var fewest, fewestHere int
	left := spreadCandidates
	counts := c.racks[t.Workload]
	c.open.descend(need, func(slot int32) bool {
		u := c.slots[slot]
		inRack, here := counts[u.Rack], u.tasksOf(t.Workload)
		if found == nil || inRack < fewest || inRack == fewest && here < fewestHere {
			found, fewest, fewestHere = u, inRack, here
		}
		left--
		return left > 0 && (fewest > 0 || fewestHere > 0)
	})
	return found
}

func (u *upstream) tasksOf(work unit.Workload) int {
	n := 0
	for _, r := range u.tasks {
		if r.Workload == work {
			n++
		}
	}
	return n
}

// Fits reports whether an upstream has room for a task now. A task that may
// be stopped again may also use the room of a reservation.
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
