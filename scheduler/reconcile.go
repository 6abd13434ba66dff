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
	// maxAccepting bounds the pieces that are being accepted in the log at
	// once, so that a large batch doesn't hold up the other proposals.
	maxProposing = 64
	// forever is the timeout of a service's request.
	serviceTimeout = 100 * 365 * clock.Day
)

// runText does what is due of the text's work. The caller holds the lock and
// the zone.
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

// acceptPieces brings the pieces that the log doesn't hold yet into it.
func (s *Scheduler) acceptRequests() {
	c := s.core
	w := &c.workloads
	for w.acceptedCount < len(w.requests) && c.isRecorded(w.requests[w.acceptedCount].id) {
		w.acceptedCount++
	}
	for _, p := range w.requests[w.acceptedCount:] {
		if len(w.proposing) >= maxProposing {
			return
		}
		if w.proposing[p.id] || c.isRecorded(p.id) {
			continue
		}
		w.proposing[p.id] = true
		s.startCall(func() { s.acceptRequest(p) })
	}
}

// isTaken reports whether the log holds a piece for this zone, or its end.
func (c *core) isRecorded(id unit.Request) bool {
	rec, known := c.state.Record(id)
	return known && (!rec.Open() || rec.AvailabilityZone == c.az)
}

func (s *Scheduler) acceptRequest(p workloadRequest) {
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout.Duration())
	defer cancel()
	r := dispatcher.Request{ID: p.id, Team: p.team, Repeatable: p.repeatable, Data: []byte(p.data)}
	accepted, _ := s.SubmitAsync(ctx, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.core.workloads.proposing, p.id)
	if !accepted {
		s.config.Logger.WithField("Request", p.id).Debug("a piece of the text's work isn't accepted yet")
	}
}

// sweepText ends what the text doesn't have any more.
func (s *Scheduler) cancelRemoved(now clock.Millis) {
	c := s.core
	wanted := map[unit.Request]bool{}
	for _, p := range c.workloads.requests {
		wanted[p.id] = true
	}
	for _, rec := range c.state.OpenRecords(c.az) {
		id := rec.Request.ID
		key, isWork := parser.WorkloadKeyOf(id)
		// A piece that is at home in another zone now is accepted there.
		if isWork && !rec.Cancelled && !wanted[id] && !c.isConfigured(key, id) {
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

// isInText reports whether the text has a piece, wherever its home is.
func (c *core) isConfigured(key parser.WorkloadKey, id unit.Request) bool {
	if _, has := c.specs[key]; !has {
		return false
	}
	for _, b := range c.config.Batches {
		if b.Key() == key {
			return slices.Contains(indexNames(b.Count), strings.TrimPrefix(string(id), string(key.RequestID(""))))
		}
	}
	return true
}

// runSlots starts the services' tasks that don't run.
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

// recordReady brings the readiness of services that run here into the log, for
// the work of all zones that depends on them.
func (s *Scheduler) recordReadiness() {
	c := s.core
	for key := range c.workloads.readyServices {
		id := key.RequestID(readyRequestName)
		rec, known := c.state.Record(id)
		if _, inText := c.specs[key]; !inText || known && !rec.Open() {
			delete(c.workloads.readyServices, key)
			continue
		}
		if !c.workloads.proposing[id] {
			c.workloads.proposing[id] = true
			s.startCall(func() { s.proposeReadiness(id) })
		}
	}
}

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
		s.config.Logger.WithError(err).WithField("Request", id).Warn("a service's readiness is not in the log yet")
	}
}

// settleWork tells the queue which works are done, ready or failed.
func (c *core) resolveDependencies() {
	for name, p := range c.workloads.dependencies {
		if p.resolved {
			continue
		}
		ok, settled := c.advanceDependency(p)
		if settled {
			p.resolved = true
			c.queuer.ResolveDependency(name, ok)
			c.changed = true
		}
	}
}

// advance looks at the pieces of a work whose end wasn't seen before.
func (c *core) advanceDependency(p *dependency) (ok, settled bool) {
	for p.doneCount < len(p.requestNames) {
		rec, registered := c.state.Record(p.key.RequestID(p.requestNames[p.doneCount]))
		if !registered || rec.Open() {
			return false, false
		}
		if done, is := requestRecord(rec).Outcome.(dispatcher.Done); !is || done.Failed {
			return false, true
		}
		p.doneCount++
	}
	return true, true
}
