package planner

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

const (
	// quarantineAfter is the number of failed runs in a row after which an upstream gets no
	// new tasks for a while. One failure isn't enough: a few of a hundred runs fail by the
	// task's own fault.
	quarantineAfter = 2
	// firstQuarantine is the duration of the first quarantine. It doubles with each further
	// failure, up to maxQuarantine.
	firstQuarantine = 2 * clock.Second
	maxQuarantine   = 16 * clock.Second
)

// health is the condition of an upstream as its runs have shown it.
type health struct {
	// failures counts the failed runs since the last successful one.
	failures         int
	quarantinedUntil clock.Millis
}

func (h *health) isQuarantined(now clock.Millis) bool { return now < h.quarantinedUntil }

func (h *health) addOutcome(now clock.Millis, outcome keeper.RunOutcome) {
	switch outcome {
	case keeper.RunDone:
		h.failures, h.quarantinedUntil = 0, 0
	case keeper.RunFailed:
		h.failures++
		if over := h.failures - quarantineAfter; over >= 0 {
			h.quarantinedUntil = now + min(firstQuarantine<<min(over, 8), maxQuarantine)
		}
	}
}

// learnFromRun updates the upstream's health at the end of a run. The state's observer has
// learned the run's time.
func (p *Planner) learnFromRun(r *run, outcome keeper.RunOutcome) {
	if u := p.upstreams[r.upstream]; u != nil && u.Incarnation == r.incarnation {
		u.health.addOutcome(p.now, outcome)
	}
	if outcome == keeper.RunDone {
		p.invalidateForecasts(r.key.Task.StepID())
	}
}
