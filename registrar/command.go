package registrar

import (
	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// Command changes the registered state. The set is closed; each type has the
// result type that its comment names, or Rejected.
type Command interface{ command() }

// PutConfig replaces the configuration, if Base is still the version in force.
// Result: ConfigAccepted or ConfigConflict.
type PutConfig struct {
	// ID makes a resend after a lost answer harmless: the same ID with the
	// same text gets the first answer.
	ID       string
	Base     unit.Version
	Text     []byte
	Operator string
	At       clock.Millis
}

// GrantKey makes a key valid. A key id that was ever withdrawn can't be
// granted. Result: KeyGranted.
type GrantKey struct {
	Key      authenticator.KeyID
	Hash     []byte
	Account  unit.ClientAccount
	Team     unit.Team
	Operator string
	At       clock.Millis
}

// WithdrawKey ends a key for good, also one that isn't granted yet. Result:
// KeyWithdrawn.
type WithdrawKey struct {
	Key      authenticator.KeyID
	Operator string
	At       clock.Millis
}

// TakeZone makes Instance the scheduler of a zone, if Prior is still the
// zone's epoch. The log's leader proposes it only after the lease of the
// prior holder has lapsed. Result: ZoneTaken or Fenced.
type TakeZone struct {
	AvailabilityZone unit.AvailabilityZone
	Instance         unit.Instance
	Prior            unit.Epoch
	At               clock.Millis
}

// AcquireAllotment asks for a larger allotment of a team's limit. Result:
// Allotted or Fenced.
type AcquireAllotment struct {
	AvailabilityZone unit.AvailabilityZone
	Epoch            unit.Epoch
	Team             unit.Team
	Want             unit.Resources
}

// ReleaseAllotment gives a part of a zone's allotment back, if the allotment's
// change number is still Change: a release that arrives late or twice changes
// nothing. Result: Allotted or Fenced.
type ReleaseAllotment struct {
	AvailabilityZone unit.AvailabilityZone
	Epoch            unit.Epoch
	Team             unit.Team
	Amount           unit.Resources
	Change           uint64
}

// AcceptRequest makes a request durable before its caller is told that it was
// accepted. Result: RequestRecorded.
type AcceptRequest struct {
	Request dispatcher.Request
	// AvailabilityZone is the request's home: its scheduler runs it.
	AvailabilityZone unit.AvailabilityZone
	At               clock.Millis
}

// RecordIntent records that an upstream is about to be asked to run a request,
// before it is asked. A request that isn't repeatable gets one intent ever.
// Result: RequestRecorded with Granted set, or RequestRecorded without it, or Fenced.
type RecordIntent struct {
	Request          dispatcher.Request
	AvailabilityZone unit.AvailabilityZone
	Epoch            unit.Epoch
	Task             unit.Task
	Upstream         unit.Upstream
	At               clock.Millis
}

// RetractIntent takes an intent back, since its upstream surely refused the
// task. Result: RequestRecorded or Fenced.
type RetractIntent struct {
	Request          unit.Request
	AvailabilityZone unit.AvailabilityZone
	Epoch            unit.Epoch
	Task             unit.Task
}

// EndRequest records the outcome of a request. The first outcome stands,
// except that a Done replaces an Unknown. A NotRun is rejected while an intent
// is in force, since an upstream may have been asked. Result: RequestRecorded with
// the outcome that stands.
type EndRequest struct {
	Request          unit.Request
	AvailabilityZone unit.AvailabilityZone
	Outcome          []byte
	At               clock.Millis
}

// CancelRequest asks for the end of an accepted request. Result: RequestRecorded.
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

// Result is what a command came to. The set is closed.
type Result interface{ result() }

// ConfigAccepted is the version that a configuration got.
type ConfigAccepted struct{ Version unit.Version }

// ConfigConflict says that another configuration won.
type ConfigConflict struct {
	Version  unit.Version
	Operator string
}

// KeyGranted says that a key is valid.
type KeyGranted struct{}

// KeyWithdrawn says that a key is withdrawn for good.
type KeyWithdrawn struct{}

// ZoneTaken is the epoch of the new scheduler.
type ZoneTaken struct{ Epoch unit.Epoch }

// Fenced says that the sender's epoch is not the zone's.
type Fenced struct {
	Epoch  unit.Epoch
	Holder unit.Instance
}

// Allotted is a zone's allotment of a team's limit after the command, and its
// change number.
type Allotted struct {
	Amount unit.Resources
	Change uint64
}

// RequestRecorded is the record of a request after the command.
type RequestRecorded struct {
	Record Record
	// Granted says that this command's intent is the one in force.
	Granted bool
}

// Rejected says that a command was invalid, and why.
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
