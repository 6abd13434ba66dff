package queuer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// maxScannedFreed bounds how many freed upstreams are checked for a lane one by
// one. With more of them, a search over all upstreams costs less.
const maxScannedFreed = 8

// collectFreed adds the upstreams whose free capacity has grown since the last
// decision. Only they can fit a lane that found no capacity before.
func (q *Queuer) collectFreed() {
	q.freed = append(q.freed, q.cell.DrainFreed()...)
}

// capacityFreed reports whether a freed upstream has the capacity for
// minBlockedCharge. It removes the upstreams before it, which don't.
func (q *Queuer) capacityFreed() bool {
	for len(q.freed) > 0 {
		if q.cell.Fits(q.freed[0], q.minBlockedCharge, true) {
			return true
		}
		q.freed = q.freed[1:]
	}
	return false
}

// mightFit reports whether a search for capacity may succeed for a lane: it
// wasn't tried with this charge, or a freed upstream has the capacity for it.
func (q *Queuer) mightFit(l *lane, charge unit.Resources, backfill bool) bool {
	if l.block != byCapacity || l.failedCharge != charge {
		return true
	}
	for i, id := range q.freed {
		if i == maxScannedFreed || q.cell.Fits(id, charge, backfill) {
			return true
		}
	}
	return false
}
