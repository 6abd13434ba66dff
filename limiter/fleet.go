package limiter

import (
	"github.com/chervilvane/chervilvane/unit"
)

// Fleet is the side of the limits that the replicated log holds: each team's
// limit and how it is allotted to the availability zones. Its fields are
// exported for the snapshot only.
type Fleet struct {
	Limits map[unit.Team]unit.Resources
	Held   map[unit.Team]map[unit.AvailabilityZone]unit.Resources
}

// Configure sets the limits and the zones. A raised limit is allotted to the
// live zones at once; a lowered one shows as Excess. Allotments of lost zones
// are taken back.
func (f *Fleet) Configure(limits map[unit.Team]unit.Resources, live, lost []unit.AvailabilityZone) {
	_, _, _ = limits, live, lost
}

// Acquire raises a zone's allotment by up to want, as far as the limit has
// unallotted room, and returns the allotment.
func (f *Fleet) Acquire(az unit.AvailabilityZone, team unit.Team, want unit.Resources) unit.Resources {
	_ = want
	return f.Held[team][az]
}

// Release lowers a zone's allotment and returns it.
func (f *Fleet) Release(az unit.AvailabilityZone, team unit.Team, amount unit.Resources) unit.Resources {
	_ = amount
	return f.Held[team][az]
}

// Allotments returns each team's allotment in a zone.
func (f *Fleet) Allotments(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team, zones := range f.Held {
		out[team] = zones[az]
	}
	return out
}

// Excess returns what a zone must give back of each team's allotment.
func (f *Fleet) Excess(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	_ = az
	return nil
}
