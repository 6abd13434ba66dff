package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// TestPropertyPromisesUnderFaults drives a domain through random faults: lost
// and late orders, upstreams that crash, are reborn or cut off, and holders
// that vanish with what they hadn't committed. The fakes check each start, and
// once the faults are over all jobs end.
func TestPropertyPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		pick := rng.IntN
		w := newWorld(t, pick, 4)
		for range 150 {
			w.act()
			w.step(clock.Millis(5 + pick(120)))
		}
		w.settle()
	})
}

// act makes one random thing happen.
func (w *world) act() {
	u := w.upstreams[w.pick(len(w.upstreams))]
	switch w.pick(14) {
	case 0, 1, 2, 3:
		w.submit()
	case 4:
		w.cancel()
	case 5:
		u.cut = !u.cut
	case 6:
		u.up = false
	case 7:
		if !u.up {
			u.begin()
		}
	case 8:
		u.draining = !u.draining
	case 9:
		// The holder vanishes with what it hadn't committed.
		w.planner = nil
		w.deaf = w.now + clock.Millis(w.pick(2000))
	}
}

func (w *world) submit() {
	id := keeper.JobID(fmt.Sprintf("%016x", len(w.jobs)))
	work := keeper.Submission{Spec: "x"}
	for i := range 1 + w.pick(2) {
		s := keeper.Step{
			Count: 1 + w.pick(4), Gang: w.pick(3) == 0, Estimate: 500,
			Need: unit.Resources{CPU: unit.MilliCPU(500 + 500*w.pick(3)), Memory: 100 * unit.Megabyte},
		}
		if i > 0 {
			s.DependsOn = []int{0}
		}
		work.Steps = append(work.Steps, s)
	}
	if w.planner == nil || w.now < w.deaf {
		return
	}
	w.planner.HandleRequest(w.now, planner.Submit{Address: address(id), ID: id, Submission: work}, func(r planner.Reply) {
		if r.Code == planner.OK {
			w.jobs = append(w.jobs, id)
		}
	})
	w.commit()
}

func address(id keeper.JobID) planner.Address {
	return planner.Address{Host: "h", Path: "/q/" + string(id), APIKey: "k"}
}

func (w *world) cancel() {
	if len(w.jobs) == 0 || w.planner == nil || w.now < w.deaf {
		return
	}
	id := w.jobs[w.pick(len(w.jobs))]
	w.planner.HandleRequest(w.now, planner.Cancel{Address: address(id), ID: id}, func(r planner.Reply) {
		if r.Phase == keeper.Cancelled {
			w.cancelled[id] = true
		}
	})
	w.commit()
}

// settle ends the faults and checks that all jobs end as they may.
func (w *world) settle() {
	w.calm = true
	for _, u := range w.upstreams {
		u.cut, u.draining = false, false
		if !u.up {
			u.begin()
		}
	}
	for range 1200 {
		w.step(50)
	}
	for _, id := range w.jobs {
		j := w.log.Jobs[id]
		switch {
		case j == nil:
			w.flaw("the accepted job %s is gone", id)
		case w.cancelled[id] && j.Phase != keeper.Cancelled:
			w.flaw("the cancelled job %s is %d", id, j.Phase)
		case !j.Phase.IsFinal():
			w.flaw("the job %s never ends: %d live runs; the holder knows\n%s", id, j.LiveRunCount, w.planner.Describe())
		}
	}
	for _, u := range w.upstreams {
		if len(u.runs) > 0 {
			w.flaw("%s still runs %v", u.id, sorted(u.runs))
		}
		if h := w.log.Upstreams[u.id]; h != nil && !h.Used.IsZero() {
			w.flaw("%s counts %+v as used", u.id, h.Used)
		}
	}
}

func TestMaximumOfAccountIsKept(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, func(int) int { return 1 }, 4)
	w.calm = true
	w.log.ApplyCommand(keeper.SetConfig{Config: func() keeper.Config { c := config(3000); c.Version = 2; return c }()})
	w.takeOver()
	w.step(10)
	id := keeper.JobID("00000000000000aa")
	work := keeper.Submission{Steps: []keeper.Step{{Count: 12, Need: unit.Resources{CPU: 1000}}}}
	w.planner.HandleRequest(w.now, planner.Submit{Address: address(id), ID: id, Submission: work}, func(planner.Reply) {})
	most := unit.MilliCPU(0)
	for range 100 {
		w.step(50)
		sum := unit.MilliCPU(0)
		for _, u := range w.upstreams {
			sum += u.used().CPU
		}
		most = max(most, sum)
	}
	is.Equal(most, unit.MilliCPU(3000))
}
