package limiter

import (
	"fmt"
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// FleetQuota is the side of the limits that the replicated log holds: each team's
// limit and how it is allotted to the availability zones. Its fields are
// exported for the snapshot only.
type FleetQuota struct {
	Limits map[unit.Team]unit.Resources
	Held   map[unit.Team]map[unit.AvailabilityZone]unit.Resources
	// Unmet is what a zone asked for in vain; see UnmetDemand.
	Unmet map[unit.Team]map[unit.AvailabilityZone]unit.Resources
	// Changes numbers the changes of each allotment, so that a release that
	// arrives late or twice is known; see ReleaseIfUnchanged.
	Changes map[unit.Team]map[unit.AvailabilityZone]uint64
	// Live lists the zones that may hold allotments, sorted.
	Live []unit.AvailabilityZone
}

// Configure sets the limits and the zones. A raised limit is allotted to the
// live zones at once, so that a zone that is cut off from the log later has
// something to spend. A lowered one shows as Excess. Allotments of lost zones
// are taken back. A zone in neither list keeps what it holds as excess.
func (f *FleetQuota) Configure(limits map[unit.Team]unit.Resources, live, lost []unit.AvailabilityZone) {
	f.makeMaps()
	for _, az := range lost {
		f.takeBack(az)
	}
	before := f.Live
	f.Live = slices.Clone(live)
	slices.Sort(f.Live)
	f.Live = slices.Compact(f.Live)
	old := f.Limits
	f.Limits = maps.Clone(limits)
	if f.Limits == nil {
		f.Limits = map[unit.Team]unit.Resources{}
	}
	for _, team := range slices.Sorted(maps.Keys(f.Limits)) {
		f.join(team, before)
		f.raise(team, old[team])
	}
}

func (f *FleetQuota) makeMaps() {
	if f.Held == nil {
		f.Held = map[unit.Team]map[unit.AvailabilityZone]unit.Resources{}
	}
	if f.Unmet == nil {
		f.Unmet = map[unit.Team]map[unit.AvailabilityZone]unit.Resources{}
	}
	if f.Changes == nil {
		f.Changes = map[unit.Team]map[unit.AvailabilityZone]uint64{}
	}
}

// takeBack ends the allotments of a lost zone.
func (f *FleetQuota) takeBack(az unit.AvailabilityZone) {
	for team := range f.Held {
		f.set(f.Held, team, az, unit.Resources{})
		f.changed(az, team)
	}
	for team := range f.Unmet {
		f.set(f.Unmet, team, az, unit.Resources{})
	}
}

// set stores an amount and forgets empty entries, so that equal states have
// equal snapshots.
func (f *FleetQuota) set(m map[unit.Team]map[unit.AvailabilityZone]unit.Resources, team unit.Team, az unit.AvailabilityZone, amount unit.Resources) {
	if !amount.IsZero() {
		if m[team] == nil {
			m[team] = map[unit.AvailabilityZone]unit.Resources{}
		}
		m[team][az] = amount
		return
	}
	delete(m[team], az)
	if len(m[team]) == 0 {
		delete(m, team)
	}
}

// join gives zones that are new among the live ones their even part of a
// limit, as far as there is unallotted room.
func (f *FleetQuota) join(team unit.Team, before []unit.AvailabilityZone) {
	even := evenPart(f.Limits[team], len(f.Live))
	for _, az := range f.Live {
		if slices.Contains(before, az) || len(before) == 0 {
			continue
		}
		f.grant(team, az, even)
	}
}

// raise splits the raised part of a limit evenly over the live zones. What
// zones have released earlier stays unallotted.
func (f *FleetQuota) raise(team unit.Team, old unit.Resources) {
	limit := f.Limits[team].Vector()
	was := old.Vector()
	room := f.room(team).Vector()
	for i, az := range f.Live {
		var part [unit.Dimensions]int64
		for d := range part {
			part[d] = raisedPart(limit[d], was[d], room[d], i, len(f.Live))
		}
		f.grant(team, az, unit.FromVector(part))
	}
}

// raisedPart returns the i-th of n parts of a raised dimension.
func raisedPart(limit, was, room int64, i, n int) int64 {
	if limit >= unit.Unlimited {
		return unit.Unlimited
	}
	raised := min(limit-was, room)
	if raised <= 0 {
		return 0
	}
	part := raised / int64(n)
	if int64(i) < raised%int64(n) {
		part++
	}
	return part
}

// grant raises a zone's allotment by at most want and at most the room.
func (f *FleetQuota) grant(team unit.Team, az unit.AvailabilityZone, want unit.Resources) {
	limit := f.Limits[team].Vector()
	room := f.room(team).Vector()
	before := f.Held[team][az]
	held := before.Vector()
	for d, w := range want.Vector() {
		if limit[d] >= unit.Unlimited {
			held[d] = unit.Unlimited
			continue
		}
		held[d] += max(0, min(w, room[d]))
	}
	f.set(f.Held, team, az, unit.FromVector(held))
	f.check(team, before, unit.FromVector(held))
}

// room is the part of a limit that no zone holds; it is never negative, and
// unit.Unlimited in dimensions without a bound.
func (f *FleetQuota) room(team unit.Team) unit.Resources {
	limit, known := f.Limits[team]
	if !known {
		return unit.Resources{}
	}
	room := limit.Vector()
	for _, held := range f.Held[team] {
		for d, h := range held.Vector() {
			if room[d] < unit.Unlimited {
				room[d] = max(0, room[d]-h)
			}
		}
	}
	return unit.FromVector(room)
}

// Acquire raises a zone's allotment by up to want, as far as the limit has
// unallotted room, and returns the allotment. What it lacks is remembered for
// UnmetDemand until the zone's next Acquire of the team.
func (f *FleetQuota) Acquire(az unit.AvailabilityZone, team unit.Team, want unit.Resources) unit.Resources {
	f.makeMaps()
	if !slices.Contains(f.Live, az) {
		return f.Held[team][az]
	}
	if _, known := f.Limits[team]; !known {
		return f.Held[team][az]
	}
	f.changed(az, team)
	want = want.Max(unit.Resources{})
	room := f.room(team)
	f.grant(team, az, want)
	f.set(f.Unmet, team, az, want.Sub(room).Max(unit.Resources{}))
	return f.Held[team][az]
}

func (f *FleetQuota) changed(az unit.AvailabilityZone, team unit.Team) {
	if f.Changes[team] == nil {
		f.Changes[team] = map[unit.AvailabilityZone]uint64{}
	}
	f.Changes[team][az]++
}

// Revision numbers the state of a zone's allotment of a team's limit.
func (f *FleetQuota) Revision(az unit.AvailabilityZone, team unit.Team) uint64 {
	return f.Changes[team][az]
}

// ReleaseIfUnchanged is Release if the allotment hasn't changed since Revision returned
// the number, and changes nothing otherwise. A release whose answer was lost
// may be applied late or twice; without the number it would take away what
// the zone has acquired and spent since.
func (f *FleetQuota) ReleaseIfUnchanged(az unit.AvailabilityZone, team unit.Team, amount unit.Resources, change uint64) unit.Resources {
	if f.Revision(az, team) != change {
		return f.Held[team][az]
	}
	return f.Release(az, team, amount)
}

// Release lowers a zone's allotment and returns it.
func (f *FleetQuota) Release(az unit.AvailabilityZone, team unit.Team, amount unit.Resources) unit.Resources {
	f.makeMaps()
	f.changed(az, team)
	held := f.Held[team][az]
	amount = amount.Max(unit.Resources{}).Min(held)
	f.set(f.Held, team, az, held.Sub(amount))
	return f.Held[team][az]
}

// check panics if a raised allotment takes the team's sum past its limit: the
// one rule that every other promise about limits rests on.
func (f *FleetQuota) check(team unit.Team, before, after unit.Resources) {
	limit := f.Limits[team].Vector()
	was := before.Vector()
	for d, now := range after.Vector() {
		if now <= was[d] || limit[d] >= unit.Unlimited {
			continue
		}
		left := limit[d]
		for _, held := range f.Held[team] {
			left -= held.Vector()[d]
			if left < 0 {
				panic(fmt.Sprintf("limiter: the allotments of team %s pass its limit in dimension %d", team, d))
			}
		}
	}
}

// Allotments returns each team's allotment in a zone.
func (f *FleetQuota) Allotments(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team := range f.Limits {
		out[team] = unit.Resources{}
	}
	for team, zones := range f.Held {
		out[team] = zones[az]
	}
	return out
}

// Excess returns what a zone must give back of each team's allotment.
func (f *FleetQuota) Excess(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team := range f.Held {
		if e := f.teamExcess(team)[az]; !e.IsZero() {
			out[team] = e
		}
	}
	return out
}

// UnmetDemand returns what other zones asked for in vain of each team's limit. A
// zone that has spare parts of its allotment gives them back.
func (f *FleetQuota) UnmetDemand(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team, zones := range f.Unmet {
		for other, lacks := range zones {
			if other != az {
				out[team] = addCapped(out[team], lacks)
			}
		}
	}
	return out
}
