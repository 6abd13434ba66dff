package scheduler

import (
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// inheritance is what is known of where earlier schedulers' work can run.
func (s *Scheduler) inheritance(epoch unit.Epoch) dispatcher.PriorUpstreams {
	roster, offered := s.c.Holder.(UpstreamTracker)
	if !offered {
		return dispatcher.PriorUpstreams{}
	}
	upstreams, known := roster.PriorUpstreams(epoch)
	return dispatcher.PriorUpstreams{Known: known, Upstreams: upstreams}
}

// enroll makes the upstreams that answer to this scheduler known to a
// successor, and opens those that are known to it for work. The caller holds
// the lock.
func (s *Scheduler) enroll() {
	epoch := s.core.d.Epoch()
	if epoch == 0 {
		return
	}
	upstreams, whole := s.core.d.Upstreams()
	roster, offered := s.c.Holder.(UpstreamTracker)
	if offered {
		roster.SetUpstreams(epoch, upstreams, whole)
	}
	for _, u := range upstreams {
		if !offered || roster.IsUpstreamConfirmed(epoch, u) {
			s.core.d.ConfirmUpstream(u)
		}
	}
}
