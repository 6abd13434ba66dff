package limiter

import (
	"maps"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// teamExcess returns what each zone must give back of a team's allotment.
//
// Zones keep min(held, level), with the highest level whose sum is within the
// limit. A zone that has given back its excess isn't asked again when another
// does so, whatever their order.
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
		for i, k := range kept(held, limit[d]) {
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

// kept returns how much of each amount stays under a common level whose sum
// is at most the limit.
func kept(held []int64, limit int64) []int64 {
	if limit >= unit.Unlimited {
		return held
	}
	keep := make([]int64, len(held))
	order := make([]int, len(held))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compare(held[a], held[b]) })
	left := limit
	for n, i := range order {
		rest := int64(len(order) - n)
		if held[i] <= left/rest {
			keep[i] = held[i]
			left -= held[i]
			continue
		}
		shareLevel(keep, held, order[n:], left)
		break
	}
	return keep
}

// shareLevel gives each of the zones, which all hold more than the level, the
// level, and the remainder to the first by name.
func shareLevel(keep, held []int64, zones []int, left int64) {
	level := left / int64(len(zones))
	remainder := left % int64(len(zones))
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

// evenPart returns one of n parts of a limit, rounded down.
func evenPart(limit unit.Resources, n int) unit.Resources {
	v := limit.Vector()
	for d := range v {
		if v[d] < unit.Unlimited {
			v[d] /= int64(max(1, n))
		}
	}
	return unit.FromVector(v)
}

// addCapped adds amounts that may be unlimited without overflow.
func addCapped(a, b unit.Resources) unit.Resources {
	v, w := a.Vector(), b.Vector()
	for d := range v {
		v[d] = min(min(v[d], unit.Unlimited)+min(w[d], unit.Unlimited), unit.Unlimited)
	}
	return unit.FromVector(v)
}
