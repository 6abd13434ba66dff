package scheduler

import (
	"context"
	"slices"
	"strings"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// maxProposing bounds the workload requests whose acceptance is being
	// proposed at once, so that a large batch doesn't delay other proposals.
	maxProposing = 64
	// serviceTimeout is the timeout of a service's request, which is meant never
	// to pass.
	serviceTimeout = 100 * 365 * clock.Day
)

// reconcileWorkloads compares the configured workloads with the replicated state and
// the running tasks, and starts, cancels and records what differs. The caller holds
// s.mu, and this instance holds the zone.
func (s *Scheduler) reconcileWorkloads(now clock.Millis) {
	c := s.core
	s.acceptRequests()
	if c.workloads.removalDue {
		c.workloads.removalDue = false
		s.cancelRemoved(now)
	}
	if c.dispatcher.IsRecovered() {
		c.startSlots(now)
	}
	s.recordReadiness()
	c.resolveDependencies()
}

// acceptRequests proposes the acceptance of the workload requests that the log doesn't
// hold yet, at most maxProposing at a time.
func (s *Scheduler) acceptRequests() {
	c := s.core
	w := &c.workloads
	for w.acceptedCount < len(w.requests) && c.isRecorded(w.requests[w.acceptedCount].id) {
		w.acceptedCount++
	}
	for _, r := range w.requests[w.acceptedCount:] {
		if len(w.proposing) >= maxProposing {
			return
		}
		if w.proposing[r.id] || c.isRecorded(r.id) {
			continue
		}
		w.proposing[r.id] = true
		s.startCall(func() { s.acceptRequest(r) })
	}
}

// isRecorded reports whether the log holds a workload request for this zone, or
// its outcome.
func (c *core) isRecorded(id unit.Request) bool {
	rec, known := c.state.Record(id)
	return known && (!rec.Open() || rec.AvailabilityZone == c.az)
}

// acceptRequest proposes the acceptance of a workload request. If the request isn't
// accepted, acceptRequests tries again.
func (s *Scheduler) acceptRequest(w workloadRequest) {
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout.Duration())
	defer cancel()
	r := dispatcher.Request{ID: w.id, Team: w.team, Repeatable: w.repeatable, Data: []byte(w.data)}
	accepted, _ := s.SubmitAsync(ctx, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.core.workloads.proposing, w.id)
	if !accepted {
		s.config.Logger.WithField("Request", w.id).Debug("workload request was not accepted; retrying")
	}
}

// cancelRemoved cancels the requests and slots that the configuration no longer
// contains.
func (s *Scheduler) cancelRemoved(now clock.Millis) {
	c := s.core
	desired := map[unit.Request]bool{}
	for _, r := range c.workloads.requests {
		desired[r.id] = true
	}
	for _, rec := range c.state.OpenRecords(c.az) {
		id := rec.Request.ID
		key, isWorkload := parser.WorkloadKeyOf(id)
		// A request whose home is now another zone isn't cancelled: it is
		// accepted there.
		if isWorkload && !rec.Cancelled && !desired[id] && !c.isConfigured(key, id) {
			s.startCall(func() { s.Cancel(s.ctx, id) })
		}
	}
	for id, slot := range c.workloads.slots {
		if slot.desired {
			continue
		}
		if slot.current == "" {
			delete(c.workloads.slots, id)
			continue
		}
		c.dispatcher.Cancel(now, slot.current)
	}
}

// isConfigured reports whether the configuration contains a workload request,
// whichever zone is its home.
func (c *core) isConfigured(key parser.WorkloadKey, id unit.Request) bool {
	if _, ok := c.specs[key]; !ok {
		return false
	}
	for _, b := range c.config.Batches {
		if b.Key() == key {
			return slices.Contains(indexNames(b.Count), strings.TrimPrefix(string(id), string(key.RequestID(""))))
		}
	}
	return true
}

// startSlots submits a request for each slot that has none and is due.
func (c *core) startSlots(now clock.Millis) {
	for id, slot := range c.workloads.slots {
		if !slot.desired || slot.current != "" || now < slot.restartAt {
			continue
		}
		slot.current = id + unit.Request("#"+string(c.newTask()))
		c.dispatcher.Submit(now, dispatcher.Request{
			ID: slot.current, Team: slot.team, Repeatable: true, Fresh: true, Timeout: serviceTimeout, Data: []byte(slot.data),
		}, 1, nil)
	}
}

// recordReadiness records the readiness of the services that run here in the log.
// Workloads of all zones may depend on it.
func (s *Scheduler) recordReadiness() {
	c := s.core
	for key := range c.workloads.readyServices {
		id := key.RequestID(readyRequestName)
		rec, known := c.state.Record(id)
		if _, configured := c.specs[key]; !configured || known && !rec.Open() {
			delete(c.workloads.readyServices, key)
			continue
		}
		if !c.workloads.proposing[id] {
			c.workloads.proposing[id] = true
			s.startCall(func() { s.proposeReadiness(id) })
		}
	}
}

// proposeReadiness records the readiness of a service as an accepted request with
// the outcome Done.
func (s *Scheduler) proposeReadiness(id unit.Request) {
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout.Duration())
	defer cancel()
	now := s.config.Clock.Now()
	_, err := s.config.Propose(ctx, registrar.AcceptRequest{
		Request: dispatcher.Request{ID: id}, AvailabilityZone: s.config.AvailabilityZone, At: now,
	})
	if err == nil {
		_, err = s.config.Propose(ctx, registrar.EndRequest{
			Request: id, AvailabilityZone: s.config.AvailabilityZone,
			Outcome: dispatcher.MarshalOutcome(dispatcher.Done{}), At: now,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.core.workloads.proposing, id)
	if err != nil {
		s.config.Logger.WithError(err).WithField("Request", id).Warn("failed to record the readiness of a service in the log; retrying")
	}
}

// resolveDependencies informs the queue of dependencies that are done, ready or failed.
func (c *core) resolveDependencies() {
	for name, dep := range c.workloads.dependencies {
		if dep.resolved {
			continue
		}
		ok, resolved := c.advanceDependency(dep)
		if resolved {
			dep.resolved = true
			c.queuer.ResolveDependency(name, ok)
			c.changed = true
		}
	}
}

// advanceDependency reads the records of the remaining requests of a dependency. It
// reports whether the dependency is resolved, and if so, whether it succeeded.
func (c *core) advanceDependency(dep *dependency) (ok, resolved bool) {
	for dep.doneCount < len(dep.requestNames) {
		rec, registered := c.state.Record(dep.key.RequestID(dep.requestNames[dep.doneCount]))
		if !registered || rec.Open() {
			return false, false
		}
		if done, isDone := requestRecord(rec).Outcome.(dispatcher.Done); !isDone || done.Failed {
			return false, true
		}
		dep.doneCount++
	}
	return true, true
}
