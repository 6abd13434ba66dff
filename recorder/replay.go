package recorder

import (
	"fmt"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/replicator"
)

// replay reads the folder into r.loaded and makes the last segment the active one.
func (r *Recorder) replay(f folderContent) error {
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
	r.hardState, r.commit = r.loaded.HardState, r.loaded.Commit
	return r.alignWithSnapshot()
}

// loadSnapshot reads the newest snapshot. It doesn't fall back to an older one, since
// the entries between the two may be removed.
func (r *Recorder) loadSnapshot(numbers []uint64) error {
	if len(numbers) == 0 {
		return nil
	}
	newest := replicator.Index(numbers[len(numbers)-1])
	if err := r.readChecksummed(snapshotName(newest), &r.loaded.Snapshot); err != nil {
		return err
	}
	r.snapshotIndex = newest
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
	s.sizeBytes = segmentHeaderBytes
	for s.sizeBytes < int64(len(data)) {
		fr, ok := decodeFrame(s.salt, data[s.sizeBytes:])
		if !ok {
			if err := checkTornFrame(path, s, data, isLast); err != nil {
				return err
			}
			break
		}
		if err := r.replayFrame(path, &s, fr); err != nil {
			return err
		}
		s.sizeBytes += fr.sizeBytes
	}
	if s.sizeBytes == segmentHeaderBytes {
		return &CorruptError{File: path, Offset: s.sizeBytes, Reason: "the first frame is damaged"}
	}
	if !isLast {
		r.segments = append(r.segments, s)
		return nil
	}
	file, err := r.writeAtomically(segmentName(number), data[:s.sizeBytes])
	if err != nil {
		return errors.Wrapf(err, "rewriting %s", path)
	}
	return r.activate(s, file)
}

// checkTornFrame returns nil if the invalid frame at s.sizeBytes is the last one of
// the log: a crash tore it before it was acknowledged. Otherwise it is damaged, since
// a frame is only written once the previous one is synced.
func checkTornFrame(path string, s segment, data []byte, isLast bool) error {
	if !isLast {
		return &CorruptError{File: path, Offset: s.sizeBytes, Reason: "a frame is damaged"}
	}
	if i := findFrame(s.salt, data[s.sizeBytes+1:]); i >= 0 {
		return &CorruptError{File: path, Offset: s.sizeBytes, Reason: fmt.Sprintf("a frame is damaged, but there is a whole one after it at byte %d", s.sizeBytes+1+int64(i))}
	}
	return nil
}

func (r *Recorder) replayFrame(path string, s *segment, fr frame) error {
	if r.sequence != 0 && fr.sequence != r.sequence+1 {
		return &CorruptError{File: path, Offset: s.sizeBytes, Reason: fmt.Sprintf("frame %d follows frame %d", fr.sequence, r.sequence)}
	}
	r.sequence = fr.sequence
	rec, err := decodeRecord(fr.payload)
	if err != nil {
		return &CorruptError{File: path, Offset: s.sizeBytes, Reason: err.Error()}
	}
	if rec.RequiredSnapshot > r.snapshotIndex {
		return &CorruptError{File: path, Offset: s.sizeBytes, Reason: fmt.Sprintf("the snapshot at index %d is missing", rec.RequiredSnapshot)}
	}
	if rec.HardState != nil {
		r.loaded.HardState = *rec.HardState
	}
	r.loaded.Commit = max(r.loaded.Commit, rec.Commit)
	if rec.ResetIndex > 0 {
		r.loaded.Entries = nil
	}
	if len(rec.Entries) == 0 {
		return nil
	}
	s.lastIndex = max(s.lastIndex, rec.Entries[len(rec.Entries)-1].Index)
	if !r.addEntries(rec.Entries) {
		return &CorruptError{File: path, Offset: s.sizeBytes, Reason: "entries are missing"}
	}
	return nil
}

// addEntries appends entries, after dropping those from added[0].Index on. It returns
// false if entries are missing before the added ones.
func (r *Recorder) addEntries(added []replicator.Entry) bool {
	stored := r.loaded.Entries
	if len(stored) == 0 || added[0].Index < stored[0].Index {
		r.loaded.Entries = added
		return true
	}
	n := added[0].Index - stored[0].Index
	if n > replicator.Index(len(stored)) {
		return false
	}
	r.loaded.Entries = append(stored[:n], added...)
	return true
}

// alignWithSnapshot drops the entries if they don't continue the snapshot. A crash
// after the write of a received snapshot, but before the frame that drops the older
// entries, leaves entries that end before the snapshot or conflict with it.
func (r *Recorder) alignWithSnapshot() error {
	snap, list := r.loaded.Snapshot, r.loaded.Entries
	r.loaded.Commit = max(r.loaded.Commit, snap.Index)
	r.commit = r.loaded.Commit
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
	r.loaded.Entries = nil
	if err := r.append(record{ResetIndex: snap.Index, Commit: r.commit}); err != nil {
		return errors.Wrap(err, "dropping entries before the snapshot")
	}
	return nil
}
