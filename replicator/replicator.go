// Package replicator keeps a log of commands equal on a group of voters and
// applies it to a state machine: the Raft algorithm (Ongaro and Ousterhout,
// 2014) with pre-vote, leader leases, learners and one-at-a-time membership
// changes.
//
// Core is the algorithm: a deterministic step function. A message and the time
// go in, messages and entries to write come out; it starts no goroutine, reads
// no clock and opens no file. Node drives one Core with a Storage and a
// Transport. Several logs can live in one process, each a Node of its own.
// Observer keeps a copy of the state on an instance that has no disk and no
// vote.
package replicator

import (
	"context"
	"fmt"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// LogID names one of the logs of a process.
type LogID string

// Index numbers the entries of a log, from 1.
type Index uint64

// Term numbers the leaderships of a log.
type Term uint64

// StateMachine is the state that the log is applied to. Calls are made one at a
// time, in the order of the log, by one goroutine.
type StateMachine interface {
	// Apply applies a committed command and returns its result. It must be
	// deterministic.
	Apply(index Index, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// Transport sends messages between voters. Send must not block; it may drop,
// double, delay and reorder messages.
type Transport interface {
	Send(to unit.Instance, message []byte)
}

// NotLeaderError says that a proposal or a barrier must go to the leader. The
// command was surely not appended.
type NotLeaderError struct {
	// Leader is empty when no leader is known.
	Leader unit.Instance
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader of the log; the leader is %q", string(e.Leader))
}

// UnknownResultError says that a command was appended but its end isn't known:
// it may be applied later, or never.
type UnknownResultError struct{ Cause error }

// Error implements error.
func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("the command may or may not be committed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Cause }

// Log is what a user of a log needs, on a voter as on an instance without a
// disk.
type Log interface {
	// Propose appends a command and returns the result of applying it. The
	// error is a *NotLeaderError, an *UnknownResultError or the context's
	// before anything was sent.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once this process has applied everything that was
	// committed when it was called. The state is then at least as fresh as
	// the moment of the call.
	Barrier(ctx context.Context) error
	// FreshAt returns the latest moment (by this process's clock) for which
	// all that was committed then is known to be applied here; 0 if none.
	FreshAt() clock.Millis
}
