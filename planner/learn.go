package planner

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

const (
	// quarantineAfter is how many runs must fail in a row for an upstream to
	// get no new work for a while. Tasks fail by their own fault too, in a few
	// of a hundred runs.
	quarantineAfter = 2
	// quarantine is the first time without new work; it doubles with each
	// failure that follows, up to maxQuarantine.
	quarantine    = 2 * clock.Second
	maxQuarantine = 16 * clock.Second
)

// record is what an upstream's runs have shown of it.
type record struct {
	// failures counts the failed runs since the last one that ended well.
	failures int
	until    clock.Millis
	// slow is the logarithm of the time that tasks take there against others,
	// as of slowAt.
	slow   float64
	slowAt clock.Millis
}

func (r *record) isQuarantined(now clock.Millis) bool { return now < r.until }

func (r *record) note(now clock.Millis, how keeper.RunOutcome) {
	switch how {
	case keeper.RunDone:
		r.failures, r.until = 0, 0
	case keeper.RunFailed:
		r.failures++
		if over := r.failures - quarantineAfter; over >= 0 {
			r.until = now + min(quarantine<<min(over, 8), maxQuarantine)
		}
	}
}

// learn notes what the end of a run says of its upstream.
func (p *Planner) learn(r *run, how keeper.RunOutcome) {
	if h := p.hosts[r.host]; h != nil && h.Incarnation == r.life {
		h.record.note(p.now, how)
	}
	j := p.state.Jobs[r.key.Task.Job]
	if s := p.steps[r.key.Task.StepID()]; s != nil && how == keeper.RunDone {
		p.compare(s, r)
	}
	if how == keeper.RunDone && r.ackedAt > 0 && !r.inherited && !r.resumed && j != nil && len(j.Submission.Steps) > 0 {
		p.forecastOf(j).see(j.Submission.Steps[r.key.Task.Step].Estimate, p.now-r.ackedAt)
	}
}
