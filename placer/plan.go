package placer

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// PlannedStart is the upstream on which a task of a group can start, and the
// estimated time at which the capacity is free.
type PlannedStart struct {
	Upstream unit.Upstream
	At       clock.Millis
}

// planHorizon is how far ahead a reservation is planned. Capacity that is
// expected later isn't worth keeping other capacity free for.
const planHorizon = 24 * clock.Hour

// expectedStopTime is how long a task is expected to take to stop.
const expectedStopTime = clock.Second

// PlanStarts returns the upstreams on which count tasks of size charge can start
// soonest, by the estimated ends of the running tasks. It assumes that the tasks
// with a non-negative cost will be told to stop. It reports false if the tasks
// don't all fit within planHorizon.
//
// PlanStarts visits every upstream, so call it once per reservation and not for
// each decision.
func (c *Cell) PlanStarts(now clock.Millis, charge unit.Resources, count int, cost Cost) ([]PlannedStart, bool) {
	var starts []PlannedStart
	for _, u := range c.slots {
		if u != nil && u.usable() && charge.Fits(u.Capacity) {
			starts = u.plan(starts, now, charge, count, cost)
		}
	}
	if len(starts) < count {
		return nil, false
	}
	slices.SortStableFunc(starts, func(a, b PlannedStart) int { return compare(int64(a.At), int64(b.At)) })
	return starts[:count], true
}

// plan appends the starts that fit on the upstream as its tasks end, at most
// count for each end.
func (u *upstream) plan(starts []PlannedStart, now clock.Millis, charge unit.Resources, count int, cost Cost) []PlannedStart {
	type end struct {
		at    clock.Millis
		frees unit.Resources
	}
	ends := make([]end, 0, len(u.tasks)+1)
	ends = append(ends, end{at: now})
	for _, p := range u.tasks {
		at := p.expectedEnd(now)
		if cost(*p) >= 0 {
			at = min(at, now+expectedStopTime)
		}
		ends = append(ends, end{at: at, frees: p.Charge.Add(p.Extra)})
	}
	slices.SortStableFunc(ends, func(a, b end) int { return compare(int64(a.at), int64(b.at)) })
	free := u.free()
	for _, e := range ends {
		if e.at-now > planHorizon {
			break
		}
		free = free.Add(e.frees)
		for n := 0; n < count && charge.Fits(free); n++ {
			starts = append(starts, PlannedStart{Upstream: u.ID, At: e.at})
			free = free.Sub(charge)
		}
	}
	return starts
}

// expectedEnd returns when the task is expected to end. A task that has passed
// its estimated end is expected to run for as long again as it has run so far.
func (p *Placement) expectedEnd(now clock.Millis) clock.Millis {
	switch {
	case p.Stopping:
		return now
	case p.EstimatedEnd > now:
		return p.EstimatedEnd
	default:
		return now + max(now-p.Started, clock.Second)
	}
}
