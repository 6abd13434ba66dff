package relayer

import (
	"cmp"
	"context"
	"hash/fnv"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/driver"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// MethodOrder sends an order to a relay.
const MethodOrder instance.Method = "domain.order"

const (
	// relayTTL is how long after its last heartbeat an instance still gets orders.
	// Instances send four heartbeats a second.
	relayTTL = 2 * clock.Second
	// failureBackoff is how long an instance gets no orders after a failure. It is
	// longer than the mesh needs to detect a dead connection.
	failureBackoff = 2 * clock.Second
	// heartbeatOverdueAfter is the time without a heartbeat after which a call that
	// timed out counts as a failure of the relay rather than of the upstream.
	heartbeatOverdueAfter = 600 * clock.Millisecond
	// responseMargin is the part of an order's timeout that is reserved for the
	// response to the leader.
	responseMargin = 80 * clock.Millisecond
	// sendWithin bounds the time from the leader's choice of a relay until the relay
	// sends the order. It allows for a heartbeat that was processed late.
	sendWithin = 1 * clock.Second
)

// Config configures a Relayer.
type Config struct {
	Self unit.Instance
	Mesh instance.Caller
	// Local sends orders from this instance.
	Local driver.UpstreamClient
	Clock clock.Clock
	// BootTime reads this instance's boot time clock, which bounds the orders that it
	// relays. The clock counts the time for which the machine is suspended.
	BootTime func() clock.Millis
	Logger   logrus.FieldLogger
	Metrics  tally.Scope
}

// Relayer implements driver.UpstreamClient by sending orders through relays.
type Relayer struct {
	cfg                      Config
	relayed, direct, expired tally.Counter

	mu     sync.Mutex
	relays map[unit.Instance]*relay
}

var _ driver.UpstreamClient = (*Relayer)(nil)

// relay is an instance that offers to send orders.
type relay struct {
	id          unit.Instance
	zone        unit.AvailabilityZone
	heartbeatAt clock.Millis
	// bootTime is the relay's boot time, which it read before heartbeatAt.
	bootTime clock.Millis
	// backoffUntil is when the relay gets orders again after a failure.
	backoffUntil clock.Millis
	// ctx is cancelled when the relay fails. This ends all pending calls to it.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a relayer.
func New(c Config) *Relayer {
	m := c.Metrics
	if m == nil {
		m = tally.NoopScope
	}
	m = m.SubScope("relay")
	return &Relayer{
		cfg: c, relays: map[unit.Instance]*relay{},
		relayed: m.Counter("orders_relayed"), direct: m.Counter("orders_direct"), expired: m.Counter("orders_expired"),
	}
}

// HandleHeartbeat records a heartbeat of an instance that offers to relay.
func (r *Relayer) HandleHeartbeat(heartbeat planner.Heartbeat) {
	if !heartbeat.RelaysOrders || heartbeat.From == r.cfg.Self {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := r.relays[heartbeat.From]
	if peer == nil {
		peer = &relay{id: heartbeat.From}
		peer.ctx, peer.cancel = context.WithCancel(context.Background())
		r.relays[heartbeat.From] = peer
	}
	peer.zone, peer.heartbeatAt, peer.bootTime = heartbeat.Zone, r.cfg.Clock.Now(), heartbeat.BootTime
}

// pick returns the relay for orders to an upstream and until when the relay may send
// an order, on its boot time clock. It reports false if no relay is available.
func (r *Relayer) pick(to planner.Target) (via relay, sendBy clock.Millis, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	var best *relay
	for id, candidate := range r.relays {
		if now-candidate.heartbeatAt > relayTTL {
			candidate.cancel()
			delete(r.relays, id)
			continue
		}
		if candidate.zone != to.Zone || now < candidate.backoffUntil {
			continue
		}
		if best == nil || cmp.Compare(score(candidate.id, to.ID), score(best.id, to.ID)) > 0 {
			best = candidate
		}
	}
	if best == nil {
		return relay{}, 0, false
	}
	return *best, best.bootTime + (now - best.heartbeatAt) + sendWithin, true
}

// score is the rendezvous hash of a relay and an upstream. It spreads the upstreams
// over the relays of a zone, and an upstream keeps its relay while others join and
// leave.
func score(via unit.Instance, to unit.Upstream) uint64 {
	h := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(string(via) + "|" + string(to)))
	return h.Sum64()
}

// recordFailure gives a relay no orders for failureBackoff and ends pending calls to
// it. It ignores a timeout while the relay's heartbeats arrive, since the upstream may
// have caused it.
func (r *Relayer) recordFailure(id unit.Instance, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := r.relays[id]
	if peer == nil || r.cfg.Clock.Now() < peer.backoffUntil {
		return
	}
	if errors.Is(cause, context.DeadlineExceeded) && r.cfg.Clock.Now()-peer.heartbeatAt < heartbeatOverdueAfter {
		return
	}
	peer.backoffUntil = r.cfg.Clock.Now() + failureBackoff
	peer.cancel()
	peer.ctx, peer.cancel = context.WithCancel(context.Background())
	r.cfg.Logger.WithFields(logrus.Fields{
		logger.FieldPeer: id, "SilentMillis": int64(r.cfg.Clock.Now() - peer.heartbeatAt), "RestMillis": int64(failureBackoff),
	}).WithError(cause).Warn("relay failed; sending no orders through it for a while")
}

// errRelayFailed ends the calls to a relay on which another call failed.
var errRelayFailed = errors.New("the relay has failed")

// sendViaRelay sends an order through a relay. If err isn't nil, sent reports whether
// the order may have been executed.
func (r *Relayer) sendViaRelay(ctx context.Context, to planner.Target, o order) (resp response, sent bool, err error) {
	via, sendBy, found := r.pick(to)
	if !found {
		return response{}, false, errRelayFailed
	}
	o.SendBy = sendBy
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(via.ctx, func() { cancel(errRelayFailed) })
	defer stop()
	body, err := r.cfg.Mesh.Call(callCtx, via.id, MethodOrder, encoder.Marshal(o))
	if err == nil {
		err = encoder.Unmarshal(body, &resp)
	}
	if err == nil {
		r.relayed.Inc(1)
		return resp, true, nil
	}
	callErr := new(instance.CallError)
	sent = !errors.As(err, &callErr) || callErr.MaybeDelivered
	if !errors.Is(context.Cause(callCtx), context.Canceled) {
		// The call failed, rather than being cancelled with the leader's session.
		r.recordFailure(via.id, err)
	}
	return response{}, sent, err
}

// Start implements driver.UpstreamClient.
func (r *Relayer) Start(ctx context.Context, token uint64, s planner.Start) (planner.OrderResult, clock.Millis) {
	resp, sent, err := r.sendViaRelay(ctx, s.Target, order{Token: token, Start: &s})
	switch {
	case err == nil:
		return resp.orderResult()
	case sent:
		return planner.Indeterminate{Err: err}, 0
	}
	r.direct.Inc(1)
	return r.cfg.Local.Start(ctx, token, s)
}

// Stop implements driver.UpstreamClient.
func (r *Relayer) Stop(ctx context.Context, token uint64, s planner.Stop) (planner.OrderResult, clock.Millis) {
	resp, sent, err := r.sendViaRelay(ctx, s.Target, order{Token: token, Stop: &s})
	switch {
	case err == nil:
		return resp.orderResult()
	case sent:
		return planner.Indeterminate{Err: err}, 0
	}
	r.direct.Inc(1)
	return r.cfg.Local.Stop(ctx, token, s)
}

// Poll implements driver.UpstreamClient. A second poll does no harm, so this instance
// sends the poll itself if the relay fails.
func (r *Relayer) Poll(ctx context.Context, token uint64, poll planner.Poll) (planner.PollResult, error) {
	resp, _, err := r.sendViaRelay(ctx, poll.Target, order{Token: token, Poll: &poll})
	if err == nil && !resp.Expired {
		return resp.pollResult()
	}
	r.direct.Inc(1)
	return r.cfg.Local.Poll(ctx, token, poll)
}
