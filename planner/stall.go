package planner

import (
	"math"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

const (
	// A run is overdue after overdueFactor times its predicted time plus overdueSlack. One
	// task in twelve takes more than twice its predicted time.
	overdueFactor = 2
	overdueSlack  = 300 * clock.Millisecond
	// stallAfter is how long an overdue run must make no progress to count as stalled. A
	// task of 40 s makes 1% of progress in that time.
	stallAfter = 400 * clock.Millisecond
	// stallPollInterval is the time between two polls for an overdue run.
	stallPollInterval = 450 * clock.Millisecond
	// stallQuarantine is how long an upstream with a stalled run gets no new tasks.
	stallQuarantine = 4 * clock.Second
)

// PollNow asks for a poll that the upstream answers at once, without waiting for an end.
type PollNow struct{ Target Target }

func (PollNow) effect() {}

// pollNow requests an immediate poll of an upstream unless one is in progress.
func (p *Planner) pollNow(u *upstream) {
	if u.pollingNow || u.ended {
		return
	}
	u.pollingNow = true
	p.addEffect(PollNow{Target: u.target()})
}

// PollNowDone tells the planner that an immediate poll has ended. The driver must call
// HandlePollResult or HandlePollFailure first.
func (p *Planner) PollNowDone(to Target) {
	if u := p.upstreams[to.ID]; u != nil {
		u.pollingNow = false
	}
}

// sweepOverdue polls the upstreams of overdue runs.
func (p *Planner) sweepOverdue() {
	for _, u := range p.byID {
		if !u.tokenAcked || u.failing {
			continue
		}
		for _, r := range u.liveRuns {
			if r.stopRequested || r.ackedAt == 0 || p.now < r.nextCheckAt {
				continue
			}
			if r.nextCheckAt == 0 {
				r.nextCheckAt = r.ackedAt + overdueFactor*p.predictRun(r) + overdueSlack
				continue
			}
			r.nextCheckAt = p.now + stallPollInterval
			p.pollNow(u)
		}
	}
}

// predictRun returns the predicted running time of a run.
func (p *Planner) predictRun(r *run) clock.Millis {
	switch {
	case r.spec == nil || r.job.Phase.IsFinal():
		return clock.Minute
	case r.spec.LongRunning:
		return clock.Day
	}
	return p.forecastOf(r.job).predict(r.spec.Estimate)
}

// checkProgress stops the stalled runs of an upstream and quarantines it if there are any.
func (p *Planner) checkProgress(u *upstream) {
	stalledRuns := 0
	for _, r := range u.liveRuns {
		if r.stopRequested || r.ackedAt == 0 || r.nextCheckAt == 0 || p.now < r.ackedAt+overdueFactor*p.predictRun(r) {
			continue
		}
		// A gang member that has finished waits for the others.
		stalled := r.percent < 100 && p.now-r.progressAt >= stallAfter
		if stalled {
			stalledRuns++
		}
		if stalled {
			p.requestStop(r, p.now)
			p.sweepAt = p.now
		}
	}
	if stalledRuns > 0 {
		u.health.quarantinedUntil = max(u.health.quarantinedUntil, p.now+stallQuarantine)
	}
}

const (
	// slownessWeight is the weight of a new comparison in an upstream's slowness.
	slownessWeight = 0.15
	// slownessHalfLife is the time in which an upstream's slowness halves without new runs,
	// so that the upstream is tried again.
	slownessHalfLife = 10 * clock.Second
)

// timing is how long a task of a step took on an upstream.
type timing struct {
	upstream *upstream
	took     clock.Millis
}

// compareTimings updates the slowness of upstreams once all tasks of a step are done. The
// tasks of a step take about the same time on equal upstreams.
func (p *Planner) compareTimings(s *step, r *run) {
	u := p.upstreams[r.upstream]
	if u == nil || s.spec.Gang || r.resumed || r.ackedAt == 0 {
		return
	}
	s.timings = append(s.timings, timing{u, max(p.now-r.ackedAt, 1)})
	if len(s.timings) < s.spec.Count || s.spec.Count < 2 {
		return
	}
	mean := 0.0
	for _, t := range s.timings {
		mean += math.Log(float64(t.took)) / float64(len(s.timings))
	}
	for _, t := range s.timings {
		t.upstream.health.addTiming(p.now, math.Log(float64(t.took))-mean)
	}
	s.timings = nil
}

// addTiming adds a task's running time to the slowness. longer is the logarithm of that
// time relative to the mean of its step.
func (h *health) addTiming(now clock.Millis, longer float64) {
	h.logSlowness = h.logSlownessAt(now) + slownessWeight*(longer-h.logSlownessAt(now))
	h.slownessAt = now
}

func (h *health) logSlownessAt(now clock.Millis) float64 {
	return h.logSlowness * math.Exp2(-float64(now-h.slownessAt)/float64(slownessHalfLife))
}

// slowness returns the expected running time of a task on the upstream, relative to the
// usual time.
func (h *health) slowness(now clock.Millis) float64 { return math.Exp(h.logSlownessAt(now)) }

// pollAfterIndeterminate polls an upstream to find out whether it has executed a start
// whose result is indeterminate.
func (p *Planner) pollAfterIndeterminate(r *run) {
	r.indeterminate, r.indeterminateAt = true, p.now
	if u := p.upstreams[r.upstream]; u != nil {
		u.failing = true
		p.pollNow(u)
	}
}

// stopUnlistedStarts stops the runs whose start has an indeterminate result and that the
// answer to a later poll doesn't list.
func (p *Planner) stopUnlistedStarts(u *upstream, listed map[keeper.RunKey]bool, sentAt clock.Millis) {
	for _, r := range u.liveRuns {
		if !r.indeterminate || r.stopRequested || listed[r.key] || sentAt < r.indeterminateAt {
			continue
		}
		p.requestStop(r, p.now)
		p.sweepAt = p.now
		p.stopGang(r.key, 0)
	}
}
