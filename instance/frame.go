package instance

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/tracer"
)

// MaxBodyBytes is the maximum length of the body of a call, a reply or a one-way
// message.
const MaxBodyBytes = 8 << 20

// maxFrameBytes is the maximum length of a frame: that of its body, and 64 KiB for
// the other fields.
const maxFrameBytes = MaxBodyBytes + 1<<16

// callFrame is the data on a call's stream to the peer. The frame ends with the
// stream, and a peer handles it only after it has received that end.
type callFrame struct {
	Method Method
	// Timeout is the time left until the caller's deadline. It is relative, since
	// the clocks of instances differ.
	Timeout clock.Millis
	Trace   tracer.TraceContext
	Body    []byte
}

// status is the result of a call at the peer.
type status uint8

// The statuses of a reply.
const (
	statusOK status = iota
	// statusFailed means that the handler returned an error.
	statusFailed
	// statusRefused means that no handler was called.
	statusRefused
)

// replyFrame is the data on a call's stream from the peer.
type replyFrame struct {
	Status status
	// Body is the handler's result, or the text of the error or of the refusal.
	Body []byte
}

// messageFrame is a one-way message. A stream holds a sequence of them, each
// preceded by its length.
type messageFrame struct {
	Method Method
	Body   []byte
}

// lengthBytes is the size of the length before a messageFrame or a tcpFrame, a
// big-endian uint32.
const lengthBytes = 4

// appendMessage appends a message and its length to buf.
func appendMessage(buf []byte, f messageFrame) []byte {
	data := encoder.Marshal(f)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	return append(buf, data...)
}

// readMessage reads the next message of a stream.
func readMessage(r io.Reader) (messageFrame, error) {
	var f messageFrame
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return f, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxFrameBytes {
		return f, errors.Newf("a one-way message of %d bytes is too long", size)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return f, err
	}
	if len(data) < int(size) {
		return f, io.ErrUnexpectedEOF
	}
	err = encoder.Unmarshal(data, &f)
	return f, err
}

// readFrame reads a stream to its end and decodes the frame into v.
func readFrame(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxFrameBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxFrameBytes {
		return errors.Newf("a frame is longer than %d bytes", maxFrameBytes)
	}
	return encoder.Unmarshal(data, v)
}
