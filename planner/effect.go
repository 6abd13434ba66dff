package planner

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// Effect is an action that the driver may execute once all commands that TakeOutput
// returned before it, or together with it, are committed. The set of its types is closed.
type Effect interface{ effect() }

// Start is the order to start a run.
type Start struct {
	_      struct{} `cbor:",toarray"`
	Run    keeper.RunKey
	Target Target
	Spec   string
	// LeaseExpiry is the expiry of the upstream's lease, by the upstream's clock.
	LeaseExpiry clock.Millis
	// Checkpoint is the one from which the run resumes. It is empty for a start from the
	// beginning.
	Checkpoint string
	Ticket     string
	// Forecast is for the log of this instance; orders don't carry it.
	Forecast *RunForecast `cbor:"-"`
}

// Stop is the order to stop a run.
type Stop struct {
	_      struct{} `cbor:",toarray"`
	Run    keeper.RunKey
	Target Target
}

// RequestTickets asks the advice service, through the instance Requester, which of the
// upstreams may run a step.
type RequestTickets struct {
	// Number tells the requests of a leader apart.
	Number    int
	Requester unit.Instance
	Step      keeper.StepID
	Upstreams []unit.Upstream
	// Timeout limits the time of the call.
	Timeout clock.Millis
}

// Respond sends the reply to a request.
type Respond struct{ Send func() }

func (Start) effect()          {}
func (Stop) effect()           {}
func (RequestTickets) effect() {}
func (Respond) effect()        {}

// Target is the incarnation of an upstream to which an order or poll is sent.
type Target struct {
	_           struct{} `cbor:",toarray"`
	ID          unit.Upstream
	Zone        unit.AvailabilityZone
	Address     string
	Incarnation keeper.Incarnation
}

// OrderResult is the result of an order. The set of its types is closed.
type OrderResult interface{ orderResult() }

// Executed means that the upstream has executed the order.
type Executed struct{}

// Refused means that the upstream did nothing and won't execute the order later.
type Refused struct{ Reason RefusalReason }

// Indeterminate means that the upstream may have executed the order, or may still do so.
type Indeterminate struct{ Err error }

func (Executed) orderResult()      {}
func (Refused) orderResult()       {}
func (Indeterminate) orderResult() {}

// RefusalReason is why an upstream refused an order.
type RefusalReason string

// The reasons of refusals.
const (
	// RefusedFenced means that the upstream has received an order with a higher token.
	RefusedFenced RefusalReason = "Fence"
	// RefusedStaleRun means that the run's number isn't higher than that of a run of the
	// task that has ended there.
	RefusedStaleRun RefusalReason = "Old"
	// RefusedExpired means that the lease in the order had already expired.
	RefusedExpired RefusalReason = "Late"
	// RefusedCapacity means that the task doesn't fit.
	RefusedCapacity RefusalReason = "Room"
	// RefusedInvalidTicket means that the ticket isn't valid.
	RefusedInvalidTicket RefusalReason = "Ticket"
	// RefusedIncarnation means that another incarnation of the upstream answered.
	RefusedIncarnation RefusalReason = "Life"
	// RefusedUnhealthy means that the upstream takes no orders now.
	RefusedUnhealthy RefusalReason = "Unhealthy"
	// RefusedInvalid means that the upstream can't parse the order.
	RefusedInvalid RefusalReason = "Invalid"
)
