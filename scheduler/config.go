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

// Config is the configuration of a Scheduler.
type Config struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Clock            clock.Clock
	// State is this instance's copy of the replicated state.
	State *registrar.Registrar
	// Propose commits a command through the leader of the log, whichever
	// instance that is, and returns its result. A
	// *replicator.UnknownResultError means that the command may have been
	// committed.
	Propose   func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	Upstreams UpstreamClient
	Holder    Holder
	// TaskLease is how long an upstream runs a task without a renewal.
	TaskLease clock.Millis
	Logger    logrus.FieldLogger
	Metrics   tally.Scope
	Tracer    trace.Tracer
}

// UpstreamClient sends orders to upstreams.
type UpstreamClient interface {
	// Start orders an upstream to run a task. A *dispatcher.NotSentError means
	// that the upstream never received the order. After any other error, it may
	// have received the order.
	Start(ctx context.Context, address string, o dispatcher.StartOrder) (dispatcher.StartReply, error)
	// Stop orders an upstream to stop a task.
	Stop(ctx context.Context, address string, o dispatcher.StopOrder) error
}

// Holder reports whether this instance holds the lease of its zone.
type Holder interface {
	// HoldsLease returns the epoch of the lease and reports whether the instance
	// holds the lease at now, so that it may start tasks in its zone.
	HoldsLease(now clock.Millis) (unit.Epoch, bool)
}

// UpstreamTracker is an optional interface of a Holder. It makes the upstreams
// on which tasks may run known to the next scheduler of the zone. Without it, a
// new scheduler waits until the lease of every task that an earlier scheduler may
// have started has expired.
type UpstreamTracker interface {
	// SetUpstreams sets the upstreams on which the holder of epoch wants to start
	// tasks. complete means that no task of an earlier epoch runs elsewhere.
	SetUpstreams(epoch unit.Epoch, upstreams []unit.Upstream, complete bool)
	// IsUpstreamConfirmed reports whether the listing of an upstream has been
	// acknowledged, so that the next scheduler is certain to learn of it.
	IsUpstreamConfirmed(epoch unit.Epoch, u unit.Upstream) bool
	// PriorUpstreams returns the upstreams on which tasks of earlier epochs may
	// run. complete is false if tasks may also run on unlisted upstreams.
	PriorUpstreams(epoch unit.Epoch) (upstreams []unit.Upstream, complete bool)
}

// RequestState is the state of a request: Ended, Pending or NotFound.
type RequestState interface{ requestState() }

// Ended is the state of a request that has an outcome.
type Ended struct{ Outcome dispatcher.Outcome }

// Pending is the state of a request that has no outcome yet. Refusal states what
// its task waits for; it is zero if no task of the request is queued.
type Pending struct{ Refusal dispatcher.Refusal }

// NotFound is the state of a request that this scheduler doesn't know.
type NotFound struct{}

func (Ended) requestState()    {}
func (Pending) requestState()  {}
func (NotFound) requestState() {}
