package placer

import (
	"slices"

	"github.com/chervilvane/chervilvane/attributor"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Bounds of the quarantine.
const (
	// failuresToQuarantine is how many failures in a row put an upstream in
	// quarantine. Fewer only pause it.
	failuresToQuarantine = 3
	// pausePerFailure is how long an upstream gets no new tasks, for each
	// failure in a row. An upstream whose tasks fail at once is soon empty
	// again and would otherwise attract every task.
	pausePerFailure   = clock.Second
	initialQuarantine = 30 * clock.Second
	maxQuarantine     = 10 * clock.Minute
)

// health holds what decides whether to blame failures on upstreams or on
// workloads, and the upstreams in quarantine.
type health struct {
	workloads   map[unit.Workload]*attributor.Workload
	quarantined []*upstream
	disabled    bool
}

// condition is the health of an upstream.
type condition struct {
	// failures counts the failures in a row that are blamed on the upstream.
	failures    int
	quarantined bool
	// paused is set together with quarantined if the quarantine ends without a
	// probe.
	paused    bool
	until     clock.Millis
	duration  clock.Millis
	probing   bool
	probeTask unit.Task
}

func newHealth() health {
	return health{workloads: map[unit.Workload]*attributor.Workload{}}
}

// DisableQuarantine makes RecordFailure do nothing. Benchmarks use it for the
// baseline.
func (c *Cell) DisableQuarantine() { c.health.disabled = true }

// RecordSuccess records that a task of the workload succeeded on an upstream. It
// ends the upstream's pause or quarantine.
func (c *Cell) RecordSuccess(id unit.Upstream, workload unit.Workload) {
	c.health.workload(workload).RecordSuccess()
	u := c.upstreams[id]
	if u == nil {
		return
	}
	u.failures = 0
	if u.quarantined {
		c.endQuarantine(u)
		c.reindex(u, lowestFree)
	}
}

// RecordFailure records that a task of the workload failed on an upstream, or
// that the upstream refused it. If the failure is blamed on the upstream,
// RecordFailure pauses or quarantines it, unless more than half of the upstreams
// would then be paused or quarantined. It reports whether the upstream is paused
// or quarantined now.
func (c *Cell) RecordFailure(now clock.Millis, id unit.Upstream, workload unit.Workload) bool {
	u := c.upstreams[id]
	if u == nil || c.health.disabled {
		return false
	}
	if !c.health.workload(workload).RecordFailure(id, len(c.upstreams)) {
		return u.quarantined
	}
	u.failures++
	switch {
	case u.quarantined && !u.paused && !u.probing:
	case u.quarantined || c.mayQuarantine():
		c.quarantine(u, now)
	}
	return u.quarantined
}

func (h *health) workload(name unit.Workload) *attributor.Workload {
	w := h.workloads[name]
	if w == nil {
		w = &attributor.Workload{}
		h.workloads[name] = w
	}
	return w
}

// mayQuarantine reports whether another upstream may be quarantined. It keeps
// half of the upstreams out of quarantine: if more seem to fail, the cause is
// elsewhere.
func (c *Cell) mayQuarantine() bool {
	return (len(c.health.quarantined)+1)*2 <= len(c.upstreams)
}

// quarantine pauses an upstream after its first failures. After
// failuresToQuarantine failures it quarantines it, each time for twice as long as
// before, up to maxQuarantine.
func (c *Cell) quarantine(u *upstream, now clock.Millis) {
	if !u.quarantined {
		c.health.quarantined = append(c.health.quarantined, u)
	}
	u.quarantined, u.probing, u.probeTask = true, false, ""
	u.paused = u.failures < failuresToQuarantine
	if u.paused {
		u.until = now + pausePerFailure*clock.Millis(u.failures)
	} else {
		u.duration = min(max(2*u.duration, initialQuarantine), maxQuarantine)
		u.until = now + u.duration
	}
	c.reindex(u, u.free())
}

func (c *Cell) endQuarantine(u *upstream) {
	if !u.quarantined {
		return
	}
	u.condition = condition{}
	c.health.quarantined = slices.DeleteFunc(c.health.quarantined, func(other *upstream) bool { return other == u })
}

// Tick ends the pauses that are over and lets an upstream whose quarantine is
// over take one probe. If no probe comes for the same duration again, the
// quarantine ends on trial: the next failure starts a longer one. Tick also
// removes capacities that no upstream has had for capacityRetention.
func (c *Cell) Tick(now clock.Millis) {
	for _, u := range slices.Clone(c.health.quarantined) {
		switch {
		case now < u.until:
		case u.paused || u.probing && u.probeTask == "" && now >= u.until+u.duration:
			trial := condition{failures: u.failures, duration: u.duration}
			c.endQuarantine(u)
			u.condition = trial
			c.reindex(u, lowestFree)
		case !u.probing:
			u.probing = true
			c.markFreed(u)
		}
	}
	c.capacities.expire(now)
}

// markFreed adds an upstream to the list that DrainFreed returns.
func (c *Cell) markFreed(u *upstream) {
	if !u.inFreed {
		u.inFreed = true
		c.freed = append(c.freed, u.ID)
	}
}

// findProbe returns a quarantined upstream that the task can probe, or nil. A
// probe is a repeatable batch task that isn't urgent. Each upstream runs one at
// a time.
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
	return u.probing && u.probeTask == "" && !u.gone && !u.Unschedulable
}

// probeEnded lets the upstream take another probe if task id was its probe and
// ended with neither success nor failure.
func (c *Cell) probeEnded(u *upstream, id unit.Task) {
	if u.probeTask == id {
		u.probeTask = ""
		if u.probing {
			c.markFreed(u)
		}
	}
}
