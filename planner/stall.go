package planner

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

const (
	// A run is overdue overdueSlack after the high quantile of its forecast. One task in ten
	// takes as long, so an overdue run is polled and stopped only if it makes no progress.
	overdueSlack = 300 * clock.Millisecond
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
				r.overdueAt = r.ackedAt + p.overdueAfter(r)
				r.nextCheckAt = r.overdueAt + overdueSlack
				continue
			}
			r.overdue = true
			r.nextCheckAt = p.now + stallPollInterval
			p.pollNow(u)
		}
	}
}

// overdueAfter returns the time after its start was answered from which on a run is overdue:
// the high quantile of its forecast.
func (p *Planner) overdueAfter(r *run) clock.Millis {
	f, ok := p.forecastRun(r)
	switch {
	case ok:
		return f.Quantile(highQuantile)
	case r.spec == nil || r.job.Phase.IsFinal():
		return clock.Minute
	}
	return clock.Day
}

// checkProgress stops the stalled runs of an upstream, and quarantines it if any of them is
// blamed on it.
func (p *Planner) checkProgress(u *upstream) {
	blamed := false
	for _, r := range u.liveRuns {
		if r.stopRequested || r.ackedAt == 0 || r.nextCheckAt == 0 || p.now < r.overdueAt {
			continue
		}
		// A gang member that has finished waits for the others.
		if r.percent >= 100 || p.now-r.progressAt < stallAfter {
			continue
		}
		p.requestStop(r, p.now)
		p.sweepAt = p.now
		blamed = p.blamesUpstream(r, u) || blamed
	}
	if blamed {
		p.quarantine(u, stallQuarantine)
	}
}

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
