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
	// orderTimeout bounds a start or a stop; a sound upstream answers within
	// a round trip. What becomes of an order without an answer is found out
	// by a look.
	orderTimeout = 400 * clock.Millisecond
	// lookSlack is what a look may take beyond the wait that it asks for.
	lookSlack = 1 * clock.Second
	// lookRetry is the wait after a look without an answer.
	lookRetry = 250 * clock.Millisecond
)

// carryOut starts an effect; it doesn't wait for the result.
func (s *session) carryOut(e planner.Effect) {
	switch e := e.(type) {
	case planner.Respond:
		e.Send()
	case planner.Start:
		s.orders.Go(func() { s.sendStart(e) })
	case planner.Stop:
		s.orders.Go(func() { s.sendStop(e) })
	case planner.PollNow:
		s.orders.Go(func() {
			s.look(e.Target.ID, false)
			s.do(func(p *planner.Planner) { p.PollNowDone(e.Target) })
		})
	case planner.RequestTickets:
		s.orders.Go(func() { s.advise(e) })
	}
}

// errNoLease is why an order wasn't sent.
var errNoLease = errors.New("the lease of the log has lapsed")

func (s *session) sendStart(e planner.Start) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout.Duration())
	defer cancel()
	var a planner.OrderResult = planner.Indeterminate{Err: errNoLease}
	var clk clock.Millis
	started := time.Now()
	// The lease is checked last, since everything before may have taken long.
	if s.d.isHolding(s.term) {
		a, clk = s.d.cfg.Upstreams.Start(ctx, s.token, e)
		s.d.metrics.start.RecordDuration(time.Since(started))
	}
	s.logAnswer("start", e.Run, e.Target, a)
	s.do(func(p *planner.Planner) { p.HandleStartResult(s.now(), e.Run, e.Target, a, clk) })
}

func (s *session) sendStop(e planner.Stop) {
	ctx, cancel := context.WithTimeout(s.ctx, orderTimeout.Duration())
	defer cancel()
	var a planner.OrderResult = planner.Indeterminate{Err: errNoLease}
	var clk clock.Millis
	if s.d.isHolding(s.term) {
		a, clk = s.d.cfg.Upstreams.Stop(ctx, s.token, e)
	}
	s.logAnswer("stop", e.Run, e.Target, a)
	s.do(func(p *planner.Planner) { p.HandleStopResult(s.now(), e.Run, a, clk) })
}

// AdviceRequest is the body of MethodAdvise.
type AdviceRequest struct {
	_         struct{} `cbor:",toarray"`
	Step      string
	Upstreams []unit.Upstream
}

// AdviceResponse is the answer to MethodAdvise.
type AdviceResponse struct {
	_ struct{} `cbor:",toarray"`
	// Tickets holds the upstreams that may run the step, with their tickets.
	Tickets map[unit.Upstream]string
	// TicketTTL is how long the tickets are valid.
	TicketTTL clock.Millis
}

func (s *session) advise(e planner.RequestTickets) {
	ctx, cancel := context.WithTimeout(s.ctx, e.Timeout.Duration())
	defer cancel()
	started := time.Now()
	var answer AdviceResponse
	body, err := s.d.cfg.Mesh.Call(ctx, e.Via, MethodAdvise, encoder.Marshal(AdviceRequest{Step: e.Step.String(), Upstreams: e.Upstreams}))
	if err == nil {
		err = encoder.Unmarshal(body, &answer)
	}
	s.d.metrics.advice.RecordDuration(time.Since(started))
	s.logAdvice(e, answer, err)
	s.do(func(p *planner.Planner) { p.HandleTickets(s.now(), e, answer.Tickets, answer.TicketTTL, err) })
}

// followUpstreams starts to look at upstreams that are new. It is called with
// the lock held.
func (s *session) followUpstreams() {
	for _, id := range s.planner.TakeNewUpstreams() {
		if s.looked[id] {
			continue
		}
		s.looked[id] = true
		s.group.Go(func() error {
			s.lookAfter(id)
			return nil
		})
	}
}

// lookAfter extends an upstream's lease and takes in what it lists, until it is
// gone.
func (s *session) lookAfter(id unit.Upstream) {
	for s.ctx.Err() == nil {
		var pause clock.Millis
		switch s.look(id, true) {
		case lookGone:
			return
		case lookFailed:
			pause = lookRetry
		case looked:
			s.mu.Lock()
			pause = s.lag.lookPace()
			s.mu.Unlock()
		}
		_ = clock.Sleep(s.ctx, pause)
	}
}

// lookResult is what became of a look.
type lookResult int

const (
	looked lookResult = iota
	lookFailed
	// lookGone: the upstream isn't looked after any more.
	lookGone
)

// look sends one look. What the look lets the upstream forget is committed
// before it is sent.
func (s *session) look(id unit.Upstream, wait bool) lookResult {
	s.mu.Lock()
	l, ok := s.planner.NextPoll(s.now(), id)
	if !ok {
		if wait {
			// Under the same lock, or the planner could tell of the upstream's return
			// in between.
			delete(s.looked, id)
		}
		s.mu.Unlock()
		return lookGone
	}
	committed := s.barrier()
	s.mu.Unlock()
	if !wait {
		l.MaxWait = 0
	}
	select {
	case <-committed:
	case <-s.ctx.Done():
		return lookFailed
	}
	if !s.awaitLease() {
		return lookFailed
	}
	return s.sendLook(l)
}

func (s *session) sendLook(l planner.Poll) lookResult {
	ctx, cancel := context.WithTimeout(s.ctx, (l.MaxWait + lookSlack).Duration())
	defer cancel()
	sentAt := s.now()
	seen, err := s.d.cfg.Upstreams.Poll(ctx, s.token, l)
	if s.ctx.Err() != nil {
		return lookFailed
	}
	s.d.metrics.looks.Inc(1)
	if err != nil {
		s.logLook(l, err)
		s.do(func(p *planner.Planner) {
			p.HandlePollFailure(s.now(), l.Target, errors.Is(err, ErrIncarnationMismatch))
		})
		return lookFailed
	}
	s.do(func(p *planner.Planner) { p.HandlePollResult(s.now(), sentAt, l.Target, seen) })
	return looked
}
