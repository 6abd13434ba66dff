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

// execute notifies callers and starts the calls that the effects ask for. It
// doesn't wait for the calls.
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
		case dispatcher.RetractIntent:
			s.proposeInOrder(e.Request, func() bool { return s.retractIntent(e) })
		case dispatcher.Record:
			s.proposeInOrder(e.Request, func() bool { return s.recordOutcome(e) })
		}
	}
}

// startCall runs a call on its own goroutine, unless the scheduler has ended.
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

// sendStart sends the start order of a task to its upstream. It checks the lease
// of the zone and obtains the order under the same lock, after everything that
// may block.
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

// callStart sends a start order and waits for the reply.
func (s *Scheduler) callStart(address string, order dispatcher.StartOrder) (dispatcher.StartReply, error) {
	ctx := trace.ContextWithSpanContext(s.ctx, s.callers.span(order.Request))
	ctx, span := s.config.Tracer.Start(ctx, "scheduler.Start", trace.WithAttributes(
		attribute.String("request", string(order.Request)),
		attribute.String("task", string(order.Task)),
	))
	defer span.End()
	// The upstream may answer only when the task has ended. The timeout is safe:
	// the end of a task is also in the upstream's report.
	ctx, cancel := context.WithTimeout(ctx, (order.Lease + order.Expiry).Duration())
	defer cancel()
	return s.config.Upstreams.Start(ctx, address, order)
}

// handleStartResult passes the result of a start order to the dispatcher.
func (s *Scheduler) handleStartResult(now clock.Millis, id unit.Task, reply dispatcher.StartReply, err error) {
	var notSent *dispatcher.NotSentError
	switch {
	case err == nil:
		s.core.dispatcher.HandleStartReply(now, id, reply)
	case errors.As(err, &notSent):
		s.core.dispatcher.HandleStartNotSent(now, id)
	default:
		s.config.Logger.WithError(err).WithField("Task", id).Warn("start order was not answered; the task may be running")
		s.core.dispatcher.HandleStartUnknown(now, id)
	}
}

// sendStop sends a stop order to an upstream. It doesn't retry: the reply to the
// upstream's next report repeats the order.
func (s *Scheduler) sendStop(e dispatcher.SendStop) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.TaskLease.Duration())
	defer cancel()
	if err := s.config.Upstreams.Stop(ctx, e.Address, e.Order); err != nil {
		s.config.Logger.WithError(err).WithField("Task", e.Order.Task).Debug("stop order was not answered")
	}
}
