package scheduler

import (
	"context"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Config of a Scheduler.
type Config struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Clock            clock.Clock
	State            *registrar.Registrar
	// Propose appends a command to the log, wherever its leader is. A
	// *replicator.UnknownResultError means that the command may be committed.
	Propose   func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	Upstreams UpstreamClient
	Holder    Holder
	// TaskLease is how long an upstream runs a task unrenewed.
	TaskLease clock.Millis
	Logger    logrus.FieldLogger
	Metrics   tally.Scope
	Tracer    trace.Tracer
}

// UpstreamClient carries orders to upstreams.
type UpstreamClient interface {
	// Start asks an upstream to run a task. A *dispatcher.NotSentError means
	// that the order surely never arrived; any other error leaves it open.
	Start(ctx context.Context, address string, o dispatcher.StartOrder) (dispatcher.StartReply, error)
	// Stop asks an upstream to stop a task.
	Stop(ctx context.Context, address string, o dispatcher.StopOrder) error
}

// Holder says whether this instance may start work in its zone now, and under
// which epoch.
type Holder interface {
	HoldsLease(now clock.Millis) (unit.Epoch, bool)
}

// UpstreamTracker is what a Holder may offer besides: it makes the upstreams that work
// may run on known to a successor. Without it, a new scheduler waits until the
// leases of everything that an earlier one may have started have surely ended.
type UpstreamTracker interface {
	// SetUpstreams sets the upstreams that the holder of epoch wants to start work
	// on. whole says that nothing of an earlier epoch runs elsewhere.
	SetUpstreams(epoch unit.Epoch, upstreams []unit.Upstream, whole bool)
	// IsUpstreamConfirmed reports whether a successor would surely learn of an upstream.
	IsUpstreamConfirmed(epoch unit.Epoch, u unit.Upstream) bool
	// PriorUpstreams returns where the work of earlier schedulers can run.
	PriorUpstreams(epoch unit.Epoch) (upstreams []unit.Upstream, known bool)
}

// RequestState is what is known of a request. The set is closed: Ended, Pending,
// NotFound.
type RequestState interface{ requestState() }

// Ended is a request with an outcome.
type Ended struct{ Outcome dispatcher.Outcome }

// Pending is a request without an outcome yet, and what it waits for.
type Pending struct{ Refusal dispatcher.Refusal }

// NotFound is a request that this scheduler doesn't know.
type NotFound struct{}

func (Ended) requestState()    {}
func (Pending) requestState()  {}
func (NotFound) requestState() {}
