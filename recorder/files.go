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

// Names in the folder.
const (
	identityName   = "identity"
	lockName       = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	asidePrefix    = "aside-"
)

// files is what is in the folder, in the order of the numbers.
type files struct {
	identity  bool
	segments  []uint64
	snapshots []uint64
}

// list reads the folder and removes what was left half written aside.
func (r *Recorder) list() (files, error) {
	var f files
	names, err := r.fs.List(r.dir)
	if err != nil {
		return f, errors.Wrapf(err, "listing the folder %s", r.dir)
	}
	for _, name := range names {
		switch {
		case name == identityName:
			f.identity = true
		case strings.HasPrefix(name, asidePrefix):
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

// identity tells the lives of the folder apart.
type identity struct{ Incarnation unit.Incarnation }

const checkedHeaderBytes = 4

// encodeChecked puts a CRC-32C in front of a value.
func encodeChecked(v any) []byte {
	data := encoder.Marshal(v)
	return append(binary.BigEndian.AppendUint32(nil, checksum(0, data)), data...)
}

func (r *Recorder) readChecked(name string, v any) error {
	path := filepath.Join(r.dir, name)
	data, err := r.fs.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "reading %s", path)
	}
	if len(data) < checkedHeaderBytes || binary.BigEndian.Uint32(data) != checksum(0, data[checkedHeaderBytes:]) {
		return &CorruptError{File: path, Reason: "the checksum doesn't fit"}
	}
	if err := encoder.Unmarshal(data[checkedHeaderBytes:], v); err != nil {
		return &CorruptError{File: path, Reason: err.Error()}
	}
	return nil
}

func (r *Recorder) writeChecked(name string, v any) error {
	f, err := r.writeAside(name, encodeChecked(v))
	if err != nil {
		return err
	}
	return f.Close()
}

func (r *Recorder) readIdentity() error {
	var id identity
	if err := r.readChecked(identityName, &id); err != nil {
		return err
	}
	r.incarnation = id.Incarnation
	return nil
}

// format makes an empty folder ready. The identity comes last: once it is
// there, a segment must be there too. A first segment without an identity is
// from a format that a crash cut short; anything else without an identity
// means that the identity was lost.
func (r *Recorder) format(f files) error {
	started := len(f.segments) == 1 && f.segments[0] == 1
	if len(f.snapshots) > 0 || len(f.segments) > 0 && !started {
		return &CorruptError{File: filepath.Join(r.dir, identityName), Reason: "it is missing but there is a log"}
	}
	if started {
		if err := r.checkUnused(); err != nil {
			return err
		}
	}
	if err := r.startSegment(1); err != nil {
		return errors.Wrap(err, "making the first segment")
	}
	r.incarnation = unit.Incarnation(uuid.NewString())
	return errors.Wrap(r.writeChecked(identityName, identity{r.incarnation}), "writing the identity")
}

// checkUnused fails if the first segment holds more than its first frame.
func (r *Recorder) checkUnused() error {
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
	if !ok || int64(len(data)) > segmentHeaderBytes+first.size {
		return &CorruptError{File: filepath.Join(r.dir, identityName), Reason: "it is missing but the log was used"}
	}
	return nil
}

func snapshotName(i replicator.Index) string {
	return snapshotPrefix + strconv.FormatUint(uint64(i), 10)
}

func (r *Recorder) writeSnapshot(s replicator.Snapshot) error {
	if err := r.writeChecked(snapshotName(s.Index), s); err != nil {
		return err
	}
	r.snapshot = max(r.snapshot, s.Index)
	return nil
}

// removeOldSnapshots removes all but the newest.
func (r *Recorder) removeOldSnapshots() error {
	f, err := r.list()
	if err != nil {
		return r.fail("listing the folder", err)
	}
	for _, n := range f.snapshots {
		if replicator.Index(n) == r.snapshot {
			continue
		}
		if err := r.fs.Remove(filepath.Join(r.dir, snapshotName(replicator.Index(n)))); err != nil {
			return r.fail("removing a snapshot", err)
		}
	}
	return nil
}
