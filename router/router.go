// Package router brings a caller's request from the entry instance to the
// scheduler of its home availability zone, and the outcome back.
//
// A request has one home zone (see parser.Config.HomeZone), and the scheduler there
// tells requests apart by id. So the router may send the same request again
// whenever an answer is missing: the scheduler joins it to the first. What the
// router must get right is the truth of NotRun. It says so only if no send can
// have been received, or if the scheduler that received it says so.
//
// Sends are repeated with backoff and full jitter, within the caller's deadline
// and a budget that keeps retries a small part of all sends, so that a zone in
// trouble isn't buried under them.
package router

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/scheduler"
	"github.com/chervilvane/chervilvane/unit"
)

// Scheduler is the zone scheduler in this process, used while this instance
// holds its zone.
type Scheduler interface {
	Submit(ctx context.Context, r dispatcher.Request) dispatcher.Outcome
	SubmitAsync(ctx context.Context, r dispatcher.Request) (bool, dispatcher.Outcome)
	Result(ctx context.Context, id unit.Request) scheduler.RequestState
	Cancel(ctx context.Context, id unit.Request) scheduler.RequestState
	Report(ctx context.Context, r dispatcher.Report) (dispatcher.ReportReply, error)
}

// Holder tells whether this instance may schedule its zone now.
type Holder interface {
	HoldsLease(now clock.Millis) (unit.Epoch, bool)
}

// Config of a Router.
type Config struct {
	Self             unit.Instance
	AvailabilityZone unit.AvailabilityZone
	State            *registrar.Registrar
	Local            Scheduler
	Holder           Holder
	Keys             *authenticator.Authenticator
	Call             instance.Caller
	Clock            clock.Clock
	Logger           logrus.FieldLogger
	Metrics          tally.Scope
	Tracer           trace.Tracer
}

// Router routes requests of callers and reports of upstreams.
type Router struct {
	c      Config
	budget budget
	gate   gate
}

// New returns a Router.
func New(c Config) *Router {
	return &Router{c: c}
}

// Submission is a request as a caller sent it, after its key was checked.
type Submission struct {
	Request dispatcher.Request
	// Key is the key that admitted the request; empty in open queues.
	Key authenticator.KeyID
	// ClientRequestID is the id that the caller chose, or that this instance chose
	// for it. Request.ID is the scoped form.
	ClientRequestID string
	// IDGenerated says that this instance chose ClientRequestID for this submission, so
	// nobody can have sent it before, and it may be replaced by another.
	IDGenerated bool
	// Async asks for acceptance only; the result is fetched later.
	Async  bool
	Urgent bool
}

// NewID returns an id whose home is this instance's zone, or another live zone
// if this one is declared lost or isn't configured.
func (r *Router) NewID() string {
	config, _ := r.c.State.Config()
	id := uuid.NewString()
	for _, z := range config.AvailabilityZones {
		if z.Name == r.c.AvailabilityZone && !z.Lost {
			return string(z.Name) + "." + id
		}
	}
	for _, z := range config.AvailabilityZones {
		if !z.Lost {
			return string(z.Name) + "." + id
		}
	}
	return id
}

// Submit runs a request and returns its outcome, under the id that it had in
// the end. accepted is true for an asynchronous request that was made durable;
// the outcome is then nil.
func (r *Router) Submit(ctx context.Context, s Submission) (id string, outcome dispatcher.Outcome, accepted bool) {
	ctx, span := r.c.Tracer.Start(ctx, "router.Submit", trace.WithAttributes(
		attribute.String("request", string(s.Request.ID)),
		attribute.String("queue", string(s.Request.Queue)),
	))
	defer span.End()
	if !r.gate.enter(s.Urgent) {
		r.c.Metrics.Counter("shed").Inc(1)
		return s.ClientRequestID, overloaded(), false
	}
	defer r.gate.leave()
	home, ok := r.home(s.ClientRequestID)
	if !ok {
		return s.ClientRequestID, noConfiguration(), false
	}
	s.Request.Fresh = s.IDGenerated
	deadline := r.c.Clock.Now() + s.Request.Timeout
	ctx, cancel := context.WithTimeout(ctx, s.Request.Timeout.Duration())
	defer cancel()
	r.budget.sent()
	outcome, accepted = r.submitAt(ctx, home, s, deadline)
	for _, other := range r.elsewhere(home, s, outcome) {
		s = s.rename(other)
		r.c.Metrics.Counter("moved").Inc(1)
		outcome, accepted = r.submitAt(ctx, other, s, deadline)
		if accepted || !mayMove(outcome) {
			break
		}
	}
	return s.ClientRequestID, outcome, accepted
}

func (r *Router) home(callerID string) (unit.AvailabilityZone, bool) {
	config, version := r.c.State.Config()
	if version == 0 {
		return "", false
	}
	return config.HomeZone(callerID)
}

// submitAt sends the request to the scheduler of a zone until there is an
// answer, the deadline has passed or the budget of retries is used up.
func (r *Router) submitAt(ctx context.Context, home unit.AvailabilityZone, s Submission, deadline clock.Millis) (dispatcher.Outcome, bool) {
	uncertain := false
	movable := r.isMovable(home, s)
	for attempt := 0; ; attempt++ {
		s.Request.Timeout = deadline - r.c.Clock.Now()
		reply, err := r.send(ctx, home, s)
		outcome, accepted, answered := settle(reply, err, uncertain && s.Request.Repeatable)
		if answered && (accepted || !dispatcher.HolderChanged(outcome)) {
			return outcome, accepted
		}
		uncertain = uncertain || mayBeDelivered(err) || isUnknown(outcome)
		s.Request.Fresh = s.Request.Fresh && !uncertain
		if movable && !uncertain && attempt >= attemptsBeforeMove {
			return unanswered(home, uncertain, err), false
		}
		if !r.budget.retry(s.Urgent) || backoff.Wait(ctx, attempt) != nil {
			return unanswered(home, uncertain, err), false
		}
		r.c.Metrics.Counter("retries").Inc(1)
	}
}

func isUnknown(o dispatcher.Outcome) bool {
	_, is := o.(dispatcher.Unknown)
	return is
}

// settle turns a scheduler's reply into an outcome; answered is false if there
// was none. After a send that may have reached an earlier scheduler, that one
// may have run repeatable work without a trace in the log, so the present one's
// NotRun isn't the whole truth.
func settle(reply submitReply, err error, uncertain bool) (outcome dispatcher.Outcome, accepted, answered bool) {
	if err != nil || reply.NotHolder {
		return nil, false, false
	}
	if reply.Accepted {
		return nil, true, true
	}
	outcome, err = dispatcher.UnmarshalOutcome(reply.Outcome)
	if err != nil {
		return dispatcher.Unknown{Refusal: internal(err)}, false, true
	}
	if notRun, is := outcome.(dispatcher.NotRun); is && uncertain {
		return dispatcher.Unknown(notRun), false, true
	}
	return outcome, false, true
}

// mayBeDelivered reports whether a failed send can have reached a scheduler.
func mayBeDelivered(err error) bool {
	if err == nil {
		return false
	}
	var call *instance.CallError
	if errors.As(err, &call) {
		return call.MaybeDelivered
	}
	return true
}

// unanswered is the outcome of a request that no scheduler answered.
func unanswered(home unit.AvailabilityZone, uncertain bool, err error) dispatcher.Outcome {
	refusal := noScheduler(home, err)
	if uncertain {
		return dispatcher.Unknown{Refusal: refusal}
	}
	return dispatcher.NotRun{Refusal: refusal}
}
