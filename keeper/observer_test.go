package keeper_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// ends records the ends that a State reports.
type ends struct{ list []keeper.RunEnd }

func (e *ends) ObserveRunEnd(end keeper.RunEnd) { e.list = append(e.list, end) }
func (e *ends) Clone() keeper.Observer          { return &ends{append([]keeper.RunEnd(nil), e.list...)} }

// TestObserverSeesEachEndOnce guards what is learned from the log against wrong times, ends
// that count twice, and members of a gang that count as independent tasks.
func TestObserverSeesEachEndOnce(t *testing.T) {
	is := is.New(t)
	s, seen := keeper.New(), &ends{}
	s.Observer = seen
	s.ApplyCommand(keeper.AcceptJob{ID: job(0), Account: "t", Submission: keeper.Submission{Steps: []keeper.Step{
		{Count: 1, Checkpointing: true}, {Count: 2, Gang: true},
	}}})
	single := keeper.TaskID{Job: job(0)}
	start := func(id keeper.TaskID, number int, on unit.Upstream) {
		s.ApplyCommand(keeper.StartRun{Task: id, Number: number, Upstream: on, At: 100})
	}
	end := func(id keeper.TaskID, number int, on unit.Upstream, outcome keeper.RunOutcome) {
		for range 2 { // the second one changes nothing
			s.ApplyCommand(keeper.EndRun{Task: id, Number: number, Upstream: on, Outcome: outcome, Checkpoint: "c", At: 350})
		}
	}
	start(single, 1, "u")
	end(single, 1, "u", keeper.RunStopped)
	start(single, 2, "v")
	end(single, 2, "v", keeper.RunDone)
	members := []keeper.TaskID{{Job: job(0), Step: 1}, {Job: job(0), Step: 1, Index: 1}}
	start(members[0], 1, "u")
	start(members[1], 1, "v")
	end(members[1], 1, "v", keeper.RunDone)
	end(members[0], 1, "u", keeper.RunDone)
	is.Equal(len(seen.list), 3)
	for i, want := range []keeper.RunEnd{
		{Task: single, Number: 1, Upstream: "u", Outcome: keeper.RunStopped},
		{Task: single, Number: 2, Upstream: "v", Outcome: keeper.RunDone, Resumed: true},
		{Task: members[1], Number: 1, Upstream: "v", Outcome: keeper.RunDone, Members: []unit.Upstream{"u", "v"}},
	} {
		got := seen.list[i]
		is.Equal(got.EndedAt-got.StartedAt, 250*clock.Millisecond)
		is.Equal(got.Job.Account, unit.ClientAccount("t"))
		got.Job, got.Step, got.StartedAt, got.EndedAt = nil, nil, 0, 0
		is.Equal(got, want)
	}
}

// TestObserverLeavesTheSnapshotAsItIs guards the stored format: an instance with an observer
// writes the same snapshot as one without. A copy of the state has a copy of the observer.
func TestObserverLeavesTheSnapshotAsItIs(t *testing.T) {
	is := is.New(t)
	with, without := keeper.New(), keeper.New()
	with.Observer = &ends{}
	for _, s := range []*keeper.State{with, without} {
		s.ApplyCommand(acceptJob(0, false))
		s.ApplyCommand(keeper.StartRun{Task: keeper.TaskID{Job: job(0)}, Number: 1, Upstream: "u", At: 100})
		s.ApplyCommand(keeper.EndRun{Task: keeper.TaskID{Job: job(0)}, Number: 1, Upstream: "u", Outcome: keeper.RunStopped, At: 200})
	}
	is.Equal(with.Snapshot(), without.Snapshot())
	clone, err := with.Clone()
	is.NoErr(err)
	is.Equal(len(clone.Observer.(*ends).list), 1)
	is.True(clone.Observer != with.Observer)
}
