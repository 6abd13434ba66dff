package recorder

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/replicator"
)

// A frame is a header and a payload. The header holds, in big endian, the
// magic number (4 bytes), the payload's length (4), the sequence number (8)
// and the CRC-32C (4) of the segment's salt, the length, the sequence number
// and the payload. The salt is random, so no command of a user can hold bytes
// that pass for a frame.
const (
	frameMagic  = 0xc4e2a71f
	headerBytes = 20
	checkedFrom = 4
	checkedTo   = 16
	maxPayload  = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(salt uint64, parts ...[]byte) uint32 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], salt)
	sum := crc32.Checksum(b[:], castagnoli)
	for _, p := range parts {
		sum = crc32.Update(sum, castagnoli, p)
	}
	return sum
}

func encodeFrame(salt, sequence uint64, payload []byte) []byte {
	f := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(f, frameMagic)
	binary.BigEndian.PutUint32(f[4:], uint32(len(payload)))
	binary.BigEndian.PutUint64(f[8:], sequence)
	binary.BigEndian.PutUint32(f[16:], checksum(salt, f[checkedFrom:checkedTo], payload))
	return append(f, payload...)
}

type frame struct {
	sequence uint64
	payload  []byte
	size     int64
}

// decodeFrame reads the frame at the start of data; false if there is none
// that is whole.
func decodeFrame(salt uint64, data []byte) (frame, bool) {
	if len(data) < headerBytes || binary.BigEndian.Uint32(data) != frameMagic {
		return frame{}, false
	}
	n := int64(binary.BigEndian.Uint32(data[4:]))
	if n > maxPayload || int64(len(data)) < headerBytes+n {
		return frame{}, false
	}
	payload := data[headerBytes : headerBytes+n]
	if binary.BigEndian.Uint32(data[16:]) != checksum(salt, data[checkedFrom:checkedTo], payload) {
		return frame{}, false
	}
	return frame{binary.BigEndian.Uint64(data[8:]), payload, headerBytes + n}, true
}

// findFrame returns where the next whole frame begins, or -1.
func findFrame(salt uint64, data []byte) int {
	for i := 0; i+headerBytes <= len(data); i++ {
		if _, ok := decodeFrame(salt, data[i:]); ok {
			return i
		}
	}
	return -1
}

// batch is the payload of a frame.
type batch struct {
	_ struct{} `cbor:",toarray"`
	// Reset, if set, drops all entries before those of this frame: the log
	// goes on after a received snapshot at this index.
	Reset   replicator.Index
	Hard    *replicator.HardState
	Commit  replicator.Index
	Entries []replicator.Entry
	// Snapshot is set in the first frame of a segment: a snapshot at least
	// this new must be there.
	Snapshot replicator.Index
}

func encodeBatch(b batch) []byte { return encoder.Marshal(b) }

func decodeBatch(data []byte) (batch, error) {
	var b batch
	err := encoder.Unmarshal(data, &b)
	return b, err
}
