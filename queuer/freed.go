package queuer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// scannedFreed is up to how many freed upstreams a lane looks at one by one;
// for more a search over all costs less.
const scannedFreed = 8

// takeFreed notes the upstreams whose room grew since the last decision. A
// lane that found no room need look only at them.
func (q *Queuer) takeFreed() {
	q.freed = append(q.freed, q.cell.DrainFreed()...)
}

// roomFreed reports whether a freed upstream has room for the least that any
// lane without room needs. It forgets those that have not.
func (q *Queuer) roomFreed() bool {
	for len(q.freed) > 0 {
		if q.cell.Fits(q.freed[0], q.floor, true) {
			return true
		}
		q.freed = q.freed[1:]
	}
	return false
}

// mayFit reports whether a search for room makes sense for a lane: it wasn't
// tried with this charge, or a freed upstream has room for it.
func (q *Queuer) mayFit(l *lane, charge unit.Resources, backfill bool) bool {
	if l.block != byCapacity || l.failed != charge {
		return true
	}
	for i, id := range q.freed {
		if i == scannedFreed || q.cell.Fits(id, charge, backfill) {
			return true
		}
	}
	return false
}
