// Package dispatcher keeps what became of each request and task of an
// availability zone: which attempt was sent to which upstream under which
// lease, and which of the three outcomes a caller may be told.
//
// It is a state machine without goroutines, clock or files. The scheduler
// package feeds it and carries out what it returns.
//
// The heart is the truth of the outcome. NotRun may be said only while no
// upstream can have run the request: none was asked, or each one asked surely
// refused. Once a start may have left the process, only Done or Unknown
// remain.
package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
)

// Outcome tells what became of a request. The set is closed: Done, NotRun,
// Unknown.
type Outcome interface{ outcome() }

// Done is a request that ran and was answered.
type Done struct {
	Answer []byte
	// Failed is set when the upstream ran the request and reported a failure;
	// Answer then holds its explanation.
	Failed bool
}

// NotRun is a request that no upstream has run or will run.
type NotRun struct{ Refusal }

// Unknown is a request that an upstream was asked to run and whose end isn't
// known.
type Unknown struct{ Refusal }

func (Done) outcome()    {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

// Refusal says why a request has no answer, and what would make it pass.
type Refusal struct {
	Reason Reason
	// Detail is one sentence for a person.
	Detail string
	// Remedy says what would make the request pass.
	Remedy string
	// RetryAfter is the wait after which a resend is reasonable; 0 means that
	// a resend won't help.
	RetryAfter clock.Millis
}

// Reason is the stable code of a refusal.
type Reason string

// The reasons of refusals.
const (
	ReasonBadRequest       Reason = "BadRequest"
	ReasonNoSuchQueue      Reason = "NoSuchQueue"
	ReasonNoSuchRequest    Reason = "NoSuchRequest"
	ReasonKeyMissing       Reason = "KeyMissing"
	ReasonKeyRefused       Reason = "KeyRefused"
	ReasonKeysStale        Reason = "KeysStale"
	ReasonNoConfiguration  Reason = "NoConfiguration"
	ReasonNoScheduler      Reason = "NoScheduler"
	ReasonZoneUnreachable  Reason = "ZoneUnreachable"
	ReasonLogUnreachable   Reason = "LogUnreachable"
	ReasonOverloaded       Reason = "Overloaded"
	ReasonTeamLimit        Reason = "TeamLimit"
	ReasonNeverFits        Reason = "NeverFits"
	ReasonDeadline         Reason = "Deadline"
	ReasonCancelled        Reason = "Cancelled"
	ReasonShuttingDown     Reason = "ShuttingDown"
	ReasonUpstreamRefused  Reason = "UpstreamRefused"
	ReasonUpstreamLost     Reason = "UpstreamLost"
	ReasonDependencyFailed Reason = "DependencyFailed"
	ReasonInternal         Reason = "Internal"
)
