package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// HandleReport takes an upstream's report and returns the answer to it. The caller
// has checked that it holds the zone now: the answer renews leases.
func (d *Dispatcher) HandleReport(now clock.Millis, r Report) ReportReply {
	reply := ReportReply{Epoch: d.epoch, Lease: d.c.TaskLease}
	u, current := d.identify(now, r)
	for _, e := range r.Ended {
		if d.heardEnded(now, e) {
			reply.Forget = append(reply.Forget, e.Task)
		}
	}
	if !current {
		return reply
	}
	d.describe(u, r)
	for _, running := range r.Running {
		d.heardRunning(now, u, running)
	}
	u.claimed = r.Epoch == d.epoch
	if u.claimed && d.expected != nil {
		delete(d.expected, u.id)
		d.becomeQuiet(now)
	}
	d.announce(u)
	reply.Stop = d.stops(u, r)
	return reply
}

// identify finds the upstream of a report. It reports false if the report is
// older than one that was heard before.
func (d *Dispatcher) identify(now clock.Millis, r Report) (*upstream, bool) {
	u := d.upstreams[r.Upstream]
	if u == nil {
		u = &upstream{id: r.Upstream, incarnation: r.Incarnation, former: map[unit.Incarnation]bool{}, tasks: map[unit.Task]*task{}}
		d.upstreams[r.Upstream] = u
	}
	if u.former[r.Incarnation] {
		return u, false
	}
	if u.incarnation != r.Incarnation {
		d.restarted(now, u, r.Incarnation)
	}
	if r.Sequence != 0 && r.Sequence < u.sequence {
		return u, false
	}
	u.sequence = r.Sequence
	u.heardAt = now
	u.silent = false
	return u, true
}

// restarted ends what ran on an upstream before it restarted. An order that is
// still on its way may yet be carried out by the new incarnation, so tasks that
// were only sent keep their lease.
func (d *Dispatcher) restarted(now clock.Millis, u *upstream, in unit.Incarnation) {
	u.former[u.incarnation] = true
	u.incarnation = in
	u.sequence = 0
	u.departing = false
	u.claimed = false
	for _, t := range u.sorted() {
		if t.phase == running {
			d.lapsed(now, t)
		}
	}
}

func (d *Dispatcher) describe(u *upstream, r Report) {
	u.address = r.Address
	u.rack = r.Rack
	u.holds = r.Holds
	u.departing = u.departing || r.Departing
}

// announce tells the queue what an upstream offers. One that isn't claimed yet
// offers nothing: an earlier scheduler may still start work there.
func (d *Dispatcher) announce(u *upstream) {
	if u.claimed {
		d.emit(UpdateUpstream{Upstream: u.id, Rack: u.rack, Capacity: u.holds, Unschedulable: !u.isUsable()})
	}
}

// heardEnded takes the end of a task. It reports whether the upstream may
// forget it.
func (d *Dispatcher) heardEnded(now clock.Millis, e Ended) bool {
	t := d.tasks[e.Task]
	if t == nil {
		t = d.adoptEnded(e)
	}
	if e.Stopped {
		d.halted(now, t, e.Checkpointed)
	} else {
		d.complete(now, t, e.Done)
	}
	r := d.requests[e.Request]
	switch {
	case r == nil:
		return true
	case r.outcome == nil:
		// A finished part of an attempt is needed until the others have ended.
		return !t.finished
	default:
		return r.recorded
	}
}

// adoptEnded makes the task of an earlier scheduler known that ended before it
// was found running.
func (d *Dispatcher) adoptEnded(e Ended) *task {
	return d.adopt(nil, Running{Task: e.Task, Request: e.Request, Team: e.Team})
}

// heardRunning takes a task that an upstream runs.
func (d *Dispatcher) heardRunning(now clock.Millis, u *upstream, r Running) {
	t := d.tasks[r.Task]
	if t == nil {
		t = d.adopt(u, r)
	}
	if t.phase == gone || t.phase == queued || t.phase == placed {
		// It was given up, or never sent under this id: see stops.
		return
	}
	t.u = u
	u.tasks[t.id] = t
	t.need = r.Need
	t.phase = running
	t.until = d.c.renewedUntil(now)
	if t.charged != d.epoch {
		t.charged = d.epoch
		d.emit(Adopt{Running: r, Request: t.a.r.Request, Upstream: u.id})
	}
}

// stops returns the reported tasks that must stop. Their leases aren't
// renewed.
func (d *Dispatcher) stops(u *upstream, r Report) []StopOrder {
	var out []StopOrder
	for _, running := range r.Running {
		t := d.tasks[running.Task]
		if t.phase != gone && t.phase != queued && t.phase != placed && !t.stop && t.u == u {
			continue
		}
		out = append(out, StopOrder{Task: t.id, Checkpoint: t.checkpoint})
	}
	return out
}

// adopt makes a task of an earlier scheduler known. If its request has another
// task that may run, or has ended, the found one is to be stopped.
func (d *Dispatcher) adopt(u *upstream, found Running) *task {
	id, index, size := splitTaskID(found.Task)
	r := d.requests[found.Request]
	if r == nil {
		r = &request{Request: Request{ID: found.Request, Team: found.Team}, size: size, durable: true}
		d.requests[found.Request] = r
	}
	a := d.attempts[id]
	if a == nil {
		a = d.adoptAttempt(r, id, size)
	}
	t := a.tasks[min(index, len(a.tasks)-1)]
	if t.id != found.Task {
		t = &task{id: found.Task, a: a, phase: gone}
		d.tasks[t.id] = t
	}
	if u != nil {
		t.u = u
	}
	return t
}

func (d *Dispatcher) adoptAttempt(r *request, id unit.Task, size int) *attempt {
	a := &attempt{id: id, r: r, intended: !r.Repeatable}
	d.attempts[id] = a
	stray := r.outcome != nil || (r.live != nil && !d.yields(r))
	for i := range size {
		t := &task{id: TaskID(id, i, size), a: a, phase: unseen, until: d.quietAt, stop: stray || r.cancelled}
		a.tasks = append(a.tasks, t)
		d.tasks[t.id] = t
		d.flying[t.id] = t
	}
	r.asked = true
	if stray {
		a.over = true
		return a
	}
	delete(d.held, r.ID)
	r.foreign = ""
	r.live = a
	return a
}

// yields takes an attempt back of which nothing was sent, in favour of one that
// was found running. It reports false if something may run.
func (d *Dispatcher) yields(r *request) bool {
	if r.live.mayRun() {
		return false
	}
	for _, t := range r.live.tasks {
		d.release(t, Unstarted{})
	}
	r.live.over = true
	delete(d.attempts, r.live.id)
	r.live = nil
	return true
}
