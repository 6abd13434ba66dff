package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// Spans of proposals to the log.
const (
	// intendTimeout bounds the wait for an intent; the caller waits with it.
	intendTimeout = 3 * clock.Second
	recordTimeout = 10 * clock.Second
	recordPause   = 200 * clock.Millisecond
)

// records are the proposals of each request that wait for the one before them.
// The log must see those of one request in order: taking an intent back before
// it is made would leave it in force. The zero value is ready.
type records struct {
	mu      sync.Mutex
	waiting map[unit.Request][]func() bool
}

// add queues a proposal. It reports whether the caller must run the queue.
func (r *records) add(id unit.Request, propose func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == nil {
		r.waiting = map[unit.Request][]func() bool{}
	}
	r.waiting[id] = append(r.waiting[id], propose)
	return len(r.waiting[id]) == 1
}

// done takes off the first proposal and returns the next one, if any.
func (r *records) done(id unit.Request) func() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rest := r.waiting[id][1:]
	if len(rest) == 0 {
		delete(r.waiting, id)
		return nil
	}
	r.waiting[id] = rest
	return rest[0]
}

// record runs a proposal of a request after those before it. The proposal is
// repeated until it reports true.
func (s *Scheduler) record(id unit.Request, propose func() bool) {
	if !s.records.add(id, propose) {
		return
	}
	s.begin(func() {
		for next := propose; next != nil; next = s.records.done(id) {
			for !next() {
				if !s.pause() {
					return
				}
			}
		}
	})
}

// pause waits before a proposal is repeated. It reports false once the
// scheduler has ended.
func (s *Scheduler) pause() bool {
	timer := time.NewTimer(recordPause.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// intend commits an intent and tells the dispatcher what came of it.
func (s *Scheduler) intend(e dispatcher.CommitIntent) bool {
	ctx, cancel := context.WithTimeout(s.ctx, intendTimeout.Duration())
	defer cancel()
	result, err := s.c.Propose(ctx, registrar.RecordIntent{
		Request: e.Request, AvailabilityZone: s.c.AvailabilityZone, Epoch: e.Epoch,
		Task: e.Attempt, Upstream: e.Upstream, At: s.c.Clock.Now(),
	})
	s.with(func(now clock.Millis) { s.core.d.HandleIntentResult(now, e.Attempt, decision(result, err)) })
	return true
}

// decision turns the log's answer to an intent into the dispatcher's terms.
func decision(result registrar.Result, err error) dispatcher.IntentResult {
	if err != nil {
		var unknown *replicator.UnknownResultError
		return dispatcher.Unacknowledged{MaybeCommitted: errors.As(err, &unknown)}
	}
	switch result := result.(type) {
	case registrar.RequestRecorded:
		if result.Granted {
			return dispatcher.Granted{}
		}
		return dispatcher.Conflict{Known: known(result.Record)}
	case registrar.Fenced:
		return dispatcher.Fenced{}
	default:
		return dispatcher.Unacknowledged{}
	}
}

func (s *Scheduler) unintend(e dispatcher.RevokeIntent) bool {
	ctx, cancel := context.WithTimeout(s.ctx, recordTimeout.Duration())
	defer cancel()
	_, err := s.c.Propose(ctx, registrar.RetractIntent{
		Request: e.Request, AvailabilityZone: s.c.AvailabilityZone, Epoch: e.Epoch, Task: e.Attempt,
	})
	return err == nil
}

// end commits an outcome. A NotRun is true only as long as no other scheduler
// can start the request, so it is committed only while the zone is held.
func (s *Scheduler) end(e dispatcher.Record) bool {
	if _, is := e.Outcome.(dispatcher.NotRun); is {
		if epoch, holds := s.c.Holder.HoldsLease(s.c.Clock.Now()); !holds || epoch != e.Epoch {
			return true
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, recordTimeout.Duration())
	defer cancel()
	_, err := s.c.Propose(ctx, registrar.EndRequest{
		Request: e.Request, AvailabilityZone: s.c.AvailabilityZone,
		Outcome: dispatcher.MarshalOutcome(e.Outcome), At: s.c.Clock.Now(),
	})
	if err != nil {
		return false
	}
	s.with(func(clock.Millis) { s.core.d.Recorded(e.Request) })
	return true
}
