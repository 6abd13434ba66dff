package keeper

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Incarnation identifies an upstream from one start to the next. Its value is the
// time of the start, in Unix milliseconds. A new incarnation knows nothing of the
// runs of the former one.
type Incarnation int64

// Upstream is an upstream as its latest report describes it.
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
	// Draining is true if the upstream has reported that it will leave.
	Draining bool
	// Machine is the ID of the machine that the upstream runs on.
	Machine string
	// AckedEndSeq is the sequence number of the latest end that was acknowledged.
	AckedEndSeq int64
}

// HasLabel reports whether the upstream has a label; every upstream has the empty
// label.
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

// UpstreamState is an upstream with its live runs.
type UpstreamState struct {
	Upstream
	// Used is the sum of the needs of Runs.
	Used unit.Resources
	Runs map[RunKey]Allocation
}

// RunKey identifies a run.
type RunKey struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskID
	Number int
}

// Compare orders runs by task and then by number.
func (k RunKey) Compare(o RunKey) int {
	return cmp.Or(
		cmp.Compare(k.Task.Job, o.Task.Job), cmp.Compare(k.Task.Occurrence, o.Task.Occurrence),
		cmp.Compare(k.Task.Step, o.Task.Step), cmp.Compare(k.Task.Index, o.Task.Index),
		cmp.Compare(k.Number, o.Number),
	)
}

// SortedRuns returns the live runs in a fixed order, so that a loop over them has
// the same effect on all replicas.
func (u *UpstreamState) SortedRuns() []RunKey {
	return slices.SortedFunc(maps.Keys(u.Runs), RunKey.Compare)
}

// Allocation is the resources that a live run is charged for on its upstream.
type Allocation struct {
	Need        unit.Resources
	Account     unit.ClientAccount
	Incarnation Incarnation
	StartedAt   clock.Millis
	// AppliedAt is when this replica applied the start or restored it from a snapshot, by
	// State.Now; 0 if unknown. It isn't part of the replicated state.
	AppliedAt clock.Millis
}
