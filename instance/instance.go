// Package instance implements the mesh that connects the instances of the fleet.
// An instance calls a method of a peer and waits for the reply, or sends a
// one-way message to it.
//
// Mesh uses QUIC with mutual TLS. Each call has a bidirectional stream of its own,
// with frames encoded as CBOR; the one-way messages to a peer share a
// unidirectional stream. A Mesh dials a peer when it first needs a connection, and
// keeps it. A peer is identified by the instance name in its certificate; a
// connection without a certificate of the fleet's authority is refused.
//
// TCPMesh uses plain TCP, for a closed network without certificates.
//
// The error of a failed call says whether the peer may have received the call
// (see CallError), since the outcome of the request behind it depends on that.
package instance

import (
	"context"
	"fmt"

	"github.com/chervilvane/chervilvane/unit"
)

// Method is the name of a method that a peer handles.
type Method string

// Handler handles a call and returns the body of its reply. The caller gets an error
// of the handler as a RemoteError.
//
// With Mesh, the context holds the caller's trace and ends when the caller stops
// waiting. With TCPMesh it holds no trace and ends at the caller's deadline, even if
// the caller has stopped waiting before.
type Handler func(ctx context.Context, from unit.Instance, body []byte) ([]byte, error)

// CallError is returned for a call that got no reply from its handler.
type CallError struct {
	Peer unit.Instance
	// MaybeDelivered is false only if no handler of the peer can have received
	// the call.
	MaybeDelivered bool
	Cause          error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("calling instance %s (delivered: %t): %v", e.Peer, e.MaybeDelivered, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// RemoteError is returned for a call whose handler returned an error.
type RemoteError struct {
	Peer    unit.Instance
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("instance %s: %s", e.Peer, e.Message)
}

// Caller calls methods of peers. Mesh and TCPMesh implement it.
type Caller interface {
	// Call calls a method of the instance to with a body and returns the body of
	// the reply. The error is a *CallError or a *RemoteError.
	Call(ctx context.Context, to unit.Instance, method Method, body []byte) ([]byte, error)
}
