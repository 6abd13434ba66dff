package scheduler

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/queuer"
)

type queuerStatus = queuer.Status

// statusTasks is how many waiting tasks a Status lists.
const maxStatusTasks = 50

// errNotHolder is the answer to a report that must go to another instance.
var errNotHolder = errors.New("this instance doesn't schedule the availability zone")

// Run schedules until the context ends, and returns once its calls have ended.
func (s *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for ctx.Err() == nil {
		s.process(s.tick)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-s.wake:
		}
	}
	s.cancel()
	s.mu.Lock()
	s.draining = true
	s.core.deactivate(s.config.Clock.Now())
	effects := s.core.decide(s.config.Clock.Now(), false)
	s.mu.Unlock()
	s.execute(effects)
	s.inFlight.close()
	return s.calls.Wait()
}

// tick does the housekeeping that is due.
func (s *Scheduler) tick(now clock.Millis) {
	if now >= s.nextRefreshAt {
		s.nextRefreshAt = now + refreshInterval
		s.core.refresh()
		s.adjustAllotments(now)
		if s.core.dispatcher.Epoch() != 0 {
			s.reconcileWorkloads(now)
		}
		s.updateRemoteAllocated(now)
	}
	if now >= s.nextRestoreAt {
		s.nextRestoreAt = now + restoreInterval
		s.core.restore(now)
	}
	s.core.dispatcher.Tick(now)
	s.confirmUpstreams()
}

// Report takes what an upstream says of itself. The answer renews the leases
// of its tasks, so only the holder of the zone gives one.
func (s *Scheduler) Report(_ context.Context, r dispatcher.Report) (dispatcher.ReportReply, error) {
	if r.AvailabilityZone != s.config.AvailabilityZone {
		return dispatcher.ReportReply{}, errors.Newf("the upstream is in availability zone %s", r.AvailabilityZone)
	}
	var reply dispatcher.ReportReply
	held := false
	s.mu.Lock()
	now := s.config.Clock.Now()
	if s.syncLease(now) {
		held = true
		reply = s.core.report(now, r)
		s.confirmUpstreams()
	}
	effects := s.core.decide(now, held)
	s.mu.Unlock()
	s.execute(effects)
	if !held {
		return dispatcher.ReportReply{}, errNotHolder
	}
	return reply, nil
}

// Drain stops taking and starting work and gives what waits back to its
// callers, who send it to the zone's next scheduler. It returns once no start
// is on its way and no end is left to record, or the context ends.
func (s *Scheduler) Drain(ctx context.Context) {
	s.mu.Lock()
	now := s.config.Clock.Now()
	s.draining = true
	s.core.dispatcher.Drain(now)
	effects := s.core.decide(now, false)
	s.mu.Unlock()
	s.execute(effects)
	s.inFlight.wait(ctx)
	s.mu.Lock()
	s.core.deactivate(s.config.Clock.Now())
	effects = s.core.decide(s.config.Clock.Now(), false)
	s.mu.Unlock()
	s.execute(effects)
}
