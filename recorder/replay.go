package recorder

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/replicator"
)

// replay reads the folder into r.stored and makes the last segment active.
func (r *Recorder) replay(f files) error {
	if err := r.loadSnapshot(f.snapshots); err != nil {
		return err
	}
	if len(f.segments) == 0 {
		return &CorruptError{File: filepath.Join(r.dir, segmentName(1)), Reason: "there is no segment"}
	}
	for i, number := range f.segments {
		if number != f.segments[0]+uint64(i) {
			return &CorruptError{File: filepath.Join(r.dir, segmentName(number-1)), Reason: "the segment is missing"}
		}
		if err := r.replaySegment(number, i == len(f.segments)-1); err != nil {
			return err
		}
	}
	r.hard, r.commit = r.stored.HardState, r.stored.Commit
	return r.joinSnapshot()
}

// loadSnapshot reads the newest snapshot. An older one is no substitute: the
// entries between the two may be gone.
func (r *Recorder) loadSnapshot(numbers []uint64) error {
	if len(numbers) == 0 {
		return nil
	}
	newest := replicator.Index(numbers[len(numbers)-1])
	if err := r.readChecked(snapshotName(newest), &r.stored.Snapshot); err != nil {
		return err
	}
	r.snapshot = newest
	return r.removeOldSnapshots()
}

func (r *Recorder) replaySegment(number uint64, isLast bool) error {
	path := filepath.Join(r.dir, segmentName(number))
	data, err := r.fs.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "reading %s", path)
	}
	s, ok := decodeSegmentHeader(data)
	if !ok || s.number != number {
		return &CorruptError{File: path, Reason: "the header is damaged"}
	}
	s.size = segmentHeaderBytes
	for s.size < int64(len(data)) {
		fr, ok := decodeFrame(s.salt, data[s.size:])
		if !ok {
			if err := checkTorn(path, s, data, isLast); err != nil {
				return err
			}
			break
		}
		if err := r.replayFrame(path, &s, fr); err != nil {
			return err
		}
		s.size += fr.size
	}
	if s.size == segmentHeaderBytes {
		return &CorruptError{File: path, Offset: s.size, Reason: "the first frame is damaged"}
	}
	if !isLast {
		r.segments = append(r.segments, s)
		return nil
	}
	file, err := r.writeAside(segmentName(number), data[:s.size])
	if err != nil {
		return errors.Wrapf(err, "writing %s anew", path)
	}
	return r.activate(s, file)
}

// checkTorn tells a torn last frame, which was never acknowledged, from
// damage: a frame is only written once the one before it was synced.
func checkTorn(path string, s segment, data []byte, isLast bool) error {
	if !isLast {
		return &CorruptError{File: path, Offset: s.size, Reason: "a frame is damaged"}
	}
	if i := findFrame(s.salt, data[s.size+1:]); i >= 0 {
		return &CorruptError{File: path, Offset: s.size, Reason: fmt.Sprintf("a frame is damaged, but there is a whole one after it at byte %d", s.size+1+int64(i))}
	}
	return nil
}

func (r *Recorder) replayFrame(path string, s *segment, fr frame) error {
	if r.sequence != 0 && fr.sequence != r.sequence+1 {
		return &CorruptError{File: path, Offset: s.size, Reason: fmt.Sprintf("frame %d follows frame %d", fr.sequence, r.sequence)}
	}
	r.sequence = fr.sequence
	b, err := decodeBatch(fr.payload)
	if err != nil {
		return &CorruptError{File: path, Offset: s.size, Reason: err.Error()}
	}
	if b.Snapshot > r.snapshot {
		return &CorruptError{File: path, Offset: s.size, Reason: fmt.Sprintf("the snapshot at index %d is missing", b.Snapshot)}
	}
	if b.Hard != nil {
		r.stored.HardState = *b.Hard
	}
	r.stored.Commit = max(r.stored.Commit, b.Commit)
	if b.Reset > 0 {
		r.stored.Entries = nil
	}
	if len(b.Entries) == 0 {
		return nil
	}
	s.last = max(s.last, b.Entries[len(b.Entries)-1].Index)
	if !r.addEntries(b.Entries) {
		return &CorruptError{File: path, Offset: s.size, Reason: "entries are missing"}
	}
	return nil
}

// addEntries adds entries, replacing those from the first one's index on;
// false if there is a gap before them.
func (r *Recorder) addEntries(added []replicator.Entry) bool {
	have := r.stored.Entries
	if len(have) == 0 || added[0].Index < have[0].Index {
		r.stored.Entries = added
		return true
	}
	n := added[0].Index - have[0].Index
	if n > replicator.Index(len(have)) {
		return false
	}
	r.stored.Entries = append(have[:n], added...)
	return true
}

// joinSnapshot makes the entries continue the snapshot. A crash between a
// received snapshot and the frame that drops the older entries leaves entries
// that end before the snapshot or contradict it; they are dropped now.
func (r *Recorder) joinSnapshot() error {
	snap, list := r.stored.Snapshot, r.stored.Entries
	r.stored.Commit = max(r.stored.Commit, snap.Index)
	r.commit = r.stored.Commit
	if len(list) == 0 {
		return nil
	}
	first, last := list[0].Index, list[len(list)-1].Index
	if first > snap.Index+1 {
		return &CorruptError{File: filepath.Join(r.dir, snapshotName(first-1)), Reason: "entries after the snapshot are missing"}
	}
	continues := last >= snap.Index
	if continues && first <= snap.Index {
		continues = list[snap.Index-first].Term == snap.Term
	}
	if continues {
		return nil
	}
	r.stored.Entries = nil
	if err := r.append(batch{Reset: snap.Index, Commit: r.commit}); err != nil {
		return errors.Wrap(err, "dropping entries before the snapshot")
	}
	return nil
}
