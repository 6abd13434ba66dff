package queuer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

func TestWhy(t *testing.T) {
	work := kindOf("work", plain, size(1, 1, 1, 0), clock.Minute)
	cases := map[string]struct {
		prepare func(*world) *job
		reason  dispatcher.Reason
		detail  string
	}{
		"it depends on other work": {
			prepare: func(w *world) *job {
				j := of("a", work)
				j.DependsOn = []unit.Workload{"first"}
				return w.add(j)
			},
			reason: dispatcher.ReasonOverloaded, detail: "it starts after first",
		},
		"its team has no allotment": {
			prepare: func(w *world) *job { return w.add(of("none", work)) },
			reason:  dispatcher.ReasonTeamLimit, detail: "team none lacks 1000 mCPU, 1000 MB of memory, 1 slots of its allotment in this zone",
		},
		"no upstream has room": {
			prepare: func(w *world) *job {
				w.add(of("a", once(kindOf("large", plain, size(8, 1, 1, 0), clock.Minute))))
				return w.add(of("b", work))
			},
			reason: dispatcher.ReasonOverloaded, detail: "no upstream has 1000 mCPU, 1000 MB of memory, 1 slots free",
		},
		"a gang isn't complete": {
			prepare: func(w *world) *job {
				return w.add(of("a", kindOf("gang", placer.Gang{ID: "gang", Size: 2}, size(1, 1, 1, 0), clock.Minute)))
			},
			reason: dispatcher.ReasonOverloaded, detail: "only 1 of the 2 tasks that start together were submitted",
		},
		"a gang is larger than the cell": {
			prepare: func(w *world) *job {
				w.add(of("a", kindOf("gang", placer.Gang{ID: "gang", Size: 2}, size(8, 1, 1, 0), clock.Minute)))
				return w.add(of("a", kindOf("gang", placer.Gang{ID: "gang", Size: 2}, size(8, 1, 1, 0), clock.Minute)))
			},
			reason: dispatcher.ReasonNeverFits, detail: "the upstreams of the zone together don't hold 2 times 8000 mCPU, 1000 MB of memory, 1 slots",
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := cell(1, "a", "b")
			j := tt.prepare(w)
			w.advance(clock.Second, nil)
			why, waiting := w.q.WaitReason(j.ID)
			is.True(waiting)
			is.Equal(why.Reason, tt.reason)
			is.Equal(why.Detail, tt.detail)
			is.True(why.Remedy != "")
			is.Equal(w.q.Status(10).First[0].Why, why)
		})
	}
}

func TestRejects(t *testing.T) {
	work := of("a", kindOf("work", plain, size(1, 1, 1, 0), clock.Minute))
	cases := map[string]struct {
		prepare func(*world) *job
		reason  dispatcher.Reason
	}{
		"a dependency fails": {
			prepare: func(w *world) *job {
				j := work
				j.DependsOn = []unit.Workload{"first"}
				added := w.add(j)
				w.q.ResolveDependency("first", false)
				return added
			},
			reason: dispatcher.ReasonDependencyFailed,
		},
		"the deadline passes": {
			prepare: func(w *world) *job {
				j := work
				j.Team = "none"
				j.StartDeadline = w.now + 10*clock.Second
				return w.add(j)
			},
			reason: dispatcher.ReasonDeadline,
		},
		"the upstream it needs is gone for good": {
			prepare: func(w *world) *job {
				w.q.SetUpstream(w.now, placer.Upstream{ID: "large", Capacity: size(32, 32, 8, 8), Unschedulable: true})
				j := work
				j.Need = size(16, 1, 1, 0)
				added := w.add(j)
				w.q.RemoveUpstream(w.now, "large")
				return added
			},
			reason: dispatcher.ReasonNeverFits,
		},
		"a gang is larger than the cell": {
			prepare: func(w *world) *job {
				j := of("a", kindOf("gang", placer.Gang{ID: "gang", Size: 2}, size(8, 1, 1, 0), clock.Minute))
				w.add(j)
				return w.add(j)
			},
			reason: dispatcher.ReasonNeverFits,
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := cell(1, "a")
			j := tt.prepare(w)
			other := w.add(work)
			var reason dispatcher.Reason
			for w.now < 10*clock.Minute && reason == "" {
				w.now += clock.Second
				for _, d := range w.q.Decide(w.now, 100) {
					if r, is := d.(Reject); is && r.Task == j.ID {
						reason = r.Refusal.Reason
					}
					if s, is := d.(Start); is && s.Task == other.ID {
						other.running = true
					}
				}
			}
			is.Equal(reason, tt.reason)
			is.True(other.running) // it held up nobody
		})
	}
}

func TestCancelWave(t *testing.T) {
	is := is.New(t)
	w := cell(4, "a")
	w.advance(clock.Second, nil)
	var ids []unit.Task
	for i := range 10_000 {
		j := kindOf("work", checkpointed, size(1+i%8, 1, 1, 0), clock.Second)
		ids = append(ids, w.add(of("a", j)).ID)
	}
	w.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		is.True(w.q.Cancel(w.now, id))
		is.True(!w.q.Cancel(w.now, id)) // a repeated call is harmless
	}
	is.Equal(w.q.Waiting(), 0)
	is.Equal(len(w.q.lanes), 0)
	is.Equal(len(w.q.Decide(w.now, 100)), 0)
}

// TestGivesBack shows that excess that isn't used is given back, the same part
// until its fate is known, and nothing that a predecessor may use.
func TestGivesBack(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	allotted := map[unit.Team]unit.Resources{"a": size(10, 0, 0, 0)}
	excess := map[unit.Team]unit.Resources{"a": size(4, 0, 0, 0)}
	is.Equal(len(q.AdjustAllotments(allotted, excess)), 0) // SetInherited may follow
	q.SetInherited("a", allotted["a"])
	q.Decide(clock.Second, 1)
	is.Equal(len(q.AdjustAllotments(allotted, excess)), 0)
	q.Adopt(clock.Second, placer.Task{ID: "t", Team: "a", Kind: plain, Need: size(7, 0, 0, 0)}, "u")
	q.ClearInherited("a")
	part := map[unit.Team]unit.Resources{"a": size(3, 0, 0, 0)}
	is.Equal(q.AdjustAllotments(allotted, excess), part)
	q.FinishTask(clock.Second, "t", Succeeded{})
	is.Equal(q.AdjustAllotments(allotted, excess), part) // one at a time
	q.FinishRelease("a", size(7, 0, 0, 0), size(1, 0, 0, 0))
	left := q.AdjustAllotments(map[unit.Team]unit.Resources{"a": size(7, 0, 0, 0)}, map[unit.Team]unit.Resources{"a": size(1, 0, 0, 0)})
	is.Equal(left, map[unit.Team]unit.Resources{"a": size(1, 0, 0, 0)})
}
