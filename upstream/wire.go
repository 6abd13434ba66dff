// Package upstream talks to upstreams over HTTP and JSON: it sends them orders
// and takes their reports.
//
// Orders go to the address that an upstream announced: POST /v1/tasks starts a
// task and POST /v1/tasks/stop stops one. Reports come to any entry instance:
// POST /v1/upstreams/report. The bodies are the types of package dispatcher,
// with fields named as there.
//
// Whether a failed start can have reached the upstream decides what its caller
// may be told, so the client answers that question from the bytes that were
// written to the connection, and answers "it can have" when in doubt.
package upstream

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// Paths of the interfaces.
const (
	StartPath  = "/v1/tasks"
	StopPath   = "/v1/tasks/stop"
	ReportPath = "/v1/upstreams/report"
)

// Bounds of bodies, in bytes.
const (
	// MaxOrder bounds an order; the data of a request makes up most of it.
	MaxOrderBytes = 16 << 20
	// MaxReply bounds the reply to an order.
	MaxReplyBytes = 16 << 20
	// MaxReport bounds a report and the reply to it.
	MaxReportBytes = 4 << 20
)

// ReplyKind tells the replies to a start apart.
type ReplyKind string

// The kinds of replies.
const (
	ReplyFinished ReplyKind = "Finished"
	ReplyStarted  ReplyKind = "Started"
	ReplyRefused  ReplyKind = "Refused"
)

// startReply is a dispatcher.StartReply as JSON; the other fields belong to
// the kind that Reply names.
type startReply struct {
	Reply  ReplyKind
	Done   *dispatcher.Done `json:",omitempty"`
	Detail string           `json:",omitempty"`
	Epoch  unit.Epoch       `json:",omitempty"`
}

// EncodeStartReply returns the JSON form of a reply.
func EncodeStartReply(r dispatcher.StartReply) ([]byte, error) {
	switch r := r.(type) {
	case dispatcher.Finished:
		return json.Marshal(startReply{Reply: ReplyFinished, Done: &r.Done})
	case dispatcher.Started:
		return json.Marshal(startReply{Reply: ReplyStarted})
	case dispatcher.Refused:
		return json.Marshal(startReply{Reply: ReplyRefused, Detail: r.Detail, Epoch: r.Epoch})
	default:
		return nil, errors.Newf("a start reply of unknown type %T", r)
	}
}

// DecodeStartReply is the inverse of EncodeStartReply. It passes over fields it
// doesn't know: a newer upstream's extra field must not cost an answer.
func DecodeStartReply(data []byte) (dispatcher.StartReply, error) {
	var r startReply
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decoding JSON")
	}
	switch r.Reply {
	case ReplyFinished:
		if r.Done == nil {
			return nil, errors.New("a Finished reply needs the field Done")
		}
		return dispatcher.Finished{Done: *r.Done}, nil
	case ReplyStarted:
		return dispatcher.Started{}, nil
	case ReplyRefused:
		return dispatcher.Refused{Detail: r.Detail, Epoch: r.Epoch}, nil
	default:
		return nil, errors.Newf("Reply is %q, allowed are %s, %s and %s", r.Reply, ReplyFinished, ReplyStarted, ReplyRefused)
	}
}

// decodeStrictly decodes one JSON value and nothing else.
func decodeStrictly(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errors.Wrap(err, "decoding JSON")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decoding JSON: more than one value")
	}
	return nil
}

// readBounded reads r to its end, up to a number of bytes.
func readBounded(r io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "reading a body")
	}
	if int64(len(data)) > maxBytes {
		return nil, errors.Newf("a body is longer than %d bytes", maxBytes)
	}
	return data, nil
}
