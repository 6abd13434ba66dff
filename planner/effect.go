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
	_       struct{} `cbor:",toarray"`
	Run     keeper.RunKey
	To      Target
	Spec    string
	Expires clock.Millis
	// Checkpoint is empty for a start from the beginning.
	Checkpoint string
	Ticket     string
}

// Stop orders an upstream to end a run.
type Stop struct {
	_   struct{} `cbor:",toarray"`
	Run keeper.RunKey
	To  Target
}

// Advise asks the advice service, by way of another instance, which of some
// upstreams may run a step.
type Advise struct {
	Via       unit.Instance
	Step      keeper.StepID
	Upstreams []unit.Upstream
	// Wait bounds the call.
	Wait clock.Millis
}

// Settle answers a request.
type Settle struct{ Reply func() }

func (Start) effect()  {}
func (Stop) effect()   {}
func (Advise) effect() {}
func (Settle) effect() {}

// Target is a life of an upstream that gets an order.
type Target struct {
	_       struct{} `cbor:",toarray"`
	ID      unit.Upstream
	Zone    unit.AvailabilityZone
	Address string
	Life    keeper.Life
}

// Answer tells what became of an order. The set is closed.
type Answer interface{ answer() }

// Done says that the upstream has carried the order out.
type Done struct{}

// Refused says that the upstream surely did nothing.
type Refused struct{ Reason Refusal }

// Unanswered says that the upstream may carry the order out, also later.
type Unanswered struct{ Cause error }

func (Done) answer()       {}
func (Refused) answer()    {}
func (Unanswered) answer() {}

// Refusal is why an upstream did nothing.
type Refusal string

// Refusals.
const (
	// RefusedFence: a higher token has given orders there.
	RefusedFence Refusal = "Fence"
	// RefusedOld: the run's number isn't higher than one that ended there.
	RefusedOld Refusal = "Old"
	// RefusedLate: the lease had already ended.
	RefusedLate Refusal = "Late"
	// RefusedRoom: it doesn't fit.
	RefusedRoom Refusal = "Room"
	// RefusedTicket: the ticket isn't valid.
	RefusedTicket Refusal = "Ticket"
	// RefusedLife: another life of the upstream answered.
	RefusedLife Refusal = "Life"
	// RefusedUnhealthy: the upstream takes no orders now.
	RefusedUnhealthy Refusal = "Unhealthy"
	// RefusedInvalid: the upstream can't read the order.
	RefusedInvalid Refusal = "Invalid"
)
