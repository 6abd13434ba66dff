package limiter

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

func slots(n unit.Count) unit.Resources { return unit.Resources{Slots: n} }

func TestConfigure(t *testing.T) {
	az := func(names ...unit.AvailabilityZone) []unit.AvailabilityZone { return names }
	type change struct {
		limit      unit.Count
		live, lost []unit.AvailabilityZone
	}
	cases := map[string]struct {
		changes []change
		held    []unit.Count
		excess  []unit.Count
	}{
		"a limit is divided at once": {
			changes: []change{{limit: 11, live: az("a", "b", "c")}},
			held:    []unit.Count{4, 4, 3},
			excess:  []unit.Count{0, 0, 0},
		},
		"a raised limit is divided too": {
			changes: []change{{limit: 3, live: az("a", "b", "c")}, {limit: 9, live: az("a", "b", "c")}},
			held:    []unit.Count{3, 3, 3},
			excess:  []unit.Count{0, 0, 0},
		},
		"a lowered limit revokes nothing": {
			changes: []change{{limit: 12, live: az("a", "b", "c")}, {limit: 4, live: az("a", "b", "c")}},
			held:    []unit.Count{4, 4, 4},
			excess:  []unit.Count{2, 3, 3},
		},
		"a removed team keeps its allotments as excess": {
			changes: []change{{limit: 6, live: az("a", "b", "c")}, {live: az("a", "b", "c")}},
			held:    []unit.Count{2, 2, 2},
			excess:  []unit.Count{2, 2, 2},
		},
		"a lost zone loses its allotment": {
			changes: []change{{limit: 6, live: az("a", "b", "c")}, {limit: 6, live: az("a", "b"), lost: az("c")}},
			held:    []unit.Count{2, 2, 0},
			excess:  []unit.Count{0, 0, 0},
		},
		"a zone in neither list keeps its allotment as excess": {
			changes: []change{{limit: 6, live: az("a", "b", "c")}, {limit: 6, live: az("a", "b")}},
			held:    []unit.Count{2, 2, 2},
			excess:  []unit.Count{0, 0, 2},
		},
		"an unlimited team": {
			changes: []change{{limit: unit.Unlimited, live: az("a", "b", "c")}},
			held:    []unit.Count{unit.Unlimited, unit.Unlimited, unit.Unlimited},
			excess:  []unit.Count{0, 0, 0},
		},
		"a limit after none": {
			changes: []change{{limit: unit.Unlimited, live: az("a", "b", "c")}, {limit: 5, live: az("a", "b", "c")}},
			held:    []unit.Count{unit.Unlimited, unit.Unlimited, unit.Unlimited},
			excess:  []unit.Count{unit.Unlimited - 2, unit.Unlimited - 2, unit.Unlimited - 1},
		},
		"a new zone gets its even part of a raised limit": {
			changes: []change{{limit: 6, live: az("a", "b"), lost: az("c")}, {limit: 12, live: az("a", "b", "c")}},
			held:    []unit.Count{4, 4, 4},
			excess:  []unit.Count{0, 0, 0},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f FleetQuota
			for _, c := range tt.changes {
				limits := map[unit.Team]unit.Resources{}
				if c.limit > 0 {
					limits[team] = slots(c.limit)
				}
				f.Configure(limits, c.live, c.lost)
			}
			for i, zone := range zones {
				is.Equal(f.Allotments(zone)[team].Slots, tt.held[i])
				is.Equal(f.Excess(zone)[team].Slots, tt.excess[i])
			}
		})
	}
}

// TestReleasedExcessIsNotRequestedAgain checks that a zone that has released its
// excess needn't release more when other zones release theirs.
func TestReleasedExcessIsNotRequestedAgain(t *testing.T) {
	is := is.New(t)
	var f FleetQuota
	f.Configure(map[unit.Team]unit.Resources{team: slots(30)}, zones, nil)
	f.Release("a", team, slots(9))
	f.Acquire("b", team, slots(9))
	f.Configure(map[unit.Team]unit.Resources{team: slots(10)}, zones, nil)
	for _, az := range zones {
		f.Release(az, team, f.Excess(az)[team])
		is.Equal(f.Excess(az)[team], unit.Resources{})
	}
	is.Equal(f.Allotments("a")[team].Slots, unit.Count(1))
	is.Equal(f.Allotments("b")[team].Slots, unit.Count(5))
	is.Equal(f.Allotments("c")[team].Slots, unit.Count(4))
}

// TestAcquireRecordsUnmetDemand checks that Acquire grants the unallotted part and
// that UnmetDemand returns the rest to the other zones.
func TestAcquireRecordsUnmetDemand(t *testing.T) {
	is := is.New(t)
	var f FleetQuota
	f.Configure(map[unit.Team]unit.Resources{team: slots(9)}, zones, nil)
	f.Release("b", team, slots(2))
	is.Equal(f.Acquire("a", team, slots(5)), slots(5))
	is.Equal(f.UnmetDemand("c")[team], slots(3))
	is.Equal(f.UnmetDemand("a")[team], unit.Resources{})
	is.Equal(f.Acquire("z", team, slots(5)), unit.Resources{}) // not a live zone
	f.Release("c", team, slots(3))
	is.Equal(f.Acquire("a", team, slots(3)), slots(8))
	is.Equal(f.UnmetDemand("c")[team], unit.Resources{})
}

// TestSnapshot checks that a FleetQuota is the same after encoding and decoding.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	var f, restored FleetQuota
	f.Configure(map[unit.Team]unit.Resources{team: slots(10)}, zones, nil)
	f.Acquire("a", team, slots(5))
	f.Release("b", team, slots(1))
	is.NoErr(encoder.Unmarshal(encoder.Marshal(f), &restored))
	is.Equal(restored, f)
	restored.Configure(map[unit.Team]unit.Resources{team: slots(20)}, zones, nil)
	is.Equal(restored.Held[team]["a"].Slots, unit.Count(8))
}
