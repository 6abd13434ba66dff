package scheduler

import (
	"context"
	"time"

	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// fault is a column of the matrix. inject is called when the watched request reaches
// the step of the cell. heal repairs what is still broken.
type fault struct {
	name   string
	inject func(sim *simulation)
	heal   func(sim *simulation)
}

// target returns the scheduler of zone a, or the last one if none holds the zone.
func (sim *simulation) target() unit.Instance {
	if h := sim.holder("a"); h != "" {
		sim.lastTarget = h
	}
	return sim.lastTarget
}

// runAfter calls a function after a delay, unless the simulation has ended.
func (sim *simulation) runAfter(delay time.Duration, f func()) {
	sim.group.Go(func() error {
		time.Sleep(delay)
		if sim.ctx.Err() == nil {
			f()
		}
		return nil
	})
}

// healAll restarts all dead processes, thaws all frozen ones and ends all
// partitions.
func (sim *simulation) healAll() {
	sim.mu.Lock()
	clear(sim.blocked)
	sim.mu.Unlock()
	for _, name := range sim.names {
		sim.setFrozen(name, false)
		if sim.node(name).isDead() {
			sim.restartInstance(name)
		}
	}
	for _, u := range sim.upstreams {
		u.frozen.Store(false)
		if u.isDead() {
			u.restart()
		}
	}
}

// names returns its arguments as a slice.
func names(n ...string) []string { return n }

// schedulerFaults are the faults of instances.
var schedulerFaults = []fault{
	{name: "scheduler killed", inject: func(sim *simulation) { sim.killInstance(sim.target()) }},
	{name: "scheduler paused past every lease", inject: func(sim *simulation) { sim.setFrozen(sim.target(), true) }},
	{name: "scheduler paused briefly", inject: func(sim *simulation) {
		target := sim.target()
		sim.setFrozen(target, true)
		sim.runAfter(700*time.Millisecond, func() { sim.setFrozen(target, false) })
	}},
	{name: "scheduler killed and restarted at once", inject: func(sim *simulation) {
		target := sim.target()
		sim.killInstance(target)
		sim.runAfter(50*time.Millisecond, func() { sim.restartInstance(target) })
	}},
	{name: "scheduler shuts down", inject: func(sim *simulation) {
		target := sim.target()
		sim.obs.mu.Lock()
		sim.obs.graceful = true
		sim.obs.mu.Unlock()
		sim.runAfter(0, func() { sim.shutDown(target) })
	}},
	{name: "successor killed too", inject: func(sim *simulation) {
		target := sim.target()
		sim.killInstance(target)
		sim.runAfter(3*time.Second, func() { sim.restartInstance(target) })
		sim.runAfter(4*time.Second, func() { sim.killInstance(sim.target()) })
	}},
	{name: "successor killed right after the repair", inject: func(sim *simulation) {
		target := sim.target()
		sim.killInstance(target)
		sim.runAfter(2*time.Second, func() {
			sim.restartInstance(target)
			if h := sim.holder("a"); h != "" {
				sim.killInstance(h)
			}
		})
	}},
	{name: "both instances of the zone killed", inject: func(sim *simulation) { sim.killInstance("a1"); sim.killInstance("a2") }},
	{name: "log leader killed", inject: func(sim *simulation) {
		sim.killInstance("b1")
		sim.runAfter(time.Second, func() { sim.log.setLeader("b2") })
	}},
	{name: "log leader changes", inject: func(sim *simulation) { sim.log.setLeader("b2") }},
	{name: "scheduler paused and log leader changes", inject: func(sim *simulation) {
		sim.setFrozen(sim.target(), true)
		sim.runAfter(500*time.Millisecond, func() { sim.log.setLeader("b2") })
	}},
}

// networkFaults are the faults of the network between instances, the log and
// upstreams.
var networkFaults = []fault{
	{name: "zone partitioned", inject: func(sim *simulation) { sim.setPartition(names("a1", "a2"), names("b1", "b2"), true) }},
	{name: "scheduler isolated", inject: func(sim *simulation) {
		target := string(sim.target())
		for _, other := range names("a1", "a2", "b1", "b2", "ua1", "ua2") {
			if other != target {
				sim.setPartition(names(target), names(other), true)
			}
		}
	}},
	{name: "scheduler partitioned from upstreams", inject: func(sim *simulation) {
		sim.setPartition(names(string(sim.target())), names("ua1", "ua2"), true)
	}},
	{name: "one-way partition to the log", inject: func(sim *simulation) { sim.blockOneWay(string(sim.target()), "b1") }},
	{name: "one-way partition from the log", inject: func(sim *simulation) { sim.blockOneWay("b1", string(sim.target())) }},
	{name: "one-way partition from upstreams", inject: func(sim *simulation) {
		target := string(sim.target())
		sim.blockOneWay("ua1", target)
		sim.blockOneWay("ua2", target)
	}},
	{name: "zone partitioned and scheduler killed", inject: func(sim *simulation) {
		sim.setPartition(names("a1", "a2"), names("b1", "b2"), true)
		target := sim.target()
		sim.runAfter(time.Second, func() { sim.killInstance(target) })
	}},
	{name: "zone partitioned twice", inject: func(sim *simulation) {
		sim.setPartition(names("a1", "a2"), names("b1", "b2"), true)
		sim.runAfter(2*time.Second, func() { sim.setPartition(names("a1", "a2"), names("b1", "b2"), false) })
		sim.runAfter(2500*time.Millisecond, func() { sim.setPartition(names("a1", "a2"), names("b1", "b2"), true) })
	}},
	{name: "proposal lost", inject: func(sim *simulation) { sim.log.setLoss(&sim.log.loseProposal) }},
	{name: "answer of the log lost", inject: func(sim *simulation) { sim.log.setLoss(&sim.log.loseAnswer) }},
	{name: "connection reset after the order", inject: func(sim *simulation) {
		sim.mu.Lock()
		sim.resetNextStart = true
		sim.mu.Unlock()
	}},
	{name: "scheduler partitioned from instances", inject: func(sim *simulation) {
		target := string(sim.target())
		for _, other := range names("a1", "a2", "b1", "b2") {
			if other != target {
				sim.setPartition(names(target), names(other), true)
			}
		}
	}},
	{name: "order doubled", inject: func(sim *simulation) { sim.eachUpstream(func(u *fakeUpstream) { u.duplicateNext = true }) }},
	{name: "order late", inject: func(sim *simulation) {
		sim.eachUpstream(func(u *fakeUpstream) { u.nextOrderDelay = 3400 * time.Millisecond })
	}},
}

// upstreamFaults are the faults of upstreams.
var upstreamFaults = []fault{
	{name: "upstreams die", inject: func(sim *simulation) { sim.upstreams["ua1"].kill(); sim.upstreams["ua2"].kill() }},
	{name: "upstreams restart", inject: func(sim *simulation) {
		for _, id := range []unit.Upstream{"ua1", "ua2"} {
			sim.upstreams[id].kill()
			sim.upstreams[id].restart()
		}
	}},
	{name: "upstreams paused past every lease", inject: func(sim *simulation) {
		sim.upstreams["ua1"].frozen.Store(true)
		sim.upstreams["ua2"].frozen.Store(true)
	}},
	{name: "upstream departs", inject: func(sim *simulation) { sim.upstreams["ua1"].depart() }},
	{name: "upstream shrinks", inject: func(sim *simulation) {
		sim.upstreams["ua1"].setCapacity(unit.Resources{CPU: 4000, Memory: 4 * unit.Gigabyte, Slots: 4, Connections: 4})
	}},
	{name: "scheduler killed and upstreams restart", inject: func(sim *simulation) {
		sim.killInstance(sim.target())
		for _, id := range []unit.Upstream{"ua1", "ua2"} {
			sim.upstreams[id].kill()
			sim.upstreams[id].restart()
		}
	}},
	{name: "scheduler killed and upstreams paused", inject: func(sim *simulation) {
		sim.killInstance(sim.target())
		sim.upstreams["ua1"].frozen.Store(true)
		sim.upstreams["ua2"].frozen.Store(true)
	}},
}

// callerFaults are actions of callers and operators at an inconvenient step.
var callerFaults = []fault{
	{name: "resend", inject: func(sim *simulation) { sim.resend("a1", 0) }},
	{name: "resend after the scheduler was killed", inject: func(sim *simulation) {
		sim.killInstance(sim.target())
		sim.resend("b1", 200*time.Millisecond)
	}},
	{name: "cancelled", inject: func(sim *simulation) { sim.cancelWatched(0) }},
	{name: "cancelled after the scheduler was killed", inject: func(sim *simulation) {
		sim.killInstance(sim.target())
		sim.cancelWatched(2 * time.Second)
	}},
	{name: "limit lowered", inject: func(sim *simulation) { sim.lowerLimit() }},
	{name: "operators race", inject: func(sim *simulation) { sim.putConflictingConfigs() }},
}

// eachUpstream calls f for each upstream, with the upstream's lock held.
func (sim *simulation) eachUpstream(f func(u *fakeUpstream)) {
	for _, u := range sim.upstreams {
		u.mu.Lock()
		f(u)
		u.mu.Unlock()
	}
}

// blockOneWay blocks the messages from one name to another.
func (sim *simulation) blockOneWay(from, to string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.blocked[[2]string{from, to}] = true
}

// setLoss sets one of the log's injected losses.
func (l *fakeLog) setLoss(loss *bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*loss = true
}

// resend makes a second caller send the watched request, as after a lost answer.
func (sim *simulation) resend(entry unit.Instance, delay time.Duration) {
	sim.obs.mu.Lock()
	r := sim.obs.requests[watchedID].Request
	sim.obs.mu.Unlock()
	r.Fresh = false
	sim.runAfter(delay, func() { sim.callUntilAnswered([]unit.Instance{entry, "b2"}, "a", r, callerTimeout) })
}

// cancelWatched cancels the watched request after a delay, and retries for 2 s.
func (sim *simulation) cancelWatched(delay time.Duration) {
	sim.runAfter(delay, func() {
		ctx, cancel := context.WithTimeout(sim.ctx, 2*time.Second)
		defer cancel()
		for ctx.Err() == nil {
			n := sim.node("b2")
			_, err := exchange(ctx, n, n.state.Zone("a").Holder, func(ctx context.Context, h *node) (RequestState, error) {
				return h.scheduler.Cancel(ctx, watchedID), nil
			})
			if err == nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// lowerLimit halves the CPU limit of a team. The observer enforces it after
// lowerLimitGrace, since running tasks may exceed it until they end or are
// stopped.
func (sim *simulation) lowerLimit() {
	sim.log.commitExternal(registrar.PutConfig{ID: "lower", Base: 1, Text: []byte(loweredConfig)})
	sim.runAfter(lowerLimitGrace, func() {
		sim.obs.setLimit("booking", unit.Resources{CPU: 2000, Memory: unit.Unlimited, Slots: unit.Unlimited})
	})
}

// lowerLimitGrace is how long running tasks may exceed a limit that was lowered.
const lowerLimitGrace = 2 * time.Second

// putConflictingConfigs makes two operators put different configurations with the
// same base version.
func (sim *simulation) putConflictingConfigs() {
	sim.log.commitExternal(registrar.PutConfig{ID: "one", Base: 1, Text: []byte(simulationConfig)})
	sim.log.commitExternal(registrar.PutConfig{ID: "two", Base: 1, Text: []byte(loweredConfig)})
}
