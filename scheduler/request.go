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

// maxMargin bounds the part of a caller's timeout that is kept for the way of
// the answer.
const maxReplyMargin = 100 * clock.Millisecond

// Submit runs a request and waits for its outcome. A resend with the same id
// joins the first and gets the same answer.
func (s *Scheduler) Submit(ctx context.Context, r dispatcher.Request) dispatcher.Outcome {
	s.config.Metrics.Counter("submitted").Inc(1)
	if ctx.Err() != nil {
		// A request that waited until its caller was gone isn't begun: the
		// caller may have been answered by another scheduler.
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

// outcomeNow is what a caller is told that can't wait any longer.
func (s *Scheduler) currentOutcome(id unit.Request) dispatcher.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, _ := s.core.dispatcher.Outcome(id); o != nil {
		return o
	}
	return dispatcher.Unknown{Refusal: refusalCallerGone}
}

// callerGone is told where a caller stopped waiting.
var refusalCallerGone = dispatcher.Refusal{
	Reason: dispatcher.ReasonDeadline,
	Detail: "the caller stopped waiting before the request came to its end",
	Remedy: "ask for the result, or send the same request id again",
}

// SubmitAsync makes a request durable; it runs later and its result is fetched. The
// Outcome says why it wasn't accepted.
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

// Result tells what is known of a request.
func (s *Scheduler) Result(_ context.Context, id unit.Request) RequestState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.requestState(id)
}

func (c *core) requestState(id unit.Request) RequestState {
	o, heard := c.dispatcher.Outcome(id)
	if o != nil {
		return Ended{Outcome: o}
	}
	for _, t := range c.dispatcher.Waiting(id) {
		if why, waits := c.queuer.WaitReason(t); waits {
			return Pending{Refusal: why}
		}
	}
	rec, registered := c.state.Record(id)
	switch {
	case registered && !rec.Open():
		return Ended{Outcome: requestRecord(rec).Outcome}
	case registered || heard:
		return Pending{}
	}
	return NotFound{}
}

// Cancel asks for the end of a request and tells how it then stands.
func (s *Scheduler) Cancel(ctx context.Context, id unit.Request) RequestState {
	if rec, registered := s.config.State.Record(id); registered && rec.Open() {
		// The next scheduler must know it too. If the log can't be reached,
		// the request is cancelled here all the same.
		if _, err := s.config.Propose(ctx, registrar.CancelRequest{Request: id, At: s.config.Clock.Now()}); err != nil {
			s.config.Logger.WithError(err).WithField("Request", id).Warn("the cancellation wasn't recorded")
		}
	}
	s.process(func(now clock.Millis) { s.core.dispatcher.Cancel(now, id) })
	return s.Result(ctx, id)
}
