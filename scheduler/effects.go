package scheduler

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// carryOut does what leaves the process.
func (s *Scheduler) execute(effects []dispatcher.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case dispatcher.NotifyCallers:
			s.callers.notify(e.Request, e.Outcome)
		case dispatcher.SendStart:
			s.startCall(func() { s.sendStart(e.Task) })
		case dispatcher.SendStop:
			s.startCall(func() { s.sendStop(e) })
		case dispatcher.CommitIntent:
			s.proposeInOrder(e.Request.ID, func() bool { return s.commitIntent(e) })
		case dispatcher.RevokeIntent:
			s.proposeInOrder(e.Request, func() bool { return s.revokeIntent(e) })
		case dispatcher.Record:
			s.proposeInOrder(e.Request, func() bool { return s.recordOutcome(e) })
		}
	}
}

// begin runs a call in the group, unless the scheduler has ended.
func (s *Scheduler) startCall(call func()) {
	if !s.inFlight.begin() {
		return
	}
	s.calls.Go(func() error {
		defer s.inFlight.end()
		call()
		return nil
	})
}

// start sends a task to its upstream. Whether the zone is still held is asked
// under the lock that hands out the order, after everything that may wait.
func (s *Scheduler) sendStart(id unit.Task) {
	s.mu.Lock()
	now := s.config.Clock.Now()
	epoch, holds := s.heldEpoch(now)
	address, order, ok := s.core.dispatcher.PrepareStart(now, id, epoch, holds)
	effects := s.core.decide(now, holds)
	s.mu.Unlock()
	s.execute(effects)
	if !ok {
		return
	}
	reply, err := s.callStart(address, order)
	s.config.Metrics.Counter("starts").Inc(1)
	s.process(func(now clock.Millis) { s.handleStartResult(now, id, reply, err) })
}

func (s *Scheduler) callStart(address string, order dispatcher.StartOrder) (dispatcher.StartReply, error) {
	ctx := trace.ContextWithSpanContext(s.ctx, s.callers.span(order.Request))
	ctx, span := s.config.Tracer.Start(ctx, "scheduler.Start", trace.WithAttributes(
		attribute.String("request", string(order.Request)),
		attribute.String("task", string(order.Task)),
	))
	defer span.End()
	// The call may stay open while the task runs, but not for ever: its end
	// comes with a report too.
	ctx, cancel := context.WithTimeout(ctx, (order.Lease + order.Expiry).Duration())
	defer cancel()
	return s.config.Upstreams.Start(ctx, address, order)
}

func (s *Scheduler) handleStartResult(now clock.Millis, id unit.Task, reply dispatcher.StartReply, err error) {
	var notSent *dispatcher.NotSentError
	switch {
	case err == nil:
		s.core.dispatcher.HandleStartReply(now, id, reply)
	case errors.As(err, &notSent):
		s.core.dispatcher.HandleStartNotSent(now, id)
	default:
		s.config.Logger.WithError(err).WithField("Task", id).Warn("a start has no answer")
		s.core.dispatcher.HandleStartUnknown(now, id)
	}
}

// halt tells an upstream to stop a task. The next report repeats it.
func (s *Scheduler) sendStop(e dispatcher.SendStop) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.TaskLease.Duration())
	defer cancel()
	if err := s.config.Upstreams.Stop(ctx, e.Address, e.Order); err != nil {
		s.config.Logger.WithError(err).WithField("Task", e.Order.Task).Debug("a stop has no answer")
	}
}
