package queuer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// trustedRuns is how many runs make the learned run time count instead of
	// the declared one.
	trustedRuns = 3
	// smoothing is the weight of the past against one run.
	smoothing = 8
	// survivedTime is how long a task must have run to count as a success of
	// its work and its upstream before it ends; services may never end.
	survivedTime = 10 * clock.Second
	// assumedRunTime stands for a run time that is neither declared nor
	// learned.
	assumedRunTime = 10 * clock.Minute
)

// profile is what was learned of a work.
type profile struct {
	// size is the largest use that was seen lately.
	size    unit.Resources
	runTime clock.Millis
	runs    int
}

func (q *Queuer) profile(work unit.Workload) *profile {
	p := q.profiles[work]
	if p == nil {
		p = &profile{}
		q.profiles[work] = p
	}
	return p
}

// RecordUsage takes the measured use of a running task. What it uses beyond its
// charge is kept free on its upstream as far as there is room, and later
// tasks of the work are charged by it.
func (q *Queuer) RecordUsage(id unit.Task, usage unit.Resources) {
	r, running := q.cell.Placement(id)
	if !running || q.config.DeclaredSizes || !q.fair {
		return
	}
	if q.now-r.Started >= survivedTime {
		q.cell.RecordSuccess(r.Upstream, r.Workload)
	}
	usage = usage.Max(unit.Resources{})
	p := q.profile(r.Workload)
	p.size = p.size.Max(usage)
	if !usage.Fits(r.Charge) || !r.Extra.IsZero() {
		if q.cell.RecordUsage(id, usage) {
			q.overused[r.Upstream] = struct{}{}
		}
	}
}

// learnEnd learns the run time of a task that ran to its end, and lets a
// large size that isn't seen any more fade.
func (q *Queuer) learnEnd(now clock.Millis, r placer.Placement) {
	p := q.profile(r.Workload)
	ran := now - r.Started
	if p.runs == 0 {
		p.runTime = ran
	}
	p.runTime += (ran - p.runTime) / smoothing
	p.runs++
	whole := r.Charge.Add(r.Extra).Vector()
	size := p.size.Vector()
	need := r.Need.Vector()
	for d := range size {
		if size[d] > need[d] && size[d] > whole[d] {
			size[d] -= (size[d] - whole[d]) / smoothing
		}
	}
	p.size = unit.FromVector(size)
}

// charge is what a task is charged: the larger of declared and learned.
func (q *Queuer) charge(t placer.Task) unit.Resources {
	p := q.profiles[t.Workload]
	if p == nil || p.size.Fits(t.Need) {
		return t.Need
	}
	return q.cell.CappedCharge(t.Need, p.size)
}

// runTime is the learned or declared run time, 0 if neither is known.
func (q *Queuer) runTime(t placer.Task) clock.Millis {
	if p := q.profiles[t.Workload]; p != nil && p.runs >= trustedRuns {
		return max(p.runTime, clock.Millisecond)
	}
	return t.RunTime
}

// endsAt is the expected end. Services have none, but for short interactive
// work that is placed like one.
func (q *Queuer) endsAt(now clock.Millis, t placer.Task) clock.Millis {
	if run := q.runTime(t); run > 0 {
		return now + run
	}
	if _, is := t.Kind.(placer.Service); is {
		return placer.Never
	}
	return now + assumedRunTime
}
