package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// RequestRecord is what the log holds of a request.
type RequestRecord struct {
	Request   Request
	Accepted  bool
	Cancelled bool
	// Attempt is the attempt whose intent is recorded; empty if there is none.
	Attempt unit.Task
	// Outcome is nil while the request is open.
	Outcome Outcome
}

// Submit takes a request that a caller waits for. size is the number of tasks
// that start together; known is what the log holds of it, or nil.
func (d *Dispatcher) Submit(now clock.Millis, r Request, size int, known *RequestRecord) {
	if have := d.requests[r.ID]; have != nil {
		have.fill(r, size)
		d.join(now, have, r)
		return
	}
	if known != nil && known.Outcome != nil {
		d.emit(NotifyCallers{Request: r.ID, Outcome: known.Outcome})
		return
	}
	if d.epoch == 0 {
		d.emit(NotifyCallers{Request: r.ID, Outcome: unheard(r, noScheduler)})
		return
	}
	if known != nil {
		d.setDeadline(d.restore(now, *known, size), now+r.Timeout)
		return
	}
	n := d.add(r, size)
	// An earlier scheduler may have run it and told nobody.
	n.asked = r.Repeatable && !r.Fresh && now < d.inheritedUntil
	d.setDeadline(n, now+r.Timeout)
	d.begin(n)
}

// unheard is the outcome of a request that this scheduler doesn't take. Unless
// this is surely its first send, another scheduler may have started it.
func unheard(r Request, why Refusal) Outcome {
	if r.Fresh {
		return NotRun{why}
	}
	return Unknown{why}
}

// SubmitDraining answers a request that comes while the zone is handed over, unless it
// is known here.
func (d *Dispatcher) SubmitDraining(now clock.Millis, r Request) {
	if have := d.requests[r.ID]; have != nil {
		d.join(now, have, r)
		return
	}
	d.emit(NotifyCallers{Request: r.ID, Outcome: unheard(r, RefusalShuttingDown)})
}

// join ties a resend to the request that is known by its id.
func (d *Dispatcher) join(now clock.Millis, r *request, resend Request) {
	if r.outcome != nil {
		d.emit(NotifyCallers{Request: r.ID, Outcome: r.outcome})
		return
	}
	d.setDeadline(r, now+resend.Timeout)
}

// fill completes a request that so far is known from an upstream's report only.
func (r *request) fill(whole Request, size int) {
	if r.Queue == "" {
		r.Request = whole
		r.size = max(size, 1)
	}
}

func (d *Dispatcher) add(r Request, size int) *request {
	n := &request{Request: r, size: max(size, 1)}
	d.requests[r.ID] = n
	return n
}

// Restore takes an open request from the log: an accepted one, or one with an
// intent of an earlier scheduler. One with neither waits for its caller.
func (d *Dispatcher) Restore(now clock.Millis, k RequestRecord, size int) {
	if k.Outcome != nil || d.epoch == 0 || (!k.Accepted && k.Attempt == "") {
		return
	}
	if have := d.requests[k.Request.ID]; have != nil {
		have.fill(k.Request, size)
		have.accepted = have.accepted || k.Accepted
		have.durable = true
		if k.Cancelled && !have.cancelled {
			d.Cancel(now, k.Request.ID)
		}
		return
	}
	d.restore(now, k, size)
}

func (d *Dispatcher) restore(now clock.Millis, k RequestRecord, size int) *request {
	r := d.add(k.Request, size)
	r.durable = true
	r.accepted = k.Accepted
	r.cancelled = k.Cancelled
	if k.Attempt != "" {
		r.asked = true
		r.foreign = k.Attempt
	}
	switch {
	case r.foreign != "" && d.quiet:
		d.resolveForeign(now, r)
	case r.foreign != "":
		// Reports, or the end of its lease, tell what became of it.
	case r.cancelled && (d.quiet || !r.Repeatable):
		d.conclude(now, r, NotRun{cancelled})
	default:
		d.begin(r)
	}
	return r
}

// begin queues a request, or holds it while an earlier scheduler may have
// started it without a trace in the log.
func (d *Dispatcher) begin(r *request) {
	if r.Repeatable && !r.Fresh && !d.quiet {
		d.hold(r, d.quietAt)
		return
	}
	d.enqueue(r)
}

// hold keeps a request until a point in time.
func (d *Dispatcher) hold(r *request, until clock.Millis) {
	r.heldUntil = until
	d.held[r.ID] = r
}

// enqueue makes a new attempt.
func (d *Dispatcher) enqueue(r *request) {
	delete(d.held, r.ID)
	a := &attempt{id: d.c.NewTask(), r: r, epoch: d.epoch}
	r.live = a
	d.attempts[a.id] = a
	for i := range r.size {
		t := &task{id: TaskID(a.id, i, r.size), a: a, charged: d.epoch}
		a.tasks = append(a.tasks, t)
		d.tasks[t.id] = t
	}
	for _, t := range a.tasks {
		d.emit(Enqueue{Task: t.id, Request: r.Request, Attempt: a.id, Size: r.size, Deadline: r.deadline})
	}
}

// Cancel asks for the end of a request. It reports whether it is known here
// and still open.
func (d *Dispatcher) Cancel(now clock.Millis, id unit.Request) bool {
	r := d.requests[id]
	if r == nil || r.outcome != nil {
		return false
	}
	r.cancelled = true
	switch {
	case r.live != nil:
		d.abandon(now, r.live, &cancelled)
	case r.foreign != "" || (r.Repeatable && !r.Fresh && !d.quiet):
		// It may run where it wasn't found yet.
	default:
		d.conclude(now, r, r.unrun(cancelled))
	}
	return true
}

// Reject ends a waiting task that can never run, or that the queue refused.
func (d *Dispatcher) Reject(now clock.Millis, id unit.Task, why Refusal) {
	t := d.tasks[id]
	if t == nil || t.a.over {
		return
	}
	d.abandon(now, t.a, &why)
}

// Postpone tries a waiting task again later, if its request was accepted: its
// caller was told that it will run, so a full queue is no end of it. It reports
// false for any other request.
func (d *Dispatcher) Postpone(now clock.Millis, id unit.Task) bool {
	t := d.tasks[id]
	if t == nil || t.a.over || !t.a.r.accepted {
		return false
	}
	t.a.blameless = true
	t.a.pause = clock.Second
	d.abandon(now, t.a, nil)
	return true
}

// Outcome returns a request's outcome, nil while it is open. known is false if
// the request was never heard of or is forgotten.
func (d *Dispatcher) Outcome(id unit.Request) (o Outcome, known bool) {
	r := d.requests[id]
	if r == nil {
		return nil, false
	}
	return r.outcome, true
}

// IsQueued reports whether a task waits in the queue.
func (d *Dispatcher) IsQueued(id unit.Task) bool {
	t := d.tasks[id]
	return t != nil && t.phase == queued
}

// Waiting returns the tasks of a request that wait in the queue.
func (d *Dispatcher) Waiting(id unit.Request) []unit.Task {
	r := d.requests[id]
	if r == nil || r.live == nil {
		return nil
	}
	var ids []unit.Task
	for _, t := range r.live.tasks {
		if t.phase == queued {
			ids = append(ids, t.id)
		}
	}
	return ids
}
