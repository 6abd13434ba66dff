package scheduler

import (
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// inheritance is what is known of where earlier schedulers' work can run.
func (s *Scheduler) priorUpstreams(epoch unit.Epoch) dispatcher.PriorUpstreams {
	roster, offered := s.config.Holder.(UpstreamTracker)
	if !offered {
		return dispatcher.PriorUpstreams{}
	}
	upstreams, known := roster.PriorUpstreams(epoch)
	return dispatcher.PriorUpstreams{Known: known, Upstreams: upstreams}
}

// enroll makes the upstreams that answer to this scheduler known to a
// successor, and opens those that are known to it for work. The caller holds
// the lock.
func (s *Scheduler) confirmUpstreams() {
	epoch := s.core.dispatcher.Epoch()
	if epoch == 0 {
		return
	}
	upstreams, whole := s.core.dispatcher.Upstreams()
	roster, offered := s.config.Holder.(UpstreamTracker)
	if offered {
		roster.SetUpstreams(epoch, upstreams, whole)
	}
	for _, u := range upstreams {
		if !offered || roster.IsUpstreamConfirmed(epoch, u) {
			s.core.dispatcher.ConfirmUpstream(u)
		}
	}
}
