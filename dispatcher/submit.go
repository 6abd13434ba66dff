package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// RequestRecord is the replicated log's record of a request.
type RequestRecord struct {
	Request   Request
	Accepted  bool
	Cancelled bool
	// Attempt is the attempt whose intent is recorded; empty if none is.
	Attempt unit.Task
	// Outcome is nil while the request is in progress.
	Outcome Outcome
}

// Submit adds a request that a caller waits for, or joins the caller to the
// request that is tracked under the same id. size is the number of tasks that
// start together; known is the log's record of the request, nil if none.
func (d *Dispatcher) Submit(now clock.Millis, r Request, size int, known *RequestRecord) {
	if have := d.requests[r.ID]; have != nil {
		have.fill(r, size)
		d.joinResend(now, have, r)
		return
	}
	if known != nil && known.Outcome != nil {
		d.emit(NotifyCallers{Request: r.ID, Outcome: known.Outcome})
		return
	}
	if d.epoch == 0 {
		d.emit(NotifyCallers{Request: r.ID, Outcome: rejectedOutcome(r, refusalNoScheduler)})
		return
	}
	if known != nil {
		d.setDeadline(d.restore(now, *known, size), now+r.Timeout)
		return
	}
	added := d.addRequest(r, size)
	// An earlier scheduler may have run the request without reporting its
	// outcome to anyone.
	added.mayHaveRun = r.Repeatable && !r.Fresh && now < d.priorOutcomesUntil
	d.setDeadline(added, now+r.Timeout)
	d.enqueueOrDelay(added)
}

// rejectedOutcome returns the outcome of a request that this scheduler doesn't
// accept. Unless this is its first send, another scheduler may have started it.
func rejectedOutcome(r Request, refusal Refusal) Outcome {
	if r.Fresh {
		return NotRun{refusal}
	}
	return Unknown{refusal}
}

// SubmitDraining handles a request that arrives while the zone is being handed
// over. It refuses the request unless it is tracked already.
func (d *Dispatcher) SubmitDraining(now clock.Millis, r Request) {
	if have := d.requests[r.ID]; have != nil {
		d.joinResend(now, have, r)
		return
	}
	d.emit(NotifyCallers{Request: r.ID, Outcome: rejectedOutcome(r, RefusalShuttingDown)})
}

// joinResend joins a resend to the request that is tracked under its id.
func (d *Dispatcher) joinResend(now clock.Millis, r *request, resend Request) {
	if r.outcome != nil {
		d.emit(NotifyCallers{Request: r.ID, Outcome: r.outcome})
		return
	}
	d.setDeadline(r, now+resend.Timeout)
}

// fill completes a request that is known only from an upstream's report.
func (r *request) fill(full Request, size int) {
	if r.Queue == "" {
		r.Request = full
		r.gangSize = max(size, 1)
	}
}

func (d *Dispatcher) addRequest(r Request, size int) *request {
	added := &request{Request: r, gangSize: max(size, 1)}
	d.requests[r.ID] = added
	return added
}

// Restore adds a request in progress from its log record, if it was accepted or
// has an intent of an earlier scheduler. It ignores any other record: such a
// request is added when its caller resends it.
func (d *Dispatcher) Restore(now clock.Millis, record RequestRecord, size int) {
	if record.Outcome != nil || d.epoch == 0 || (!record.Accepted && record.Attempt == "") {
		return
	}
	if have := d.requests[record.Request.ID]; have != nil {
		have.fill(record.Request, size)
		have.accepted = have.accepted || record.Accepted
		have.maybeLogged = true
		if record.Cancelled && !have.cancelled {
			d.Cancel(now, record.Request.ID)
		}
		return
	}
	d.restore(now, record, size)
}

func (d *Dispatcher) restore(now clock.Millis, record RequestRecord, size int) *request {
	r := d.addRequest(record.Request, size)
	r.maybeLogged = true
	r.accepted = record.Accepted
	r.cancelled = record.Cancelled
	if record.Attempt != "" {
		r.mayHaveRun = true
		r.priorAttempt = record.Attempt
	}
	switch {
	case r.priorAttempt != "" && d.recovered:
		d.resolvePriorAttempt(now, r)
	case r.priorAttempt != "":
		// A report shows that the earlier attempt runs, or its lease expires.
	case r.cancelled && (d.recovered || !r.Repeatable):
		d.conclude(now, r, NotRun{refusalCancelled})
	default:
		d.enqueueOrDelay(r)
	}
	return r
}

// enqueueOrDelay enqueues a request, or delays it while an earlier scheduler may
// have started it without a record in the log.
func (d *Dispatcher) enqueueOrDelay(r *request) {
	if r.Repeatable && !r.Fresh && !d.recovered {
		d.delay(r, d.recoveryEndsAt)
		return
	}
	d.enqueue(r)
}

// delay delays a request until the given time.
func (d *Dispatcher) delay(r *request, until clock.Millis) {
	r.delayedUntil = until
	d.delayed[r.ID] = r
}

// enqueue creates a new attempt and puts its tasks in the queue.
func (d *Dispatcher) enqueue(r *request) {
	delete(d.delayed, r.ID)
	a := &attempt{id: d.config.NewTask(), request: r, epoch: d.epoch}
	r.liveAttempt = a
	d.attempts[a.id] = a
	for i := range r.gangSize {
		t := &task{id: TaskID(a.id, i, r.gangSize), attempt: a, chargedEpoch: d.epoch}
		a.tasks = append(a.tasks, t)
		d.tasks[t.id] = t
	}
	for _, t := range a.tasks {
		d.emit(Enqueue{Task: t.id, Request: r.Request, Attempt: a.id, Size: r.gangSize, Deadline: r.deadline})
	}
}

// Cancel cancels a request. It reports whether the request was known and in
// progress.
func (d *Dispatcher) Cancel(now clock.Millis, id unit.Request) bool {
	r := d.requests[id]
	if r == nil || r.outcome != nil {
		return false
	}
	r.cancelled = true
	switch {
	case r.liveAttempt != nil:
		d.abandon(now, r.liveAttempt, &refusalCancelled)
	case r.priorAttempt != "" || (r.Repeatable && !r.Fresh && !d.recovered):
		// It may run on an upstream that hasn't reported yet.
	default:
		d.conclude(now, r, r.unfinishedOutcome(refusalCancelled))
	}
	return true
}

// Reject ends a queued task that can never run, or that the queue refused.
func (d *Dispatcher) Reject(now clock.Millis, id unit.Task, refusal Refusal) {
	t := d.tasks[id]
	if t == nil || t.attempt.abandoned {
		return
	}
	d.abandon(now, t.attempt, &refusal)
}

// Postpone retries a queued task later if its request was accepted, and reports
// whether it does. The caller of an accepted request was told that it will run,
// so a full queue must not end it.
func (d *Dispatcher) Postpone(now clock.Millis, id unit.Task) bool {
	t := d.tasks[id]
	if t == nil || t.attempt.abandoned || !t.attempt.request.accepted {
		return false
	}
	t.attempt.endedByScheduler = true
	t.attempt.retryDelay = clock.Second
	d.abandon(now, t.attempt, nil)
	return true
}

// Outcome returns a request's outcome, nil while the request is in progress.
// known is false if the request never arrived or has been forgotten.
func (d *Dispatcher) Outcome(id unit.Request) (outcome Outcome, known bool) {
	r := d.requests[id]
	if r == nil {
		return nil, false
	}
	return r.outcome, true
}

// IsQueued reports whether a task is in the queue.
func (d *Dispatcher) IsQueued(id unit.Task) bool {
	t := d.tasks[id]
	return t != nil && t.phase == queued
}

// Waiting returns the tasks of a request that are in the queue.
func (d *Dispatcher) Waiting(id unit.Request) []unit.Task {
	r := d.requests[id]
	if r == nil || r.liveAttempt == nil {
		return nil
	}
	var ids []unit.Task
	for _, t := range r.liveAttempt.tasks {
		if t.phase == queued {
			ids = append(ids, t.id)
		}
	}
	return ids
}
