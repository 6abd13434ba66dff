package instance

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
)

// frameKind is the kind of a frame on a TCP connection.
type frameKind uint8

const (
	kindCall frameKind = iota + 1
	kindReply
	kindMessage
	kindPing
	kindPong
)

// tcpFrame is one frame on a TCP connection. It has a fixed binary encoding, since
// an instance handles thousands of frames per second: length (4 bytes), kind (1),
// id (8), timeout or status (4), method length (1), method, body. The numbers are
// big-endian.
type tcpFrame struct {
	kind frameKind
	// id is the same in a call and its reply.
	id uint64
	// timeout is the time left until the caller's deadline.
	timeout clock.Millis
	status  status
	method  Method
	body    []byte
}

const (
	// headerBytes is the length of the fields between the frame's length and the
	// method.
	headerBytes = 1 + 8 + 4 + 1
	// maxMethodBytes is the greatest length of a method's name that fits into its
	// byte.
	maxMethodBytes = 255
)

// appendTCPFrame appends an encoded frame to buf.
func appendTCPFrame(buf []byte, f tcpFrame) []byte {
	extra := uint32(f.timeout)
	if f.kind == kindReply {
		extra = uint32(f.status)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(headerBytes+len(f.method)+len(f.body)))
	buf = append(buf, byte(f.kind))
	buf = binary.BigEndian.AppendUint64(buf, f.id)
	buf = binary.BigEndian.AppendUint32(buf, extra)
	buf = append(buf, byte(len(f.method)))
	buf = append(buf, f.method...)
	return append(buf, f.body...)
}

// readTCPFrame reads the next frame.
func readTCPFrame(r *bufio.Reader) (tcpFrame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return tcpFrame{}, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < headerBytes || size > maxFrameBytes {
		return tcpFrame{}, errors.Newf("a frame of %d bytes", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return tcpFrame{}, err
	}
	return decodeTCPFrame(data)
}

// decodeTCPFrame decodes a frame from the data after its length. The data must hold
// at least headerBytes bytes.
func decodeTCPFrame(data []byte) (tcpFrame, error) {
	f := tcpFrame{kind: frameKind(data[0]), id: binary.BigEndian.Uint64(data[1:9])}
	extra := binary.BigEndian.Uint32(data[9:13])
	f.timeout, f.status = clock.Millis(extra), status(extra)
	rest := data[headerBytes:]
	if n := int(data[headerBytes-1]); n <= len(rest) {
		f.method, f.body = Method(rest[:n]), rest[n:]
		return f, nil
	}
	return tcpFrame{}, errors.New("a frame is shorter than the name of its method")
}
