package recorder

import (
	"encoding/binary"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// Names of the files in the folder.
const (
	identityName    = "identity"
	lockName        = "lock"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporaryPrefix = "aside-"
)

// folderContent lists the files of a folder. Segments and snapshots are the numbers
// in the file names, in ascending order; a snapshot's number is its index.
type folderContent struct {
	identity  bool
	segments  []uint64
	snapshots []uint64
}

// listFolder lists the folder. It removes temporary files, which a crash left before
// they were complete.
func (r *Recorder) listFolder() (folderContent, error) {
	var f folderContent
	names, err := r.fs.List(r.dir)
	if err != nil {
		return f, errors.Wrapf(err, "listing the folder %s", r.dir)
	}
	for _, name := range names {
		switch {
		case name == identityName:
			f.identity = true
		case strings.HasPrefix(name, temporaryPrefix):
			if err := r.fs.Remove(filepath.Join(r.dir, name)); err != nil {
				return f, errors.Wrapf(err, "removing %s", name)
			}
		case strings.HasPrefix(name, segmentPrefix):
			f.segments, err = appendNumber(f.segments, strings.TrimPrefix(name, segmentPrefix))
		case strings.HasPrefix(name, snapshotPrefix):
			f.snapshots, err = appendNumber(f.snapshots, strings.TrimPrefix(name, snapshotPrefix))
		}
		if err != nil {
			return f, &CorruptError{File: filepath.Join(r.dir, name), Reason: "the name holds no number"}
		}
	}
	slices.Sort(f.segments)
	slices.Sort(f.snapshots)
	return f, nil
}

func appendNumber(list []uint64, digits string) ([]uint64, error) {
	n, err := strconv.ParseUint(digits, 10, 64)
	return append(list, n), err
}

// identity identifies the incarnation of the folder.
type identity struct{ Incarnation unit.Incarnation }

const checksumBytes = 4

// encodeChecksummed encodes a value, preceded by its CRC-32C.
func encodeChecksummed(v any) []byte {
	data := encoder.Marshal(v)
	return append(binary.BigEndian.AppendUint32(nil, checksum(0, data)), data...)
}

func (r *Recorder) readChecksummed(name string, v any) error {
	path := filepath.Join(r.dir, name)
	data, err := r.fs.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "reading %s", path)
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint32(data) != checksum(0, data[checksumBytes:]) {
		return &CorruptError{File: path, Reason: "the checksum doesn't fit"}
	}
	if err := encoder.Unmarshal(data[checksumBytes:], v); err != nil {
		return &CorruptError{File: path, Reason: err.Error()}
	}
	return nil
}

func (r *Recorder) writeChecksummed(name string, v any) error {
	f, err := r.writeAtomically(name, encodeChecksummed(v))
	if err != nil {
		return err
	}
	return f.Close()
}

func (r *Recorder) readIdentity() error {
	var id identity
	if err := r.readChecksummed(identityName, &id); err != nil {
		return err
	}
	r.incarnation = id.Incarnation
	return nil
}

// initialize creates the first segment and then the identity, so that a folder with
// an identity always has a segment. A first segment alone is left by an initialize
// that a crash interrupted. Any other file without an identity means that the
// identity was lost.
func (r *Recorder) initialize(f folderContent) error {
	interrupted := len(f.segments) == 1 && f.segments[0] == 1
	if len(f.snapshots) > 0 || len(f.segments) > 0 && !interrupted {
		return &CorruptError{File: filepath.Join(r.dir, identityName), Reason: "it is missing but there is a log"}
	}
	if interrupted {
		if err := r.checkFirstSegmentUnused(); err != nil {
			return err
		}
	}
	if err := r.startSegment(1); err != nil {
		return errors.Wrap(err, "creating the first segment")
	}
	r.incarnation = unit.Incarnation(uuid.NewString())
	return errors.Wrap(r.writeChecksummed(identityName, identity{r.incarnation}), "writing the identity")
}

// checkFirstSegmentUnused returns an error if the first segment holds more than its
// first frame.
func (r *Recorder) checkFirstSegmentUnused() error {
	path := filepath.Join(r.dir, segmentName(1))
	data, err := r.fs.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "reading %s", path)
	}
	s, ok := decodeSegmentHeader(data)
	if !ok {
		return &CorruptError{File: path, Reason: "the header is damaged"}
	}
	first, ok := decodeFrame(s.salt, data[segmentHeaderBytes:])
	if !ok || int64(len(data)) > segmentHeaderBytes+first.sizeBytes {
		return &CorruptError{File: filepath.Join(r.dir, identityName), Reason: "it is missing but the log was used"}
	}
	return nil
}

func snapshotName(i replicator.Index) string {
	return snapshotPrefix + strconv.FormatUint(uint64(i), 10)
}

func (r *Recorder) writeSnapshot(s replicator.Snapshot) error {
	if err := r.writeChecksummed(snapshotName(s.Index), s); err != nil {
		return err
	}
	r.snapshotIndex = max(r.snapshotIndex, s.Index)
	return nil
}

// removeOldSnapshots removes all snapshots except the newest.
func (r *Recorder) removeOldSnapshots() error {
	f, err := r.listFolder()
	if err != nil {
		return r.fail("listing the folder", err)
	}
	for _, n := range f.snapshots {
		if replicator.Index(n) == r.snapshotIndex {
			continue
		}
		if err := r.fs.Remove(filepath.Join(r.dir, snapshotName(replicator.Index(n)))); err != nil {
			return r.fail("removing a snapshot", err)
		}
	}
	return nil
}
