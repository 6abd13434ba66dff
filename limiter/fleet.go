package limiter

import (
	"fmt"
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// FleetQuota is the part of the quotas in the replicated log: each team's limit
// and the allotment of each availability zone. Its fields are exported for the
// snapshot only. The zero value is ready to use.
type FleetQuota struct {
	Limits map[unit.Team]unit.Resources
	// Held is each zone's allotment.
	Held map[unit.Team]map[unit.AvailabilityZone]unit.Resources
	// Unmet is the demand that Acquire couldn't grant; see UnmetDemand.
	Unmet map[unit.Team]map[unit.AvailabilityZone]unit.Resources
	// Changes counts the changes of each allotment, so that a release that
	// arrives late or twice is recognized; see ReleaseIfUnchanged.
	Changes map[unit.Team]map[unit.AvailabilityZone]uint64
	// Live lists the zones that may hold allotments, sorted.
	Live []unit.AvailabilityZone
}

// Configure sets the limits, the live zones and the lost zones. A raised limit is
// allotted to the live zones at once, so that a zone that can't reach the log
// later can still start tasks. If a lowered limit is less than the sum of the
// allotments, Excess returns the part that each zone must release. Lost zones lose
// their allotments. A zone in neither list keeps its allotment, but all of it is
// excess.
func (f *FleetQuota) Configure(limits map[unit.Team]unit.Resources, live, lost []unit.AvailabilityZone) {
	f.makeMaps()
	for _, az := range lost {
		f.revokeZone(az)
	}
	liveBefore := f.Live
	f.Live = slices.Clone(live)
	slices.Sort(f.Live)
	f.Live = slices.Compact(f.Live)
	oldLimits := f.Limits
	f.Limits = maps.Clone(limits)
	if f.Limits == nil {
		f.Limits = map[unit.Team]unit.Resources{}
	}
	for _, team := range slices.Sorted(maps.Keys(f.Limits)) {
		f.grantNewZones(team, liveBefore)
		f.grantRaise(team, oldLimits[team])
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

// revokeZone ends the allotments of a lost zone.
func (f *FleetQuota) revokeZone(az unit.AvailabilityZone) {
	for team := range f.Held {
		f.setAmount(f.Held, team, az, unit.Resources{})
		f.incrementRevision(az, team)
	}
	for team := range f.Unmet {
		f.setAmount(f.Unmet, team, az, unit.Resources{})
	}
}

// setAmount stores an amount. It deletes entries that are zero, so that equal
// states have equal snapshots.
func (f *FleetQuota) setAmount(m map[unit.Team]map[unit.AvailabilityZone]unit.Resources, team unit.Team, az unit.AvailabilityZone, amount unit.Resources) {
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

// grantNewZones grants each new live zone an even part of a limit, as far as it is
// unallotted.
func (f *FleetQuota) grantNewZones(team unit.Team, liveBefore []unit.AvailabilityZone) {
	part := evenPart(f.Limits[team], len(f.Live))
	for _, az := range f.Live {
		if slices.Contains(liveBefore, az) || len(liveBefore) == 0 {
			continue
		}
		f.grant(team, az, part)
	}
}

// grantRaise divides the increase of a limit evenly among the live zones. The
// part that zones have released before stays unallotted.
func (f *FleetQuota) grantRaise(team unit.Team, oldLimit unit.Resources) {
	limit := f.Limits[team].Vector()
	oldVector := oldLimit.Vector()
	unallotted := f.unallotted(team).Vector()
	for i, az := range f.Live {
		var part [unit.Dimensions]int64
		for d := range part {
			part[d] = raisedPart(limit[d], oldVector[d], unallotted[d], i, len(f.Live))
		}
		f.grant(team, az, unit.FromVector(part))
	}
}

// raisedPart returns the i-th of n parts of the increase of a limit in one
// dimension.
func raisedPart(limit, oldLimit, unallotted int64, i, n int) int64 {
	if limit >= unit.Unlimited {
		return unit.Unlimited
	}
	raised := min(limit-oldLimit, unallotted)
	if raised <= 0 {
		return 0
	}
	part := raised / int64(n)
	if int64(i) < raised%int64(n) {
		part++
	}
	return part
}

// grant raises a zone's allotment by want, or by the unallotted part if that is
// less.
func (f *FleetQuota) grant(team unit.Team, az unit.AvailabilityZone, want unit.Resources) {
	limit := f.Limits[team].Vector()
	unallotted := f.unallotted(team).Vector()
	before := f.Held[team][az]
	held := before.Vector()
	for d, w := range want.Vector() {
		if limit[d] >= unit.Unlimited {
			held[d] = unit.Unlimited
			continue
		}
		held[d] += max(0, min(w, unallotted[d]))
	}
	f.setAmount(f.Held, team, az, unit.FromVector(held))
	f.checkSum(team, before, unit.FromVector(held))
}

// unallotted returns the part of a limit that isn't allotted to any zone. It is
// never negative, and unit.Unlimited in dimensions without a limit.
func (f *FleetQuota) unallotted(team unit.Team) unit.Resources {
	limit, known := f.Limits[team]
	if !known {
		return unit.Resources{}
	}
	unallotted := limit.Vector()
	for _, held := range f.Held[team] {
		for d, h := range held.Vector() {
			if unallotted[d] < unit.Unlimited {
				unallotted[d] = max(0, unallotted[d]-h)
			}
		}
	}
	return unit.FromVector(unallotted)
}

// Acquire raises a zone's allotment by want, or by the unallotted part if that is
// less, and returns the allotment. UnmetDemand returns the rest until the zone's
// next Acquire for the team. The allotment doesn't change if the zone isn't live or
// the team has no limit.
func (f *FleetQuota) Acquire(az unit.AvailabilityZone, team unit.Team, want unit.Resources) unit.Resources {
	f.makeMaps()
	if !slices.Contains(f.Live, az) {
		return f.Held[team][az]
	}
	if _, known := f.Limits[team]; !known {
		return f.Held[team][az]
	}
	f.incrementRevision(az, team)
	want = want.Max(unit.Resources{})
	unallotted := f.unallotted(team)
	f.grant(team, az, want)
	f.setAmount(f.Unmet, team, az, want.Sub(unallotted).Max(unit.Resources{}))
	return f.Held[team][az]
}

func (f *FleetQuota) incrementRevision(az unit.AvailabilityZone, team unit.Team) {
	if f.Changes[team] == nil {
		f.Changes[team] = map[unit.AvailabilityZone]uint64{}
	}
	f.Changes[team][az]++
}

// Revision returns a number that changes with each Acquire and each release of a
// zone's allotment for a team, and when the zone is lost.
func (f *FleetQuota) Revision(az unit.AvailabilityZone, team unit.Team) uint64 {
	return f.Changes[team][az]
}

// ReleaseIfUnchanged calls Release if the allotment's Revision is still revision.
// Otherwise it changes nothing and returns the allotment. A release whose answer
// was lost may be applied late or twice; without the check it would release
// resources that the zone has acquired and charged since.
func (f *FleetQuota) ReleaseIfUnchanged(az unit.AvailabilityZone, team unit.Team, amount unit.Resources, revision uint64) unit.Resources {
	if f.Revision(az, team) != revision {
		return f.Held[team][az]
	}
	return f.Release(az, team, amount)
}

// Release lowers a zone's allotment by amount and returns the allotment.
func (f *FleetQuota) Release(az unit.AvailabilityZone, team unit.Team, amount unit.Resources) unit.Resources {
	f.makeMaps()
	f.incrementRevision(az, team)
	held := f.Held[team][az]
	amount = amount.Max(unit.Resources{}).Min(held)
	f.setAmount(f.Held, team, az, held.Sub(amount))
	return f.Held[team][az]
}

// checkSum panics if a raised allotment makes the sum of the team's allotments
// exceed its limit. Every other guarantee about limits depends on this.
func (f *FleetQuota) checkSum(team unit.Team, before, after unit.Resources) {
	limit := f.Limits[team].Vector()
	oldVector := before.Vector()
	for d, amount := range after.Vector() {
		if amount <= oldVector[d] || limit[d] >= unit.Unlimited {
			continue
		}
		remaining := limit[d]
		for _, held := range f.Held[team] {
			remaining -= held.Vector()[d]
			if remaining < 0 {
				panic(fmt.Sprintf("limiter: the allotments of team %s exceed its limit in dimension %d", team, d))
			}
		}
	}
}

// Allotments returns each team's allotment in a zone, zero for a team that has a
// limit but no allotment.
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

// Excess returns the part of each team's allotment that a zone must release.
func (f *FleetQuota) Excess(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team := range f.Held {
		if e := f.teamExcess(team)[az]; !e.IsZero() {
			out[team] = e
		}
	}
	return out
}

// UnmetDemand returns how much allotment the other zones lack for each team. A zone
// releases what it can spare of it.
func (f *FleetQuota) UnmetDemand(az unit.AvailabilityZone) map[unit.Team]unit.Resources {
	out := map[unit.Team]unit.Resources{}
	for team, zones := range f.Unmet {
		for other, unmet := range zones {
			if other != az {
				out[team] = addCapped(out[team], unmet)
			}
		}
	}
	return out
}
