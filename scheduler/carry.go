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
func (s *Scheduler) carryOut(effects []dispatcher.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case dispatcher.NotifyCallers:
			s.callers.tell(e.Request, e.Outcome)
		case dispatcher.SendStart:
			s.begin(func() { s.start(e.Task) })
		case dispatcher.SendStop:
			s.begin(func() { s.halt(e) })
		case dispatcher.CommitIntent:
			s.record(e.Request.ID, func() bool { return s.intend(e) })
		case dispatcher.RevokeIntent:
			s.record(e.Request, func() bool { return s.unintend(e) })
		case dispatcher.Record:
			s.record(e.Request, func() bool { return s.end(e) })
		}
	}
}

// begin runs a call in the group, unless the scheduler has ended.
func (s *Scheduler) begin(call func()) {
	if !s.busy.begin() {
		return
	}
	s.work.Go(func() error {
		defer s.busy.end()
		call()
		return nil
	})
}

// start sends a task to its upstream. Whether the zone is still held is asked
// under the lock that hands out the order, after everything that may wait.
func (s *Scheduler) start(id unit.Task) {
	s.mu.Lock()
	now := s.c.Clock.Now()
	epoch, holds := s.holds(now)
	address, order, ok := s.core.d.PrepareStart(now, id, epoch, holds)
	effects := s.core.decide(now, holds)
	s.mu.Unlock()
	s.carryOut(effects)
	if !ok {
		return
	}
	reply, err := s.callStart(address, order)
	s.c.Metrics.Counter("starts").Inc(1)
	s.with(func(now clock.Millis) { s.started(now, id, reply, err) })
}

func (s *Scheduler) callStart(address string, order dispatcher.StartOrder) (dispatcher.StartReply, error) {
	ctx := trace.ContextWithSpanContext(s.ctx, s.callers.span(order.Request))
	ctx, span := s.c.Tracer.Start(ctx, "scheduler.Start", trace.WithAttributes(
		attribute.String("request", string(order.Request)),
		attribute.String("task", string(order.Task)),
	))
	defer span.End()
	// The call may stay open while the task runs, but not for ever: its end
	// comes with a report too.
	ctx, cancel := context.WithTimeout(ctx, (order.Lease + order.Expiry).Duration())
	defer cancel()
	return s.c.Upstreams.Start(ctx, address, order)
}

func (s *Scheduler) started(now clock.Millis, id unit.Task, reply dispatcher.StartReply, err error) {
	var notSent *dispatcher.NotSentError
	switch {
	case err == nil:
		s.core.d.HandleStartReply(now, id, reply)
	case errors.As(err, &notSent):
		s.core.d.HandleStartNotSent(now, id)
	default:
		s.c.Logger.WithError(err).WithField("Task", id).Warn("a start has no answer")
		s.core.d.HandleStartUnknown(now, id)
	}
}

// halt tells an upstream to stop a task. The next report repeats it.
func (s *Scheduler) halt(e dispatcher.SendStop) {
	ctx, cancel := context.WithTimeout(s.ctx, s.c.TaskLease.Duration())
	defer cancel()
	if err := s.c.Upstreams.Stop(ctx, e.Address, e.Order); err != nil {
		s.c.Logger.WithError(err).WithField("Task", e.Order.Task).Debug("a stop has no answer")
	}
}
