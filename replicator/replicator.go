// Package replicator replicates a log of commands to a group of voters and
// applies it to a state machine. It implements the Raft algorithm (Ongaro and
// Ousterhout, 2014) with pre-vote, leader leases, learners and membership
// changes of one member at a time.
//
// Core implements the algorithm as a deterministic step function: it takes
// messages and the time, and returns messages to send and entries to write. It
// starts no goroutine, reads no clock and opens no file. Node drives one Core
// with a Storage and a Transport. A process may run several logs, each with its
// own Node. Observer keeps a copy of the state on an instance that has no disk
// and no vote.
package replicator

import (
	"context"
	"fmt"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// LogID identifies one of the logs of a process.
type LogID string

// Index is the position of an entry in the log; the first entry has index 1.
type Index uint64

// Term is a term of the Raft algorithm; each term has at most one leader.
type Term uint64

// StateMachine is the state that the log is applied to. One goroutine calls its
// methods, one at a time and in log order.
type StateMachine interface {
	// Apply applies a committed command and returns its result. It must be
	// deterministic.
	Apply(index Index, command []byte) []byte
	// Snapshot returns the whole encoded state.
	Snapshot() []byte
	// Restore replaces the state with the snapshot.
	Restore(snapshot []byte) error
}

// Transport sends messages between members. Send must not block; it may drop,
// duplicate, delay and reorder messages.
type Transport interface {
	Send(to unit.Instance, message []byte)
}

// NotLeaderError reports that a request must go to the leader. A command whose
// proposal fails with it is never applied.
type NotLeaderError struct {
	// Leader is the leader, or empty if it is unknown.
	Leader unit.Instance
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader of the log; the leader is %q", string(e.Leader))
}

// UnknownResultError reports that a command was handed to the log but that its
// result is unknown: it may have been applied, may be applied later, or never.
type UnknownResultError struct{ Cause error }

// Error implements error.
func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("the command may or may not be committed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Cause }

// Log is the interface of a replicated log to its users. It is the same on a
// voter and on an instance without a disk.
type Log interface {
	// Propose appends a command and returns the result of applying it. After an
	// *UnknownResultError the command may be applied. After any other error it
	// isn't: ErrTooLarge, a *NotLeaderError, or the context's error if the
	// context ended before the command was sent.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once this process has applied every entry that was
	// committed when Barrier was called. It returns the context's error if the
	// context ends before, and ErrStopped if the log stops before.
	Barrier(ctx context.Context) error
	// FreshAt returns the latest time, on this process's clock, such that every
	// entry committed by that time is known to be applied here; 0 if there is
	// none.
	FreshAt() clock.Millis
}
