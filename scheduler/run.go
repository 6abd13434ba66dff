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

// maxStatusTasks is the maximum number of waiting tasks in a Status.
const maxStatusTasks = 50

// errNotHolder is the error of Report if another instance schedules the zone.
var errNotHolder = errors.New("this instance doesn't schedule the availability zone")

// Run schedules the zone until ctx is done. It returns once all calls that it
// started have ended.
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

// tick does the periodic work that is due at now.
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

// Report handles the report of an upstream. The reply renews the leases of the
// upstream's tasks, so Report returns an error if this instance doesn't hold the
// zone.
func (s *Scheduler) Report(_ context.Context, r dispatcher.Report) (dispatcher.ReportReply, error) {
	if r.AvailabilityZone != s.config.AvailabilityZone {
		return dispatcher.ReportReply{}, errors.Newf("the upstream is in availability zone %s", r.AvailabilityZone)
	}
	var reply dispatcher.ReportReply
	holds := false
	s.mu.Lock()
	now := s.config.Clock.Now()
	if s.syncLease(now) {
		holds = true
		reply = s.core.report(now, r)
		s.confirmUpstreams()
	}
	effects := s.core.decide(now, holds)
	s.mu.Unlock()
	s.execute(effects)
	if !holds {
		return dispatcher.ReportReply{}, errNotHolder
	}
	return reply, nil
}

// Drain stops accepting requests and starting tasks. It returns waiting requests
// to their callers, which send them to the next scheduler of the zone. Drain
// returns once no start order is in flight and all outcomes are recorded, or when
// ctx is done.
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
