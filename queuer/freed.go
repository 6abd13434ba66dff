package queuer

import (
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// keptFreed bounds the freed log between passes.
	keptFreed = 64
	// scannedFreed is up to how many freed upstreams a lane looks at one by
	// one; for more a search over all costs less.
	scannedFreed = 8
)

// freedLog lists the upstreams whose room grew, so that a lane that found no
// room looks only at those since.
type freedLog struct {
	entries []unit.Upstream
	base    uint64
	// window is the first entry that may still have room for anybody.
	window int
}

func (f *freedLog) end() uint64 { return f.base + uint64(len(f.entries)) }

func (f *freedLog) add(ids []unit.Upstream) {
	f.entries = append(f.entries, ids...)
}

// trim forgets old entries; lanes that have not seen them search in full.
func (f *freedLog) trim() {
	if drop := len(f.entries) - keptFreed; drop > 0 {
		f.entries = append([]unit.Upstream(nil), f.entries[drop:]...)
		f.base += uint64(drop)
		f.window = max(0, f.window-drop)
	}
}

// roomFreed reports whether an upstream of the log has room for the least
// that any lane needs.
func (q *Queuer) roomFreed() bool {
	f := &q.freed
	for f.window < len(f.entries) {
		if q.cell.Offers(f.entries[f.window], q.floor, true) {
			return true
		}
		f.window++
	}
	return false
}

// mayFit reports whether a search for room makes sense: the lane wasn't tried
// with this charge, or room was freed since that it fits into.
func (q *Queuer) mayFit(l *lane, charge unit.Resources, backfill bool) bool {
	f := &q.freed
	if l.block != byCapacity || l.failed != charge || l.seen < f.base || f.end()-l.seen > scannedFreed {
		return true
	}
	for _, id := range f.entries[l.seen-f.base:] {
		if q.cell.Offers(id, charge, backfill) {
			return true
		}
	}
	return false
}
