package dispatcher

import (
	"bytes"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Backoff between the attempts of a request.
const (
	firstBackoff = 50 * clock.Millisecond
	lastBackoff  = 5 * clock.Second
)

// release takes a task off its upstream.
func (d *Dispatcher) release(t *task, end TaskOutcome) {
	if t.phase == gone {
		return
	}
	switch {
	case t.charged != d.epoch || d.epoch == 0:
		// This scheduler's queue doesn't know the task.
	case t.phase == queued:
		d.emit(Dequeue{Task: t.id})
	default:
		d.emit(Release{Task: t.id, End: end})
	}
	t.phase = gone
	delete(d.flying, t.id)
	if t.u != nil {
		delete(t.u.tasks, t.id)
	}
}

// abandon gives an attempt up: what isn't sent is taken back, what may run is
// stopped. why is the final reason, nil if the request may be tried again.
func (d *Dispatcher) abandon(now clock.Millis, a *attempt, why *Refusal) {
	a.over = true
	if a.why == nil {
		a.why = why
	}
	for _, t := range a.tasks {
		switch {
		case t.phase == queued || t.phase == placed:
			d.release(t, Unstarted{})
		case t.mayRun() && !t.stop:
			t.stop = true
			d.halt(t)
		}
	}
	d.settle(now, a)
}

func (d *Dispatcher) halt(t *task) {
	if t.u != nil {
		d.emit(SendStop{Address: t.u.address, Order: StopOrder{Task: t.id, Checkpoint: t.checkpoint}})
	}
}

// Preempt takes the queue's decision that a running task must make room.
func (d *Dispatcher) Preempt(now clock.Millis, id unit.Task, checkpoint bool) {
	t := d.tasks[id]
	if t == nil || t.stop || t.phase == gone {
		return
	}
	t.a.blameless = true
	if t.phase == placed {
		d.unstarted(now, t, false)
		return
	}
	t.stop = true
	t.checkpoint = checkpoint
	d.halt(t)
}

// complete ends a task that ran to its end. It also takes an answer that comes
// after the task was given up: what was Unknown is Done then.
func (d *Dispatcher) complete(now clock.Millis, t *task, done Done) {
	if t.finished {
		return
	}
	t.finished = true
	t.done = done
	r := d.current(t.a.r)
	r.asked = true
	d.release(t, Completed{Failed: done.Failed})
	if done.Failed && t.a.failed == nil {
		t.a.failed = &done
	}
	if answer, all := t.a.answer(); all {
		d.conclude(now, r, answer)
	} else if done.Failed && !t.a.over {
		d.abandon(now, t.a, nil)
		return
	}
	d.settle(now, t.a)
}

// current returns what is known of a request now. It was forgotten and heard of
// again if an attempt of an earlier time still runs.
func (d *Dispatcher) current(r *request) *request {
	if now := d.requests[r.ID]; now != nil {
		return now
	}
	d.requests[r.ID] = r
	return r
}

// answer returns the answer of an attempt, if all of its tasks finished, or
// all came to an end after a failure.
func (a *attempt) answer() (Done, bool) {
	var parts [][]byte
	for _, t := range a.tasks {
		if !t.finished && (a.failed == nil || t.phase != gone) {
			return Done{}, false
		}
		parts = append(parts, t.done.Answer)
	}
	if a.failed != nil {
		return *a.failed, true
	}
	return Done{Answer: bytes.Join(parts, []byte("\n"))}, true
}

// halted ends a task that an upstream stopped.
func (d *Dispatcher) halted(now clock.Millis, t *task, checkpointed bool) {
	if t.phase == gone {
		return
	}
	t.a.r.asked = true
	t.a.r.resume = checkpointed
	d.release(t, Stopped{Checkpointed: checkpointed})
	d.giveUp(now, t.a)
}

// lapsed ends a task whose lease has surely ended, or whose upstream is gone.
func (d *Dispatcher) lapsed(now clock.Millis, t *task) {
	if t.phase == gone {
		return
	}
	t.a.r.asked = true
	d.release(t, Lost{})
	d.giveUp(now, t.a)
}

func (d *Dispatcher) giveUp(now clock.Millis, a *attempt) {
	if a.over {
		d.settle(now, a)
		return
	}
	d.abandon(now, a, nil)
}

// settle decides what becomes of a request once nothing of its attempt may run
// any more.
func (d *Dispatcher) settle(now clock.Millis, a *attempt) {
	for _, t := range a.tasks {
		if t.phase != gone {
			return
		}
	}
	if d.attempts[a.id] != a {
		return
	}
	r := a.r
	wasLive := r.live == a
	if a.intended && !r.asked {
		d.emit(RevokeIntent{Request: r.ID, Epoch: a.epoch, Attempt: a.id})
	}
	d.forgetAttempt(now, a)
	if answer, all := a.answer(); all {
		d.conclude(now, r, answer)
	}
	if r.outcome == nil && wasLive {
		d.next(now, r, a)
	}
}

func (d *Dispatcher) forgetAttempt(now clock.Millis, a *attempt) {
	delete(d.attempts, a.id)
	if a.r.live == a {
		a.r.live = nil
	}
	for _, t := range a.tasks {
		d.buried = append(d.buried, burial{task: t.id, at: now})
	}
}

// next tries a request again or concludes it.
func (d *Dispatcher) next(now clock.Millis, r *request, a *attempt) {
	if !a.blameless {
		r.attempts++
	}
	switch {
	case a.why != nil:
		d.conclude(now, r, r.unrun(*a.why))
	case r.cancelled:
		d.conclude(now, r, r.unrun(cancelled))
	case r.asked && !r.Repeatable:
		d.conclude(now, r, Unknown{r.stoppedWhy(a)})
	case r.attempts >= d.c.MaxAttempts:
		d.conclude(now, r, r.unrun(upstreamRefused))
	case a.pause > 0:
		d.hold(r, now+a.pause)
	case a.blameless || r.attempts == 1:
		d.enqueue(r)
	default:
		d.hold(r, now+min(firstBackoff<<min(r.attempts, 10), lastBackoff))
	}
}

func (r *request) stoppedWhy(a *attempt) Refusal {
	if a.blameless {
		return upstreamStopped
	}
	return upstreamLost
}

// unrun is the outcome of a request that isn't started any more.
func (r *request) unrun(why Refusal) Outcome {
	if r.asked || r.foreign != "" || r.live.mayRun() {
		return Unknown{why}
	}
	return NotRun{why}
}

// conclude gives a request its outcome. The first one stands, except that a
// Done replaces an Unknown.
func (d *Dispatcher) conclude(now clock.Millis, r *request, o Outcome) {
	if r.outcome != nil && !isBetter(r.outcome, o) {
		return
	}
	delete(d.held, r.ID)
	r.foreign = ""
	r.outcome = o
	r.endedAt = now
	if HolderChanged(o) {
		// The request goes on at another instance, or here under a later
		// epoch, so this isn't its end.
		d.emit(NotifyCallers{Request: r.ID, Outcome: o})
		delete(d.requests, r.ID)
		return
	}
	if !r.listed {
		r.listed = true
		d.ended = append(d.ended, r)
	}
	if r.durable {
		r.recorded = false
		d.emit(Record{Request: r.ID, Epoch: d.epoch, Outcome: o})
	} else {
		r.recorded = true
	}
	d.emit(NotifyCallers{Request: r.ID, Outcome: o})
	if _, unknown := o.(Unknown); !unknown && r.live != nil {
		d.abandon(now, r.live, nil)
	}
}

// isBetter reports whether an outcome replaces the one that was told before.
func isBetter(old, o Outcome) bool {
	_, unknown := old.(Unknown)
	_, done := o.(Done)
	return unknown && done
}

// Recorded says that the outcome of a request is committed.
func (d *Dispatcher) Recorded(id unit.Request) {
	if r := d.requests[id]; r != nil {
		r.recorded = true
	}
}
