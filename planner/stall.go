package planner

import (
	"math"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

const (
	// overdueFactor and overdueSlack say from when on a run is looked at: one
	// task in twelve takes more than twice its predicted time.
	overdueFactor = 2
	overdueSlack  = 300 * clock.Millisecond
	// stallAfter is for how long a run that is overdue must show no progress to
	// count as standing still. A task of 40 s makes a hundredth in that time.
	stallAfter = 400 * clock.Millisecond
	// stallRecheck is the time between two peeks at an overdue run.
	stallRecheck = 450 * clock.Millisecond
	// hangQuarantine is for how long an upstream on which a run stood still
	// gets no new work.
	hangQuarantine = 4 * clock.Second
)

// PollNow asks for a look at an upstream that doesn't wait for an end.
type PollNow struct{ Target Target }

func (PollNow) effect() {}

// peek asks for a look at a host, unless one is under way.
func (p *Planner) peek(h *host) {
	if h.peeking || h.dead {
		return
	}
	h.peeking = true
	p.effect(PollNow{Target: h.target()})
}

// PollNowDone says that a peek has ended, after its answer was given to HandlePollResult or
// HandlePollFailure.
func (p *Planner) PollNowDone(to Target) {
	if h := p.hosts[to.ID]; h != nil {
		h.peeking = false
	}
}

// sweepOverdue peeks at the upstreams of runs that take too long.
func (p *Planner) sweepOverdue() {
	for _, h := range p.byID {
		if !h.claimed || h.failing {
			continue
		}
		for _, r := range h.live {
			if r.stopWanted || r.ackedAt == 0 || p.now < r.checkAt {
				continue
			}
			if r.checkAt == 0 {
				r.checkAt = r.ackedAt + overdueFactor*p.predictRun(r) + overdueSlack
				continue
			}
			r.checkAt = p.now + stallRecheck
			p.peek(h)
		}
	}
}

// predictRun returns how long a run was expected to take.
func (p *Planner) predictRun(r *run) clock.Millis {
	switch {
	case r.spec == nil || r.job.Phase.IsFinal():
		return clock.Minute
	case r.spec.LongRunning:
		return clock.Day
	}
	return p.forecastOf(r.job).predict(r.spec.Estimate)
}

// checkProgress stops the runs of a host that stand still.
func (p *Planner) checkProgress(h *host) {
	hung := 0
	for _, r := range h.live {
		if r.stopWanted || r.ackedAt == 0 || r.checkAt == 0 || p.now < r.ackedAt+overdueFactor*p.predictRun(r) {
			continue
		}
		// A gang's member that has done its work waits for the others.
		stalled := r.percent < 100 && p.now-r.movedAt >= stallAfter
		if stalled {
			hung++
		}
		if stalled {
			p.wantStop(r, p.now)
			p.sweepAt = p.now
		}
	}
	if hung > 0 {
		h.record.until = max(h.record.until, p.now+hangQuarantine)
	}
}

const (
	// slowMemory is the weight of a new comparison in an upstream's slowness.
	slowMemory = 0.15
	// slowForget is the time in which an upstream's slowness halves without
	// new runs, so that it is tried again.
	slowForget = 10 * clock.Second
)

// timing is how long a task of a step took on an upstream.
type timing struct {
	host *host
	took clock.Millis
}

// compare learns which upstreams are slow from the tasks of a step, which
// take about the same time on equal upstreams.
func (p *Planner) compare(s *step, r *run) {
	h := p.hosts[r.host]
	if h == nil || s.spec.Gang || r.resumed || r.ackedAt == 0 {
		return
	}
	s.timings = append(s.timings, timing{h, max(p.now-r.ackedAt, 1)})
	if len(s.timings) < s.spec.Count || s.spec.Count < 2 {
		return
	}
	mean := 0.0
	for _, t := range s.timings {
		mean += math.Log(float64(t.took)) / float64(len(s.timings))
	}
	for _, t := range s.timings {
		t.host.record.compare(p.now, math.Log(float64(t.took))-mean)
	}
	s.timings = nil
}

// compare notes how much longer than others a task took, as a logarithm.
func (r *record) compare(now clock.Millis, longer float64) {
	r.slow = r.slowNow(now) + slowMemory*(longer-r.slowNow(now))
	r.slowAt = now
}

func (r *record) slowNow(now clock.Millis) float64 {
	return r.slow * math.Exp2(-float64(now-r.slowAt)/float64(slowForget))
}

// slowness is the time that a task takes on an upstream against the usual one.
func (r *record) slowness(now clock.Millis) float64 { return math.Exp(r.slowNow(now)) }

// doubt looks for a run whose start got no answer.
func (p *Planner) doubt(r *run) {
	r.unanswered, r.unansweredAt = true, p.now
	if h := p.hosts[r.host]; h != nil {
		h.failing = true
		p.peek(h)
	}
}

// stopDoubtful stops the runs whose start got no answer and that a look which
// was sent after that doesn't list.
func (p *Planner) stopDoubtful(h *host, listed map[keeper.RunKey]bool, sentAt clock.Millis) {
	for _, r := range h.live {
		if !r.unanswered || r.stopWanted || listed[r.key] || sentAt < r.unansweredAt {
			continue
		}
		p.wantStop(r, p.now)
		p.sweepAt = p.now
		p.stopGang(r.key, 0)
	}
}
