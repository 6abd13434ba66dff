package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// othersKept is how long the last summary of another zone counts. A zone that
// is cut off for longer counts as idle, so that its teams aren't held back
// here by what may have ended long ago.
const othersKept = 1 * clock.Minute

// summary is what another zone said that its teams hold.
type summary struct {
	held map[unit.Team]unit.Resources
	at   clock.Millis
}

// Allocated returns what each team's tasks hold in this zone, for the schedulers of
// the other zones; ok is false if this instance doesn't hold the zone.
func (s *Scheduler) Allocated() (held map[unit.Team]unit.Resources, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.d.Epoch() == 0 {
		return nil, false
	}
	return s.core.q.Allocated(), true
}

// RecordZoneAllocated takes another zone's summary. It serves the shares only: limits are
// held by allotments, which need no word from other zones.
func (s *Scheduler) RecordZoneAllocated(az unit.AvailabilityZone, held map[unit.Team]unit.Resources) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.others == nil {
		s.others = map[unit.AvailabilityZone]summary{}
	}
	s.others[az] = summary{held: held, at: s.c.Clock.Now()}
}

// shareOthers gives the queue the sum of the other zones' summaries. The caller
// holds the lock.
func (s *Scheduler) shareOthers(now clock.Millis) {
	sum := map[unit.Team]unit.Resources{}
	for az, other := range s.others {
		if now > other.at+othersKept {
			delete(s.others, az)
			continue
		}
		for team, held := range other.held {
			sum[team] = sum[team].Add(held)
		}
	}
	s.core.q.SetRemoteAllocated(sum)
}
