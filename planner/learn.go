package planner

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
)

const (
	// quarantineAfter is how many runs must fail in a row for an upstream to
	// get no new work for a while. Tasks fail by their own fault too, in a few
	// of a hundred runs.
	quarantineAfter = 3
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
}

func (r *record) isQuarantined(now clock.Millis) bool { return now < r.until }

// slowness is the time that a task takes there against the usual one.
func (r *record) slowness() float64 { return 1 }

func (r *record) note(now clock.Millis, how keeper.How) {
	switch how {
	case keeper.Done:
		*r = record{}
	case keeper.FailedRun:
		r.failures++
		if over := r.failures - quarantineAfter; over >= 0 {
			r.until = now + min(quarantine<<min(over, 8), maxQuarantine)
		}
	}
}

// learn notes what the end of a run says of its upstream.
func (p *Planner) learn(r *run, how keeper.How) {
	if h := p.hosts[r.host]; h != nil && h.Life == r.life {
		h.record.note(p.now, how)
	}
	j := p.state.Jobs[r.key.Task.Job]
	if how == keeper.Done && r.ackedAt > 0 && !r.inherited && !r.resumed && j != nil && len(j.Work.Steps) > 0 {
		p.forecastOf(j).see(j.Work.Steps[r.key.Task.Step].Estimate, p.now-r.ackedAt)
	}
}
