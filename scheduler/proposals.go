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

// Timeouts of proposals to the log.
const (
	// intentTimeout bounds the proposal of an intent. It is shorter than
	// proposalTimeout, since the caller of the request waits for the intent.
	intentTimeout      = 3 * clock.Second
	proposalTimeout    = 10 * clock.Second
	proposalRetryDelay = 200 * clock.Millisecond
)

// proposalQueues holds a queue of proposals per request. The proposals of one
// request must reach the log in order: an intent that is retracted before it is
// recorded would stay in force. The zero value is ready to use.
type proposalQueues struct {
	mu sync.Mutex
	// pending holds the proposals of each request; the first one is in progress.
	pending map[unit.Request][]func() bool
}

// add queues a proposal. It reports whether the queue was empty, in which case the
// caller must run it.
func (q *proposalQueues) add(id unit.Request, propose func() bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = map[unit.Request][]func() bool{}
	}
	q.pending[id] = append(q.pending[id], propose)
	return len(q.pending[id]) == 1
}

// done removes the first proposal of a request and returns the next one, or nil if
// there is none.
func (q *proposalQueues) done(id unit.Request) func() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	rest := q.pending[id][1:]
	if len(rest) == 0 {
		delete(q.pending, id)
		return nil
	}
	q.pending[id] = rest
	return rest[0]
}

// proposeInOrder runs a proposal after the earlier proposals of the same request, and
// repeats it until it returns true. proposeInOrder doesn't wait for that.
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

// waitRetry waits before a proposal is repeated. It returns false if the
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

// commitIntent proposes an intent and passes the result to the dispatcher, which
// handles failures. It always returns true.
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

// intentResult converts the result of a proposed intent to the dispatcher's type.
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
		return dispatcher.Conflict{Record: requestRecord(result.Record)}
	case registrar.Fenced:
		return dispatcher.Fenced{}
	default:
		return dispatcher.Unacknowledged{}
	}
}

// retractIntent proposes to retract an intent. It reports whether the proposal was
// committed.
func (s *Scheduler) retractIntent(e dispatcher.RetractIntent) bool {
	ctx, cancel := context.WithTimeout(s.ctx, proposalTimeout.Duration())
	defer cancel()
	_, err := s.config.Propose(ctx, registrar.RetractIntent{
		Request: e.Request, AvailabilityZone: s.config.AvailabilityZone, Epoch: e.Epoch, Task: e.Attempt,
	})
	return err == nil
}

// recordOutcome proposes the outcome of a request. It returns false if the
// proposal must be repeated. A NotRun holds only while no other scheduler can
// start the request, so it is proposed only while this instance holds the zone.
func (s *Scheduler) recordOutcome(e dispatcher.Record) bool {
	if _, notRun := e.Outcome.(dispatcher.NotRun); notRun {
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
	s.process(func(clock.Millis) { s.core.dispatcher.HandleOutcomeRecorded(e.Request) })
	return true
}
