// Package instance is the mesh between the system's own processes: mutual
// TLS on QUIC, one bidirectional stream for each call, CBOR bodies.
//
// A Mesh dials each peer when it first needs it and keeps the connection. The
// peer's identity is the instance name in its certificate; a connection
// without a certificate of the fleet's authority gets nothing.
//
// A failed call tells whether the peer can have received it (see CallError),
// since the truth of an outcome depends on that.
package instance

import (
	"context"
	"fmt"

	"github.com/chervilvane/chervilvane/unit"
)

// Method names what a call asks for.
type Method string

// Handler answers a call. The context carries the caller's trace and ends
// when the caller gave up. An error reaches the caller as a RemoteError.
type Handler func(ctx context.Context, from unit.Instance, body []byte) ([]byte, error)

// CallError is a call without an answer.
type CallError struct {
	Peer unit.Instance
	// MaybeDelivered is false only if the peer surely never got the call.
	MaybeDelivered bool
	Cause          error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("calling instance %s (delivered: %t): %v", e.Peer, e.MaybeDelivered, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Peer    unit.Instance
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("instance %s: %s", e.Peer, e.Message)
}

// Caller makes calls; Mesh implements it, and tests use fakes.
type Caller interface {
	// Call sends body to a method of a peer and waits for the answer. The
	// error is a *CallError or a *RemoteError.
	Call(ctx context.Context, to unit.Instance, method Method, body []byte) ([]byte, error)
}
