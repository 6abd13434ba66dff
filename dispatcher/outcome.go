// Package dispatcher tracks each request and task of an availability zone: which
// attempt was sent to which upstream under which lease, and which outcome the
// request's callers receive.
//
// A request has at most one live attempt. An attempt consists of one task or, for
// a gang, of several that start together. Each task runs on one upstream under a
// lease, which the replies to the upstream's reports renew. If an attempt ends
// without an answer, another one with new task ids may follow.
//
// Dispatcher is a state machine that uses no goroutines, clock or files. Package
// scheduler passes it events with the current time and carries out the effects
// that it returns.
//
// The main guarantee concerns the outcome. A request ends as NotRun only if no
// upstream can have run it: either no start order was sent, or every upstream
// that received one refused it. Once a start order may have left the process,
// the outcome is Done or Unknown.
package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
)

// Outcome is the outcome of a request: Done, NotRun or Unknown.
type Outcome interface{ outcome() }

// Done means that the request ran to its end.
type Done struct {
	Answer []byte
	// Failed is set if the upstream ran the request and reported a failure;
	// Answer then describes the failure.
	Failed bool
}

// NotRun means that no upstream has run the request or will run it.
type NotRun struct{ Refusal }

// Unknown means that an upstream may have run the request and that its result
// isn't known.
type Unknown struct{ Refusal }

func (Done) outcome()    {}
func (NotRun) outcome()  {}
func (Unknown) outcome() {}

// Refusal explains why a request has no answer and how to get one.
type Refusal struct {
	Reason Reason
	// Detail explains the reason to a person, in one sentence.
	Detail string
	// Remedy advises a person what to do about it.
	Remedy string
	// RetryAfter is the recommended delay before a resend; 0 means that a
	// resend doesn't help.
	RetryAfter clock.Millis
}

// Reason is the machine-readable code of a refusal. Codes don't change.
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
	ReasonNoMemory         Reason = "NoMemory"
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
