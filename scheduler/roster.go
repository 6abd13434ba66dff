package scheduler

import (
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// inheritance is what is known of where earlier schedulers' work can run.
func (s *Scheduler) inheritance(epoch unit.Epoch) dispatcher.Inheritance {
	roster, offered := s.c.Holder.(Roster)
	if !offered {
		return dispatcher.Inheritance{}
	}
	upstreams, known := roster.Inherited(epoch)
	return dispatcher.Inheritance{Known: known, Upstreams: upstreams}
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
	roster, offered := s.c.Holder.(Roster)
	if offered {
		roster.Enroll(epoch, upstreams, whole)
	}
	for _, u := range upstreams {
		if !offered || roster.IsEnrolled(epoch, u) {
			s.core.d.Enrolled(u)
		}
	}
}
