package recorder

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/replicator"
)

// A segment starts with a header: a magic number (8 bytes), a salt (8), the number of
// the segment (8) and the CRC-32C (4) of these, in big endian. The first frame holds
// the hard state.
const (
	segmentMagic       = 0x6376_6c6f_6731_0001
	segmentHeaderBytes = 28
)

// segment describes a segment file.
type segment struct {
	number    uint64
	salt      uint64
	sizeBytes int64
	// lastIndex is the highest index of its entries.
	lastIndex replicator.Index
}

func segmentName(number uint64) string { return fmt.Sprintf("%s%016d", segmentPrefix, number) }

func encodeSegmentHeader(s segment) []byte {
	h := make([]byte, segmentHeaderBytes)
	binary.BigEndian.PutUint64(h, segmentMagic)
	binary.BigEndian.PutUint64(h[8:], s.salt)
	binary.BigEndian.PutUint64(h[16:], s.number)
	binary.BigEndian.PutUint32(h[24:], checksum(s.salt, h[:24]))
	return h
}

func decodeSegmentHeader(data []byte) (segment, bool) {
	if len(data) < segmentHeaderBytes || binary.BigEndian.Uint64(data) != segmentMagic {
		return segment{}, false
	}
	s := segment{salt: binary.BigEndian.Uint64(data[8:]), number: binary.BigEndian.Uint64(data[16:])}
	return s, binary.BigEndian.Uint32(data[24:]) == checksum(s.salt, data[:24])
}

func randomSalt() uint64 {
	var b [8]byte
	// Read never returns an error: it crashes the process if no randomness is
	// available.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// writeAtomically durably writes a file under its final name; after a crash the file
// is either complete or doesn't exist. It returns the file open for appending.
func (r *Recorder) writeAtomically(name string, parts ...[]byte) (File, error) {
	temporary := filepath.Join(r.dir, temporaryPrefix+name)
	f, err := r.fs.Create(temporary)
	if err != nil {
		return nil, err
	}
	for _, p := range parts {
		if _, err := f.Write(p); err != nil {
			return nil, errors.CombineErrors(err, f.Close())
		}
	}
	if err := f.Sync(); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	if err := r.fs.Rename(temporary, filepath.Join(r.dir, name)); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	if err := r.fs.SyncDir(r.dir); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}

// startSegment creates a segment and makes it the active one.
func (r *Recorder) startSegment(number uint64) error {
	s := segment{number: number, salt: randomSalt()}
	header := encodeSegmentHeader(s)
	hardState := r.hardState
	first := encodeFrame(s.salt, r.sequence+1, encodeRecord(record{HardState: &hardState, Commit: r.commit, RequiredSnapshot: r.snapshotIndex}))
	f, err := r.writeAtomically(segmentName(number), header, first)
	if err != nil {
		return err
	}
	r.sequence++
	s.sizeBytes = int64(len(header) + len(first))
	return r.activate(s, f)
}

func (r *Recorder) activate(s segment, f File) error {
	old := r.activeFile
	r.activeFile = f
	r.segments = append(r.segments, s)
	if old == nil {
		return nil
	}
	return old.Close()
}

// rotate starts the next segment if the active one is full.
func (r *Recorder) rotate() error {
	s := r.segments[len(r.segments)-1]
	if s.sizeBytes < r.options.SegmentBytes {
		return nil
	}
	return r.startSegment(s.number + 1)
}

// append appends a record to the active segment as one frame and syncs it.
func (r *Recorder) append(rec record) error {
	s := &r.segments[len(r.segments)-1]
	payload := encodeRecord(rec)
	if len(payload) > maxPayloadBytes {
		return errors.Newf("a frame of %d bytes is too large", len(payload))
	}
	data := encodeFrame(s.salt, r.sequence+1, payload)
	if _, err := r.activeFile.Write(data); err != nil {
		return err
	}
	if err := r.activeFile.Sync(); err != nil {
		return err
	}
	r.sequence++
	s.sizeBytes += int64(len(data))
	if n := len(rec.Entries); n > 0 {
		s.lastIndex = max(s.lastIndex, rec.Entries[n-1].Index)
	}
	return nil
}

// removeSegments removes the oldest segments whose entries are all before keep. It
// never removes the active one.
func (r *Recorder) removeSegments(keep replicator.Index) error {
	for len(r.segments) > 1 && r.segments[0].lastIndex < keep {
		if err := r.fs.Remove(filepath.Join(r.dir, segmentName(r.segments[0].number))); err != nil {
			return err
		}
		r.segments = r.segments[1:]
	}
	return nil
}
