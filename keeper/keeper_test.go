package keeper_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func job(n int) keeper.JobID { return keeper.JobID(fmt.Sprintf("%016x", n)) }

func upstream(n int) unit.Upstream { return unit.Upstream(fmt.Sprintf("u%d", n)) }

// drawCommand draws a command, sensible or not: the state must take any.
func drawCommand(t *rapid.T) keeper.Command {
	small := func(label string) int { return rapid.IntRange(0, 2).Draw(t, label) }
	task := keeper.TaskID{Job: job(small("job")), Step: small("step"), Index: small("index")}
	number, life := 1+small("number"), keeper.Incarnation(small("life"))
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return keeper.SetConfig{Config: keeper.Config{Version: int64(small("version")), Document: []byte("{}")}}
	case 1:
		return keeper.SetUpstream{Upstream: keeper.Upstream{ID: upstream(small("upstream")), Incarnation: life, Labels: []string{"a"}}}
	case 2:
		return keeper.RemoveUpstream{ID: upstream(small("upstream")), Incarnation: life}
	case 3:
		return keeper.EndJob{ID: task.Job, Phase: keeper.Cancelled}
	case 4:
		return keeper.ForgetJob{ID: task.Job}
	case 5:
		return keeper.AckEnds{Upstream: upstream(small("upstream")), Incarnation: life, EndSeq: int64(number)}
	case 6:
		return keeper.EndRun{
			Task: task, Number: number, Upstream: upstream(small("upstream")), Incarnation: life,
			Outcome: keeper.RunOutcome(rapid.IntRange(0, 6).Draw(t, "how")), EndSeq: int64(small("noted")),
		}
	default:
		return keeper.StartRun{Task: task, Number: number, Upstream: upstream(small("upstream")), Incarnation: life}
	}
}

func accept(n int, gang bool) keeper.Command {
	return keeper.AcceptJob{ID: job(n), Account: "t", Submission: keeper.Submission{Spec: "x", Steps: []keeper.Step{
		{Count: 3, Need: unit.Resources{CPU: 100}},
		{Count: 3, Need: unit.Resources{CPU: 200}, DependsOn: []int{0}, Gang: gang},
		{Count: 3, Need: unit.Resources{CPU: 300}},
	}}}
}

// TestPropertyCopiesAreEqual holds a state that was restored halfway against
// one that applied everything, through the encoding of the log.
func TestPropertyCopiesAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := append([]keeper.Command{accept(0, false), accept(1, true), accept(2, false)},
			rapid.SliceOfN(rapid.Custom(drawCommand), 1, 80).Draw(t, "commands")...)
		half := rapid.IntRange(0, len(list)).Draw(t, "half")
		whole, first, second := keeper.New(), keeper.New(), keeper.New()
		whole.Apply(1, keeper.EncodeBatch(list))
		first.Apply(1, keeper.EncodeBatch(list[:half]))
		if err := second.Restore(first.Snapshot()); err != nil {
			t.Fatal(err)
		}
		second.Apply(2, keeper.EncodeBatch(list[half:]))
		if string(whole.Snapshot()) != string(second.Snapshot()) {
			t.Fatalf("the copies differ")
		}
		checkUsed(t, whole)
	})
}

// checkUsed holds what upstreams and accounts count as used against the runs.
func checkUsed(t *rapid.T, s *keeper.State) {
	var all unit.Resources
	for _, j := range s.Jobs {
		live := 0
		for _, o := range j.Occurrences {
			for i, st := range o.Steps {
				for _, task := range st.Tasks {
					live += len(task.LiveRuns)
					for range task.LiveRuns {
						all = all.Add(j.Submission.Steps[i].Need)
					}
				}
			}
		}
		if live != j.LiveRunCount {
			t.Fatalf("job %s counts %d live runs and has %d", j.ID, j.LiveRunCount, live)
		}
	}
	// A forgotten job is dropped with its runs; the holder forgets none that
	// has any.
	for _, h := range s.Upstreams {
		var sum unit.Resources
		for _, held := range h.Runs {
			sum = sum.Add(held.Need)
		}
		if sum != h.Used {
			t.Fatalf("upstream %s counts %+v and holds %+v", h.ID, h.Used, sum)
		}
	}
}

func TestJobCompletesOnceAllTasksAreDone(t *testing.T) {
	is := is.New(t)
	s := keeper.New()
	s.ApplyCommand(accept(0, true))
	for step := range 3 {
		for x := range 3 {
			id := keeper.TaskID{Job: job(0), Step: step, Index: x}
			s.ApplyCommand(keeper.StartRun{Task: id, Number: 1, Upstream: "u"})
			is.Equal(s.Jobs[job(0)].Phase, keeper.Running)
			s.ApplyCommand(keeper.EndRun{Task: id, Number: 1, Upstream: "u", Outcome: keeper.RunDone})
			s.ApplyCommand(keeper.EndRun{Task: id, Number: 1, Upstream: "u", Outcome: keeper.RunDone})
		}
	}
	is.Equal(s.Jobs[job(0)].Phase, keeper.Completed)
	is.True(s.Used["t"].IsZero())
}

func TestOneEndOfAGangSpeaksForAll(t *testing.T) {
	is := is.New(t)
	s := keeper.New()
	s.ApplyCommand(keeper.AcceptJob{ID: job(0), Submission: keeper.Submission{Steps: []keeper.Step{{Count: 2, Gang: true}}}})
	for x := range 2 {
		s.ApplyCommand(keeper.StartRun{Task: keeper.TaskID{Job: job(0), Index: x}, Number: 1, Upstream: "u"})
	}
	s.ApplyCommand(keeper.EndRun{Task: keeper.TaskID{Job: job(0), Index: 1}, Number: 1, Upstream: "u", Outcome: keeper.RunDone})
	is.Equal(s.Jobs[job(0)].Phase, keeper.Completed)
	is.Equal(s.Jobs[job(0)].LiveRunCount, 1) // the other member's end isn't listed yet
}

func TestFailuresOfAGangCountOncePerRun(t *testing.T) {
	is := is.New(t)
	s := keeper.New()
	s.ApplyCommand(keeper.AcceptJob{ID: job(0), Submission: keeper.Submission{Steps: []keeper.Step{{Count: 2, Gang: true}}}})
	for x := range 2 {
		id := keeper.TaskID{Job: job(0), Index: x}
		s.ApplyCommand(keeper.StartRun{Task: id, Number: 1, Upstream: "u"})
		s.ApplyCommand(keeper.EndRun{Task: id, Number: 1, Upstream: "u", Outcome: keeper.RunFailed})
	}
	_, st, _ := s.LookupTask(keeper.TaskID{Job: job(0)})
	is.Equal(st.Failures, 1)
}
