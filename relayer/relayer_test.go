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

// fakeClient counts the orders that an instance sends and returns result for each.
type fakeClient struct {
	starts, polls int
	result        planner.OrderResult
}

func (c *fakeClient) Start(context.Context, uint64, planner.Start) (planner.OrderResult, clock.Millis) {
	c.starts++
	return c.result, 7
}

func (c *fakeClient) Stop(context.Context, uint64, planner.Stop) (planner.OrderResult, clock.Millis) {
	return c.result, 7
}

func (c *fakeClient) Poll(context.Context, uint64, planner.Poll) (planner.PollResult, error) {
	c.polls++
	return planner.PollResult{Incarnation: 3, Clock: 7, Ended: []planner.EndedRun{{Seq: 1, Run: run, Outcome: keeper.RunDone}}}, nil
}

// fakeMesh is the mesh of one leader and its relays.
type fakeMesh struct {
	relays map[unit.Instance]*relayer.Relayer
	// fail is the error that calls return. The relay still handles the call if
	// failAfterDelivery is set.
	fail              error
	failAfterDelivery bool
	// delay is the time on the relay's clock until it receives the order.
	delay clock.Millis
	clock clock.Clock
	calls int
}

func (m *fakeMesh) Call(ctx context.Context, to unit.Instance, _ instance.Method, body []byte) ([]byte, error) {
	m.calls++
	if m.fail != nil && !m.failAfterDelivery {
		return nil, m.fail
	}
	m.clock.Advance(m.delay)
	response, err := m.relays[to].Serve(ctx, "leader", body)
	if m.fail != nil {
		return nil, m.fail
	}
	return response, err
}

var (
	run    = keeper.RunKey{Task: keeper.TaskID{Job: "00000000000000aa"}, Number: 1}
	target = planner.Target{ID: "u", Zone: "b", Address: "u:1", Incarnation: 3}
)

// newLeader returns a leader in zone a, the mesh, and the clients of the leader and of
// a relay in zone b.
func newLeader() (*relayer.Relayer, *fakeMesh, *fakeClient, *fakeClient) {
	clk := clock.NewManual(1000)
	m := &fakeMesh{relays: map[unit.Instance]*relayer.Relayer{}, clock: clk}
	local, remote := &fakeClient{result: planner.Executed{}}, &fakeClient{result: planner.Executed{}}
	bootTime := func() clock.Millis { return clk.Now() + 50_000 }
	r := relayer.New(relayer.Config{Self: "leader", Mesh: m, Local: local, Clock: clk, BootTime: clk.Now, Logger: logger.Discard()})
	m.relays["b1"] = relayer.New(relayer.Config{Self: "b1", Mesh: m, Local: remote, Clock: clk, BootTime: bootTime, Logger: logger.Discard()})
	r.HandleHeartbeat(planner.Heartbeat{From: "b1", RelaysOrders: true, Zone: "b", BootTime: bootTime()})
	return r, m, local, remote
}

func start(r *relayer.Relayer, to planner.Target) planner.OrderResult {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	result, _ := r.Start(ctx, 9, planner.Start{Run: run, Target: to})
	return result
}

func TestOrdersGoThroughARelayInTheUpstreamsZone(t *testing.T) {
	elsewhere := target
	elsewhere.Zone = "c"
	for name, c := range map[string]struct {
		to            planner.Target
		wait          clock.Millis
		local, remote int
	}{
		"zone has a relay":       {to: target, remote: 1},
		"zone has no relay":      {to: elsewhere, local: 1},
		"last heartbeat 5 s ago": {to: target, wait: 5 * clock.Second, local: 1},
		"last heartbeat 1 s ago": {to: target, wait: 1 * clock.Second, remote: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, m, local, remote := newLeader()
			m.clock.Advance(c.wait)
			is.Equal(start(r, c.to), planner.Executed{})
			is.Equal(local.starts, c.local)
			is.Equal(remote.starts, c.remote)
		})
	}
}

func TestRelayReturnsRefusalsAndPollResults(t *testing.T) {
	is := is.New(t)
	r, _, local, remote := newLeader()
	remote.result = planner.Refused{Reason: planner.RefusedInvalidTicket}
	is.Equal(start(r, target), planner.Refused{Reason: planner.RefusedInvalidTicket})
	result, err := r.Poll(context.Background(), 9, planner.Poll{Target: target})
	is.NoErr(err)
	is.Equal(result, planner.PollResult{Incarnation: 3, Clock: 7, Ended: []planner.EndedRun{{Seq: 1, Run: run, Outcome: keeper.RunDone}}})
	is.Equal(local.polls, 0)
}

// TestStartIsNotSentTwice guards against a second start of a run that the relay may
// have started already. A start that the relay didn't receive is sent directly.
func TestStartIsNotSentTwice(t *testing.T) {
	lost := errors.New("lost")
	for name, c := range map[string]struct {
		fail          error
		afterDelivery bool
		indeterminate bool
		local, remote int
	}{
		"not delivered": {fail: &instance.CallError{Peer: "b1", Cause: lost}, local: 1},
		"answer lost":   {fail: &instance.CallError{Peer: "b1", MaybeDelivered: true, Cause: lost}, afterDelivery: true, indeterminate: true, remote: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, m, local, remote := newLeader()
			m.fail, m.failAfterDelivery = c.fail, c.afterDelivery
			_, indeterminate := start(r, target).(planner.Indeterminate)
			is.Equal(indeterminate, c.indeterminate)
			is.Equal(local.starts, c.local)
			is.Equal(remote.starts, c.remote)
			// The relay isn't used again before the backoff has ended.
			calls := m.calls
			is.Equal(start(r, target), planner.Executed{})
			is.Equal(m.calls, calls)
			m.fail = nil
			m.clock.Advance(3 * clock.Second)
			r.HandleHeartbeat(planner.Heartbeat{From: "b1", RelaysOrders: true, Zone: "b", BootTime: m.clock.Now() + 50_000})
			start(r, target)
			is.Equal(m.calls, calls+1)
		})
	}
}

// TestTimeoutOfALiveRelayCausesNoBackoff guards against a slow upstream that takes its
// relay out of use: a call that times out while the relay sends heartbeats isn't a
// failure of the relay.
func TestTimeoutOfALiveRelayCausesNoBackoff(t *testing.T) {
	is := is.New(t)
	r, m, _, _ := newLeader()
	m.fail, m.failAfterDelivery = &instance.CallError{Peer: "b1", MaybeDelivered: true, Cause: context.DeadlineExceeded}, true
	start(r, target)
	start(r, target)
	is.Equal(m.calls, 2)
	m.clock.Advance(1 * clock.Second)
	start(r, target)
	start(r, target)
	is.Equal(m.calls, 3)
}

// TestRelayRefusesExpiredOrder guards against an order that waited in the buffers of a
// suspended relay and is sent after SendBy.
func TestRelayRefusesExpiredOrder(t *testing.T) {
	is := is.New(t)
	r, m, local, remote := newLeader()
	m.delay = 3 * clock.Second
	is.Equal(start(r, target), planner.Refused{Reason: planner.RefusedExpired})
	is.Equal(local.starts+remote.starts, 0)
}

func TestPollIsRetriedDirectlyIfTheRelayFails(t *testing.T) {
	is := is.New(t)
	r, m, local, remote := newLeader()
	m.fail, m.failAfterDelivery = &instance.CallError{Peer: "b1", MaybeDelivered: true, Cause: errors.New("lost")}, true
	_, err := r.Poll(context.Background(), 9, planner.Poll{Target: target})
	is.NoErr(err)
	is.Equal(local.polls, 1)
	is.Equal(remote.polls, 1)
}
