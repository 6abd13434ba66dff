package recorder

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/replicator"
)

// A segment begins with its magic number (8 bytes), its salt (8), its number
// (8) and the CRC-32C (4) of these. Its first frame holds the hard state.
const (
	segmentMagic       = 0x6376_6c6f_6731_0001
	segmentHeaderBytes = 28
)

// segment is what is known of a segment file.
type segment struct {
	number uint64
	salt   uint64
	size   int64
	// last is the highest index of the entries in it.
	last replicator.Index
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
	// Read never fails; it ends the process if there is no randomness.
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// writeAside makes a file durable under its final name, or not at all. The
// file is returned open, for appending.
func (r *Recorder) writeAside(name string, parts ...[]byte) (File, error) {
	aside := filepath.Join(r.dir, asidePrefix+name)
	f, err := r.fs.Create(aside)
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
	if err := r.fs.Rename(aside, filepath.Join(r.dir, name)); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	if err := r.fs.SyncDir(r.dir); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	return f, nil
}

// startSegment makes a new segment the active one.
func (r *Recorder) startSegment(number uint64) error {
	s := segment{number: number, salt: randomSalt()}
	header := encodeSegmentHeader(s)
	hard := r.hard
	first := encodeFrame(s.salt, r.sequence+1, encodeBatch(batch{Hard: &hard, Commit: r.commit, Snapshot: r.snapshot}))
	f, err := r.writeAside(segmentName(number), header, first)
	if err != nil {
		return err
	}
	r.sequence++
	s.size = int64(len(header) + len(first))
	return r.activate(s, f)
}

func (r *Recorder) activate(s segment, f File) error {
	old := r.active
	r.active = f
	r.segments = append(r.segments, s)
	if old == nil {
		return nil
	}
	return old.Close()
}

// rotate starts the next segment if the active one is full.
func (r *Recorder) rotate() error {
	s := r.segments[len(r.segments)-1]
	if s.size < r.options.SegmentBytes {
		return nil
	}
	return r.startSegment(s.number + 1)
}

// append writes one frame and syncs it.
func (r *Recorder) append(b batch) error {
	s := &r.segments[len(r.segments)-1]
	payload := encodeBatch(b)
	if len(payload) > maxPayload {
		return errors.Newf("a frame of %d bytes is too large", len(payload))
	}
	data := encodeFrame(s.salt, r.sequence+1, payload)
	if _, err := r.active.Write(data); err != nil {
		return err
	}
	if err := r.active.Sync(); err != nil {
		return err
	}
	r.sequence++
	s.size += int64(len(data))
	if n := len(b.Entries); n > 0 {
		s.last = max(s.last, b.Entries[n-1].Index)
	}
	return nil
}

// removeSegments removes the oldest segments as far as all their entries are
// before keep. The active one stays.
func (r *Recorder) removeSegments(keep replicator.Index) error {
	for len(r.segments) > 1 && r.segments[0].last < keep {
		if err := r.fs.Remove(filepath.Join(r.dir, segmentName(r.segments[0].number))); err != nil {
			return err
		}
		r.segments = r.segments[1:]
	}
	return nil
}
