package recorder

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/replicator"
)

// A frame consists of a header and a payload. The header holds, in big endian, a
// magic number (4 bytes), the length of the payload (4), the sequence number (8)
// and the CRC-32C (4) of the segment's salt, the length, the sequence number and
// the payload. The salt is random, so that a client can't submit a command whose
// bytes are valid as a frame.
const (
	frameMagic       = 0xc4e2a71f
	frameHeaderBytes = 20
	checksummedFrom  = 4
	checksummedTo    = 16
	maxPayloadBytes  = 1 << 30
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
	f := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.BigEndian.PutUint32(f, frameMagic)
	binary.BigEndian.PutUint32(f[4:], uint32(len(payload)))
	binary.BigEndian.PutUint64(f[8:], sequence)
	binary.BigEndian.PutUint32(f[16:], checksum(salt, f[checksummedFrom:checksummedTo], payload))
	return append(f, payload...)
}

type frame struct {
	sequence  uint64
	payload   []byte
	sizeBytes int64
}

// decodeFrame decodes the frame at the start of data; false if there is no complete
// and valid one.
func decodeFrame(salt uint64, data []byte) (frame, bool) {
	if len(data) < frameHeaderBytes || binary.BigEndian.Uint32(data) != frameMagic {
		return frame{}, false
	}
	n := int64(binary.BigEndian.Uint32(data[4:]))
	if n > maxPayloadBytes || int64(len(data)) < frameHeaderBytes+n {
		return frame{}, false
	}
	payload := data[frameHeaderBytes : frameHeaderBytes+n]
	if binary.BigEndian.Uint32(data[16:]) != checksum(salt, data[checksummedFrom:checksummedTo], payload) {
		return frame{}, false
	}
	return frame{binary.BigEndian.Uint64(data[8:]), payload, frameHeaderBytes + n}, true
}

// findFrame returns the offset of the first complete and valid frame in data, or -1
// if there is none.
func findFrame(salt uint64, data []byte) int {
	for i := 0; i+frameHeaderBytes <= len(data); i++ {
		if _, ok := decodeFrame(salt, data[i:]); ok {
			return i
		}
	}
	return -1
}

// record is the payload of a frame.
type record struct {
	_ struct{} `cbor:",toarray"`
	// ResetIndex, if not 0, drops all entries of earlier frames: the log
	// continues after a received snapshot at this index.
	ResetIndex replicator.Index
	HardState  *replicator.HardState
	Commit     replicator.Index
	Entries    []replicator.Entry
	// RequiredSnapshot is set in the first frame of a segment: the folder must
	// hold a snapshot at this index or a later one.
	RequiredSnapshot replicator.Index
}

func encodeRecord(rec record) []byte { return encoder.Marshal(rec) }

func decodeRecord(data []byte) (record, error) {
	var rec record
	err := encoder.Unmarshal(data, &rec)
	return rec, err
}
