package instance

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/tracer"
)

// MaxBody is the largest body of a call, an answer or a one-way message, in
// bytes.
const MaxBody = 8 << 20

// maxFrame leaves room for what a frame holds beside its body.
const maxFrame = MaxBody + 1<<16

// callFrame is what a call's stream carries to the peer. The end of the stream
// ends the frame: a peer acts on a frame only once it has seen that end.
type callFrame struct {
	Method Method
	// Timeout is the time left until the caller's deadline. A span travels,
	// since the clocks of instances differ.
	Timeout clock.Millis
	Trace   tracer.TraceContext
	Body    []byte
}

// status says what became of a call at the peer.
type status uint8

// The statuses of a reply.
const (
	statusAnswered status = iota
	// statusFailed is a call whose handler returned an error.
	statusFailed
	// statusRefused is a call that no handler got.
	statusRefused
)

// replyFrame is what a call's stream carries back.
type replyFrame struct {
	Status status
	// Body is the answer, or the text of the error or refusal.
	Body []byte
}

// noteFrame is a one-way message. Many follow each other on one stream, each
// after its length.
type noteFrame struct {
	Method Method
	Body   []byte
}

// lengthSize is the size of the length before a noteFrame.
const lengthSize = 4

// appendNote appends a note with its length to buf.
func appendNote(buf []byte, n noteFrame) []byte {
	data := encoder.Marshal(n)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(data)))
	return append(buf, data...)
}

// readNote reads the next note of a stream.
func readNote(r io.Reader) (noteFrame, error) {
	var n noteFrame
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return n, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxFrame {
		return n, errors.Newf("a note of %d bytes is too long", size)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return n, err
	}
	if len(data) < int(size) {
		return n, io.ErrUnexpectedEOF
	}
	err = encoder.Unmarshal(data, &n)
	return n, err
}

// readFrame reads a stream to its end and decodes it into v.
func readFrame(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, maxFrame+1))
	if err != nil {
		return err
	}
	if len(data) > maxFrame {
		return errors.Newf("a frame is longer than %d bytes", maxFrame)
	}
	return encoder.Unmarshal(data, v)
}
