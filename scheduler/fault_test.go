package scheduler

import (
	"context"
	"time"

	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// fault is a column of the matrix. strike runs inside the step that it hits;
// heal repairs what is still broken.
type fault struct {
	name   string
	strike func(w *world)
	heal   func(w *world)
}

// victim is the instance that schedules zone a when the fault strikes.
func (w *world) victim() unit.Instance {
	if h := w.holder("a"); h != "" {
		w.lastVictim = h
	}
	return w.lastVictim
}

// later does something a while after a fault struck.
func (w *world) later(span time.Duration, do func()) {
	w.group.Go(func() error {
		time.Sleep(span)
		if w.ctx.Err() == nil {
			do()
		}
		return nil
	})
}

// reviveAll restarts and thaws all that is down, and ends all cuts.
func (w *world) reviveAll() {
	w.mu.Lock()
	clear(w.cut)
	w.mu.Unlock()
	for _, name := range w.names {
		w.freeze(name, false)
		if w.node(name).isDead() {
			w.restart(name)
		}
	}
	for _, u := range w.ups {
		u.frozen.Store(false)
		if u.isDead() {
			u.restart()
		}
	}
}

func names(n ...string) []string { return n }

// onSchedulers are the faults of instances.
var onSchedulers = []fault{
	{name: "scheduler killed", strike: func(w *world) { w.kill(w.victim()) }},
	{name: "scheduler paused past every lease", strike: func(w *world) { w.freeze(w.victim(), true) }},
	{name: "scheduler paused briefly", strike: func(w *world) {
		v := w.victim()
		w.freeze(v, true)
		w.later(700*time.Millisecond, func() { w.freeze(v, false) })
	}},
	{name: "scheduler killed and restarted at once", strike: func(w *world) {
		v := w.victim()
		w.kill(v)
		w.later(50*time.Millisecond, func() { w.restart(v) })
	}},
	{name: "scheduler shuts down", strike: func(w *world) {
		v := w.victim()
		w.obs.mu.Lock()
		w.obs.graceful = true
		w.obs.mu.Unlock()
		w.later(0, func() { w.shutDown(v) })
	}},
	{name: "successor killed too", strike: func(w *world) {
		v := w.victim()
		w.kill(v)
		w.later(3*time.Second, func() { w.restart(v) })
		w.later(4*time.Second, func() { w.kill(w.victim()) })
	}},
	{name: "successor killed right after the repair", strike: func(w *world) {
		v := w.victim()
		w.kill(v)
		w.later(2*time.Second, func() {
			w.restart(v)
			if h := w.holder("a"); h != "" {
				w.kill(h)
			}
		})
	}},
	{name: "both instances of the zone killed", strike: func(w *world) { w.kill("a1"); w.kill("a2") }},
	{name: "log leader killed", strike: func(w *world) {
		w.kill("b1")
		w.later(time.Second, func() { w.log.elect("b2") })
	}},
	{name: "log leader changes", strike: func(w *world) { w.log.elect("b2") }},
	{name: "scheduler paused and log leader changes", strike: func(w *world) {
		w.freeze(w.victim(), true)
		w.later(500*time.Millisecond, func() { w.log.elect("b2") })
	}},
}

// onNetwork are the faults between instances, the log and upstreams.
var onNetwork = []fault{
	{name: "zone cut off", strike: func(w *world) { w.isolate(names("a1", "a2"), names("b1", "b2"), true) }},
	{name: "scheduler isolated", strike: func(w *world) {
		v := string(w.victim())
		for _, other := range names("a1", "a2", "b1", "b2", "ua1", "ua2") {
			if other != v {
				w.isolate(names(v), names(other), true)
			}
		}
	}},
	{name: "scheduler cut from upstreams", strike: func(w *world) {
		w.isolate(names(string(w.victim())), names("ua1", "ua2"), true)
	}},
	{name: "one-way cut to the log", strike: func(w *world) { w.cutOneWay(string(w.victim()), "b1") }},
	{name: "one-way cut from the log", strike: func(w *world) { w.cutOneWay("b1", string(w.victim())) }},
	{name: "one-way cut from upstreams", strike: func(w *world) {
		v := string(w.victim())
		w.cutOneWay("ua1", v)
		w.cutOneWay("ua2", v)
	}},
	{name: "zone cut off and scheduler killed", strike: func(w *world) {
		w.isolate(names("a1", "a2"), names("b1", "b2"), true)
		v := w.victim()
		w.later(time.Second, func() { w.kill(v) })
	}},
	{name: "zone cut off twice", strike: func(w *world) {
		w.isolate(names("a1", "a2"), names("b1", "b2"), true)
		w.later(2*time.Second, func() { w.isolate(names("a1", "a2"), names("b1", "b2"), false) })
		w.later(2500*time.Millisecond, func() { w.isolate(names("a1", "a2"), names("b1", "b2"), true) })
	}},
	{name: "proposal lost", strike: func(w *world) { w.log.setLoss(&w.log.loseProposal) }},
	{name: "answer of the log lost", strike: func(w *world) { w.log.setLoss(&w.log.loseAnswer) }},
	{name: "connection reset after the order", strike: func(w *world) {
		w.mu.Lock()
		w.reset = true
		w.mu.Unlock()
	}},
	{name: "scheduler cut from instances", strike: func(w *world) {
		v := string(w.victim())
		for _, other := range names("a1", "a2", "b1", "b2") {
			if other != v {
				w.isolate(names(v), names(other), true)
			}
		}
	}},
	{name: "order doubled", strike: func(w *world) { w.eachUpstream(func(u *fakeUpstream) { u.double = true }) }},
	{name: "order late", strike: func(w *world) { w.eachUpstream(func(u *fakeUpstream) { u.late = 3400 * time.Millisecond }) }},
}

// onUpstreams are the faults of upstreams.
var onUpstreams = []fault{
	{name: "upstreams die", strike: func(w *world) { w.ups["ua1"].kill(); w.ups["ua2"].kill() }},
	{name: "upstreams restart", strike: func(w *world) {
		for _, id := range []unit.Upstream{"ua1", "ua2"} {
			w.ups[id].kill()
			w.ups[id].restart()
		}
	}},
	{name: "upstreams paused past every lease", strike: func(w *world) {
		w.ups["ua1"].frozen.Store(true)
		w.ups["ua2"].frozen.Store(true)
	}},
	{name: "upstream departs", strike: func(w *world) { w.ups["ua1"].depart() }},
	{name: "upstream shrinks", strike: func(w *world) {
		w.ups["ua1"].setHolds(unit.Resources{CPU: 4000, Memory: 4 * unit.Gigabyte, Slots: 4, Connections: 4})
	}},
	{name: "scheduler killed and upstreams restart", strike: func(w *world) {
		w.kill(w.victim())
		for _, id := range []unit.Upstream{"ua1", "ua2"} {
			w.ups[id].kill()
			w.ups[id].restart()
		}
	}},
	{name: "scheduler killed and upstreams paused", strike: func(w *world) {
		w.kill(w.victim())
		w.ups["ua1"].frozen.Store(true)
		w.ups["ua2"].frozen.Store(true)
	}},
}

// onCallers are what callers and operators do at a bad moment.
var onCallers = []fault{
	{name: "resend", strike: func(w *world) { w.resend("a1", 0) }},
	{name: "resend after the scheduler was killed", strike: func(w *world) {
		w.kill(w.victim())
		w.resend("b1", 200*time.Millisecond)
	}},
	{name: "cancelled", strike: func(w *world) { w.cancelWatched(0) }},
	{name: "cancelled after the scheduler was killed", strike: func(w *world) {
		w.kill(w.victim())
		w.cancelWatched(2 * time.Second)
	}},
	{name: "limit lowered", strike: func(w *world) { w.lowerLimit() }},
	{name: "operators race", strike: func(w *world) { w.race() }},
}

func (w *world) eachUpstream(do func(u *fakeUpstream)) {
	for _, u := range w.ups {
		u.mu.Lock()
		do(u)
		u.mu.Unlock()
	}
}

func (w *world) cutOneWay(from, to string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{from, to}] = true
}

func (l *fakeLog) setLoss(loss *bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*loss = true
}

// resend has a second caller send the watched request, as after a lost answer.
func (w *world) resend(entry unit.Instance, after time.Duration) {
	w.obs.mu.Lock()
	r := w.obs.requests[watchedID].Request
	w.obs.mu.Unlock()
	r.Fresh = false
	w.later(after, func() { w.call([]unit.Instance{entry, "b2"}, "a", r, callerTimeout) })
}

func (w *world) cancelWatched(after time.Duration) {
	w.later(after, func() {
		ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
		defer cancel()
		for ctx.Err() == nil {
			n := w.node("b2")
			_, err := exchange(ctx, n, n.state.Zone("a").Holder, func(ctx context.Context, h *node) (RequestState, error) {
				return h.sched.Cancel(ctx, watchedID), nil
			})
			if err == nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// lowerLimit halves the limit of a team. What runs already may stay over it
// until it was stopped or has ended.
func (w *world) lowerLimit() {
	w.log.put(registrar.PutConfig{ID: "lower", Base: 1, Text: []byte(lowerText)})
	w.later(lowerGrace, func() {
		w.obs.lowers("booking", unit.Resources{CPU: 2000, Memory: unit.Unlimited, Slots: unit.Unlimited})
	})
}

// lowerGrace is how long tasks that run when a limit is lowered may take to
// end.
const lowerGrace = 2 * time.Second

// race has two operators put different texts on the same base.
func (w *world) race() {
	w.log.put(registrar.PutConfig{ID: "one", Base: 1, Text: []byte(worldText)})
	w.log.put(registrar.PutConfig{ID: "two", Base: 1, Text: []byte(lowerText)})
}
