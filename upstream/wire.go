// Package upstream implements the HTTP and JSON protocol between instances and
// upstreams: a client that sends orders to upstreams and a handler that receives
// their reports.
//
// The client sends orders to the address in the upstream's report: POST
// /v1/tasks starts a task and POST /v1/tasks/stop stops one. Upstreams send
// reports to any entry instance, with POST /v1/upstreams/report. The bodies are
// types of package dispatcher, encoded under their Go field names.
//
// The outcome of a request depends on whether a failed start order can have
// reached the upstream. The client decides this by the number of bytes that were
// written to the connection; if in doubt, it reports that the order may have been
// sent.
package upstream

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// URL paths of the protocol: orders go to the upstream, reports to an instance.
const (
	StartPath  = "/v1/tasks"
	StopPath   = "/v1/tasks/stop"
	ReportPath = "/v1/upstreams/report"
)

// Maximum lengths of bodies.
const (
	// MaxOrderBytes bounds an order, most of which is the request's data.
	MaxOrderBytes = 16 << 20
	// MaxReplyBytes bounds the reply to an order.
	MaxReplyBytes = 16 << 20
	// MaxReportBytes bounds a report and the reply to it.
	MaxReportBytes = 4 << 20
)

// ReplyKind is the kind of a reply to a start order.
type ReplyKind string

// The kinds of replies, one for each type of dispatcher.StartReply.
const (
	ReplyFinished ReplyKind = "Finished"
	ReplyStarted  ReplyKind = "Started"
	ReplyRefused  ReplyKind = "Refused"
)

// startReply is the JSON form of a dispatcher.StartReply. Reply says which of the
// other fields are set.
type startReply struct {
	Reply  ReplyKind
	Done   *dispatcher.Done `json:",omitempty"`
	Detail string           `json:",omitempty"`
	Epoch  unit.Epoch       `json:",omitempty"`
}

// EncodeStartReply encodes a reply to a start order as JSON.
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

// DecodeStartReply is the inverse of EncodeStartReply. It ignores unknown fields,
// so that the reply of a newer upstream with additional fields isn't lost.
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

// decodeStrictly decodes exactly one JSON value into v. It returns an error for
// an unknown field or for data after the value.
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

// readBounded reads r to its end. It returns an error if there are more than
// maxBytes bytes.
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
