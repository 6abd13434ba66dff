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

// state applies commands to a Registrar in the order of a log.
type state struct {
	*registrar.Registrar
	index replicator.Index
}

func newState() *state { return &state{Registrar: registrar.New()} }

func (s *state) do(c registrar.Command) registrar.Result {
	s.index++
	result, err := registrar.DecodeResult(s.Apply(s.index, registrar.EncodeCommand(c)))
	if err != nil {
		panic(err)
	}
	return result
}

func text(teams int) []byte {
	out := "AvailabilityZones:\n  - Name: a\n  - Name: b\nTeams:\n"
	for i := range teams {
		out += fmt.Sprintf("  - {Name: t%d, Share: 1, Limit: {CPU: 10, Slots: 8}}\n", i)
	}
	return []byte(out)
}

func TestRacingOperatorsOneWins(t *testing.T) {
	is := is.New(t)
	s := newState()
	first := s.do(registrar.PutConfig{ID: "x", Base: 0, Text: text(1), Operator: "ana"})
	second := s.do(registrar.PutConfig{ID: "y", Base: 0, Text: text(2), Operator: "rui"})
	is.Equal(first, registrar.ConfigAccepted{Version: 1})
	is.Equal(second, registrar.ConfigConflict{Version: 1, Operator: "ana"})
}

func TestResentConfigGetsTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	s := newState()
	put := registrar.PutConfig{ID: "x", Base: 0, Text: text(1), Operator: "ana"}
	is.Equal(s.do(put), registrar.ConfigAccepted{Version: 1})
	is.Equal(s.do(registrar.PutConfig{ID: "y", Base: 1, Text: text(2)}), registrar.ConfigAccepted{Version: 2})
	is.Equal(s.do(put), registrar.ConfigAccepted{Version: 1}) // the resend after the other's change
	_, version := s.Config()
	is.Equal(version, unit.Version(2))
	_, rejected := s.do(registrar.PutConfig{ID: "x", Base: 2, Text: text(3)}).(registrar.Rejected)
	is.True(rejected) // an id used with another text
}

// TestCopiesDontDependOnChecks puts a text in force that this version of the
// program finds fault with, as another version may not: every copy must take
// it alike, also one that is restored from a snapshot.
func TestCopiesDontDependOnChecks(t *testing.T) {
	is := is.New(t)
	s, restored := newState(), newState()
	is.Equal(s.do(registrar.PutConfig{ID: "x", Text: []byte("Teams: [{Nme: x}, {Name: y, Share: 1}]")}), registrar.ConfigAccepted{Version: 1})
	is.NoErr(restored.Restore(s.Snapshot()))
	one, version := s.Config()
	other, _ := restored.Config()
	is.Equal(version, unit.Version(1))
	is.True(reflect.DeepEqual(one, other))
}

func TestIntent(t *testing.T) {
	done := dispatcher.MarshalOutcome(dispatcher.Done{Answer: []byte("ok")})
	notRun := dispatcher.MarshalOutcome(dispatcher.NotRun{})
	once := dispatcher.Request{ID: "acc/1"}
	again := dispatcher.Request{ID: "acc/1", Repeatable: true}
	intend := func(r dispatcher.Request, e unit.Epoch, task unit.Task) registrar.Command {
		return registrar.RecordIntent{Request: r, AvailabilityZone: "a", Epoch: e, Task: task, Upstream: "u"}
	}
	refuse := registrar.RetractIntent{Request: once.ID, AvailabilityZone: "a", Epoch: 1, Task: "t1"}
	cases := map[string]struct {
		before  []registrar.Command
		command registrar.Command
		granted bool
	}{
		"first":                          {command: intend(once, 1, "t1"), granted: true},
		"the same again":                 {before: []registrar.Command{intend(once, 1, "t1")}, command: intend(once, 1, "t1"), granted: true},
		"a second start":                 {before: []registrar.Command{intend(once, 1, "t1")}, command: intend(once, 1, "t2")},
		"a second start, repeatable":     {before: []registrar.Command{intend(again, 1, "t1")}, command: intend(again, 1, "t2"), granted: true},
		"after a refusal":                {before: []registrar.Command{intend(once, 1, "t1"), refuse}, command: intend(once, 1, "t2"), granted: true},
		"after the end":                  {before: []registrar.Command{intend(again, 1, "t1"), registrar.EndRequest{Request: once.ID, Outcome: done}}, command: intend(again, 1, "t2")},
		"of an older epoch":              {before: []registrar.Command{registrar.TakeZone{AvailabilityZone: "a", Instance: "i2", Prior: 1}}, command: intend(once, 1, "t1")},
		"after a takeover":               {before: []registrar.Command{intend(once, 1, "t1"), registrar.TakeZone{AvailabilityZone: "a", Instance: "i2", Prior: 1}}, command: intend(once, 2, "t2")},
		"from another zone":              {before: []registrar.Command{registrar.AcceptRequest{Request: once, AvailabilityZone: "b"}}, command: intend(once, 1, "t1")},
		"after a cancellation":           {before: []registrar.Command{registrar.AcceptRequest{Request: once, AvailabilityZone: "a"}, registrar.CancelRequest{Request: once.ID}}, command: intend(once, 1, "t1")},
		"a NotRun can't hide the intent": {before: []registrar.Command{intend(once, 1, "t1"), registrar.EndRequest{Request: once.ID, Outcome: notRun}}, command: intend(once, 1, "t1"), granted: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			s.do(registrar.TakeZone{AvailabilityZone: "a", Instance: "i1"})
			for _, b := range c.before {
				s.do(b)
			}
			got, _ := s.do(c.command).(registrar.RequestRecorded)
			is.Equal(got.Granted, c.granted)
		})
	}
}

func TestOutcomeStandsButDoneReplacesUnknown(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.do(registrar.AcceptRequest{Request: dispatcher.Request{ID: "acc/1"}, AvailabilityZone: "a"})
	end := func(o dispatcher.Outcome) dispatcher.Outcome {
		r := s.do(registrar.EndRequest{Request: "acc/1", Outcome: dispatcher.MarshalOutcome(o)}).(registrar.RequestRecorded)
		stands, err := dispatcher.UnmarshalOutcome(r.Record.Outcome)
		is.NoErr(err)
		return stands
	}
	first := dispatcher.Done{Answer: []byte("first")}
	is.Equal(end(dispatcher.Unknown{}), dispatcher.Outcome(dispatcher.Unknown{}))
	is.Equal(end(first), dispatcher.Outcome(first))
	is.Equal(end(dispatcher.Done{Answer: []byte("second")}), dispatcher.Outcome(first))
}

func TestLateReleaseChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.do(registrar.PutConfig{Text: text(1)})
	s.do(registrar.TakeZone{AvailabilityZone: "a", Instance: "i1"})
	held := s.Allotments("a")["t0"]
	release := registrar.ReleaseAllotment{
		AvailabilityZone: "a", Epoch: 1, Team: "t0", Amount: unit.Resources{Slots: 2}, Change: s.AllotmentRevision("a", "t0"),
	}
	first := s.do(release).(registrar.Allotted)
	is.Equal(first.Amount.Slots, held.Slots-2)
	is.Equal(s.do(release).(registrar.Allotted), first) // a resend
	again := s.do(registrar.AcquireAllotment{AvailabilityZone: "a", Epoch: 1, Team: "t0", Want: unit.Resources{Slots: 2}}).(registrar.Allotted)
	is.Equal(again.Amount.Slots, held.Slots)
	is.Equal(s.do(release).(registrar.Allotted), again) // late, after the part was acquired again
}

func TestEndedRecordsAreForgotten(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.do(registrar.AcceptRequest{Request: dispatcher.Request{ID: "acc/1"}, AvailabilityZone: "a"})
	s.do(registrar.EndRequest{Request: "acc/1", Outcome: dispatcher.MarshalOutcome(dispatcher.Done{}), At: 10})
	s.do(registrar.CancelRequest{Request: "other", At: 9 + registrar.KeepEnded})
	_, known := s.Record("acc/1")
	is.True(known)
	s.do(registrar.CancelRequest{Request: "other", At: 10 + registrar.KeepEnded})
	_, known = s.Record("acc/1")
	is.True(!known)
}

// drawCommand draws any command over small sets of names, so that commands
// meet one another.
func drawCommand(t *rapid.T) registrar.Command {
	id := unit.Request(rapid.SampledFrom([]string{"a/1", "a/2", "b/1"}).Draw(t, "request"))
	az := unit.AvailabilityZone(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
	epoch := unit.Epoch(rapid.IntRange(0, 3).Draw(t, "epoch"))
	at := clock.Millis(rapid.IntRange(0, int(2*clock.Hour)).Draw(t, "at"))
	task := unit.Task(rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "task"))
	key := authenticator.KeyID(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"))
	amount := unit.Resources{CPU: 1000, Slots: unit.Count(rapid.IntRange(0, 4).Draw(t, "slots"))}
	return rapid.SampledFrom([]registrar.Command{
		registrar.PutConfig{ID: string(task), Base: unit.Version(epoch), Text: text(int(epoch) + 1), At: at},
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

// TestHistories holds, over any history of commands: a copy that was restored
// from a snapshot in the middle ends equal to one that applied everything;
// versions and epochs never go back; a withdrawn key stays withdrawn.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		commands := rapid.SliceOfN(rapid.Custom(drawCommand), 1, 60).Draw(t, "commands")
		cut := rapid.IntRange(0, len(commands)-1).Draw(t, "cut")
		whole, restored := newState(), newState()
		var version unit.Version
		var epoch unit.Epoch
		withdrawn := map[authenticator.KeyID]bool{}
		for i, c := range commands {
			whole.do(c)
			if i == cut {
				if err := restored.Restore(whole.Snapshot()); err != nil {
					t.Fatal(err)
				}
				restored.index = whole.index
			}
			if i > cut {
				restored.do(c)
			}
			_, v := whole.Config()
			e := whole.Zone("a").Epoch
			if v < version || e < epoch {
				t.Fatalf("version %d after %d, epoch %d after %d", v, version, e, epoch)
			}
			version, epoch = v, e
			for _, k := range whole.Keys() {
				if withdrawn[k.ID] && !k.Withdrawn {
					t.Fatalf("key %s is valid again", k.ID)
				}
				withdrawn[k.ID] = withdrawn[k.ID] || k.Withdrawn
			}
		}
		if string(whole.Snapshot()) != string(restored.Snapshot()) {
			t.Fatal("the restored copy differs")
		}
		for _, az := range []unit.AvailabilityZone{"a", "b"} {
			if !reflect.DeepEqual(whole.OpenRecords(az), restored.OpenRecords(az)) {
				t.Fatal("the open records differ")
			}
			for _, rec := range whole.OpenRecords(az) {
				if !rec.Open() {
					t.Fatalf("record %s has ended and is listed as open", rec.Request.ID)
				}
			}
		}
	})
}
