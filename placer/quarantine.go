package placer

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Bounds of the quarantine.
const (
	// strikesToQuarantine is how many failures in a row an upstream is
	// allowed.
	strikesToQuarantine = 3
	// firstPause is how long an upstream gets nothing new after one failure:
	// one that fails at once is empty at once, and would be given each task.
	firstPause        = clock.Second
	firstQuarantine   = 30 * clock.Second
	longestQuarantine = 10 * clock.Minute
	// suspectWork is on how many upstreams work that never succeeded may fail
	// before its failures are taken as its own.
	suspectWork = 3
)

// health finds out whether failures are the fault of upstreams or of works: a
// faulty upstream fails works that succeed elsewhere, faulty work fails on
// each upstream.
type health struct {
	works       map[unit.Workload]*record
	quarantined []*upstream
	disabled    bool
}

// record is what is known of a work.
type record struct {
	succeeded bool
	// failedOn are the upstreams it failed on since it last succeeded.
	failedOn map[unit.Upstream]struct{}
}

// condition is what is known of an upstream.
type condition struct {
	strikes     int
	quarantined bool
	// paused is a quarantine that ends without a probe.
	paused  bool
	until   clock.Millis
	term    clock.Millis
	probing bool
	probe   unit.Task
}

func newHealth() health {
	return health{works: map[unit.Workload]*record{}}
}

// DisableQuarantine is for the baseline of the measurements.
func (c *Cell) DisableQuarantine() { c.health.disabled = true }

// RecordSuccess notes that a task of the work succeeded on an upstream.
func (c *Cell) RecordSuccess(id unit.Upstream, work unit.Workload) {
	rec := c.health.record(work)
	rec.succeeded = true
	clear(rec.failedOn)
	u := c.upstreams[id]
	if u == nil {
		return
	}
	u.strikes = 0
	if u.quarantined {
		c.release(u)
		c.touch(u, nothing)
	}
}

// RecordFailure notes that a task of the work failed on an upstream, or was refused
// by it. It reports whether the upstream is blamed, not the work.
func (c *Cell) RecordFailure(now clock.Millis, id unit.Upstream, work unit.Workload) bool {
	u := c.upstreams[id]
	if u == nil || c.health.disabled {
		return false
	}
	if !c.health.blames(work, id, len(c.upstreams)) {
		return u.quarantined
	}
	u.strikes++
	switch {
	case u.quarantined && !u.paused && !u.probing:
	case u.quarantined || c.mayQuarantine():
		c.confine(u, now)
	}
	return u.quarantined
}

func (h *health) record(work unit.Workload) *record {
	rec := h.works[work]
	if rec == nil {
		rec = &record{failedOn: map[unit.Upstream]struct{}{}}
		h.works[work] = rec
	}
	return rec
}

// blames reports whether a failure counts against the upstream. Work that
// never succeeded counts once for each of a few upstreams; work that did is
// trusted until it has failed on half of them in a row.
func (h *health) blames(work unit.Workload, id unit.Upstream, upstreams int) bool {
	rec := h.record(work)
	_, again := rec.failedOn[id]
	rec.failedOn[id] = struct{}{}
	if rec.succeeded && len(rec.failedOn) <= max(suspectWork, upstreams/2) {
		return true
	}
	return !again && len(rec.failedOn) <= suspectWork
}

// mayQuarantine keeps half of the upstreams out of quarantine: if more seem
// to fail, the cause is elsewhere.
func (c *Cell) mayQuarantine() bool {
	return (len(c.health.quarantined)+1)*2 <= len(c.upstreams)
}

// confine pauses an upstream, or starts a term of quarantine, each twice as
// long as the one before.
func (c *Cell) confine(u *upstream, now clock.Millis) {
	if !u.quarantined {
		c.health.quarantined = append(c.health.quarantined, u)
	}
	u.quarantined, u.probing, u.probe = true, false, ""
	u.paused = u.strikes < strikesToQuarantine
	if u.paused {
		u.until = now + firstPause*clock.Millis(u.strikes)
	} else {
		u.term = min(max(2*u.term, firstQuarantine), longestQuarantine)
		u.until = now + u.term
	}
	c.touch(u, u.free())
}

func (c *Cell) release(u *upstream) {
	if !u.quarantined {
		return
	}
	u.condition = condition{}
	c.health.quarantined = slices.DeleteFunc(c.health.quarantined, func(o *upstream) bool { return o == u })
}

// Tick ends pauses, lets quarantined upstreams whose term has ended take one
// probe, and forgets sizes of upstreams that are long gone. An upstream that
// is offered no work that may probe it for another term is let out on trial:
// the next failure confines it again.
func (c *Cell) Tick(now clock.Millis) {
	for _, u := range slices.Clone(c.health.quarantined) {
		switch {
		case now < u.until:
		case u.paused || u.probing && u.probe == "" && now >= u.until+u.term:
			trial := condition{strikes: u.strikes, term: u.term}
			c.release(u)
			u.condition = trial
			c.touch(u, nothing)
		case !u.probing:
			u.probing = true
			c.noteFreed(u)
		}
	}
	c.shapes.forget(now)
}

func (c *Cell) noteFreed(u *upstream) {
	if !u.fresh {
		u.fresh = true
		c.freed = append(c.freed, u.ID)
	}
}

// findProbe returns a quarantined upstream that this task may probe. A probe
// is work that can be repeated and isn't urgent, one at a time.
func (c *Cell) findProbe(t Task, charge unit.Resources) *upstream {
	if !t.Repeatable || t.Urgent || len(c.health.quarantined) == 0 {
		return nil
	}
	if _, batch := t.Kind.(Batch); !batch {
		return nil
	}
	for _, u := range c.health.quarantined {
		if u.awaitsProbe() && charge.Fits(u.free()) {
			return u
		}
	}
	return nil
}

func (u *upstream) awaitsProbe() bool {
	return u.probing && u.probe == "" && !u.gone && !u.Unschedulable
}

// probeEnded lets the next probe come if this one ended without a verdict.
func (c *Cell) probeEnded(u *upstream, id unit.Task) {
	if u.probe == id {
		u.probe = ""
		if u.probing {
			c.noteFreed(u)
		}
	}
}
