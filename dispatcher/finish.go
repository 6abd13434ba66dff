package dispatcher

import (
	"bytes"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Bounds of the backoff between the attempts of a request.
const (
	minBackoff = 50 * clock.Millisecond
	maxBackoff = 5 * clock.Second
)

// release marks a task as ended and removes it from the queue or its upstream.
func (d *Dispatcher) release(t *task, end TaskOutcome) {
	if t.phase == ended {
		return
	}
	switch {
	case t.chargedEpoch != d.epoch || d.epoch == 0:
		// The task isn't in this scheduler's queue.
	case t.phase == queued:
		d.emit(Dequeue{Task: t.id})
	default:
		d.emit(Release{Task: t.id, End: end})
	}
	t.phase = ended
	delete(d.inFlight, t.id)
	if t.upstream != nil {
		delete(t.upstream.tasks, t.id)
	}
}

// abandon gives up an attempt: it withdraws the tasks that aren't sent and stops
// those that may run. refusal is the final one; nil if the request may be tried
// again.
func (d *Dispatcher) abandon(now clock.Millis, a *attempt, refusal *Refusal) {
	a.abandoned = true
	if a.refusal == nil {
		a.refusal = refusal
	}
	for _, t := range a.tasks {
		switch {
		case t.phase == queued || t.phase == placed:
			d.release(t, Unstarted{})
		case t.mayRun() && !t.mustStop:
			t.mustStop = true
			d.sendStop(t)
		}
	}
	d.settle(now, a)
}

func (d *Dispatcher) sendStop(t *task) {
	if t.upstream != nil {
		d.emit(SendStop{Address: t.upstream.address, Order: StopOrder{Task: t.id, Checkpoint: t.checkpoint}})
	}
}

// Preempt stops a task that the queue chose as a victim.
func (d *Dispatcher) Preempt(now clock.Millis, id unit.Task, checkpoint bool) {
	t := d.tasks[id]
	if t == nil || t.mustStop || t.phase == ended {
		return
	}
	t.attempt.endedByScheduler = true
	if t.phase == placed {
		d.endUnstarted(now, t, false)
		return
	}
	t.mustStop = true
	t.checkpoint = checkpoint
	d.sendStop(t)
}

// endCompleted ends a task that ran to its end. It accepts an answer that comes
// after the task was abandoned: an Unknown outcome then becomes Done.
func (d *Dispatcher) endCompleted(now clock.Millis, t *task, done Done) {
	if t.finished {
		return
	}
	t.finished = true
	t.done = done
	r := d.currentRequest(t.attempt.request)
	r.mayHaveRun = true
	d.release(t, Completed{Failed: done.Failed})
	if done.Failed && t.attempt.firstFailure == nil {
		t.attempt.firstFailure = &done
	}
	if answer, complete := t.attempt.answer(); complete {
		d.conclude(now, r, answer)
	} else if done.Failed && !t.attempt.abandoned {
		d.abandon(now, t.attempt, nil)
		return
	}
	d.settle(now, t.attempt)
}

// currentRequest returns the tracked request with the id of r, or tracks r again
// if it was forgotten. The result differs from r if the request was forgotten and
// submitted again while an earlier attempt still ran.
func (d *Dispatcher) currentRequest(r *request) *request {
	if known := d.requests[r.ID]; known != nil {
		return known
	}
	d.requests[r.ID] = r
	return r
}

// answer returns the answer of an attempt if all of its tasks have finished, or
// if all have ended after one failed.
func (a *attempt) answer() (Done, bool) {
	var parts [][]byte
	for _, t := range a.tasks {
		if !t.finished && (a.firstFailure == nil || t.phase != ended) {
			return Done{}, false
		}
		parts = append(parts, t.done.Answer)
	}
	if a.firstFailure != nil {
		return *a.firstFailure, true
	}
	return Done{Answer: bytes.Join(parts, []byte("\n"))}, true
}

// endStopped ends a task that an upstream stopped.
func (d *Dispatcher) endStopped(now clock.Millis, t *task, checkpointed bool) {
	if t.phase == ended {
		return
	}
	t.attempt.request.mayHaveRun = true
	t.attempt.request.resume = checkpointed
	d.release(t, Stopped{Checkpointed: checkpointed})
	d.abandonOrSettle(now, t.attempt)
}

// endLost ends a task whose lease has expired or whose upstream has restarted.
func (d *Dispatcher) endLost(now clock.Millis, t *task) {
	if t.phase == ended {
		return
	}
	t.attempt.request.mayHaveRun = true
	d.release(t, Lost{})
	d.abandonOrSettle(now, t.attempt)
}

func (d *Dispatcher) abandonOrSettle(now clock.Millis, a *attempt) {
	if a.abandoned {
		d.settle(now, a)
		return
	}
	d.abandon(now, a, nil)
}

// settle concludes or retries a request once all tasks of the attempt have
// ended.
func (d *Dispatcher) settle(now clock.Millis, a *attempt) {
	for _, t := range a.tasks {
		if t.phase != ended {
			return
		}
	}
	if d.attempts[a.id] != a {
		return
	}
	r := a.request
	wasLive := r.liveAttempt == a
	if a.intentMayExist && !r.mayHaveRun {
		d.emit(RetractIntent{Request: r.ID, Epoch: a.epoch, Attempt: a.id})
	}
	d.forgetAttempt(now, a)
	if answer, complete := a.answer(); complete {
		d.conclude(now, r, answer)
	}
	if r.outcome == nil && wasLive {
		d.retryOrConclude(now, r, a)
	}
}

func (d *Dispatcher) forgetAttempt(now clock.Millis, a *attempt) {
	delete(d.attempts, a.id)
	if a.request.liveAttempt == a {
		a.request.liveAttempt = nil
	}
	for _, t := range a.tasks {
		d.endedTasks = append(d.endedTasks, endedTask{task: t.id, at: now})
	}
}

// retryOrConclude starts the next attempt of a request or concludes it.
func (d *Dispatcher) retryOrConclude(now clock.Millis, r *request, a *attempt) {
	if !a.endedByScheduler {
		r.attempts++
	}
	switch {
	case a.refusal != nil:
		d.conclude(now, r, r.unfinishedOutcome(*a.refusal))
	case r.cancelled:
		d.conclude(now, r, r.unfinishedOutcome(refusalCancelled))
	case r.mayHaveRun && !r.Repeatable:
		d.conclude(now, r, Unknown{r.stoppedRefusal(a)})
	case r.attempts >= d.config.MaxAttempts:
		d.conclude(now, r, r.unfinishedOutcome(refusalUpstreamRefused))
	case a.retryDelay > 0:
		d.delay(r, now+a.retryDelay)
	case a.endedByScheduler || r.attempts == 1:
		d.enqueue(r)
	default:
		d.delay(r, now+min(minBackoff<<min(r.attempts, 10), maxBackoff))
	}
}

func (r *request) stoppedRefusal(a *attempt) Refusal {
	if a.endedByScheduler {
		return refusalTaskStopped
	}
	return refusalUpstreamLost
}

// unfinishedOutcome returns the outcome of a request that ends without an
// answer: NotRun, or Unknown if an upstream may have run it.
func (r *request) unfinishedOutcome(refusal Refusal) Outcome {
	if r.mayHaveRun || r.priorAttempt != "" || r.liveAttempt.mayRun() {
		return Unknown{refusal}
	}
	return NotRun{refusal}
}

// conclude sets a request's outcome and notifies its callers. A request keeps
// its first outcome, except that Done replaces Unknown.
func (d *Dispatcher) conclude(now clock.Millis, r *request, o Outcome) {
	if r.outcome != nil && !isSupersededBy(r.outcome, o) {
		return
	}
	delete(d.delayed, r.ID)
	r.priorAttempt = ""
	r.outcome = o
	r.endedAt = now
	if HolderChanged(o) {
		// The request continues at another instance, or here under a later
		// epoch, so it hasn't ended.
		d.emit(NotifyCallers{Request: r.ID, Outcome: o})
		delete(d.requests, r.ID)
		return
	}
	if !r.listed {
		r.listed = true
		d.endedRequests = append(d.endedRequests, r)
	}
	if r.maybeLogged {
		r.outcomeRecorded = false
		d.emit(Record{Request: r.ID, Epoch: d.epoch, Outcome: o})
	} else {
		r.outcomeRecorded = true
	}
	d.emit(NotifyCallers{Request: r.ID, Outcome: o})
	if _, unknown := o.(Unknown); !unknown && r.liveAttempt != nil {
		d.abandon(now, r.liveAttempt, nil)
	}
}

// isSupersededBy reports whether outcome o replaces the old one.
func isSupersededBy(old, o Outcome) bool {
	_, unknown := old.(Unknown)
	_, done := o.(Done)
	return unknown && done
}

// HandleOutcomeRecorded handles the commit of a request's outcome to the log.
func (d *Dispatcher) HandleOutcomeRecorded(id unit.Request) {
	if r := d.requests[id]; r != nil {
		r.outcomeRecorded = true
	}
}
