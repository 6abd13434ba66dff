package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// HandleReport applies an upstream's report and returns the reply. The caller
// must have checked that it holds the zone's lease at now, since the reply
// renews the leases of tasks.
func (d *Dispatcher) HandleReport(now clock.Millis, r Report) ReportReply {
	reply := ReportReply{Epoch: d.epoch, Lease: d.config.TaskLease}
	u, current := d.acceptReport(now, r)
	for _, e := range r.Ended {
		if d.handleEnded(now, e) {
			reply.Forget = append(reply.Forget, e.Task)
		}
	}
	if !current {
		return reply
	}
	d.copyDetails(u, r)
	for _, running := range r.Running {
		d.handleRunning(now, u, running)
	}
	u.claimed = r.Epoch == d.epoch
	if u.claimed && d.unclaimedPrior != nil {
		delete(d.unclaimedPrior, u.id)
		d.checkRecovery(now)
	}
	d.updateUpstream(u)
	reply.Stop = d.stopOrders(u, r)
	return reply
}

// acceptReport returns the upstream of a report and adds it if it is new. It
// returns false if a later report was handled before.
func (d *Dispatcher) acceptReport(now clock.Millis, r Report) (*upstream, bool) {
	u := d.upstreams[r.Upstream]
	if u == nil {
		u = &upstream{id: r.Upstream, incarnation: r.Incarnation, formerIncarnations: map[unit.Incarnation]bool{}, tasks: map[unit.Task]*task{}}
		d.upstreams[r.Upstream] = u
	}
	if u.formerIncarnations[r.Incarnation] {
		return u, false
	}
	if u.incarnation != r.Incarnation {
		d.handleRestart(now, u, r.Incarnation)
	}
	if r.Sequence != 0 && r.Sequence < u.sequence {
		return u, false
	}
	u.sequence = r.Sequence
	u.reportedAt = now
	u.silent = false
	return u, true
}

// handleRestart ends the tasks that ran on an upstream before it restarted. An
// order that is in transit may still reach the new incarnation, so tasks that were
// sent but not confirmed to run keep their lease.
func (d *Dispatcher) handleRestart(now clock.Millis, u *upstream, incarnation unit.Incarnation) {
	u.formerIncarnations[u.incarnation] = true
	u.incarnation = incarnation
	u.sequence = 0
	u.departing = false
	u.claimed = false
	for _, t := range u.sortedTasks() {
		if t.phase == running {
			d.endLost(now, t)
		}
	}
}

func (d *Dispatcher) copyDetails(u *upstream, r Report) {
	u.address = r.Address
	u.rack = r.Rack
	u.capacity = r.Holds
	u.departing = u.departing || r.Departing
}

// updateUpstream passes an upstream's capacity and state to the queue. An
// upstream that isn't claimed yet is withheld, since an earlier scheduler may
// still start tasks on it.
func (d *Dispatcher) updateUpstream(u *upstream) {
	if u.claimed {
		d.emit(UpdateUpstream{Upstream: u.id, Rack: u.rack, Capacity: u.capacity, Unschedulable: !u.isUsable()})
	}
}

// handleEnded handles the reported end of a task. It reports whether the
// upstream may forget the task.
func (d *Dispatcher) handleEnded(now clock.Millis, e Ended) bool {
	t := d.tasks[e.Task]
	if t == nil {
		t = d.adoptEnded(e)
	}
	if e.Stopped {
		d.endStopped(now, t, e.Checkpointed)
	} else {
		d.endCompleted(now, t, e.Done)
	}
	r := d.requests[e.Request]
	switch {
	case r == nil:
		return true
	case r.outcome == nil:
		// The answer of a finished task is needed until the other tasks of
		// its attempt have ended.
		return !t.finished
	default:
		return r.outcomeRecorded
	}
}

// adoptEnded adds a task of an earlier scheduler that ended before a report
// listed it as running.
func (d *Dispatcher) adoptEnded(e Ended) *task {
	return d.adopt(nil, Running{Task: e.Task, Request: e.Request, Team: e.Team})
}

// handleRunning handles a task that a report lists as running, and renews its
// lease.
func (d *Dispatcher) handleRunning(now clock.Millis, u *upstream, r Running) {
	t := d.tasks[r.Task]
	if t == nil {
		t = d.adopt(u, r)
	}
	if t.phase == ended || t.phase == queued || t.phase == placed {
		// The task has ended or was never sent under this id; stopOrders
		// stops it.
		return
	}
	t.upstream = u
	u.tasks[t.id] = t
	t.need = r.Need
	t.phase = running
	t.endsBy = d.config.renewedTaskEndsBy(now)
	if t.chargedEpoch != d.epoch {
		t.chargedEpoch = d.epoch
		d.emit(Adopt{Running: r, Request: t.attempt.request.Request, Upstream: u.id})
	}
}

// stopOrders returns stop orders for the reported tasks that must stop. The
// upstream doesn't renew their leases.
func (d *Dispatcher) stopOrders(u *upstream, r Report) []StopOrder {
	var out []StopOrder
	for _, running := range r.Running {
		t := d.tasks[running.Task]
		if t.phase != ended && t.phase != queued && t.phase != placed && !t.mustStop && t.upstream == u {
			continue
		}
		out = append(out, StopOrder{Task: t.id, Checkpoint: t.checkpoint})
	}
	return out
}

// adopt adds a task of an earlier scheduler. If its request has ended or has
// another attempt that may run, the task must be stopped.
func (d *Dispatcher) adopt(u *upstream, found Running) *task {
	id, index, size := splitTaskID(found.Task)
	r := d.requests[found.Request]
	if r == nil {
		r = &request{Request: Request{ID: found.Request, Team: found.Team}, gangSize: size, maybeLogged: true}
		d.requests[found.Request] = r
	}
	a := d.attempts[id]
	if a == nil {
		a = d.adoptAttempt(r, id, size)
	}
	t := a.tasks[min(index, len(a.tasks)-1)]
	if t.id != found.Task {
		t = &task{id: found.Task, attempt: a, phase: ended}
		d.tasks[t.id] = t
	}
	if u != nil {
		t.upstream = u
	}
	return t
}

// adoptAttempt adds the attempt of a reported task, with all of its tasks.
func (d *Dispatcher) adoptAttempt(r *request, id unit.Task, size int) *attempt {
	a := &attempt{id: id, request: r, intentMayExist: !r.Repeatable}
	d.attempts[id] = a
	redundant := r.outcome != nil || (r.liveAttempt != nil && !d.withdrawUnsent(r))
	for i := range size {
		t := &task{id: TaskID(id, i, size), attempt: a, phase: unreported, endsBy: d.recoveryEndsAt, mustStop: redundant || r.cancelled}
		a.tasks = append(a.tasks, t)
		d.tasks[t.id] = t
		d.inFlight[t.id] = t
	}
	r.mayHaveRun = true
	if redundant {
		a.abandoned = true
		return a
	}
	delete(d.delayed, r.ID)
	r.priorAttempt = ""
	r.liveAttempt = a
	return a
}

// withdrawUnsent withdraws the live attempt of a request if none of its tasks
// was sent, in favour of an attempt that was reported running. It returns false
// if a task of the live attempt may run.
func (d *Dispatcher) withdrawUnsent(r *request) bool {
	if r.liveAttempt.mayRun() {
		return false
	}
	for _, t := range r.liveAttempt.tasks {
		d.release(t, Unstarted{})
	}
	r.liveAttempt.abandoned = true
	delete(d.attempts, r.liveAttempt.id)
	r.liveAttempt = nil
	return true
}
