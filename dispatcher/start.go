package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// IntentResult is the decision on an intent. The set is closed: Granted, Conflict,
// Unacknowledged, Fenced.
type IntentResult interface{ decision() }

// Granted is an intent that the log holds: the start may be sent.
type Granted struct{}

// Conflict is an intent that the log refused, and what the log holds instead.
type Conflict struct{ Known RequestRecord }

// Unacknowledged is an intent that the log didn't answer for. MaybeCommitted says that it
// may be committed all the same.
type Unacknowledged struct{ MaybeCommitted bool }

// Fenced is an intent of an older epoch.
type Fenced struct{}

func (Granted) decision()        {}
func (Conflict) decision()       {}
func (Unacknowledged) decision() {}
func (Fenced) decision()         {}

// HandlePlacement takes the queue's decision that a task starts on an upstream. Once
// all tasks of the attempt are placed it goes on: by way of the log if the
// request isn't repeatable.
func (d *Dispatcher) HandlePlacement(now clock.Millis, id unit.Task, on unit.Upstream) {
	t := d.tasks[id]
	if t == nil || t.phase != queued || t.charged != d.epoch {
		d.emit(Release{Task: id, End: Unstarted{}})
		return
	}
	t.phase = placed
	t.u = d.upstreams[on]
	if t.u == nil {
		d.unstarted(now, t, false)
		return
	}
	a := t.a
	for _, other := range a.tasks {
		if other.phase != placed {
			return
		}
	}
	if !a.r.Repeatable {
		a.intended = true
		a.r.durable = true
		d.emit(CommitIntent{Request: a.r.Request, Epoch: a.epoch, Attempt: a.id, Upstream: on})
		return
	}
	d.send(a)
}

func (d *Dispatcher) send(a *attempt) {
	for _, t := range a.tasks {
		d.emit(SendStart{Task: t.id})
	}
}

// HandleIntentResult takes the log's decision on a CommitIntent.
func (d *Dispatcher) HandleIntentResult(now clock.Millis, attempt unit.Task, decision IntentResult) {
	a := d.attempts[attempt]
	if a == nil || a.over {
		return
	}
	switch decision := decision.(type) {
	case Granted:
		d.send(a)
	case Conflict:
		a.intended = false
		d.declined(now, a, decision.Known)
	case Fenced:
		a.intended = false
		d.abandon(now, a, &noScheduler)
	case Unacknowledged:
		a.intended = decision.MaybeCommitted
		if a.r.accepted {
			a.blameless = true
			a.pause = clock.Second
			d.abandon(now, a, nil)
			return
		}
		d.abandon(now, a, &RefusalLogUnreachable)
	}
}

// declined goes by what the log holds of a request instead of the intent.
func (d *Dispatcher) declined(now clock.Millis, a *attempt, k RequestRecord) {
	r := a.r
	switch {
	case k.Outcome != nil:
		d.drop(now, a)
		r.recorded = true
		r.durable = false
		d.conclude(now, r, k.Outcome)
	case k.Attempt != "":
		d.drop(now, a)
		r.asked = true
		r.foreign = k.Attempt
		if d.quiet {
			d.resolveForeign(now, r)
		}
	case k.Cancelled:
		d.abandon(now, a, &cancelled)
	default:
		d.abandon(now, a, &Refusal{Reason: ReasonInternal, Detail: "the log holds the request for another availability zone"})
	}
}

// drop gives up an attempt of which nothing was sent.
func (d *Dispatcher) drop(now clock.Millis, a *attempt) {
	a.over = true
	for _, t := range a.tasks {
		d.release(t, Unstarted{})
	}
	d.forgetAttempt(now, a)
}

// PrepareStart is called just before an order leaves, after everything that may
// have waited. It returns the order, or false if it must not be sent; the
// caller's check that it still holds the zone under epoch comes in as holds.
func (d *Dispatcher) PrepareStart(now clock.Millis, id unit.Task, epoch unit.Epoch, holds bool) (string, StartOrder, bool) {
	t := d.tasks[id]
	if t == nil || t.phase != placed || t.a.over {
		return "", StartOrder{}, false
	}
	r := t.a.r
	switch {
	case !holds || epoch != d.epoch:
		d.abandon(now, t.a, &noScheduler)
		return "", StartOrder{}, false
	case r.deadline > 0 && now >= r.deadline:
		d.abandon(now, t.a, &pastDeadline)
		return "", StartOrder{}, false
	case t.stop || !t.u.isUsable() || d.upstreams[t.u.id] != t.u:
		d.unstarted(now, t, false)
		return "", StartOrder{}, false
	}
	t.phase = sent
	t.until = d.c.sentUntil(now)
	t.u.tasks[t.id] = t
	d.flying[t.id] = t
	return t.u.address, StartOrder{
		Task:        t.id,
		Request:     r.ID,
		Team:        r.Team,
		Epoch:       d.epoch,
		Lease:       d.c.TaskLease,
		Expiry:      d.c.Expiry(),
		Incarnation: t.u.incarnation,
		Sequence:    t.u.sequence,
		Need:        t.need,
		Resume:      r.resume,
		Data:        r.Data,
	}, true
}

// isUsable reports whether an upstream may get new work.
func (u *upstream) isUsable() bool {
	return u.claimed && u.enrolled && !u.departing && !u.silent
}

// SetNeed stores what a task was charged, before it is sent.
func (d *Dispatcher) SetNeed(id unit.Task, need unit.Resources) {
	if t := d.tasks[id]; t != nil {
		t.need = need
	}
}

// HandleStartReply takes an upstream's answer to a start order.
func (d *Dispatcher) HandleStartReply(now clock.Millis, id unit.Task, reply StartReply) {
	t := d.tasks[id]
	if t == nil {
		return
	}
	switch reply := reply.(type) {
	case Finished:
		d.complete(now, t, reply.Done)
	case Started:
		d.started(now, t)
	case Refused:
		if t.phase != sent {
			return
		}
		if reply.Epoch > d.epoch {
			d.release(t, Unstarted{})
			d.abandon(now, t.a, &noScheduler)
			return
		}
		d.unstarted(now, t, true)
	}
}

func (d *Dispatcher) started(now clock.Millis, t *task) {
	if t.phase != sent {
		return
	}
	t.phase = running
	// The upstream counts the lease from the receipt of the order, so it ends
	// before a lease that is counted from now.
	t.until = min(t.until, d.c.renewedUntil(now))
	if t.stop {
		d.halt(t)
	}
	d.leave(now, t)
}

// HandleStartUnknown says that a start order may have reached its upstream or not. What
// became of it is told by a report, or by the end of its lease.
func (d *Dispatcher) HandleStartUnknown(now clock.Millis, id unit.Task) {
	if t := d.tasks[id]; t != nil && t.phase == sent {
		d.leave(now, t)
	}
}

// leave tells the callers of a task that goes on after the zone was lost to
// ask its present scheduler.
func (d *Dispatcher) leave(now clock.Millis, t *task) {
	if d.epoch == 0 && t.a.r.outcome == nil {
		d.conclude(now, t.a.r, Unknown{noScheduler})
	}
}

// HandleStartNotSent says that a start order surely never reached its upstream.
func (d *Dispatcher) HandleStartNotSent(now clock.Millis, id unit.Task) {
	if t := d.tasks[id]; t != nil && t.phase == sent {
		d.unstarted(now, t, true)
	}
}

// unstarted ends a task that surely never ran.
func (d *Dispatcher) unstarted(now clock.Millis, t *task, blame bool) {
	d.release(t, Unstarted{UpstreamFault: blame})
	if !t.a.over {
		d.abandon(now, t.a, nil)
		return
	}
	d.settle(now, t.a)
}
