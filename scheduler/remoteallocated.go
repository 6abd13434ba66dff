package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// othersKept is how long the last summary of another zone counts. A zone that
// is cut off for longer counts as idle, so that its teams aren't held back
// here by what may have ended long ago.
const remoteAllocatedTTL = 1 * clock.Minute

// summary is what another zone said that its teams hold.
type zoneAllocation struct {
	allocated  map[unit.Team]unit.Resources
	receivedAt clock.Millis
}

// Allocated returns what each team's tasks hold in this zone, for the schedulers of
// the other zones; ok is false if this instance doesn't hold the zone.
func (s *Scheduler) Allocated() (held map[unit.Team]unit.Resources, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.dispatcher.Epoch() == 0 {
		return nil, false
	}
	return s.core.queuer.Allocated(), true
}

// RecordZoneAllocated takes another zone's summary. It serves the shares only: limits are
// held by allotments, which need no word from other zones.
func (s *Scheduler) RecordZoneAllocated(az unit.AvailabilityZone, held map[unit.Team]unit.Resources) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remoteAllocated == nil {
		s.remoteAllocated = map[unit.AvailabilityZone]zoneAllocation{}
	}
	s.remoteAllocated[az] = zoneAllocation{allocated: held, receivedAt: s.config.Clock.Now()}
}

// shareOthers gives the queue the sum of the other zones' summaries. The caller
// holds the lock.
func (s *Scheduler) updateRemoteAllocated(now clock.Millis) {
	sum := map[unit.Team]unit.Resources{}
	for az, other := range s.remoteAllocated {
		if now > other.receivedAt+remoteAllocatedTTL {
			delete(s.remoteAllocated, az)
			continue
		}
		for team, held := range other.allocated {
			sum[team] = sum[team].Add(held)
		}
	}
	s.core.queuer.SetRemoteAllocated(sum)
}
