// Package recorder keeps one log of package replicator in a folder of a disk.
//
// The log is a row of segments, files that are only appended to. Each Save
// appends one frame (length, sequence number, CRC-32C, payload) and syncs it
// before it returns. So at most the last frame of the last segment can be torn
// by a crash; it was never acknowledged and is cut off when the folder is
// opened. Damage anywhere else is a *CorruptError and is never skipped. After
// a failed write or sync nobody knows what is on the disk: the Recorder then
// refuses everything with a *FailedError until the folder is opened again.
//
// Snapshots, segments and the identity of the folder are written aside, synced
// and renamed, and the folder is synced after that; a name that can be read
// is therefore always whole.
//
// The identity holds a random incarnation. A folder that was lost gets another
// one, by which the other voters tell that this voter has forgotten its votes
// and entries.
//
// replicator.Node uses a Recorder as its Storage. One goroutine at a time may
// call it.
package recorder

import (
	"io"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// DefaultSegmentBytes is from which size on a segment is followed by the next.
const DefaultSegmentBytes = 4 << 20

// Options configures a Recorder; the zero value is ready to use.
type Options struct {
	// SegmentBytes is DefaultSegmentBytes if 0.
	SegmentBytes int64
}

// Recorder is the storage of one log.
type Recorder struct {
	fs          FS
	dir         string
	options     Options
	lock        io.Closer
	incarnation unit.Incarnation

	// stored is what Open found, until Load hands it out.
	stored replicator.StoredState

	segments []segment
	active   File
	sequence uint64
	// hard, commit and snapshot open each new segment, so that older ones can
	// be removed.
	hard     replicator.HardState
	commit   replicator.Index
	snapshot replicator.Index
	failed   error
}

var _ replicator.Storage = (*Recorder)(nil)

// Open opens a folder, or makes it if it is missing or empty. Opening writes
// the last segment anew: if its last sync failed before the process ended, the
// file may read well from memory and still not be on the disk.
func Open(dir string, fs FS, o Options) (*Recorder, error) {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, errors.Wrapf(err, "making the folder %s", dir)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, errors.Wrapf(err, "locking the folder %s", dir)
	}
	r := &Recorder{fs: fs, dir: dir, options: o, lock: lock}
	if err := r.open(); err != nil {
		return nil, errors.CombineErrors(err, lock.Close())
	}
	return r, nil
}

func (r *Recorder) open() error {
	// A rename of the former process may not be on the disk yet.
	if err := r.fs.SyncDir(r.dir); err != nil {
		return errors.Wrapf(err, "syncing the folder %s", r.dir)
	}
	files, err := r.list()
	if err != nil {
		return err
	}
	if files.identity {
		if err := r.readIdentity(); err != nil {
			return err
		}
		return r.replay(files)
	}
	return r.format(files)
}

// Incarnation returns the life of this folder.
func (r *Recorder) Incarnation() unit.Incarnation { return r.incarnation }

// Load implements replicator.Storage. What was found is handed out once.
func (r *Recorder) Load() (replicator.StoredState, error) {
	if r.failed != nil {
		return replicator.StoredState{}, r.failed
	}
	s := r.stored
	r.stored = replicator.StoredState{}
	return s, nil
}

// Save implements replicator.Storage: one frame and one sync.
func (r *Recorder) Save(w replicator.StorageUpdate) error {
	if r.failed != nil {
		return r.failed
	}
	if w.Snapshot != nil {
		if err := r.writeSnapshot(*w.Snapshot); err != nil {
			return r.fail("writing a snapshot", err)
		}
	}
	// A new segment begins with the state before this write, so that no part
	// of the write is durable without the rest.
	if err := r.rotate(); err != nil {
		return r.fail("starting a segment", err)
	}
	if w.HardState != nil {
		r.hard = *w.HardState
	}
	r.commit = max(r.commit, w.Commit)
	b := batch{Hard: w.HardState, Commit: r.commit, Entries: w.Entries}
	if w.DropEntries {
		b.Reset = w.Snapshot.Index
	}
	if err := r.append(b); err != nil {
		return r.fail("appending to the log", err)
	}
	if w.Snapshot != nil {
		return r.removeOldSnapshots()
	}
	return nil
}

// Compact implements replicator.Storage.
func (r *Recorder) Compact(s replicator.Snapshot, keep replicator.Index) error {
	if r.failed != nil {
		return r.failed
	}
	if err := r.writeSnapshot(s); err != nil {
		return r.fail("writing a snapshot", err)
	}
	if err := r.removeSegments(min(keep, s.Index+1)); err != nil {
		return r.fail("removing segments", err)
	}
	return r.removeOldSnapshots()
}

// fail makes every later call fail too.
func (r *Recorder) fail(operation string, err error) error {
	r.failed = &FailedError{Dir: r.dir, Operation: operation, Cause: err}
	return r.failed
}

// Close releases the folder.
func (r *Recorder) Close() error {
	if r.failed == nil {
		r.failed = errors.New("the recorder is closed")
	}
	var err error
	if r.active != nil {
		err = r.active.Close()
	}
	return errors.CombineErrors(err, r.lock.Close())
}
