package keeper

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// SetEvacuation records that an availability zone is evacuated, so that no task starts there
// any more, or that its evacuation is withdrawn.
type SetEvacuation struct {
	_         struct{} `cbor:",toarray"`
	Zone      unit.AvailabilityZone
	Evacuated bool
}

func (SetEvacuation) command() {}

func (s *State) setEvacuation(c SetEvacuation) {
	if c.Evacuated {
		s.EvacuatedZones[c.Zone] = true
		return
	}
	delete(s.EvacuatedZones, c.Zone)
}

// SortedEvacuations returns the evacuated zones, sorted.
func (s *State) SortedEvacuations() []unit.AvailabilityZone {
	return slices.Sorted(maps.Keys(s.EvacuatedZones))
}

// evacuationSnapshot is the form of a snapshot with evacuated zones. Without any, a snapshot
// has the form that builds without evacuations can read.
type evacuationSnapshot struct {
	_                 struct{} `cbor:",toarray"`
	Config            Config
	Upstreams         []Upstream
	Jobs              []*Job
	EndedIncarnations map[unit.Upstream]Incarnation
	EvacuatedZones    []unit.AvailabilityZone
}

// evacuationSnapshotHeader is the first byte of an encoded evacuationSnapshot: the CBOR
// header of an array of five elements. A snapshot has four.
const evacuationSnapshotHeader = 0x85

// encodeSnapshot encodes a snapshot with the evacuated zones, if there are any.
func encodeSnapshot(out snapshot, zones []unit.AvailabilityZone) []byte {
	if len(zones) == 0 {
		return encoder.Marshal(out)
	}
	return encoder.Marshal(evacuationSnapshot{
		Config: out.Config, Upstreams: out.Upstreams, Jobs: out.Jobs, EndedIncarnations: out.EndedIncarnations, EvacuatedZones: zones,
	})
}

// decodeSnapshot decodes both forms of a snapshot.
func decodeSnapshot(data []byte) (snapshot, []unit.AvailabilityZone, error) {
	if len(data) == 0 || data[0] != evacuationSnapshotHeader {
		var in snapshot
		err := encoder.Unmarshal(data, &in)
		return in, nil, err
	}
	var in evacuationSnapshot
	err := encoder.Unmarshal(data, &in)
	return snapshot{Config: in.Config, Upstreams: in.Upstreams, Jobs: in.Jobs, EndedIncarnations: in.EndedIncarnations}, in.EvacuatedZones, err
}
