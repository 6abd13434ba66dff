package placer

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// TestMain fixes the seed of the property tests, so that each run has the same
// result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestIndex compares the index with a sorted list after each of a sequence of
// random changes.
func TestIndex(t *testing.T) {
	amount := rapid.Int64Range(-2, 5)
	rapid.Check(t, func(t *rapid.T) {
		ix := newIndex()
		ranks := map[int32]int64{}
		amounts := map[int32]vector{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			slot := rapid.Int32Range(0, 20).Draw(t, "slot")
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				ix.remove(slot)
				delete(amounts, slot)
			} else {
				ranks[slot] = rapid.Int64Range(0, 4).Draw(t, "rank")
				amounts[slot] = vector{amount.Draw(t, "a"), amount.Draw(t, "b"), 0, 0, 0}
				ix.put(slot, ranks[slot], amounts[slot])
			}
			need := vector{amount.Draw(t, "needA"), amount.Draw(t, "needB"), 0, 0, 0}
			want := []int32{}
			for slot, have := range amounts {
				if covers(&have, &need) {
					want = append(want, slot)
				}
			}
			slices.SortFunc(want, func(a, b int32) int {
				return compare(ranks[a]*1000+int64(a), ranks[b]*1000+int64(b))
			})
			up, down := []int32{}, []int32{}
			ix.ascend(&need, func(slot int32) bool { up = append(up, slot); return true })
			ix.descend(&need, func(slot int32) bool { down = append(down, slot); return true })
			slices.Reverse(down)
			if !slices.Equal(up, want) || !slices.Equal(down, want) {
				t.Fatalf("need %v: ascend visits %v, descend reversed visits %v, want %v", need, up, down, want)
			}
		}
	})
}

func cores(n int) unit.Resources { return unit.Resources{CPU: unit.MilliCPU(n) * unit.Core} }

func newTestCell(scorer Scorer, capacities ...int) *Cell {
	c := NewCell(scorer)
	for i, n := range capacities {
		c.SetUpstream(0, Upstream{ID: unit.Upstream(fmt.Sprint("u", i)), Rack: unit.Rack(fmt.Sprint("r", i/2)), Capacity: cores(n)})
	}
	return c
}

func TestFind(t *testing.T) {
	cases := map[string]struct {
		scorer Scorer
		used   []int
		kind   Kind
		want   unit.Upstream
	}{
		"first fit takes the first":     {scorer: FirstFit{}, used: []int{0, 4, 2, 6}, kind: Batch{}, want: "u0"},
		"best fit takes the tightest":   {scorer: BestFit{}, used: []int{0, 4, 2, 6}, kind: Batch{}, want: "u3"},
		"least sum takes the tightest":  {scorer: LeastSum{}, used: []int{0, 4, 2, 6}, kind: Gang{}, want: "u3"},
		"aligned takes what fits":       {scorer: Aligned{}, used: []int{8, 8, 8, 6}, kind: Batch{}, want: "u3"},
		"a service takes the emptiest":  {scorer: BestFit{}, used: []int{3, 4, 2, 6}, kind: Service{}, want: "u2"},
		"batch fits on no upstream":     {scorer: BestFit{}, used: []int{8, 8, 8, 7}, kind: Batch{}},
		"a service fits on no upstream": {scorer: BestFit{}, used: []int{8, 8, 7, 7}, kind: Service{}},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCell(tt.scorer, 8, 8, 8, 8)
			for i, n := range tt.used {
				id := unit.Task(fmt.Sprint("t", i))
				c.Place(Placement{Task: Task{ID: id, Kind: Batch{}}, Charge: cores(n), Upstream: unit.Upstream(fmt.Sprint("u", i))})
			}
			got, ok := c.Find(Task{Kind: tt.kind, Workload: "work"}, cores(2))
			is.Equal(got, tt.want)
			is.Equal(ok, tt.want != "")
		})
	}
}

// TestPlacePanicsBeyondCapacity checks that Place panics instead of
// overcommitting an upstream.
func TestPlacePanicsBeyondCapacity(t *testing.T) {
	is := is.New(t)
	c := newTestCell(BestFit{}, 2)
	defer func() { is.True(recover() != nil) }()
	c.Place(Placement{Task: Task{ID: "t", Kind: Batch{}}, Charge: cores(3), Upstream: "u0"})
}

func TestOverCapacityVictims(t *testing.T) {
	is := is.New(t)
	c := newTestCell(BestFit{}, 8)
	for i := range 4 {
		c.Place(Placement{Task: Task{ID: unit.Task(fmt.Sprint("t", i)), Kind: Batch{}}, Charge: cores(2), Upstream: "u0"})
	}
	c.SetUpstream(0, Upstream{ID: "u0", Capacity: cores(5)})
	cost := func(Placement) int64 { return 0 }
	stops := c.OverCapacityVictims("u0", cost)
	is.Equal(len(stops), 2)
	is.Equal(stops[0].ID, unit.Task("t3")) // the last started loses the least progress
	for _, s := range stops {
		is.True(c.MarkStopping(s.ID))
		is.True(!c.MarkStopping(s.ID)) // told to stop only once
	}
	is.Equal(len(c.OverCapacityVictims("u0", cost)), 0)
	_, ok := c.Find(Task{Kind: Batch{}}, cores(1))
	is.True(!ok) // stopping tasks stay charged until they have ended
	c.RemoveTask("t3")
	c.RemoveTask("t2")
	_, ok = c.Find(Task{Kind: Batch{}}, cores(1))
	is.True(ok)
}

func TestPlanStarts(t *testing.T) {
	is := is.New(t)
	c := newTestCell(BestFit{}, 8, 8, 8)
	for i, ends := range []clock.Millis{30 * clock.Second, 10 * clock.Second, Never} {
		c.Place(Placement{Task: Task{ID: unit.Task(fmt.Sprint("t", i)), Kind: Service{}}, Charge: cores(8), Upstream: unit.Upstream(fmt.Sprint("u", i)), EstimatedEnd: ends})
	}
	spare := func(Placement) int64 { return -1 }
	places, ok := c.PlanStarts(0, cores(4), 3, spare)
	is.True(ok)
	is.Equal(places, []PlannedStart{{"u1", 10 * clock.Second}, {"u1", 10 * clock.Second}, {"u0", 30 * clock.Second}})
	_, ok = c.PlanStarts(0, cores(4), 5, spare)
	is.True(!ok) // a service never ends
}

func TestCappedCharge(t *testing.T) {
	cases := map[string]struct{ need, learned, want int }{
		"learned less":                   {need: 4, learned: 2, want: 4},
		"learned more":                   {need: 4, learned: 6, want: 6},
		"learned beyond every capacity":  {need: 4, learned: 20, want: 16},
		"declared beyond every capacity": {need: 20, learned: 30, want: 20},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(newTestCell(BestFit{}, 8, 16).CappedCharge(cores(tt.need), cores(tt.learned)), cores(tt.want))
		})
	}
}
