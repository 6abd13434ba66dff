package keeper

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Incarnation tells the lives of an upstream under one id apart: the Unix time of its
// start. A new life remembers nothing of the former one.
type Incarnation int64

// Upstream is a worker as it last described itself.
type Upstream struct {
	_           struct{} `cbor:",toarray"`
	ID          unit.Upstream
	Incarnation Incarnation
	Address     string
	Service     string
	Zone        unit.AvailabilityZone
	Rack        unit.Rack
	Labels      []string
	Capacity    unit.Resources
	// Draining: it has said that it leaves.
	Draining bool
	// Machine is the machine that the upstream is a life of.
	Machine string
	// AckedEndSeq is the number of the last end that was taken note of.
	AckedEndSeq int64
}

// HasLabel reports whether the upstream has a label; every upstream has the
// empty one.
func (u *Upstream) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range u.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// UpstreamState is an upstream with what may run there.
type UpstreamState struct {
	Upstream
	// Used is the need of the live runs.
	Used unit.Resources
	Runs map[RunKey]Allocation
}

// RunKey names a run.
type RunKey struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskID
	Number int
}

// Compare orders runs by their task, then by their number.
func (k RunKey) Compare(o RunKey) int {
	return cmp.Or(
		cmp.Compare(k.Task.Job, o.Task.Job), cmp.Compare(k.Task.Occurrence, o.Task.Occurrence),
		cmp.Compare(k.Task.Step, o.Task.Step), cmp.Compare(k.Task.Index, o.Task.Index),
		cmp.Compare(k.Number, o.Number),
	)
}

// SortedRuns returns the live runs in a fixed order, so that what is done for
// each of them is the same on all copies.
func (h *UpstreamState) SortedRuns() []RunKey {
	return slices.SortedFunc(maps.Keys(h.Runs), RunKey.Compare)
}

// Allocation is a live run with what it takes.
type Allocation struct {
	Need        unit.Resources
	Account     unit.ClientAccount
	Incarnation Incarnation
	At          clock.Millis
}
