package scheduler

import (
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// priorUpstreams returns the upstreams on which tasks of earlier schedulers may
// run, as far as the Holder knows them.
func (s *Scheduler) priorUpstreams(epoch unit.Epoch) dispatcher.PriorUpstreams {
	tracker, ok := s.config.Holder.(UpstreamTracker)
	if !ok {
		return dispatcher.PriorUpstreams{}
	}
	upstreams, complete := tracker.PriorUpstreams(epoch)
	return dispatcher.PriorUpstreams{Complete: complete, Upstreams: upstreams}
}

// confirmUpstreams passes the claimed upstreams to the UpstreamTracker, and makes
// the confirmed ones schedulable. Without an UpstreamTracker it makes all of them
// schedulable. The caller holds s.mu.
func (s *Scheduler) confirmUpstreams() {
	epoch := s.core.dispatcher.Epoch()
	if epoch == 0 {
		return
	}
	upstreams, complete := s.core.dispatcher.Upstreams()
	tracker, tracked := s.config.Holder.(UpstreamTracker)
	if tracked {
		tracker.SetUpstreams(epoch, upstreams, complete)
	}
	for _, u := range upstreams {
		if !tracked || tracker.IsUpstreamConfirmed(epoch, u) {
			s.core.dispatcher.ConfirmUpstream(u)
		}
	}
}
