// Package router sends a caller's request from the entry instance to the
// scheduler of its home availability zone, and returns the outcome.
//
// A request has one home zone (see parser.Config.HomeZone), and the scheduler
// there identifies requests by id. So the router may resend a request after a
// missing reply: the scheduler joins the resend to the first send. The router
// returns NotRun only if no send can have been received, or if the scheduler
// that received the request returned NotRun.
//
// The router resends with backoff and full jitter until the caller's deadline.
// A budget limits resends to a small fraction of all sends, so that retries
// don't overload a failing zone.
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

// Scheduler has the methods of scheduler.Scheduler that a Router calls. They are
// called while this instance holds the zone's lease.
type Scheduler interface {
	Submit(ctx context.Context, r dispatcher.Request) dispatcher.Outcome
	SubmitAsync(ctx context.Context, r dispatcher.Request) (bool, dispatcher.Outcome)
	Result(ctx context.Context, id unit.Request) scheduler.RequestState
	Cancel(ctx context.Context, id unit.Request) scheduler.RequestState
	Report(ctx context.Context, r dispatcher.Report) (dispatcher.ReportReply, error)
}

// Holder reports whether this instance holds the lease of its zone.
type Holder interface {
	// HoldsLease returns the epoch of the lease and reports whether the instance
	// holds the lease at now.
	HoldsLease(now clock.Millis) (unit.Epoch, bool)
}

// Config configures a Router.
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

// Router routes requests of callers and reports of upstreams to the scheduler of
// their zone.
type Router struct {
	config      Config
	retryBudget retryBudget
	gate        gate
}

// New returns a Router with the given configuration.
func New(c Config) *Router {
	return &Router{config: c}
}

// Submission is a caller's request whose key has been checked.
type Submission struct {
	Request dispatcher.Request
	// Key is the key that admitted the request; empty for an open queue.
	Key authenticator.KeyID
	// ClientRequestID is the id that the caller chose, or that this instance
	// generated for it. Request.ID is its scoped form.
	ClientRequestID string
	// IDGenerated is set if this instance generated ClientRequestID for this
	// submission. No caller can have sent such an id before, and it may be
	// replaced by another one.
	IDGenerated bool
	// Async requests acceptance only; the caller fetches the result later.
	Async  bool
	Urgent bool
}

// NewID generates an id. Its home is this instance's zone or, if that is declared
// lost or isn't configured, another zone that isn't declared lost.
func (r *Router) NewID() string {
	config, _ := r.config.State.Config()
	id := uuid.NewString()
	for _, z := range config.AvailabilityZones {
		if z.Name == r.config.AvailabilityZone && !z.Lost {
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

// Submit runs a request and returns its outcome and final id, which differs from
// the submitted one if the request was moved to another zone. accepted is true
// if the request is asynchronous and was made durable; the outcome is then nil.
func (r *Router) Submit(ctx context.Context, s Submission) (id string, outcome dispatcher.Outcome, accepted bool) {
	ctx, span := r.config.Tracer.Start(ctx, "router.Submit", trace.WithAttributes(
		attribute.String("request", string(s.Request.ID)),
		attribute.String("queue", string(s.Request.Queue)),
	))
	defer span.End()
	if !r.gate.tryEnter(s.Urgent) {
		r.config.Metrics.Counter("shed").Inc(1)
		return s.ClientRequestID, overloaded(), false
	}
	defer r.gate.leave()
	home, ok := r.homeZone(s.ClientRequestID)
	if !ok {
		return s.ClientRequestID, noConfiguration(), false
	}
	s.Request.Fresh = s.IDGenerated
	deadline := r.config.Clock.Now() + s.Request.Timeout
	ctx, cancel := context.WithTimeout(ctx, s.Request.Timeout.Duration())
	defer cancel()
	r.retryBudget.addCredit()
	outcome, accepted = r.submitToZone(ctx, home, s, deadline)
	for _, other := range r.fallbackZones(home, s, outcome) {
		s = s.withNewID(other)
		r.config.Metrics.Counter("moved").Inc(1)
		outcome, accepted = r.submitToZone(ctx, other, s, deadline)
		if accepted || !isZoneUnavailable(outcome) {
			break
		}
	}
	return s.ClientRequestID, outcome, accepted
}

// homeZone returns the home zone of a request id, or false if there is no
// configuration or it has no zone for the id.
func (r *Router) homeZone(clientRequestID string) (unit.AvailabilityZone, bool) {
	config, version := r.config.State.Config()
	if version == 0 {
		return "", false
	}
	return config.HomeZone(clientRequestID)
}

// submitToZone sends the request to the scheduler of a zone and resends it until
// there is an answer, the deadline has passed, the retry budget is spent or the
// request should move to another zone.
func (r *Router) submitToZone(ctx context.Context, home unit.AvailabilityZone, s Submission, deadline clock.Millis) (dispatcher.Outcome, bool) {
	maybeDelivered := false
	movable := r.isMovable(home, s)
	for attempt := 0; ; attempt++ {
		s.Request.Timeout = deadline - r.config.Clock.Now()
		reply, err := r.send(ctx, home, s)
		outcome, accepted, answered := decodeReply(reply, err, maybeDelivered, s.Request.Repeatable)
		if answered && (accepted || !dispatcher.HolderChanged(outcome)) {
			return outcome, accepted
		}
		maybeDelivered = maybeDelivered || isMaybeDelivered(err) || isUnknown(outcome)
		s.Request.Fresh = s.Request.Fresh && !maybeDelivered
		if movable && !maybeDelivered && attempt >= retriesBeforeMove {
			return outcomeWithoutReply(home, maybeDelivered, err), false
		}
		if !r.retryBudget.allowRetry(s.Urgent) || backoff.Wait(ctx, attempt) != nil {
			return outcomeWithoutReply(home, maybeDelivered, err), false
		}
		r.config.Metrics.Counter("retries").Inc(1)
	}
}

func isUnknown(o dispatcher.Outcome) bool {
	_, unknown := o.(dispatcher.Unknown)
	return unknown
}

// decodeReply returns the outcome in a scheduler's reply; answered is false if
// there was none. maybeDelivered is set if an earlier send may have reached
// another scheduler. That one may have run a repeatable request without a record
// in the log, so NotRun from the present scheduler becomes Unknown. So does the
// refusal of a key, which is checked before the log is searched for the request.
func decodeReply(reply submitReply, err error, maybeDelivered, repeatable bool) (outcome dispatcher.Outcome, accepted, answered bool) {
	if err != nil || reply.NotHolder {
		return nil, false, false
	}
	if reply.Accepted {
		return nil, true, true
	}
	outcome, err = dispatcher.UnmarshalOutcome(reply.Outcome)
	if err != nil {
		return dispatcher.Unknown{Refusal: internalError(err)}, false, true
	}
	if notRun, isNotRun := outcome.(dispatcher.NotRun); isNotRun && maybeDelivered && (repeatable || isKeyRefusal(notRun.Refusal)) {
		return dispatcher.Unknown(notRun), false, true
	}
	return outcome, false, true
}

func isKeyRefusal(r dispatcher.Refusal) bool {
	return r.Reason == dispatcher.ReasonKeyRefused || r.Reason == dispatcher.ReasonKeysStale
}

// isMaybeDelivered reports whether a failed send may have reached a scheduler.
func isMaybeDelivered(err error) bool {
	if err == nil {
		return false
	}
	var call *instance.CallError
	if errors.As(err, &call) {
		return call.MaybeDelivered
	}
	return true
}

// outcomeWithoutReply returns the outcome of a request that no scheduler
// answered.
func outcomeWithoutReply(home unit.AvailabilityZone, maybeDelivered bool, err error) dispatcher.Outcome {
	refusal := refusalNoScheduler(home, err)
	if maybeDelivered {
		return dispatcher.Unknown{Refusal: refusal}
	}
	return dispatcher.NotRun{Refusal: refusal}
}
