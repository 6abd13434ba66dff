package relayer_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/relayer"
	"github.com/chervilvane/chervilvane/unit"
)

// hands counts the orders that an instance carries out.
type hands struct {
	starts, looks int
	answer        planner.OrderResult
}

func (h *hands) Start(context.Context, uint64, planner.Start) (planner.OrderResult, clock.Millis) {
	h.starts++
	return h.answer, 7
}

func (h *hands) Stop(context.Context, uint64, planner.Stop) (planner.OrderResult, clock.Millis) {
	return h.answer, 7
}

func (h *hands) Poll(context.Context, uint64, planner.Poll) (planner.PollResult, error) {
	h.looks++
	return planner.PollResult{Incarnation: 3, Clock: 7, Ended: []planner.EndedRun{{Seq: 1, Run: run, Outcome: keeper.RunDone}}}, nil
}

// net is a mesh of one holder and its relays.
type net struct {
	relays map[unit.Instance]*relayer.Relayer
	// fail is returned after the relay has got the call if after is set, before
	// otherwise.
	fail  error
	after bool
	// lag is what passes on the relay's clock before it gets the order.
	lag   clock.Millis
	clock clock.Clock
	calls int
}

func (n *net) Call(ctx context.Context, to unit.Instance, _ instance.Method, body []byte) ([]byte, error) {
	n.calls++
	if n.fail != nil && !n.after {
		return nil, n.fail
	}
	n.clock.Advance(n.lag)
	answer, err := n.relays[to].Serve(ctx, "holder", body)
	if n.fail != nil {
		return nil, n.fail
	}
	return answer, err
}

var (
	run  = keeper.RunKey{Task: keeper.TaskID{Job: "00000000000000aa"}, Number: 1}
	here = planner.Target{ID: "u", Zone: "b", Address: "u:1", Incarnation: 3}
)

// holder returns a holder in zone a, its own hands and those of a relay in zone
// b.
func holder() (*relayer.Relayer, *net, *hands, *hands) {
	clk := clock.NewManual(1000)
	n := &net{relays: map[unit.Instance]*relayer.Relayer{}, clock: clk}
	own, other := &hands{answer: planner.Executed{}}, &hands{answer: planner.Executed{}}
	steady := func() clock.Millis { return clk.Now() + 50_000 }
	h := relayer.New(relayer.Config{Self: "holder", Mesh: n, Local: own, Clock: clk, BootTime: clk.Now, Logger: logger.Discard()})
	n.relays["b1"] = relayer.New(relayer.Config{Self: "b1", Mesh: n, Local: other, Clock: clk, BootTime: steady, Logger: logger.Discard()})
	h.HandleHeartbeat(planner.Heartbeat{From: "b1", Relays: true, Zone: "b", BootTime: steady()})
	return h, n, own, other
}

func start(h *relayer.Relayer, to planner.Target) planner.OrderResult {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, _ := h.Start(ctx, 9, planner.Start{Run: run, Target: to})
	return a
}

func TestOrdersGoByTheRelayOfTheZone(t *testing.T) {
	elsewhere := here
	elsewhere.Zone = "c"
	for name, c := range map[string]struct {
		to         planner.Target
		wait       clock.Millis
		own, other int
	}{
		"its zone has a relay":       {to: here, other: 1},
		"its zone has none":          {to: elsewhere, own: 1},
		"the relay attends no more":  {to: here, wait: 5 * clock.Second, own: 1},
		"the relay attended a while": {to: here, wait: 1 * clock.Second, other: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, n, own, other := holder()
			n.clock.Advance(c.wait)
			is.Equal(start(h, c.to), planner.Executed{})
			is.Equal(own.starts, c.own)
			is.Equal(other.starts, c.other)
		})
	}
}

func TestRefusalsAndListsComeBackWhole(t *testing.T) {
	is := is.New(t)
	h, _, own, other := holder()
	other.answer = planner.Refused{Reason: planner.RefusedInvalidTicket}
	is.Equal(start(h, here), planner.Refused{Reason: planner.RefusedInvalidTicket})
	seen, err := h.Poll(context.Background(), 9, planner.Poll{Target: here})
	is.NoErr(err)
	is.Equal(seen, planner.PollResult{Incarnation: 3, Clock: 7, Ended: []planner.EndedRun{{Seq: 1, Run: run, Outcome: keeper.RunDone}}})
	is.Equal(own.looks, 0)
}

// TestStartIsNotSentTwice: a start that the relay may have carried out isn't
// sent by another way; one that it surely hasn't got is.
func TestStartIsNotSentTwice(t *testing.T) {
	lost := errors.New("lost")
	for name, c := range map[string]struct {
		fail       error
		after      bool
		unanswered bool
		own, other int
	}{
		"not delivered": {fail: &instance.CallError{Peer: "b1", Cause: lost}, own: 1},
		"answer lost":   {fail: &instance.CallError{Peer: "b1", MaybeDelivered: true, Cause: lost}, after: true, unanswered: true, other: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, n, own, other := holder()
			n.fail, n.after = c.fail, c.after
			_, unanswered := start(h, here).(planner.Indeterminate)
			is.Equal(unanswered, c.unanswered)
			is.Equal(own.starts, c.own)
			is.Equal(other.starts, c.other)
			// The next order doesn't try the relay again at once.
			calls := n.calls
			is.Equal(start(h, here), planner.Executed{})
			is.Equal(n.calls, calls)
			n.fail = nil
			n.clock.Advance(3 * clock.Second)
			h.HandleHeartbeat(planner.Heartbeat{From: "b1", Relays: true, Zone: "b", BootTime: n.clock.Now() + 50_000})
			start(h, here)
			is.Equal(n.calls, calls+1)
		})
	}
}

// TestSlowUpstreamIsNotTheRelaysFault: a call that times out while the relay
// attends says nothing of the relay.
func TestSlowUpstreamIsNotTheRelaysFault(t *testing.T) {
	is := is.New(t)
	h, n, _, _ := holder()
	n.fail, n.after = &instance.CallError{Peer: "b1", MaybeDelivered: true, Cause: context.DeadlineExceeded}, true
	start(h, here)
	start(h, here)
	is.Equal(n.calls, 2)
	n.clock.Advance(1 * clock.Second)
	start(h, here)
	start(h, here)
	is.Equal(n.calls, 3)
}

// TestRelayThatStoodStillSendsNothing: an order that waited in a relay's buffers
// doesn't leave.
func TestRelayThatStoodStillSendsNothing(t *testing.T) {
	is := is.New(t)
	h, n, own, other := holder()
	n.lag = 3 * clock.Second
	is.Equal(start(h, here), planner.Refused{Reason: planner.RefusedExpired})
	is.Equal(own.starts+other.starts, 0)
}

func TestLookIsRepeatedIfTheRelayFails(t *testing.T) {
	is := is.New(t)
	h, n, own, other := holder()
	n.fail, n.after = &instance.CallError{Peer: "b1", MaybeDelivered: true, Cause: errors.New("lost")}, true
	_, err := h.Poll(context.Background(), 9, planner.Poll{Target: here})
	is.NoErr(err)
	is.Equal(own.looks, 1)
	is.Equal(other.looks, 1)
}
