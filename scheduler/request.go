package scheduler

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// maxReplyMargin bounds the part of a caller's timeout that is reserved for sending
// the reply back.
const maxReplyMargin = 100 * clock.Millisecond

// Submit submits a request and waits for its outcome, or until ctx is done. A
// resend with the same id joins the first submission and gets the same outcome.
func (s *Scheduler) Submit(ctx context.Context, r dispatcher.Request) dispatcher.Outcome {
	s.config.Metrics.Counter("submitted").Inc(1)
	if ctx.Err() != nil {
		// The caller stopped waiting before the request got here. The request
		// isn't started, since another scheduler may have answered the caller.
		return dispatcher.Unknown{Refusal: refusalCallerGone}
	}
	r.Timeout -= min(r.Timeout/10, maxReplyMargin)
	c := s.callers.add(r.ID, trace.SpanContextFromContext(ctx))
	s.process(func(now clock.Millis) {
		if s.draining {
			s.core.dispatcher.SubmitDraining(now, r)
			return
		}
		s.core.submit(now, r)
	})
	select {
	case o := <-c.outcome:
		return o
	case <-ctx.Done():
	}
	if !s.callers.remove(c) && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.process(func(now clock.Millis) { s.core.dispatcher.Expire(now, r.ID) })
	}
	select {
	case o := <-c.outcome:
		return o
	default:
		return s.currentOutcome(r.ID)
	}
}

// currentOutcome returns the outcome for a caller that stops waiting: Unknown if
// the request is still open.
func (s *Scheduler) currentOutcome(id unit.Request) dispatcher.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, _ := s.core.dispatcher.Outcome(id); o != nil {
		return o
	}
	return dispatcher.Unknown{Refusal: refusalCallerGone}
}

// refusalCallerGone is the refusal in the outcome for a caller that stopped waiting.
var refusalCallerGone = dispatcher.Refusal{
	Reason: dispatcher.ReasonDeadline,
	Detail: "the caller stopped waiting before the request came to its end",
	Remedy: "ask for the result, or send the same request id again",
}

// SubmitAsync records a request in the log and reports whether it was accepted. An
// accepted request runs later, and its caller fetches its result. If the request
// wasn't accepted, the Outcome says why.
func (s *Scheduler) SubmitAsync(ctx context.Context, r dispatcher.Request) (bool, dispatcher.Outcome) {
	if s.isDraining() {
		return false, dispatcher.NotRun{Refusal: dispatcher.RefusalShuttingDown}
	}
	result, err := s.config.Propose(ctx, registrar.AcceptRequest{Request: r, AvailabilityZone: s.config.AvailabilityZone, At: s.config.Clock.Now()})
	var unknown *replicator.UnknownResultError
	switch {
	case errors.As(err, &unknown):
		return false, dispatcher.Unknown{Refusal: dispatcher.RefusalLogUnreachable}
	case err != nil:
		return false, dispatcher.NotRun{Refusal: dispatcher.RefusalLogUnreachable}
	}
	switch result := result.(type) {
	case registrar.RequestRecorded:
		s.process(func(now clock.Millis) {
			s.core.dispatcher.Restore(now, requestRecord(result.Record), s.core.gangSize(r))
		})
		s.config.Metrics.Counter("accepted").Inc(1)
		return true, nil
	case registrar.Rejected:
		return false, dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: result.Reason, Detail: result.Detail}}
	default:
		return false, dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonInternal}}
	}
}

func (s *Scheduler) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Result returns the state of a request.
func (s *Scheduler) Result(_ context.Context, id unit.Request) RequestState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.requestState(id)
}

// requestState returns the state of a request, from the dispatcher if it knows the
// outcome, else from the queue and the log.
func (c *core) requestState(id unit.Request) RequestState {
	o, known := c.dispatcher.Outcome(id)
	if o != nil {
		return Ended{Outcome: o}
	}
	for _, t := range c.dispatcher.Waiting(id) {
		if reason, queued := c.queuer.WaitReason(t); queued {
			return Pending{Refusal: reason}
		}
	}
	rec, registered := c.state.Record(id)
	switch {
	case registered && !rec.Open():
		return Ended{Outcome: requestRecord(rec).Outcome}
	case registered || known:
		return Pending{}
	}
	return NotFound{}
}

// Cancel cancels a request and returns its state after that. A task that runs
// already may take a while to stop.
func (s *Scheduler) Cancel(ctx context.Context, id unit.Request) RequestState {
	if rec, registered := s.config.State.Record(id); registered && rec.Open() {
		// The next scheduler must learn of the cancellation too. If the log is
		// unreachable, the request is cancelled only in this scheduler.
		if _, err := s.config.Propose(ctx, registrar.CancelRequest{Request: id, At: s.config.Clock.Now()}); err != nil {
			s.config.Logger.WithError(err).WithField("Request", id).Warn("failed to record the cancellation in the log")
		}
	}
	s.process(func(now clock.Millis) { s.core.dispatcher.Cancel(now, id) })
	return s.Result(ctx, id)
}
