package queuer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// trustedRuns is after how many runs the learned run time replaces the
	// declared one.
	trustedRuns = 3
	// smoothing is the divisor of the moving averages: each run moves them by
	// 1/smoothing of its difference.
	smoothing = 8
	// successAfter is how long a task must have run to count as a success of
	// its workload and its upstream before it ends. Services may never end.
	successAfter = 10 * clock.Second
	// defaultRunTime is used if the run time is neither declared nor learned.
	defaultRunTime = 10 * clock.Minute
)

// profile holds the usage and run time learned from a workload's tasks.
type profile struct {
	// usage is the largest measured usage of a task. It decreases slowly while
	// tasks use less.
	usage unit.Resources
	// runTime is a moving average of the run times of tasks that succeeded.
	runTime clock.Millis
	// runs is the number of those tasks.
	runs int
}

func (q *Queuer) profile(workload unit.Workload) *profile {
	prof := q.profiles[workload]
	if prof == nil {
		prof = &profile{}
		q.profiles[workload] = prof
	}
	return prof
}

// RecordUsage records the measured usage of a running task. Usage above the task's
// charge is charged to its upstream as far as it has free capacity. Later tasks
// of the workload are charged by the recorded usage.
func (q *Queuer) RecordUsage(id unit.Task, usage unit.Resources) {
	p, running := q.cell.Placement(id)
	if !running || q.config.DeclaredSizes || !q.fair {
		return
	}
	if q.now-p.Started >= successAfter {
		q.cell.RecordSuccess(p.Upstream, p.Workload)
	}
	usage = usage.Max(unit.Resources{})
	prof := q.profile(p.Workload)
	prof.usage = prof.usage.Max(usage)
	if !usage.Fits(p.Charge) || !p.Extra.IsZero() {
		if q.cell.RecordUsage(id, usage) {
			q.overused[p.Upstream] = struct{}{}
		}
	}
}

// learnFromEnd learns the run time of a task that succeeded, and decreases the
// learned usage if the task was charged less.
func (q *Queuer) learnFromEnd(now clock.Millis, p placer.Placement) {
	prof := q.profile(p.Workload)
	ran := now - p.Started
	if prof.runs == 0 {
		prof.runTime = ran
	}
	prof.runTime += (ran - prof.runTime) / smoothing
	prof.runs++
	charged := p.Charge.Add(p.Extra).Vector()
	learned := prof.usage.Vector()
	need := p.Need.Vector()
	for d := range learned {
		if learned[d] > need[d] && learned[d] > charged[d] {
			learned[d] -= (learned[d] - charged[d]) / smoothing
		}
	}
	prof.usage = unit.FromVector(learned)
}

// chargeFor returns what a task is charged: the larger of its declared need and
// its workload's learned usage.
func (q *Queuer) chargeFor(t placer.Task) unit.Resources {
	prof := q.profiles[t.Workload]
	if prof == nil || prof.usage.Fits(t.Need) {
		return t.Need
	}
	return q.cell.CappedCharge(t.Need, prof.usage)
}

// expectedRunTime returns the learned or declared run time, 0 if neither is known.
func (q *Queuer) expectedRunTime(t placer.Task) clock.Millis {
	if prof := q.profiles[t.Workload]; prof != nil && prof.runs >= trustedRuns {
		return max(prof.runTime, clock.Millisecond)
	}
	return t.RunTime
}

// estimatedEnd returns when a task that starts now is expected to end. A service
// never does, unless it has a run time: short interactive tasks are placed as
// services too.
func (q *Queuer) estimatedEnd(now clock.Millis, t placer.Task) clock.Millis {
	if runTime := q.expectedRunTime(t); runTime > 0 {
		return now + runTime
	}
	if _, ok := t.Kind.(placer.Service); ok {
		return placer.Never
	}
	return now + defaultRunTime
}
