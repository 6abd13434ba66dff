package placer

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// PlannedStart is where a task of a group will have room, and when by estimate.
type PlannedStart struct {
	Upstream unit.Upstream
	At       clock.Millis
}

// maxPlanned is how far ahead a reservation is planned: room that is only
// expected later isn't worth to be kept free for.
const maxPlanned = 24 * clock.Hour

// stopTime is how long a task is expected to take to stop.
const stopTime = clock.Second

// PlanStarts finds where count tasks of a size will have room soonest, by the
// estimated ends of what runs. Tasks whose cost isn't negative are taken as
// such that will be told to stop. It looks at each upstream, so it is called
// once for a reservation and not for each decision.
func (c *Cell) PlanStarts(now clock.Millis, charge unit.Resources, count int, cost Cost) ([]PlannedStart, bool) {
	var places []PlannedStart
	for _, u := range c.slots {
		if u != nil && u.usable() && charge.Fits(u.Capacity) {
			places = u.plan(places, now, charge, count, cost)
		}
	}
	if len(places) < count {
		return nil, false
	}
	slices.SortStableFunc(places, func(a, b PlannedStart) int { return compare(int64(a.At), int64(b.At)) })
	return places[:count], true
}

// plan appends a place for each further task that fits as time goes on.
func (u *upstream) plan(places []PlannedStart, now clock.Millis, charge unit.Resources, count int, cost Cost) []PlannedStart {
	type end struct {
		at    clock.Millis
		frees unit.Resources
	}
	ends := make([]end, 0, len(u.tasks)+1)
	ends = append(ends, end{at: now})
	for _, r := range u.tasks {
		at := r.expectedEnd(now)
		if cost(*r) >= 0 {
			at = min(at, now+stopTime)
		}
		ends = append(ends, end{at: at, frees: r.Charge.Add(r.Extra)})
	}
	slices.SortStableFunc(ends, func(a, b end) int { return compare(int64(a.at), int64(b.at)) })
	room := u.free()
	for _, e := range ends {
		if e.at-now > maxPlanned {
			break
		}
		room = room.Add(e.frees)
		for n := 0; n < count && charge.Fits(room); n++ {
			places = append(places, PlannedStart{Upstream: u.ID, At: e.at})
			room = room.Sub(charge)
		}
	}
	return places
}

// expectedEnd is the estimate of a task's end. A task that has passed its
// estimate is expected to run for as long again as it has run.
func (r *Placement) expectedEnd(now clock.Millis) clock.Millis {
	switch {
	case r.Stopping:
		return now
	case r.EstimatedEnd > now:
		return r.EstimatedEnd
	default:
		return now + max(now-r.Started, clock.Second)
	}
}
