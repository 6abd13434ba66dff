package recorder

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/replicator"
)

// TestMain fixes the seed, so that the result in CI is reproducible. A long run with
// fresh seeds:
//
//	go test ./recorder -run Crash -timeout 0 -rapid.checks=20000 -args -fresh
func TestMain(m *testing.M) {
	fresh := flag.Bool("fresh", false, "use a fresh seed for the property tests")
	flag.Parse()
	if !*fresh {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

const dir = "data"

// smallSegments gives segments of a few frames.
var smallSegments = Options{SegmentBytes: 400}

// model is the state that a Recorder must hold.
type model struct{ replicator.StoredState }

func (m model) save(w replicator.StorageUpdate) model {
	if w.Snapshot != nil {
		m.Snapshot = *w.Snapshot
	}
	if w.DropEntries {
		m.Entries = nil
	}
	if w.HardState != nil {
		m.HardState = *w.HardState
	}
	m.Commit = max(m.Commit, w.Commit)
	if len(w.Entries) > 0 {
		var kept []replicator.Entry
		for _, e := range m.Entries {
			if e.Index < w.Entries[0].Index {
				kept = append(kept, e)
			}
		}
		m.Entries = append(kept, w.Entries...)
	}
	return m
}

func (m model) last() replicator.Index {
	if n := len(m.Entries); n > 0 {
		return max(m.Entries[n-1].Index, m.Snapshot.Index)
	}
	return m.Snapshot.Index
}

// normalized returns the encoded state without the parts that a Recorder may keep or drop.
func (m model) normalized() string {
	s := m.StoredState
	s.Commit = max(s.Commit, s.Snapshot.Index)
	s.Entries = nil
	for _, e := range m.Entries {
		if e.Index > s.Snapshot.Index {
			s.Entries = append(s.Entries, e)
		}
	}
	return string(encoder.Marshal(s))
}

// randomCall makes a random call of a Recorder. It returns the model after the call
// and the error of the call.
func (m model) randomCall(t *rapid.T, r *Recorder) (model, error) {
	term := m.HardState.Term + replicator.Term(rapid.IntRange(0, 1).Draw(t, "newer"))
	size := rapid.IntRange(0, 100).Draw(t, "size")
	switch rapid.SampledFrom([]string{"entries", "entries", "entries", "vote", "install", "compact"}).Draw(t, "call") {
	case "vote":
		w := replicator.StorageUpdate{HardState: &replicator.HardState{Term: term + 1, Group: "g"}}
		return m.save(w), r.Save(w)
	case "install":
		s := replicator.Snapshot{Index: m.last() + 3, Term: term, Data: make([]byte, size)}
		w := replicator.StorageUpdate{Snapshot: &s, DropEntries: true, Commit: s.Index, HardState: &replicator.HardState{Term: term, Group: "g"}}
		return m.save(w), r.Save(w)
	case "compact":
		if m.Commit <= m.Snapshot.Index {
			return m, nil
		}
		s := replicator.Snapshot{Index: m.Commit, Term: m.termOf(m.Commit), Data: make([]byte, size)}
		keep := replicator.Index(rapid.IntRange(0, int(s.Index)+1).Draw(t, "keep"))
		after := m
		after.Snapshot = s
		return after, r.Compact(s, keep)
	}
	first := m.last() + 1 - min(replicator.Index(rapid.IntRange(0, 3).Draw(t, "back")), m.last()-max(m.Commit, m.Snapshot.Index))
	w := replicator.StorageUpdate{HardState: &replicator.HardState{Term: term, Group: "g"}}
	for i := range rapid.IntRange(1, 4).Draw(t, "count") {
		w.Entries = append(w.Entries, replicator.Entry{Index: first + replicator.Index(i), Term: term, Kind: replicator.KindCommand, Data: make([]byte, size)})
	}
	w.Commit = first + replicator.Index(len(w.Entries)) - 1 - replicator.Index(rapid.IntRange(0, len(w.Entries)).Draw(t, "uncommitted"))
	return m.save(w), r.Save(w)
}

func (m model) termOf(i replicator.Index) replicator.Term {
	for _, e := range m.Entries {
		if e.Index == i {
			return e.Term
		}
	}
	return m.Snapshot.Term
}

func load(t interface{ Fatal(...any) }, r *Recorder) model {
	s, err := r.Load()
	if err != nil {
		t.Fatal(err)
	}
	return model{s}
}

// TestCrashPreservesAcknowledgedWrites crashes repeatedly at any operation of the file
// system, also while the folder is opened. Open must then return the acknowledged
// state, or that after the interrupted call.
func TestCrashPreservesAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS(rapid.Uint64().Draw(t, "seed"))
		var acked, attempted model
		incarnation := ""
		for range 4 {
			fs.crashIn = rapid.IntRange(0, 60).Draw(t, "crash")
			r, err := Open(dir, fs, smallSegments)
			for err == nil {
				got := load(t, r)
				// Of an update with a snapshot, only the snapshot may be stored.
				partial := acked
				if attempted.Snapshot.Index > acked.last() {
					partial = acked.save(replicator.StorageUpdate{Snapshot: &attempted.Snapshot, DropEntries: true})
				}
				if n := got.normalized(); n != acked.normalized() && n != attempted.normalized() && n != partial.normalized() {
					t.Fatalf("opened %+v, want %+v or %+v", got, acked, attempted)
				}
				if incarnation != "" && incarnation != string(r.Incarnation()) {
					t.Fatal("the incarnation changed")
				}
				incarnation = string(r.Incarnation())
				acked, attempted = got, got
				for range 20 {
					attempted, err = acked.randomCall(t, r)
					if err != nil {
						break
					}
					acked = attempted
				}
				break
			}
			if err != nil && !errors.Is(err, errCrash) {
				t.Fatal(err)
			}
			fs = fs.afterCrash()
		}
	})
}

// fillFolder creates a folder with several segments and a snapshot. It returns the
// state before and after the last frame.
func fillFolder(t testing.TB, fs FS) (before, after model) {
	t.Helper()
	r, err := Open(dir, fs, smallSegments)
	if err != nil {
		t.Fatal(err)
	}
	var m model
	for i := range replicator.Index(20) {
		w := replicator.StorageUpdate{Commit: i, Entries: []replicator.Entry{{Index: i + 1, Term: 1, Kind: replicator.KindCommand, Data: fmt.Appendf(nil, "command %d", i)}}}
		if i == 0 {
			w.HardState = &replicator.HardState{Term: 1, Group: "g"}
		}
		before, m = m, m.save(w)
		if err := r.Save(w); err != nil {
			t.Fatal(err)
		}
		if i == 5 {
			m.Snapshot = replicator.Snapshot{Index: 5, Term: 1, Data: []byte("state")}
			if err := r.Compact(m.Snapshot, 3); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	return before, m
}

// TestDamageIsDetected flips a bit in each byte in turn. Open must return an error,
// unless the byte is in the last frame, which looks the same as one torn by a crash.
func TestDamageIsDetected(t *testing.T) {
	is := is.New(t)
	original := newMemFS(1)
	before, after := fillFolder(t, original)
	refused, torn := 0, 0
	for name, file := range original.visible {
		for i := range file.data {
			fs := original.afterCrash()
			fs.visible[name].data[i] ^= 0x40
			r, err := Open(dir, fs, smallSegments)
			if err != nil {
				is.True(errors.HasType(err, (*CorruptError)(nil)))
				refused++
				continue
			}
			is.Equal(name, lastSegment(original)) // only the last segment may be truncated
			got := load(t, r)
			is.Equal(got.normalized(), before.normalized())
			torn++
		}
	}
	is.True(refused > torn && torn > 0)
	is.True(after.normalized() != before.normalized())
}

func lastSegment(fs *memFS) string {
	last := ""
	for name := range fs.visible {
		if strings.Contains(name, segmentPrefix) {
			last = max(last, name)
		}
	}
	return last
}

// TestMissingFilesAreDetected removes each file in turn. It leaves out the last
// segment, without which the folder looks like that of a shorter log.
func TestMissingFilesAreDetected(t *testing.T) {
	original := newMemFS(1)
	_, after := fillFolder(t, original)
	for name := range original.visible {
		if name == lastSegment(original) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fs := original.afterCrash()
			delete(fs.visible, name)
			r, err := Open(dir, fs, smallSegments)
			if err == nil {
				// The snapshot covers everything in the file.
				is.Equal(load(t, r).normalized(), after.normalized())
				return
			}
			is.True(errors.HasType(err, (*CorruptError)(nil)))
		})
	}
}

func TestLostDiskGetsNewIncarnation(t *testing.T) {
	is := is.New(t)
	fs := newMemFS(1)
	fillFolder(t, fs)
	r, err := Open(dir, fs, smallSegments)
	is.NoErr(err)
	empty, err := Open(dir, newMemFS(2), smallSegments)
	is.NoErr(err)
	is.True(r.Incarnation() != "" && r.Incarnation() != empty.Incarnation())
	is.Equal(load(t, empty).normalized(), model{}.normalized())
}

// TestFailedSyncFailsAllLaterCalls checks that all calls after a failed sync return an
// error, and that Open makes the data that it reads back durable.
func TestFailedSyncFailsAllLaterCalls(t *testing.T) {
	is := is.New(t)
	fs := newMemFS(1)
	_, after := fillFolder(t, fs)
	r, err := Open(dir, fs, smallSegments)
	is.NoErr(err)
	next := replicator.StorageUpdate{Entries: []replicator.Entry{{Index: after.last() + 1, Term: 1}}}
	fs.failNextSync = true
	is.True(errors.HasType(r.Save(next), (*FailedError)(nil)))
	is.True(errors.HasType(r.Save(next), (*FailedError)(nil))) // later calls fail too
	_, err = r.Load()
	is.True(errors.HasType(err, (*FailedError)(nil)))

	again, err := Open(dir, fs, smallSegments)
	is.NoErr(err)
	reopened := load(t, again)
	for range 50 {
		crashed, err := Open(dir, fs.afterCrash(), smallSegments)
		is.NoErr(err)
		is.Equal(load(t, crashed).normalized(), reopened.normalized())
	}
}
