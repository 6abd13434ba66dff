package dispatcher

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Tick does what is due at now.
func (d *Dispatcher) Tick(now clock.Millis) {
	d.passDeadlines(now)
	if d.epoch != 0 {
		d.becomeQuiet(now)
		d.watch(now)
		d.queueHeld(now)
	}
	d.lapse(now)
	d.forget(now)
}

func (d *Dispatcher) passDeadlines(now clock.Millis) {
	for len(d.deadlines) > 0 && d.deadlines[0].at <= now {
		due := heap.Pop(&d.deadlines).(deadline)
		if due.r.outcome == nil && due.r.deadline == due.at && !due.r.accepted && d.requests[due.r.ID] == due.r {
			d.passDeadline(now, due.r)
		}
	}
}

// Expire passes the deadline of a request whose last caller waits no longer.
func (d *Dispatcher) Expire(now clock.Millis, id unit.Request) {
	if r := d.requests[id]; r != nil && r.outcome == nil && !r.accepted {
		d.passDeadline(now, r)
	}
}

func (d *Dispatcher) passDeadline(now clock.Millis, r *request) {
	if r.live == nil || r.live.allSent() {
		d.conclude(now, r, r.unrun(pastDeadline))
		return
	}
	d.abandon(now, r.live, &pastDeadline)
}

// allSent reports whether every task of the attempt was sent.
func (a *attempt) allSent() bool {
	for _, t := range a.tasks {
		if t.phase == queued || t.phase == placed {
			return false
		}
	}
	return true
}

// becomeQuiet resolves what waited for the end of earlier schedulers' leases.
func (d *Dispatcher) becomeQuiet(now clock.Millis) {
	allHeard := d.expected != nil && len(d.expected) == 0
	if d.quiet || (now < d.quietAt && !allHeard) {
		return
	}
	d.quiet = true
	d.emit(RecoveryComplete{})
	d.hasten(now)
	for _, r := range d.sortedRequests() {
		if r.foreign != "" && r.outcome == nil {
			d.resolveForeign(now, r)
		}
	}
}

// hasten ends the waits that were set to last until the zone is quiet.
func (d *Dispatcher) hasten(now clock.Millis) {
	for _, r := range d.held {
		if r.heldUntil == d.quietAt {
			r.heldUntil = now
		}
	}
	for _, t := range d.flying {
		if t.phase == unseen {
			t.until = now
		}
	}
	d.quietAt = min(d.quietAt, now)
}

// resolveForeign ends the wait for an earlier scheduler's attempt: its lease
// has surely ended.
func (d *Dispatcher) resolveForeign(now clock.Millis, r *request) {
	switch {
	case r.cancelled:
		d.conclude(now, r, Unknown{cancelled})
	case r.Repeatable:
		r.foreign = ""
		d.enqueue(r)
	default:
		d.conclude(now, r, Unknown{startedElsewhere})
	}
}

// watch keeps new work from silent upstreams and forgets those that are gone.
func (d *Dispatcher) watch(now clock.Millis) {
	for id, u := range d.upstreams {
		if !u.silent && now >= u.heardAt+d.c.ReportTimeout {
			u.silent = true
			d.announce(u)
		}
		if len(u.tasks) == 0 && now >= d.c.sentUntil(u.heardAt) {
			delete(d.upstreams, id)
			d.emit(RemoveUpstream{Upstream: id})
		}
	}
}

// IsRecovered reports whether everything that earlier schedulers started is known
// or has surely ended.
func (d *Dispatcher) IsRecovered() bool { return d.epoch != 0 && d.quiet }

func (d *Dispatcher) queueHeld(now clock.Millis) {
	var due []*request
	for _, r := range d.held {
		if now >= r.heldUntil {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, byID)
	for _, r := range due {
		if r.cancelled {
			d.conclude(now, r, r.unrun(cancelled))
			continue
		}
		d.enqueue(r)
	}
}

// lapse ends the tasks whose lease has surely ended.
func (d *Dispatcher) lapse(now clock.Millis) {
	var due []*task
	for _, t := range d.flying {
		if now >= t.until {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	for _, t := range due {
		d.lapsed(now, t)
	}
}

// forget drops outcomes and tasks that are no longer asked for.
func (d *Dispatcher) forget(now clock.Millis) {
	for len(d.ended) > 0 {
		r := d.ended[0]
		if now < r.endedAt+d.c.OutcomeRetention && len(d.ended) <= d.c.MaxRetainedOutcomes {
			break
		}
		if d.requests[r.ID] == r && r.live == nil {
			delete(d.requests, r.ID)
		}
		d.ended = d.ended[1:]
	}
	for len(d.buried) > 0 && now >= d.buried[0].at+d.c.OutcomeRetention {
		delete(d.tasks, d.buried[0].task)
		d.buried = d.buried[1:]
	}
}

func byID(a, b *request) int { return cmp.Compare(a.ID, b.ID) }

func (d *Dispatcher) sortedRequests() []*request {
	all := make([]*request, 0, len(d.requests))
	for _, r := range d.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, byID)
	return all
}

func (u *upstream) sorted() []*task {
	all := make([]*task, 0, len(u.tasks))
	for _, t := range u.tasks {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b *task) int { return cmp.Compare(a.id, b.id) })
	return all
}
