package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// IntentResult is the result of committing an intent: Granted, Conflict,
// Unacknowledged or Fenced.
type IntentResult interface{ intentResult() }

// Granted means that the intent is committed: the start order may be sent.
type Granted struct{}

// Conflict means that the intent was refused because it contradicts Record, the
// request's record in the log.
type Conflict struct{ Record RequestRecord }

// Unacknowledged means that no result of the proposal arrived. MaybeCommitted is
// set if the intent may be committed nevertheless.
type Unacknowledged struct{ MaybeCommitted bool }

// Fenced means that the intent was refused because its epoch is outdated.
type Fenced struct{}

func (Granted) intentResult()        {}
func (Conflict) intentResult()       {}
func (Unacknowledged) intentResult() {}
func (Fenced) intentResult()         {}

// HandlePlacement handles the queue's decision to place a task on an upstream.
// Once all tasks of the attempt are placed, it sends them, or commits an intent
// first if the request isn't repeatable.
func (d *Dispatcher) HandlePlacement(now clock.Millis, id unit.Task, upstreamID unit.Upstream) {
	t := d.tasks[id]
	if t == nil || t.phase != queued || t.chargedEpoch != d.epoch {
		d.emit(Release{Task: id, End: Unstarted{}})
		return
	}
	t.phase = placed
	t.upstream = d.upstreams[upstreamID]
	if t.upstream == nil {
		d.endUnstarted(now, t, false)
		return
	}
	a := t.attempt
	for _, other := range a.tasks {
		if other.phase != placed {
			return
		}
	}
	if !a.request.Repeatable {
		a.intentMayExist = true
		a.request.maybeLogged = true
		d.emit(CommitIntent{Request: a.request.Request, Epoch: a.epoch, Attempt: a.id, Upstream: upstreamID})
		return
	}
	d.sendStarts(a)
}

func (d *Dispatcher) sendStarts(a *attempt) {
	for _, t := range a.tasks {
		d.emit(SendStart{Task: t.id})
	}
}

// HandleIntentResult handles the result of a CommitIntent.
func (d *Dispatcher) HandleIntentResult(now clock.Millis, attempt unit.Task, result IntentResult) {
	a := d.attempts[attempt]
	if a == nil || a.abandoned {
		return
	}
	switch result := result.(type) {
	case Granted:
		d.sendStarts(a)
	case Conflict:
		a.intentMayExist = false
		d.handleConflict(now, a, result.Record)
	case Fenced:
		a.intentMayExist = false
		d.abandon(now, a, &refusalNoScheduler)
	case Unacknowledged:
		a.intentMayExist = result.MaybeCommitted
		if a.request.accepted {
			a.endedByScheduler = true
			a.retryDelay = clock.Second
			d.abandon(now, a, nil)
			return
		}
		d.abandon(now, a, &RefusalLogUnreachable)
	}
}

// handleConflict updates a request from its log record after the log refused
// the intent.
func (d *Dispatcher) handleConflict(now clock.Millis, a *attempt, record RequestRecord) {
	r := a.request
	switch {
	case record.Outcome != nil:
		d.dropUnsent(now, a)
		r.outcomeRecorded = true
		r.maybeLogged = false
		d.conclude(now, r, record.Outcome)
	case record.Attempt != "":
		d.dropUnsent(now, a)
		r.mayHaveRun = true
		r.priorAttempt = record.Attempt
		if d.recovered {
			d.resolvePriorAttempt(now, r)
		}
	case record.Cancelled:
		d.abandon(now, a, &refusalCancelled)
	default:
		d.abandon(now, a, &Refusal{Reason: ReasonInternal, Detail: "the log holds the request for another availability zone"})
	}
}

// dropUnsent ends an attempt of which no task was sent.
func (d *Dispatcher) dropUnsent(now clock.Millis, a *attempt) {
	a.abandoned = true
	for _, t := range a.tasks {
		d.release(t, Unstarted{})
	}
	d.forgetAttempt(now, a)
}

// PrepareStart marks a task as sent and returns the upstream's address and the
// start order, or false if the order must not be sent. It must be called just
// before the order is sent, after every step that can block. holdsZone is the
// result of the caller's check that it holds the zone's lease under epoch.
func (d *Dispatcher) PrepareStart(now clock.Millis, id unit.Task, epoch unit.Epoch, holdsZone bool) (string, StartOrder, bool) {
	t := d.tasks[id]
	if t == nil || t.phase != placed || t.attempt.abandoned {
		return "", StartOrder{}, false
	}
	r := t.attempt.request
	switch {
	case !holdsZone || epoch != d.epoch:
		d.abandon(now, t.attempt, &refusalNoScheduler)
		return "", StartOrder{}, false
	case r.deadline > 0 && now >= r.deadline:
		d.abandon(now, t.attempt, &refusalDeadline)
		return "", StartOrder{}, false
	case t.mustStop || !t.upstream.isUsable() || d.upstreams[t.upstream.id] != t.upstream:
		d.endUnstarted(now, t, false)
		return "", StartOrder{}, false
	}
	t.phase = sent
	t.endsBy = d.config.sentTaskEndsBy(now)
	t.upstream.tasks[t.id] = t
	d.inFlight[t.id] = t
	return t.upstream.address, StartOrder{
		Task:        t.id,
		Request:     r.ID,
		Team:        r.Team,
		Epoch:       d.epoch,
		Lease:       d.config.TaskLease,
		Expiry:      d.config.Expiry(),
		Incarnation: t.upstream.incarnation,
		Sequence:    t.upstream.sequence,
		Need:        t.need,
		Resume:      r.resume,
		Data:        r.Data,
	}, true
}

// isUsable reports whether an upstream may get new tasks.
func (u *upstream) isUsable() bool {
	return u.claimed && u.confirmed && !u.departing && !u.silent
}

// SetNeed sets the resources that a task is charged. It must be called before
// the task is sent.
func (d *Dispatcher) SetNeed(id unit.Task, need unit.Resources) {
	if t := d.tasks[id]; t != nil {
		t.need = need
	}
}

// HandleStartReply handles an upstream's reply to a start order.
func (d *Dispatcher) HandleStartReply(now clock.Millis, id unit.Task, reply StartReply) {
	t := d.tasks[id]
	if t == nil {
		return
	}
	switch reply := reply.(type) {
	case Finished:
		d.endCompleted(now, t, reply.Done)
	case Started:
		d.handleStarted(now, t)
	case Refused:
		if t.phase != sent {
			return
		}
		if reply.Epoch > d.epoch {
			d.release(t, Unstarted{})
			d.abandon(now, t.attempt, &refusalNoScheduler)
			return
		}
		d.endUnstarted(now, t, true)
	}
}

func (d *Dispatcher) handleStarted(now clock.Millis, t *task) {
	if t.phase != sent {
		return
	}
	t.phase = running
	// The upstream counts the lease from the receipt of the order, so it
	// expires before a lease that is counted from now.
	t.endsBy = min(t.endsBy, d.config.renewedTaskEndsBy(now))
	if t.mustStop {
		d.sendStop(t)
	}
	d.notifyIfDeactivated(now, t)
}

// HandleStartUnknown handles a start order that may have been delivered. A
// report or the expiry of its lease decides whether the task runs.
func (d *Dispatcher) HandleStartUnknown(now clock.Millis, id unit.Task) {
	if t := d.tasks[id]; t != nil && t.phase == sent {
		d.notifyIfDeactivated(now, t)
	}
}

// notifyIfDeactivated refers the callers of a task to the zone's present
// scheduler, if this scheduler has lost the zone while the task continues.
func (d *Dispatcher) notifyIfDeactivated(now clock.Millis, t *task) {
	if d.epoch == 0 && t.attempt.request.outcome == nil {
		d.conclude(now, t.attempt.request, Unknown{refusalNoScheduler})
	}
}

// HandleStartNotSent handles a start order that never reached its upstream.
func (d *Dispatcher) HandleStartNotSent(now clock.Millis, id unit.Task) {
	if t := d.tasks[id]; t != nil && t.phase == sent {
		d.endUnstarted(now, t, true)
	}
}

// endUnstarted ends a task that never ran.
func (d *Dispatcher) endUnstarted(now clock.Millis, t *task, upstreamFault bool) {
	d.release(t, Unstarted{UpstreamFault: upstreamFault})
	if !t.attempt.abandoned {
		d.abandon(now, t.attempt, nil)
		return
	}
	d.settle(now, t.attempt)
}
