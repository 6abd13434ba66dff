package placer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// rememberShape is how long the size of an upstream that is gone still counts
// as one that work may wait for.
const rememberShape = 5 * clock.Minute

// shapes counts the upstreams by what they hold, so that work which fits none
// of them is found without a look at each.
type shapes map[unit.Resources]*shape

type shape struct {
	count int
	seen  clock.Millis
}

func (s shapes) add(holds unit.Resources, now clock.Millis) {
	if s[holds] == nil {
		s[holds] = &shape{}
	}
	s[holds].count++
	s[holds].seen = now
}

func (s shapes) drop(holds unit.Resources, now clock.Millis) {
	if s[holds] != nil {
		s[holds].count--
		s[holds].seen = now
	}
}

func (s shapes) forget(now clock.Millis) {
	for holds, sh := range s {
		if sh.count == 0 && now-sh.seen > rememberShape {
			delete(s, holds)
		}
	}
}

// Feasible reports whether some upstream, were it empty, could take need. It
// counts upstreams that are gone for a short time only.
func (c *Cell) Feasible(need unit.Resources) bool {
	for holds := range c.shapes {
		if need.Fits(holds) {
			return true
		}
	}
	return false
}

// FeasibleCount returns how many tasks of the size the present upstreams could hold
// at once, were they empty. It stops counting at enough.
func (c *Cell) FeasibleCount(need unit.Resources, enough int) int {
	copies := 0
	for holds, sh := range c.shapes {
		copies += sh.count * copiesIn(need, holds, enough)
		if copies >= enough {
			return enough
		}
	}
	return copies
}

func copiesIn(need, holds unit.Resources, enough int) int {
	n, h := need.Vector(), holds.Vector()
	copies := int64(enough)
	for d := range n {
		if n[d] > 0 {
			copies = min(copies, h[d]/n[d])
		}
	}
	return int(copies)
}

// Cap returns learned, reduced to what an upstream could hold: a task that
// needed more than any upstream holds would never start.
func (c *Cell) Cap(need, learned unit.Resources) unit.Resources {
	charge := need.Max(learned)
	if c.Feasible(charge) {
		return charge
	}
	capped := need
	for holds := range c.shapes {
		if need.Fits(holds) {
			capped = capped.Max(charge.Min(holds))
		}
	}
	if c.Feasible(capped) {
		return capped
	}
	return need
}
