package registrar_test

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// fixture is a Registrar that applies commands in the order of a log.
type fixture struct {
	*registrar.Registrar
	index replicator.Index
}

func newFixture() *fixture { return &fixture{Registrar: registrar.New()} }

func (s *fixture) apply(c registrar.Command) registrar.Result {
	s.index++
	result, err := registrar.DecodeResult(s.Apply(s.index, registrar.EncodeCommand(c)))
	if err != nil {
		panic(err)
	}
	return result
}

func configText(teams int) []byte {
	out := "AvailabilityZones:\n  - Name: a\n  - Name: b\nTeams:\n"
	for i := range teams {
		out += fmt.Sprintf("  - {Name: t%d, Share: 1, Limit: {CPU: 10, Slots: 8}}\n", i)
	}
	return []byte(out)
}

func TestConcurrentPutConfigConflicts(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	first := s.apply(registrar.PutConfig{ID: "x", Base: 0, Text: configText(1), Operator: "ana"})
	second := s.apply(registrar.PutConfig{ID: "y", Base: 0, Text: configText(2), Operator: "rui"})
	is.Equal(first, registrar.ConfigAccepted{Version: 1})
	is.Equal(second, registrar.ConfigConflict{Version: 1, Operator: "ana"})
}

func TestResentPutConfigReturnsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	put := registrar.PutConfig{ID: "x", Base: 0, Text: configText(1), Operator: "ana"}
	is.Equal(s.apply(put), registrar.ConfigAccepted{Version: 1})
	is.Equal(s.apply(registrar.PutConfig{ID: "y", Base: 1, Text: configText(2)}), registrar.ConfigAccepted{Version: 2})
	is.Equal(s.apply(put), registrar.ConfigAccepted{Version: 1}) // a resend after the other operator's change
	_, version := s.Config()
	is.Equal(version, unit.Version(2))
	_, rejected := s.apply(registrar.PutConfig{ID: "x", Base: 2, Text: configText(3)}).(registrar.Rejected)
	is.True(rejected) // the same id with another text
}

// TestInvalidConfigIsAppliedEquallyByAllCopies guards against copies that
// diverge because versions of the program check configurations differently. It
// applies a text that this version reports as invalid. Every copy must accept
// it with the same result, also one that is restored from a snapshot.
func TestInvalidConfigIsAppliedEquallyByAllCopies(t *testing.T) {
	is := is.New(t)
	s, restored := newFixture(), newFixture()
	is.Equal(s.apply(registrar.PutConfig{ID: "x", Text: []byte("Teams: [{Nme: x}, {Name: y, Share: 1}]")}), registrar.ConfigAccepted{Version: 1})
	is.NoErr(restored.Restore(s.Snapshot()))
	one, version := s.Config()
	other, _ := restored.Config()
	is.Equal(version, unit.Version(1))
	is.True(reflect.DeepEqual(one, other))
}

func TestRecordIntentGrants(t *testing.T) {
	done := dispatcher.MarshalOutcome(dispatcher.Done{Answer: []byte("ok")})
	notRun := dispatcher.MarshalOutcome(dispatcher.NotRun{})
	once := dispatcher.Request{ID: "acc/1"}
	repeatable := dispatcher.Request{ID: "acc/1", Repeatable: true}
	recordIntent := func(r dispatcher.Request, e unit.Epoch, task unit.Task) registrar.Command {
		return registrar.RecordIntent{Request: r, AvailabilityZone: "a", Epoch: e, Task: task, Upstream: "u"}
	}
	retract := registrar.RetractIntent{Request: once.ID, AvailabilityZone: "a", Epoch: 1, Task: "t1"}
	cases := map[string]struct {
		before  []registrar.Command
		command registrar.Command
		granted bool
	}{
		"first":                          {command: recordIntent(once, 1, "t1"), granted: true},
		"the same again":                 {before: []registrar.Command{recordIntent(once, 1, "t1")}, command: recordIntent(once, 1, "t1"), granted: true},
		"a second start":                 {before: []registrar.Command{recordIntent(once, 1, "t1")}, command: recordIntent(once, 1, "t2")},
		"a second start, repeatable":     {before: []registrar.Command{recordIntent(repeatable, 1, "t1")}, command: recordIntent(repeatable, 1, "t2"), granted: true},
		"after a refusal":                {before: []registrar.Command{recordIntent(once, 1, "t1"), retract}, command: recordIntent(once, 1, "t2"), granted: true},
		"after the end":                  {before: []registrar.Command{recordIntent(repeatable, 1, "t1"), registrar.EndRequest{Request: once.ID, Outcome: done}}, command: recordIntent(repeatable, 1, "t2")},
		"of an older epoch":              {before: []registrar.Command{registrar.TakeZone{AvailabilityZone: "a", Instance: "i2", Prior: 1}}, command: recordIntent(once, 1, "t1")},
		"after a takeover":               {before: []registrar.Command{recordIntent(once, 1, "t1"), registrar.TakeZone{AvailabilityZone: "a", Instance: "i2", Prior: 1}}, command: recordIntent(once, 2, "t2")},
		"from another zone":              {before: []registrar.Command{registrar.AcceptRequest{Request: once, AvailabilityZone: "b"}}, command: recordIntent(once, 1, "t1")},
		"after a cancellation":           {before: []registrar.Command{registrar.AcceptRequest{Request: once, AvailabilityZone: "a"}, registrar.CancelRequest{Request: once.ID}}, command: recordIntent(once, 1, "t1")},
		"a NotRun can't hide the intent": {before: []registrar.Command{recordIntent(once, 1, "t1"), registrar.EndRequest{Request: once.ID, Outcome: notRun}}, command: recordIntent(once, 1, "t1"), granted: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture()
			s.apply(registrar.TakeZone{AvailabilityZone: "a", Instance: "i1"})
			for _, b := range c.before {
				s.apply(b)
			}
			got, _ := s.apply(c.command).(registrar.RequestRecorded)
			is.Equal(got.Granted, c.granted)
		})
	}
}

func TestFirstOutcomeIsKeptUnlessDoneReplacesUnknown(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.apply(registrar.AcceptRequest{Request: dispatcher.Request{ID: "acc/1"}, AvailabilityZone: "a"})
	end := func(o dispatcher.Outcome) dispatcher.Outcome {
		r := s.apply(registrar.EndRequest{Request: "acc/1", Outcome: dispatcher.MarshalOutcome(o)}).(registrar.RequestRecorded)
		kept, err := dispatcher.UnmarshalOutcome(r.Record.Outcome)
		is.NoErr(err)
		return kept
	}
	first := dispatcher.Done{Answer: []byte("first")}
	is.Equal(end(dispatcher.Unknown{}), dispatcher.Outcome(dispatcher.Unknown{}))
	is.Equal(end(first), dispatcher.Outcome(first))
	is.Equal(end(dispatcher.Done{Answer: []byte("second")}), dispatcher.Outcome(first))
}

func TestLateReleaseAllotmentChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.apply(registrar.PutConfig{Text: configText(1)})
	s.apply(registrar.TakeZone{AvailabilityZone: "a", Instance: "i1"})
	allotted := s.Allotments("a")["t0"]
	release := registrar.ReleaseAllotment{
		AvailabilityZone: "a", Epoch: 1, Team: "t0", Amount: unit.Resources{Slots: 2}, Change: s.AllotmentRevision("a", "t0"),
	}
	first := s.apply(release).(registrar.Allotted)
	is.Equal(first.Amount.Slots, allotted.Slots-2)
	is.Equal(s.apply(release).(registrar.Allotted), first) // a resend
	again := s.apply(registrar.AcquireAllotment{AvailabilityZone: "a", Epoch: 1, Team: "t0", Want: unit.Resources{Slots: 2}}).(registrar.Allotted)
	is.Equal(again.Amount.Slots, allotted.Slots)
	is.Equal(s.apply(release).(registrar.Allotted), again) // late: the amount has been acquired again
}

func TestEndedRecordsAreDeletedAfterRetention(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.apply(registrar.AcceptRequest{Request: dispatcher.Request{ID: "acc/1"}, AvailabilityZone: "a"})
	s.apply(registrar.EndRequest{Request: "acc/1", Outcome: dispatcher.MarshalOutcome(dispatcher.Done{}), At: 10})
	s.apply(registrar.CancelRequest{Request: "other", At: 9 + registrar.EndedRetention})
	_, known := s.Record("acc/1")
	is.True(known)
	s.apply(registrar.CancelRequest{Request: "other", At: 10 + registrar.EndedRetention})
	_, known = s.Record("acc/1")
	is.True(!known)
}

// drawCommand draws a command of any type. Its names come from small sets, so
// that commands concern the same requests, keys and zones.
func drawCommand(t *rapid.T) registrar.Command {
	id := unit.Request(rapid.SampledFrom([]string{"a/1", "a/2", "b/1"}).Draw(t, "request"))
	az := unit.AvailabilityZone(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
	epoch := unit.Epoch(rapid.IntRange(0, 3).Draw(t, "epoch"))
	at := clock.Millis(rapid.IntRange(0, int(2*clock.Hour)).Draw(t, "at"))
	task := unit.Task(rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "task"))
	key := authenticator.KeyID(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"))
	amount := unit.Resources{CPU: 1000, Slots: unit.Count(rapid.IntRange(0, 4).Draw(t, "slots"))}
	return rapid.SampledFrom([]registrar.Command{
		registrar.PutConfig{ID: string(task), Base: unit.Version(epoch), Text: configText(int(epoch) + 1), At: at},
		registrar.GrantKey{Key: key, Hash: []byte(task), Account: "acc", Team: "t0", At: at},
		registrar.WithdrawKey{Key: key, At: at},
		registrar.TakeZone{AvailabilityZone: az, Instance: "i", Prior: epoch, At: at},
		registrar.AcquireAllotment{AvailabilityZone: az, Epoch: epoch, Team: "t0", Want: amount},
		registrar.ReleaseAllotment{AvailabilityZone: az, Epoch: epoch, Team: "t0", Amount: amount, Change: uint64(rapid.IntRange(0, 6).Draw(t, "change"))},
		registrar.AcceptRequest{Request: dispatcher.Request{ID: id}, AvailabilityZone: az, At: at},
		registrar.RecordIntent{Request: dispatcher.Request{ID: id}, AvailabilityZone: az, Epoch: epoch, Task: task, At: at},
		registrar.RetractIntent{Request: id, AvailabilityZone: az, Epoch: epoch, Task: task},
		registrar.EndRequest{Request: id, Outcome: dispatcher.MarshalOutcome(dispatcher.Done{Answer: []byte(task)}), At: at},
		registrar.CancelRequest{Request: id, At: at},
	}).Draw(t, "command")
}

// TestInvariantsOverRandomCommands checks three invariants over random sequences
// of commands. A copy that is restored from a snapshot in the middle ends equal
// to one that applied all commands. Versions and epochs never decrease. A
// withdrawn key stays withdrawn.
func TestInvariantsOverRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		commands := rapid.SliceOfN(rapid.Custom(drawCommand), 1, 60).Draw(t, "commands")
		snapshotAt := rapid.IntRange(0, len(commands)-1).Draw(t, "snapshotAt")
		applied, restored := newFixture(), newFixture()
		var version unit.Version
		var epoch unit.Epoch
		withdrawn := map[authenticator.KeyID]bool{}
		for i, c := range commands {
			applied.apply(c)
			if i == snapshotAt {
				if err := restored.Restore(applied.Snapshot()); err != nil {
					t.Fatal(err)
				}
				restored.index = applied.index
			}
			if i > snapshotAt {
				restored.apply(c)
			}
			_, v := applied.Config()
			e := applied.Zone("a").Epoch
			if v < version || e < epoch {
				t.Fatalf("version %d after %d, epoch %d after %d", v, version, e, epoch)
			}
			version, epoch = v, e
			for _, k := range applied.Keys() {
				if withdrawn[k.ID] && !k.Withdrawn {
					t.Fatalf("key %s is valid again", k.ID)
				}
				withdrawn[k.ID] = withdrawn[k.ID] || k.Withdrawn
			}
		}
		if string(applied.Snapshot()) != string(restored.Snapshot()) {
			t.Fatal("the snapshot of the restored copy differs")
		}
		for _, az := range []unit.AvailabilityZone{"a", "b"} {
			if !reflect.DeepEqual(applied.OpenRecords(az), restored.OpenRecords(az)) {
				t.Fatal("the open records of the restored copy differ")
			}
			for _, rec := range applied.OpenRecords(az) {
				if !rec.Open() {
					t.Fatalf("record %s has ended, but OpenRecords lists it", rec.Request.ID)
				}
			}
		}
	})
}
