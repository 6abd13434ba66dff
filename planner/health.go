package planner

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// quarantineAfter is the number of failed runs in a row, of those that are blamed on an
	// upstream, after which it gets no new tasks for a while. One failure isn't enough: a few
	// of a hundred runs fail by the task's own fault.
	quarantineAfter = 2
	// firstQuarantine is the duration of the first quarantine. It doubles with each further
	// failure, up to maxQuarantine.
	firstQuarantine = 2 * clock.Second
	maxQuarantine   = 16 * clock.Second
)

// health is the condition of an upstream as its runs have shown it.
type health struct {
	// failures counts the failed runs since the last successful one that are blamed on the
	// upstream.
	failures         int
	quarantinedUntil clock.Millis
}

func (h *health) isQuarantined(now clock.Millis) bool { return now < h.quarantinedUntil }

// Quarantine announces that an upstream gets no new tasks for a time. The driver logs it.
type Quarantine struct {
	Upstream unit.Upstream
	// Failures counts the failed runs in a row that are blamed on the upstream; a stalled run
	// isn't counted.
	Failures int
	Span     clock.Millis
}

func (Quarantine) effect() {}

// learnFromRun updates the health of the run's upstream, and what is known of its step, at the
// end of a run. The state's observer has learned the run's time.
func (p *Planner) learnFromRun(r *run, outcome keeper.RunOutcome) {
	u := p.upstreams[r.upstream]
	if u != nil && u.Incarnation != r.incarnation {
		u = nil
	}
	switch outcome {
	case keeper.RunDone:
		if u != nil {
			u.health = health{}
		}
		if s := p.steps[r.key.Task.StepID()]; s != nil {
			s.results.RecordSuccess()
		}
		p.invalidateForecasts(r.key.Task.StepID())
	case keeper.RunFailed:
		if u != nil {
			p.addFailure(r, u)
		}
	}
}

// addFailure records that a run has failed on an upstream. It quarantines the upstream if that
// is to blame, and has the step avoid it.
func (p *Planner) addFailure(r *run, u *upstream) {
	if p.blamesUpstream(r, u) {
		u.health.failures++
		if over := u.health.failures - quarantineAfter; over >= 0 {
			p.quarantine(u, min(firstQuarantine<<min(over, 8), maxQuarantine))
		}
	}
	s := p.steps[r.key.Task.StepID()]
	if s == nil || s.results.Failures(u.ID) < quarantineAfter || s.results.IsAtFault(p.countUpstreams(u.Service)) {
		return
	}
	if s.avoidedUntil == nil {
		s.avoidedUntil = map[unit.Upstream]clock.Millis{}
	}
	s.avoidedUntil[u.ID] = p.now + firstQuarantine
}

// blamesUpstream records that a run has failed or stalled on an upstream, and reports whether
// that is blamed on the upstream. Nothing is blamed on it for a job that has ended, since its
// results aren't known any more.
func (p *Planner) blamesUpstream(r *run, u *upstream) bool {
	if r.job == nil || r.job.Phase.IsFinal() {
		return false
	}
	s := p.steps[r.key.Task.StepID()]
	return s == nil || s.results.RecordFailure(u.ID, p.countUpstreams(u.Service))
}

func (p *Planner) countUpstreams(service string) int {
	n := 0
	for _, u := range p.byID {
		if u.Service == service {
			n++
		}
	}
	return n
}

// quarantine gives an upstream no new tasks for a time, unless more than half of the upstreams
// of its service would then be quarantined: if more seem to fail, the cause is elsewhere.
func (p *Planner) quarantine(u *upstream, span clock.Millis) {
	quarantined, all := 1, 0
	for _, o := range p.byID {
		if o.Service != u.Service {
			continue
		}
		all++
		if o != u && o.health.isQuarantined(p.now) {
			quarantined++
		}
	}
	if 2*quarantined > all || p.now+span <= u.health.quarantinedUntil {
		return
	}
	u.health.quarantinedUntil = p.now + span
	p.addEffect(Quarantine{Upstream: u.ID, Failures: u.health.failures, Span: span})
}

// avoids reports whether a step should rather run on other upstreams than the given one, which
// is quarantined or on which tasks of the step have failed.
func (p *Planner) avoids(s *step, u *upstream) bool {
	return u.health.isQuarantined(p.now) || p.now < s.avoidedUntil[u.ID]
}

// mustAvoid reports whether a step avoids an upstream and there is another on which it can run.
func (p *Planner) mustAvoid(s *step, u *upstream, service string) bool {
	return p.avoids(s, u) && slices.ContainsFunc(p.byID, func(o *upstream) bool {
		return p.isSuitable(s, o, service) && !p.avoids(s, o)
	})
}
