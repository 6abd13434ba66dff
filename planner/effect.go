package planner

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// Effect is something to do once all commands that were handed out before it
// are committed. The set is closed.
type Effect interface{ effect() }

// Start orders an upstream to start a run.
type Start struct {
	_           struct{} `cbor:",toarray"`
	Run         keeper.RunKey
	Target      Target
	Spec        string
	LeaseExpiry clock.Millis
	// Checkpoint is empty for a start from the beginning.
	Checkpoint string
	Ticket     string
}

// Stop orders an upstream to end a run.
type Stop struct {
	_      struct{} `cbor:",toarray"`
	Run    keeper.RunKey
	Target Target
}

// RequestTickets asks the advice service, by way of another instance, which of some
// upstreams may run a step.
type RequestTickets struct {
	Via       unit.Instance
	Step      keeper.StepID
	Upstreams []unit.Upstream
	// Timeout bounds the call.
	Timeout clock.Millis
}

// Respond answers a request.
type Respond struct{ Send func() }

func (Start) effect()          {}
func (Stop) effect()           {}
func (RequestTickets) effect() {}
func (Respond) effect()        {}

// Target is a life of an upstream that gets an order.
type Target struct {
	_           struct{} `cbor:",toarray"`
	ID          unit.Upstream
	Zone        unit.AvailabilityZone
	Address     string
	Incarnation keeper.Incarnation
}

// OrderResult tells what became of an order. The set is closed.
type OrderResult interface{ answer() }

// Executed says that the upstream has carried the order out.
type Executed struct{}

// Refused says that the upstream surely did nothing.
type Refused struct{ Reason RefusalReason }

// Indeterminate says that the upstream may carry the order out, also later.
type Indeterminate struct{ Err error }

func (Executed) answer()      {}
func (Refused) answer()       {}
func (Indeterminate) answer() {}

// RefusalReason is why an upstream did nothing.
type RefusalReason string

// Refusals.
const (
	// RefusedFenced: a higher token has given orders there.
	RefusedFenced RefusalReason = "Fence"
	// RefusedStaleRun: the run's number isn't higher than one that ended there.
	RefusedStaleRun RefusalReason = "Old"
	// RefusedExpired: the lease had already ended.
	RefusedExpired RefusalReason = "Late"
	// RefusedCapacity: it doesn't fit.
	RefusedCapacity RefusalReason = "Room"
	// RefusedInvalidTicket: the ticket isn't valid.
	RefusedInvalidTicket RefusalReason = "Ticket"
	// RefusedIncarnation: another life of the upstream answered.
	RefusedIncarnation RefusalReason = "Life"
	// RefusedUnhealthy: the upstream takes no orders now.
	RefusedUnhealthy RefusalReason = "Unhealthy"
	// RefusedInvalid: the upstream can't read the order.
	RefusedInvalid RefusalReason = "Invalid"
)
