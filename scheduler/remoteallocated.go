package scheduler

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// remoteAllocatedTTL is how long the last allocation that another zone sent is
// used. A zone that is unreachable for longer counts as idle, so that resources
// which its tasks may have released long ago don't lower the share of its teams
// here.
const remoteAllocatedTTL = 1 * clock.Minute

// zoneAllocation holds the charged resources of each team in another zone, as that
// zone sent them.
type zoneAllocation struct {
	allocated  map[unit.Team]unit.Resources
	receivedAt clock.Millis
}

// Allocated returns the resources that are charged for the running tasks of each
// team in this zone, for the schedulers of the other zones. ok is false if this
// instance doesn't hold the zone.
func (s *Scheduler) Allocated() (allocated map[unit.Team]unit.Resources, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.dispatcher.Epoch() == 0 {
		return nil, false
	}
	return s.core.queuer.Allocated(), true
}

// SetZoneAllocated stores the allocation that another zone sent. It affects only
// the fair shares of the teams. Limits are enforced by allotments, which don't
// depend on messages from other zones.
func (s *Scheduler) SetZoneAllocated(az unit.AvailabilityZone, allocated map[unit.Team]unit.Resources) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.remoteAllocated == nil {
		s.remoteAllocated = map[unit.AvailabilityZone]zoneAllocation{}
	}
	s.remoteAllocated[az] = zoneAllocation{allocated: allocated, receivedAt: s.config.Clock.Now()}
}

// updateRemoteAllocated passes the sum of the other zones' allocations to the
// queue. The caller holds s.mu.
func (s *Scheduler) updateRemoteAllocated(now clock.Millis) {
	sum := map[unit.Team]unit.Resources{}
	for az, zone := range s.remoteAllocated {
		if now > zone.receivedAt+remoteAllocatedTTL {
			delete(s.remoteAllocated, az)
			continue
		}
		for team, allocated := range zone.allocated {
			sum[team] = sum[team].Add(allocated)
		}
	}
	s.core.queuer.SetRemoteAllocated(sum)
}
