// Package recorder stores one log of package replicator in a folder on a disk.
//
// The log is a sequence of segments, which are append-only files. Each Save
// appends one frame (length, sequence number, CRC-32C, payload) and syncs it
// before it returns. So a crash can tear at most the last frame of the last
// segment. That frame was never acknowledged, and Open truncates it. Damage
// anywhere else is a *CorruptError and is never skipped. After a failed write or
// sync the content of the disk is unknown: all later calls fail with a
// *FailedError until the folder is opened again.
//
// Snapshots, segments and the identity of the folder are written to a temporary
// file, synced and renamed, and then the folder is synced. A file under its final
// name is therefore always complete.
//
// The identity holds a random incarnation. The folder that replaces a lost one has
// another incarnation, so that the other voters don't rely on the lost votes and
// entries.
//
// replicator.Node uses a Recorder as its Storage. Its methods must not be called
// concurrently.
package recorder

import (
	"io"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 4 << 20

// Options configures a Recorder; the zero value is ready to use.
type Options struct {
	// SegmentBytes is the size of a segment from which on the next one is
	// started; DefaultSegmentBytes if 0.
	SegmentBytes int64
}

// Recorder is a replicator.Storage in a folder.
type Recorder struct {
	fs          FS
	dir         string
	options     Options
	lock        io.Closer
	incarnation unit.Incarnation

	// loaded is the state that Open read, until Load returns it.
	loaded replicator.StoredState

	segments   []segment
	activeFile File
	sequence   uint64
	// hardState, commit and snapshotIndex are written at the start of each new
	// segment, so that older segments can be removed.
	hardState     replicator.HardState
	commit        replicator.Index
	snapshotIndex replicator.Index
	failure       error
}

var _ replicator.Storage = (*Recorder)(nil)

// Open opens a folder, and initializes it if it is missing or empty. It rewrites
// the last segment: if the last sync of the previous process failed, the file may be
// readable from the page cache although it isn't on the disk.
func Open(dir string, fs FS, o Options) (*Recorder, error) {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, errors.Wrapf(err, "creating the folder %s", dir)
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
	// A rename by the previous process may not be durable yet.
	if err := r.fs.SyncDir(r.dir); err != nil {
		return errors.Wrapf(err, "syncing the folder %s", r.dir)
	}
	content, err := r.listFolder()
	if err != nil {
		return err
	}
	if content.identity {
		if err := r.readIdentity(); err != nil {
			return err
		}
		return r.replay(content)
	}
	return r.initialize(content)
}

// Incarnation returns the incarnation of the folder.
func (r *Recorder) Incarnation() unit.Incarnation { return r.incarnation }

// Load implements replicator.Storage. Only the first call returns the state.
func (r *Recorder) Load() (replicator.StoredState, error) {
	if r.failure != nil {
		return replicator.StoredState{}, r.failure
	}
	s := r.loaded
	r.loaded = replicator.StoredState{}
	return s, nil
}

// Save implements replicator.Storage. It appends one frame and syncs it.
func (r *Recorder) Save(u replicator.StorageUpdate) error {
	if r.failure != nil {
		return r.failure
	}
	if u.Snapshot != nil {
		if err := r.writeSnapshot(*u.Snapshot); err != nil {
			return r.fail("writing a snapshot", err)
		}
	}
	// A new segment starts with the state before this update, so that no part
	// of the update is durable without the rest.
	if err := r.rotate(); err != nil {
		return r.fail("starting a segment", err)
	}
	if u.HardState != nil {
		r.hardState = *u.HardState
	}
	r.commit = max(r.commit, u.Commit)
	rec := record{HardState: u.HardState, Commit: r.commit, Entries: u.Entries}
	if u.DropEntries {
		rec.ResetIndex = u.Snapshot.Index
	}
	if err := r.append(rec); err != nil {
		return r.fail("appending to the log", err)
	}
	if u.Snapshot != nil {
		return r.removeOldSnapshots()
	}
	return nil
}

// Compact implements replicator.Storage.
func (r *Recorder) Compact(s replicator.Snapshot, keep replicator.Index) error {
	if r.failure != nil {
		return r.failure
	}
	if err := r.writeSnapshot(s); err != nil {
		return r.fail("writing a snapshot", err)
	}
	if err := r.removeSegments(min(keep, s.Index+1)); err != nil {
		return r.fail("removing segments", err)
	}
	return r.removeOldSnapshots()
}

// fail makes this call and all later ones fail.
func (r *Recorder) fail(operation string, err error) error {
	r.failure = &FailedError{Dir: r.dir, Operation: operation, Cause: err}
	return r.failure
}

// Close closes the files and releases the lock of the folder.
func (r *Recorder) Close() error {
	if r.failure == nil {
		r.failure = errors.New("the recorder is closed")
	}
	var err error
	if r.activeFile != nil {
		err = r.activeFile.Close()
	}
	return errors.CombineErrors(err, r.lock.Close())
}
