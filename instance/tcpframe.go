package instance

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
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
	// held is what a received frame takes of the memory of the mesh; nil if nothing.
	held *admitter.Request
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

// firstFrameBuffer is the first size of the buffer for a frame. It grows as the frame arrives, since
// the length that a frame names is no reason to believe that as much will follow.
const firstFrameBuffer = 64 << 10

// readTCPFrame reads the next frame. acquire is called with the growth of its buffer before that;
// if it returns false, the frame is refused. nil means no bound.
func readTCPFrame(r *bufio.Reader, acquire func(bytes unit.Bytes) bool) (tcpFrame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return tcpFrame{}, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size < headerBytes || size > maxFrameBytes {
		return tcpFrame{}, errors.Newf("a frame of %d bytes", size)
	}
	var data []byte
	for len(data) < int(size) {
		n := min(max(2*len(data), firstFrameBuffer), int(size))
		if acquire != nil && !acquire(unit.Bytes(n-len(data))) {
			return tcpFrame{}, errNoMemory
		}
		grown := make([]byte, n)
		copy(grown, data)
		if _, err := io.ReadFull(r, grown[len(data):]); err != nil {
			return tcpFrame{}, err
		}
		data = grown
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
