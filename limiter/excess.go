package limiter

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// teamExcess returns the part of a team's allotment that each zone must release.
//
// A live zone keeps min(held, level), with the highest level at which the sum is
// within the limit. A zone that has released its excess needn't release more when
// another zone does, in whatever order they do.
func (f *FleetQuota) teamExcess(team unit.Team) map[unit.AvailabilityZone]unit.Resources {
	zones := slices.Sorted(maps.Keys(f.Held[team]))
	limit := f.Limits[team].Vector()
	excess := map[unit.AvailabilityZone]unit.Resources{}
	keep := make([][unit.Dimensions]int64, len(zones))
	for d := range limit {
		held := make([]int64, len(zones))
		for i, az := range zones {
			if slices.Contains(f.Live, az) {
				held[i] = f.Held[team][az].Vector()[d]
			}
		}
		for i, k := range keptAmounts(held, limit[d]) {
			keep[i][d] = k
		}
	}
	for i, az := range zones {
		e := f.Held[team][az].Sub(unit.FromVector(keep[i]))
		if !e.IsZero() {
			excess[az] = e
		}
	}
	return excess
}

// keptAmounts reduces amounts to a common level, so that their sum is at most
// limit.
func keptAmounts(amounts []int64, limit int64) []int64 {
	if limit >= unit.Unlimited {
		return amounts
	}
	keep := make([]int64, len(amounts))
	byAmount := make([]int, len(amounts))
	for i := range byAmount {
		byAmount[i] = i
	}
	slices.SortStableFunc(byAmount, func(a, b int) int { return compare(amounts[a], amounts[b]) })
	remaining := limit
	for n, i := range byAmount {
		zonesLeft := int64(len(byAmount) - n)
		if amounts[i] <= remaining/zonesLeft {
			keep[i] = amounts[i]
			remaining -= amounts[i]
			continue
		}
		keepLevel(keep, amounts, byAmount[n:], remaining)
		break
	}
	return keep
}

// keepLevel divides remaining evenly among zones, which all hold more than their
// part of it. The first zones by name get the remainder of the division.
func keepLevel(keep, held []int64, zones []int, remaining int64) {
	level := remaining / int64(len(zones))
	remainder := remaining % int64(len(zones))
	zones = slices.Sorted(slices.Values(zones))
	for _, i := range zones {
		keep[i] = level
		if remainder > 0 && held[i] > level {
			keep[i]++
			remainder--
		}
	}
}

func compare(a, b int64) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// evenPart returns limit divided by n, rounded down. Unlimited dimensions stay
// unlimited.
func evenPart(limit unit.Resources, n int) unit.Resources {
	v := limit.Vector()
	for d := range v {
		if v[d] < unit.Unlimited {
			v[d] /= int64(max(1, n))
		}
	}
	return unit.FromVector(v)
}

// addCapped adds amounts that may be unlimited, without overflow.
func addCapped(a, b unit.Resources) unit.Resources {
	v, w := a.Vector(), b.Vector()
	for d := range v {
		v[d] = min(min(v[d], unit.Unlimited)+min(w[d], unit.Unlimited), unit.Unlimited)
	}
	return unit.FromVector(v)
}
