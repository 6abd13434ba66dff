package placer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// capacityRetention is how long a capacity that no upstream has any more still
// counts as one that tasks may wait for.
const capacityRetention = 5 * clock.Minute

// capacityCounts counts the upstreams by capacity, so that a task that fits on
// no upstream is found without visiting each.
type capacityCounts map[unit.Resources]*capacityCount

type capacityCount struct {
	count int
	// changedAt is when an upstream was last added or removed.
	changedAt clock.Millis
}

func (c capacityCounts) add(capacity unit.Resources, now clock.Millis) {
	if c[capacity] == nil {
		c[capacity] = &capacityCount{}
	}
	c[capacity].count++
	c[capacity].changedAt = now
}

func (c capacityCounts) remove(capacity unit.Resources, now clock.Millis) {
	if c[capacity] != nil {
		c[capacity].count--
		c[capacity].changedAt = now
	}
}

func (c capacityCounts) expire(now clock.Millis) {
	for capacity, entry := range c {
		if entry.count == 0 && now-entry.changedAt > capacityRetention {
			delete(c, capacity)
		}
	}
}

// Feasible reports whether need fits the whole capacity of some upstream. It
// includes upstreams that were removed less than capacityRetention ago.
func (c *Cell) Feasible(need unit.Resources) bool {
	for capacity := range c.capacities {
		if need.Fits(capacity) {
			return true
		}
	}
	return false
}

// FeasibleCount returns how many tasks of size need the present upstreams could
// run at once if they ran nothing else, at most enough.
func (c *Cell) FeasibleCount(need unit.Resources, enough int) int {
	count := 0
	for capacity, entry := range c.capacities {
		count += entry.count * copiesIn(need, capacity, enough)
		if count >= enough {
			return enough
		}
	}
	return count
}

func copiesIn(need, capacity unit.Resources, enough int) int {
	needVector, capacityVector := need.Vector(), capacity.Vector()
	count := int64(enough)
	for d := range needVector {
		if needVector[d] > 0 {
			count = min(count, capacityVector[d]/needVector[d])
		}
	}
	return int(count)
}

// CappedCharge returns the larger of need and learned, with learned limited to
// what an upstream can offer: a task that is charged more than any upstream has
// would never start.
func (c *Cell) CappedCharge(need, learned unit.Resources) unit.Resources {
	charge := need.Max(learned)
	if c.Feasible(charge) {
		return charge
	}
	capped := need
	for capacity := range c.capacities {
		if need.Fits(capacity) {
			capped = capped.Max(charge.Min(capacity))
		}
	}
	if c.Feasible(capped) {
		return capped
	}
	return need
}
