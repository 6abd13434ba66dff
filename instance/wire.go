package instance

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
)

// wireKind tells the frames of a TCP connection apart.
type wireKind uint8

const (
	wireCall wireKind = iota + 1
	wireReply
	wireNote
	wirePing
	wirePong
)

// wireFrame is one frame of a TCP connection. Its encoding is fixed and
// binary, since a core machine handles thousands of frames a second:
// length (4 bytes), kind (1), id (8), timeout or status (4), method length (1),
// method, body.
type wireFrame struct {
	kind wireKind
	// id matches a reply with its call.
	id uint64
	// timeout is the time left until the caller's deadline.
	timeout clock.Millis
	status  status
	method  Method
	body    []byte
}

const (
	wireHeader    = 1 + 8 + 4 + 1
	maxMethodName = 255
)

// appendWire appends an encoded frame to buf.
func appendWire(buf []byte, f wireFrame) []byte {
	extra := uint32(f.timeout)
	if f.kind == wireReply {
		extra = uint32(f.status)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(wireHeader+len(f.method)+len(f.body)))
	buf = append(buf, byte(f.kind))
	buf = binary.BigEndian.AppendUint64(buf, f.id)
	buf = binary.BigEndian.AppendUint32(buf, extra)
	buf = append(buf, byte(len(f.method)))
	buf = append(buf, f.method...)
	return append(buf, f.body...)
}

// readWire reads the next frame.
func readWire(r *bufio.Reader) (wireFrame, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return wireFrame{}, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < wireHeader || size > maxFrame {
		return wireFrame{}, errors.Newf("a frame of %d bytes", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return wireFrame{}, err
	}
	return decodeWire(data)
}

// decodeWire decodes a frame without its length.
func decodeWire(data []byte) (wireFrame, error) {
	f := wireFrame{kind: wireKind(data[0]), id: binary.BigEndian.Uint64(data[1:9])}
	extra := binary.BigEndian.Uint32(data[9:13])
	f.timeout, f.status = clock.Millis(extra), status(extra)
	rest := data[wireHeader:]
	if n := int(data[wireHeader-1]); n <= len(rest) {
		f.method, f.body = Method(rest[:n]), rest[n:]
		return f, nil
	}
	return wireFrame{}, errors.New("a frame is shorter than the name of its method")
}
