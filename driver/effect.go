package driver

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// orderTimeout bounds a start or a stop order. A healthy upstream answers
	// within a round trip. If no answer arrives, a later poll shows whether the
	// upstream executed the order.
	orderTimeout = 400 * clock.Millisecond
	// pollTimeoutMargin is added to the MaxWait of a poll to get its timeout.
	pollTimeoutMargin = 1 * clock.Second
	// pollRetryDelay is the wait after a failed poll.
	pollRetryDelay = 250 * clock.Millisecond
)

// execute starts to execute an effect that was decided at the given boot time; it doesn't
// wait for the result.
func (s *session) execute(e planner.Effect, decidedAt clock.Millis) {
	switch e := e.(type) {
	case planner.Respond:
		e.Send()
	case planner.Start:
		s.orders.Go(func() { s.sendStart(e, decidedAt) })
	case planner.Stop:
		s.orders.Go(func() { s.sendStop(e) })
	case planner.PollNow:
		s.orders.Go(func() {
			s.poll(e.Target.ID, false)
			s.handleEvent(func(p *planner.Planner) { p.PollNowDone(e.Target) })
		})
	case planner.Migration:
		s.logMigration(e)
	case planner.Quarantine:
		s.logQuarantine(e)
	}
}

// errLeaseExpired is the result of an order that wasn't sent because the lease has
// expired.
var errLeaseExpired = errors.New("the lease of the log's leader has expired")

// sendStart sends a start. It doesn't send one that was decided more than MaxStartDelay
// ago: a later leader relies on that for the runs that it inherits. Nor does it send one to
// a zone whose evacuation was decided after the start.
func (s *session) sendStart(e planner.Start, decidedAt clock.Millis) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout.Duration())
	defer cancel()
	var result planner.OrderResult = planner.Indeterminate{Err: errLeaseExpired}
	var upstreamClock clock.Millis
	started := time.Now()
	// The lease is checked right before sending, since the steps before may have
	// been delayed.
	switch {
	case s.d.cfg.BootTime()-decidedAt > planner.MaxStartDelay || s.isEvacuated(e.Target.Zone):
		result = planner.Refused{Reason: planner.RefusedExpired}
	case s.d.holdsLease(s.term):
		result, upstreamClock = s.d.cfg.Upstreams.Start(ctx, s.token, e)
		s.d.metrics.start.RecordDuration(time.Since(started))
	}
	s.logOrderResult("start", e.Run, e.Target, result)
	s.handleEvent(func(p *planner.Planner) { p.HandleStartResult(s.now(), e.Run, e.Target, result, upstreamClock) })
}

func (s *session) sendStop(e planner.Stop) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout.Duration())
	defer cancel()
	var result planner.OrderResult = planner.Indeterminate{Err: errLeaseExpired}
	var upstreamClock clock.Millis
	if s.d.holdsLease(s.term) {
		result, upstreamClock = s.d.cfg.Upstreams.Stop(ctx, s.token, e)
	}
	s.logOrderResult("stop", e.Run, e.Target, result)
	s.handleEvent(func(p *planner.Planner) { p.HandleStopResult(s.now(), e.Run, result, upstreamClock) })
}

// TicketRequest is the body of MethodAdvise.
type TicketRequest struct {
	_         struct{} `cbor:",toarray"`
	Step      string
	Upstreams []unit.Upstream
}

// TicketResponse is the response to MethodAdvise.
type TicketResponse struct {
	_ struct{} `cbor:",toarray"`
	// Tickets holds a ticket for each upstream that may run the step.
	Tickets map[unit.Upstream]string
	// TicketTTL is how long the tickets are valid.
	TicketTTL clock.Millis
}

func (s *session) requestTickets(e planner.RequestTickets) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout.Duration())
	defer cancel()
	started := time.Now()
	var response TicketResponse
	var body []byte
	err := errLeaseExpired
	// A leader that has lost its lease must not keep the advice service busy: these requests
	// don't wait for a commit.
	if s.d.holdsLease(s.term) {
		body, err = s.d.cfg.Mesh.Call(ctx, e.Requester, MethodAdvise, encoder.Marshal(TicketRequest{Step: e.Step.String(), Upstreams: e.Upstreams}))
	}
	if err == nil {
		err = encoder.Unmarshal(body, &response)
	}
	s.d.metrics.advice.RecordDuration(time.Since(started))
	s.logTickets(e, response, err)
	s.handleEvent(func(p *planner.Planner) { p.HandleTickets(s.now(), e, response.Tickets, response.TicketTTL, err) })
}

// pollNewUpstreams starts a polling goroutine for each new upstream. The caller must
// hold s.mu.
func (s *session) pollNewUpstreams() {
	for _, id := range s.planner.TakeNewUpstreams() {
		if s.polled[id] {
			continue
		}
		s.polled[id] = true
		s.group.Go(func() error {
			s.pollUntilRemoved(id)
			return nil
		})
	}
}

// pollUntilRemoved polls an upstream, which renews its lease, until the planner has
// removed it or the session ends.
func (s *session) pollUntilRemoved(id unit.Upstream) {
	for s.ctx.Err() == nil {
		var pause clock.Millis
		switch s.poll(id, true) {
		case pollRemoved:
			return
		case pollFailed:
			pause = pollRetryDelay
		case pollOK:
			s.mu.Lock()
			pause = s.lag.pollInterval()
			s.mu.Unlock()
		}
		_ = clock.Sleep(s.ctx, pause)
	}
}

// pollStatus is the result of a poll.
type pollStatus int

const (
	pollOK pollStatus = iota
	pollFailed
	// pollRemoved means that the planner doesn't know the upstream any more, so the poll
	// wasn't sent.
	pollRemoved
)

// poll polls an upstream once. If wait is false, the upstream answers at once. The
// poll acknowledges ends, which the upstream then forgets, so it is sent only after
// everything decided so far is committed.
func (s *session) poll(id unit.Upstream, wait bool) pollStatus {
	s.mu.Lock()
	req, ok := s.planner.NextPoll(s.now(), id)
	if !ok {
		if wait {
			// This must happen before s.mu is released. Otherwise the upstream could
			// return in between and would not be polled again.
			delete(s.polled, id)
		}
		s.mu.Unlock()
		return pollRemoved
	}
	committed := s.barrier()
	s.mu.Unlock()
	if !wait {
		req.MaxWait = 0
	}
	select {
	case <-committed:
	case <-s.ctx.Done():
		return pollFailed
	}
	if !s.awaitLease() {
		return pollFailed
	}
	return s.sendPoll(req)
}

// sendPoll sends a poll and passes the result to the planner.
func (s *session) sendPoll(req planner.Poll) pollStatus {
	ctx, cancel := context.WithTimeout(s.ctx, (req.MaxWait + pollTimeoutMargin).Duration())
	defer cancel()
	sentAt := s.now()
	result, err := s.d.cfg.Upstreams.Poll(ctx, s.token, req)
	if s.ctx.Err() != nil {
		return pollFailed
	}
	s.d.metrics.polls.Inc(1)
	if err != nil {
		s.logPollFailure(req, err)
		s.handleEvent(func(p *planner.Planner) {
			p.HandlePollFailure(s.now(), req.Target, errors.Is(err, ErrIncarnationMismatch))
		})
		return pollFailed
	}
	s.handleEvent(func(p *planner.Planner) { p.HandlePollResult(s.now(), sentAt, req.Target, result) })
	return pollOK
}
