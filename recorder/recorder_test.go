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

// TestMain fixes the seed, so that CI gives the same verdict each time. A long
// run with fresh seeds:
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

// small makes segments of a few frames.
var small = Options{SegmentBytes: 400}

// model is what a Recorder must hold.
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

// normal drops what a Recorder may keep or drop.
func (m model) normal() string {
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

// change is a random call of a Recorder; it returns the model after the call.
func (m model) change(t *rapid.T, r *Recorder) (model, error) {
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

// TestCrashKeepsWhatWasAcknowledged crashes at any operation of the file
// system, also while the folder is opened, again and again.
func TestCrashKeepsWhatWasAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS(rapid.Uint64().Draw(t, "seed"))
		var acked, asked model
		incarnation := ""
		for range 4 {
			fs.crashIn = rapid.IntRange(0, 60).Draw(t, "crash")
			r, err := Open(dir, fs, small)
			for err == nil {
				got := load(t, r)
				// Of a write with a snapshot, the snapshot alone may be there.
				partial := acked
				if asked.Snapshot.Index > acked.last() {
					partial = acked.save(replicator.StorageUpdate{Snapshot: &asked.Snapshot, DropEntries: true})
				}
				if n := got.normal(); n != acked.normal() && n != asked.normal() && n != partial.normal() {
					t.Fatalf("opened %+v, want %+v or %+v", got, acked, asked)
				}
				if incarnation != "" && incarnation != string(r.Incarnation()) {
					t.Fatal("the incarnation changed")
				}
				incarnation = string(r.Incarnation())
				acked, asked = got, got
				for range 20 {
					asked, err = acked.change(t, r)
					if err != nil {
						break
					}
					acked = asked
				}
				break
			}
			if err != nil && !errors.Is(err, errCrash) {
				t.Fatal(err)
			}
			fs = fs.reboot()
		}
	})
}

// fill makes a folder with several segments and a snapshot and returns the
// state before and after the last frame.
func fill(t testing.TB, fs FS) (before, after model) {
	t.Helper()
	r, err := Open(dir, fs, small)
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

// TestDamageIsNeverSkipped flips each byte in turn: the folder is refused,
// unless it is the last frame, which looks like one torn by a crash.
func TestDamageIsNeverSkipped(t *testing.T) {
	is := is.New(t)
	master := newMemFS(1)
	before, after := fill(t, master)
	refused, torn := 0, 0
	for name, file := range master.names {
		for i := range file.data {
			fs := master.reboot()
			fs.names[name].data[i] ^= 0x40
			r, err := Open(dir, fs, small)
			if err != nil {
				is.True(errors.HasType(err, (*CorruptError)(nil)))
				refused++
				continue
			}
			is.Equal(name, lastSegment(master)) // only the last segment may be cut
			got := load(t, r)
			is.Equal(got.normal(), before.normal())
			torn++
		}
	}
	is.True(refused > torn && torn > 0)
	is.True(after.normal() != before.normal())
}

func lastSegment(fs *memFS) string {
	last := ""
	for name := range fs.names {
		if strings.Contains(name, segmentPrefix) {
			last = max(last, name)
		}
	}
	return last
}

// TestMissingFilesAreNoticed removes each file in turn. Only the loss of the
// last segment can't be told from a log that is shorter.
func TestMissingFilesAreNoticed(t *testing.T) {
	master := newMemFS(1)
	_, after := fill(t, master)
	for name := range master.names {
		if name == lastSegment(master) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fs := master.reboot()
			delete(fs.names, name)
			r, err := Open(dir, fs, small)
			if err == nil {
				// All that was in the file is in the snapshot too.
				is.Equal(load(t, r).normal(), after.normal())
				return
			}
			is.True(errors.HasType(err, (*CorruptError)(nil)))
		})
	}
}

func TestLostDiskGetsAnotherIncarnation(t *testing.T) {
	is := is.New(t)
	fs := newMemFS(1)
	fill(t, fs)
	r, err := Open(dir, fs, small)
	is.NoErr(err)
	empty, err := Open(dir, newMemFS(2), small)
	is.NoErr(err)
	is.True(r.Incarnation() != "" && r.Incarnation() != empty.Incarnation())
	is.Equal(load(t, empty).normal(), model{}.normal())
}

// TestFailedSyncIsFatal shows that after a failed sync nothing is accepted,
// and that what is read back after it is made durable before it is used.
func TestFailedSyncIsFatal(t *testing.T) {
	is := is.New(t)
	fs := newMemFS(1)
	_, after := fill(t, fs)
	r, err := Open(dir, fs, small)
	is.NoErr(err)
	next := replicator.StorageUpdate{Entries: []replicator.Entry{{Index: after.last() + 1, Term: 1}}}
	fs.failSync = true
	is.True(errors.HasType(r.Save(next), (*FailedError)(nil)))
	is.True(errors.HasType(r.Save(next), (*FailedError)(nil))) // still refused
	_, err = r.Load()
	is.True(errors.HasType(err, (*FailedError)(nil)))

	again, err := Open(dir, fs, small)
	is.NoErr(err)
	shown := load(t, again)
	for range 50 {
		crashed, err := Open(dir, fs.reboot(), small)
		is.NoErr(err)
		is.Equal(load(t, crashed).normal(), shown.normal())
	}
}
