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
	maxAccepting = 64
	// forever is the timeout of a service's request.
	forever = 100 * 365 * clock.Day
)

// runText does what is due of the text's work. The caller holds the lock and
// the zone.
func (s *Scheduler) runText(now clock.Millis) {
	k := s.core
	s.acceptPieces()
	if k.text.sweep {
		k.text.sweep = false
		s.sweepText(now)
	}
	if k.d.IsRecovered() {
		k.runSlots(now)
	}
	s.recordReady()
	k.settleWork()
}

// acceptPieces brings the pieces that the log doesn't hold yet into it.
func (s *Scheduler) acceptPieces() {
	k := s.core
	w := &k.text
	for w.accepted < len(w.pieces) && k.isTaken(w.pieces[w.accepted].id) {
		w.accepted++
	}
	for _, p := range w.pieces[w.accepted:] {
		if len(w.accepting) >= maxAccepting {
			return
		}
		if w.accepting[p.id] || k.isTaken(p.id) {
			continue
		}
		w.accepting[p.id] = true
		s.begin(func() { s.acceptPiece(p) })
	}
}

// isTaken reports whether the log holds a piece for this zone, or its end.
func (k *core) isTaken(id unit.Request) bool {
	rec, known := k.state.Record(id)
	return known && (!rec.Open() || rec.AvailabilityZone == k.az)
}

func (s *Scheduler) acceptPiece(p piece) {
	ctx, cancel := context.WithTimeout(s.ctx, recordTimeout.Duration())
	defer cancel()
	r := dispatcher.Request{ID: p.id, Team: p.team, Repeatable: p.repeatable, Data: []byte(p.data)}
	accepted, _ := s.SubmitAsync(ctx, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.core.text.accepting, p.id)
	if !accepted {
		s.c.Logger.WithField("Request", p.id).Debug("a piece of the text's work isn't accepted yet")
	}
}

// sweepText ends what the text doesn't have any more.
func (s *Scheduler) sweepText(now clock.Millis) {
	k := s.core
	wanted := map[unit.Request]bool{}
	for _, p := range k.text.pieces {
		wanted[p.id] = true
	}
	for _, rec := range k.state.OpenRecords(k.az) {
		id := rec.Request.ID
		key, isWork := parser.WorkloadKeyOf(id)
		// A piece that is at home in another zone now is accepted there.
		if isWork && !rec.Cancelled && !wanted[id] && !k.isInText(key, id) {
			s.begin(func() { s.Cancel(s.ctx, id) })
		}
	}
	for id, slot := range k.text.slots {
		if slot.wanted {
			continue
		}
		if slot.live == "" {
			delete(k.text.slots, id)
			continue
		}
		k.d.Cancel(now, slot.live)
	}
}

// isInText reports whether the text has a piece, wherever its home is.
func (k *core) isInText(key parser.WorkloadKey, id unit.Request) bool {
	if _, has := k.works[key]; !has {
		return false
	}
	for _, b := range k.config.Batches {
		if b.Key() == key {
			return slices.Contains(numbered(b.Count), strings.TrimPrefix(string(id), string(key.RequestID(""))))
		}
	}
	return true
}

// runSlots starts the services' tasks that don't run.
func (k *core) runSlots(now clock.Millis) {
	for id, slot := range k.text.slots {
		if !slot.wanted || slot.live != "" || now < slot.restartAt {
			continue
		}
		slot.live = id + unit.Request("#"+string(k.newTask()))
		k.d.Submit(now, dispatcher.Request{
			ID: slot.live, Team: slot.team, Repeatable: true, Fresh: true, Timeout: forever, Data: []byte(slot.data),
		}, 1, nil)
	}
}

// recordReady brings the readiness of services that run here into the log, for
// the work of all zones that depends on them.
func (s *Scheduler) recordReady() {
	k := s.core
	for key := range k.text.ready {
		id := key.RequestID(readyPiece)
		rec, known := k.state.Record(id)
		if _, inText := k.works[key]; !inText || known && !rec.Open() {
			delete(k.text.ready, key)
			continue
		}
		if !k.text.accepting[id] {
			k.text.accepting[id] = true
			s.begin(func() { s.proposeReady(id) })
		}
	}
}

func (s *Scheduler) proposeReady(id unit.Request) {
	ctx, cancel := context.WithTimeout(s.ctx, recordTimeout.Duration())
	defer cancel()
	now := s.c.Clock.Now()
	_, err := s.c.Propose(ctx, registrar.AcceptRequest{
		Request: dispatcher.Request{ID: id}, AvailabilityZone: s.c.AvailabilityZone, At: now,
	})
	if err == nil {
		_, err = s.c.Propose(ctx, registrar.EndRequest{
			Request: id, AvailabilityZone: s.c.AvailabilityZone,
			Outcome: dispatcher.MarshalOutcome(dispatcher.Done{}), At: now,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.core.text.accepting, id)
	if err != nil {
		s.c.Logger.WithError(err).WithField("Request", id).Warn("a service's readiness is not in the log yet")
	}
}

// settleWork tells the queue which works are done, ready or failed.
func (k *core) settleWork() {
	for name, p := range k.text.progress {
		if p.settled {
			continue
		}
		ok, settled := k.advance(p)
		if settled {
			p.settled = true
			k.q.ResolveDependency(name, ok)
			k.changed = true
		}
	}
}

// advance looks at the pieces of a work whose end wasn't seen before.
func (k *core) advance(p *progress) (ok, settled bool) {
	for p.done < len(p.pieces) {
		rec, registered := k.state.Record(p.key.RequestID(p.pieces[p.done]))
		if !registered || rec.Open() {
			return false, false
		}
		if done, is := known(rec).Outcome.(dispatcher.Done); !is || done.Failed {
			return false, true
		}
		p.done++
	}
	return true, true
}
