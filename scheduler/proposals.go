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
	intentTimeout      = 3 * clock.Second
	proposalTimeout    = 10 * clock.Second
	proposalRetryDelay = 200 * clock.Millisecond
)

// records are the proposals of each request that wait for the one before them.
// The log must see those of one request in order: taking an intent back before
// it is made would leave it in force. The zero value is ready.
type proposalQueues struct {
	mu      sync.Mutex
	pending map[unit.Request][]func() bool
}

// add queues a proposal. It reports whether the caller must run the queue.
func (r *proposalQueues) add(id unit.Request, propose func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = map[unit.Request][]func() bool{}
	}
	r.pending[id] = append(r.pending[id], propose)
	return len(r.pending[id]) == 1
}

// done takes off the first proposal and returns the next one, if any.
func (r *proposalQueues) done(id unit.Request) func() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rest := r.pending[id][1:]
	if len(rest) == 0 {
		delete(r.pending, id)
		return nil
	}
	r.pending[id] = rest
	return rest[0]
}

// record runs a proposal of a request after those before it. The proposal is
// repeated until it reports true.
func (s *Scheduler) proposeInOrder(id unit.Request, propose func() bool) {
	if !s.proposals.add(id, propose) {
		return
	}
	s.startCall(func() {
		for next := propose; next != nil; next = s.proposals.done(id) {
			for !next() {
				if !s.waitRetry() {
					return
				}
			}
		}
	})
}

// pause waits before a proposal is repeated. It reports false once the
// scheduler has ended.
func (s *Scheduler) waitRetry() bool {
	timer := time.NewTimer(proposalRetryDelay.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// intend commits an intent and tells the dispatcher what came of it.
func (s *Scheduler) commitIntent(e dispatcher.CommitIntent) bool {
	ctx, cancel := context.WithTimeout(s.ctx, intentTimeout.Duration())
	defer cancel()
	result, err := s.config.Propose(ctx, registrar.RecordIntent{
		Request: e.Request, AvailabilityZone: s.config.AvailabilityZone, Epoch: e.Epoch,
		Task: e.Attempt, Upstream: e.Upstream, At: s.config.Clock.Now(),
	})
	s.process(func(now clock.Millis) {
		s.core.dispatcher.HandleIntentResult(now, e.Attempt, intentResult(result, err))
	})
	return true
}

// decision turns the log's answer to an intent into the dispatcher's terms.
func intentResult(result registrar.Result, err error) dispatcher.IntentResult {
	if err != nil {
		var unknown *replicator.UnknownResultError
		return dispatcher.Unacknowledged{MaybeCommitted: errors.As(err, &unknown)}
	}
	switch result := result.(type) {
	case registrar.RequestRecorded:
		if result.Granted {
			return dispatcher.Granted{}
		}
		return dispatcher.Conflict{Known: requestRecord(result.Record)}
	case registrar.Fenced:
		return dispatcher.Fenced{}
	default:
		return dispatcher.Unacknowledged{}
	}
}

func (s *Scheduler) revokeIntent(e dispatcher.RevokeIntent) bool {
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout.Duration())
	defer cancel()
	_, err := s.config.Propose(ctx, registrar.RetractIntent{
		Request: e.Request, AvailabilityZone: s.config.AvailabilityZone, Epoch: e.Epoch, Task: e.Attempt,
	})
	return err == nil
}

// end commits an outcome. A NotRun is true only as long as no other scheduler
// can start the request, so it is committed only while the zone is held.
func (s *Scheduler) recordOutcome(e dispatcher.Record) bool {
	if _, is := e.Outcome.(dispatcher.NotRun); is {
		if epoch, holds := s.config.Holder.HoldsLease(s.config.Clock.Now()); !holds || epoch != e.Epoch {
			return true
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout.Duration())
	defer cancel()
	_, err := s.config.Propose(ctx, registrar.EndRequest{
		Request: e.Request, AvailabilityZone: s.config.AvailabilityZone,
		Outcome: dispatcher.MarshalOutcome(e.Outcome), At: s.config.Clock.Now(),
	})
	if err != nil {
		return false
	}
	s.process(func(clock.Millis) { s.core.dispatcher.Recorded(e.Request) })
	return true
}
