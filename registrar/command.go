package registrar

import (
	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// Command is a change of the replicated state. The set of commands is closed.
// Each command returns one of the results that its comment names, or Rejected.
type Command interface{ command() }

// PutConfig replaces the configuration if Base is the current version.
// Result: ConfigAccepted or ConfigConflict.
type PutConfig struct {
	// ID identifies the command when it is resent after a lost answer: the same
	// ID with the same text gets the first answer. If ID is empty, each resend
	// is a new command.
	ID       string
	Base     unit.Version
	Text     []byte
	Operator string
	At       clock.Millis
}

// GrantKey makes a key valid. It is rejected if the key id was ever withdrawn or
// belongs to another key. Result: KeyGranted.
type GrantKey struct {
	Key      authenticator.KeyID
	Hash     []byte
	Account  unit.ClientAccount
	Team     unit.Team
	Operator string
	At       clock.Millis
}

// WithdrawKey withdraws a key permanently. A key that hasn't been granted yet
// can be withdrawn too. Result: KeyWithdrawn.
type WithdrawKey struct {
	Key      authenticator.KeyID
	Operator string
	At       clock.Millis
}

// TakeZone makes Instance the scheduler of a zone if Prior is the zone's current
// epoch. The log's leader proposes it only after the lease of the prior holder
// has expired. Result: ZoneTaken or Fenced.
type TakeZone struct {
	AvailabilityZone unit.AvailabilityZone
	Instance         unit.Instance
	Prior            unit.Epoch
	At               clock.Millis
}

// AcquireAllotment increases a zone's allotment of a team's limit by up to Want.
// Result: Allotted or Fenced.
type AcquireAllotment struct {
	AvailabilityZone unit.AvailabilityZone
	Epoch            unit.Epoch
	Team             unit.Team
	Want             unit.Resources
}

// ReleaseAllotment returns Amount of a zone's allotment if Change is the
// allotment's current revision. A release that arrives late or twice therefore
// changes nothing. Result: Allotted or Fenced.
type ReleaseAllotment struct {
	AvailabilityZone unit.AvailabilityZone
	Epoch            unit.Epoch
	Team             unit.Team
	Amount           unit.Resources
	Change           uint64
}

// AcceptRequest makes a request durable. It must be committed before the caller
// learns that the request was accepted. Result: RequestRecorded.
type AcceptRequest struct {
	Request dispatcher.Request
	// AvailabilityZone is the zone whose scheduler runs the request.
	AvailabilityZone unit.AvailabilityZone
	At               clock.Millis
}

// RecordIntent records the start of a request before the start order is sent to
// the upstream. A request that isn't repeatable gets no second intent for
// another task unless the first one was retracted. Result: RequestRecorded,
// with Granted set if the start may be sent, or Fenced.
type RecordIntent struct {
	Request          dispatcher.Request
	AvailabilityZone unit.AvailabilityZone
	Epoch            unit.Epoch
	Task             unit.Task
	Upstream         unit.Upstream
	At               clock.Millis
}

// RetractIntent removes an intent. It must be proposed only if the upstream is
// known to have refused the task. Result: RequestRecorded or Fenced.
type RetractIntent struct {
	Request          unit.Request
	AvailabilityZone unit.AvailabilityZone
	Epoch            unit.Epoch
	Task             unit.Task
}

// EndRequest records the outcome of a request. The first outcome is kept, except
// that a Done replaces an Unknown. A NotRun is rejected while the request has an
// intent, because an upstream may have received the start order. Result:
// RequestRecorded with the outcome that is kept.
type EndRequest struct {
	Request          unit.Request
	AvailabilityZone unit.AvailabilityZone
	// Outcome is encoded by dispatcher.MarshalOutcome.
	Outcome []byte
	At      clock.Millis
}

// CancelRequest marks a request as cancelled. Result: RequestRecorded.
type CancelRequest struct {
	Request unit.Request
	At      clock.Millis
}

func (PutConfig) command()        {}
func (GrantKey) command()         {}
func (WithdrawKey) command()      {}
func (TakeZone) command()         {}
func (AcquireAllotment) command() {}
func (ReleaseAllotment) command() {}
func (AcceptRequest) command()    {}
func (RecordIntent) command()     {}
func (RetractIntent) command()    {}
func (EndRequest) command()       {}
func (CancelRequest) command()    {}

// Result is the result of a command. The set of results is closed.
type Result interface{ result() }

// ConfigAccepted holds the version of the accepted configuration.
type ConfigAccepted struct{ Version unit.Version }

// ConfigConflict reports that Base is not the current version. It holds the current
// version and the operator who submitted it.
type ConfigConflict struct {
	Version  unit.Version
	Operator string
}

// KeyGranted reports that a key is valid.
type KeyGranted struct{}

// KeyWithdrawn reports that a key is permanently withdrawn.
type KeyWithdrawn struct{}

// ZoneTaken holds the epoch of the new scheduler.
type ZoneTaken struct{ Epoch unit.Epoch }

// Fenced reports that the sender's epoch is not the zone's current one. It
// holds the current epoch and its holder.
type Fenced struct {
	Epoch  unit.Epoch
	Holder unit.Instance
}

// Allotted holds a zone's allotment of a team's limit after the command.
type Allotted struct {
	Amount unit.Resources
	// Change is the allotment's revision.
	Change uint64
}

// RequestRecorded holds the record of a request after the command.
type RequestRecorded struct {
	Record Record
	// Granted reports whether the command's intent is the current one.
	Granted bool
}

// Rejected reports that a command was invalid, and why.
type Rejected struct {
	Reason dispatcher.Reason
	Detail string
}

func (ConfigAccepted) result()  {}
func (ConfigConflict) result()  {}
func (KeyGranted) result()      {}
func (KeyWithdrawn) result()    {}
func (ZoneTaken) result()       {}
func (Fenced) result()          {}
func (Allotted) result()        {}
func (RequestRecorded) result() {}
func (Rejected) result()        {}

var commands = encoder.NewSet(
	PutConfig{}, GrantKey{}, WithdrawKey{}, TakeZone{}, AcquireAllotment{}, ReleaseAllotment{},
	AcceptRequest{}, RecordIntent{}, RetractIntent{}, EndRequest{}, CancelRequest{},
)

var results = encoder.NewSet(
	ConfigAccepted{}, ConfigConflict{}, KeyGranted{}, KeyWithdrawn{}, ZoneTaken{}, Fenced{}, Allotted{}, RequestRecorded{}, Rejected{},
)
