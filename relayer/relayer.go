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

// MethodOrder brings an order to a relay.
const MethodOrder instance.Method = "domain.order"

const (
	// attendMemory is for how long an instance that attended is given orders;
	// instances attend four times a second.
	attendMemory = 2 * clock.Second
	// restAfterFailure is for how long an instance that failed gets no orders:
	// longer than the mesh takes to find out that a connection is dead.
	restAfterFailure = 2 * clock.Second
	// silentAfter is for how long an instance must not have attended for a call
	// that timed out to count as its failure rather than as the upstream's.
	silentAfter = 600 * clock.Millisecond
	// wayBack is kept of an order's time for the answer's way to the holder.
	wayBack = 80 * clock.Millisecond
	// leaveWithin bounds the time from the decision until an order leaves a
	// relay. It covers a sign of life that was taken in late.
	leaveWithin = 1 * clock.Second
)

// Config configures a Relayer.
type Config struct {
	Self unit.Instance
	Mesh instance.Caller
	// Local carries out orders from this instance.
	Local driver.UpstreamClient
	Clock clock.Clock
	// BootTime tells the steady clock by which orders to this instance are bounded;
	// it counts the time for which the machine is suspended.
	BootTime func() clock.Millis
	Logger   logrus.FieldLogger
	Metrics  tally.Scope
}

// Relayer implements driver.UpstreamClient.
type Relayer struct {
	cfg                      Config
	relayed, direct, expired tally.Counter

	mu     sync.Mutex
	relays map[unit.Instance]*relay
}

var _ driver.UpstreamClient = (*Relayer)(nil)

// relay is an instance that offers to carry out orders.
type relay struct {
	id      unit.Instance
	zone    unit.AvailabilityZone
	heardAt clock.Millis
	// steady is the relay's steady clock, read before heardAt.
	steady clock.Millis
	// restsUntil is when it is tried again after a failure.
	restsUntil clock.Millis
	// epoch ends when the relay fails, for all orders that wait for it.
	epoch context.Context
	fail  context.CancelFunc
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

// HandleHeartbeat takes an instance's sign of life.
func (r *Relayer) HandleHeartbeat(a planner.Heartbeat) {
	if !a.Relays || a.From == r.cfg.Self {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.relays[a.From]
	if x == nil {
		x = &relay{id: a.From}
		x.epoch, x.fail = context.WithCancel(context.Background())
		r.relays[a.From] = x
	}
	x.zone, x.heardAt, x.steady = a.Zone, r.cfg.Clock.Now(), a.BootTime
}

// pick returns the instance that carries out the orders to an upstream and until
// when they may leave it; false if it is this one.
func (r *Relayer) pick(to planner.Target) (via relay, until clock.Millis, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	var best *relay
	for id, x := range r.relays {
		if now-x.heardAt > attendMemory {
			x.fail()
			delete(r.relays, id)
			continue
		}
		if x.zone != to.Zone || now < x.restsUntil {
			continue
		}
		if best == nil || cmp.Compare(weight(x.id, to.ID), weight(best.id, to.ID)) > 0 {
			best = x
		}
	}
	if best == nil {
		return relay{}, 0, false
	}
	return *best, best.steady + (now - best.heardAt) + leaveWithin, true
}

// weight spreads upstreams over the relays of a zone; each keeps its own while
// the others come and go.
func weight(via unit.Instance, to unit.Upstream) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(string(via) + "|" + string(to)))
	return h.Sum64()
}

// failed gives an instance no orders for a while, unless the failure may be the
// upstream's.
func (r *Relayer) failed(id unit.Instance, why error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.relays[id]
	if x == nil || r.cfg.Clock.Now() < x.restsUntil {
		return
	}
	if errors.Is(why, context.DeadlineExceeded) && r.cfg.Clock.Now()-x.heardAt < silentAfter {
		return
	}
	x.restsUntil = r.cfg.Clock.Now() + restAfterFailure
	x.fail()
	x.epoch, x.fail = context.WithCancel(context.Background())
	r.cfg.Logger.WithFields(logrus.Fields{
		logger.FieldPeer: id, "SilentMillis": int64(r.cfg.Clock.Now() - x.heardAt), "RestMillis": int64(restAfterFailure),
	}).WithError(why).Warn("an instance relays no orders for a while")
}

// errRelayFailed ends the calls to a relay on which another call failed.
var errRelayFailed = errors.New("the relay has failed")

// relay has another instance carry out an order. sent is false if it surely
// wasn't carried out.
func (r *Relayer) relay(ctx context.Context, to planner.Target, o order) (a answer, sent bool, err error) {
	via, until, found := r.pick(to)
	if !found {
		return answer{}, false, errRelayFailed
	}
	o.Until = until
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(via.epoch, func() { cancel(errRelayFailed) })
	defer stop()
	body, err := r.cfg.Mesh.Call(call, via.id, MethodOrder, encoder.Marshal(o))
	if err == nil {
		err = encoder.Unmarshal(body, &a)
	}
	if err == nil {
		r.relayed.Inc(1)
		return a, true, nil
	}
	failure := new(instance.CallError)
	sent = !errors.As(err, &failure) || failure.MaybeDelivered
	if !errors.Is(context.Cause(call), context.Canceled) {
		// Not because the holder's session has ended.
		r.failed(via.id, err)
	}
	return answer{}, sent, err
}

// Start implements driver.UpstreamClient.
func (r *Relayer) Start(ctx context.Context, token uint64, s planner.Start) (planner.OrderResult, clock.Millis) {
	a, sent, err := r.relay(ctx, s.Target, order{Token: token, Start: &s})
	switch {
	case err == nil:
		return a.planner()
	case sent:
		return planner.Indeterminate{Err: err}, 0
	}
	r.direct.Inc(1)
	return r.cfg.Local.Start(ctx, token, s)
}

// Stop implements driver.UpstreamClient.
func (r *Relayer) Stop(ctx context.Context, token uint64, s planner.Stop) (planner.OrderResult, clock.Millis) {
	a, sent, err := r.relay(ctx, s.Target, order{Token: token, Stop: &s})
	switch {
	case err == nil:
		return a.planner()
	case sent:
		return planner.Indeterminate{Err: err}, 0
	}
	r.direct.Inc(1)
	return r.cfg.Local.Stop(ctx, token, s)
}

// Poll implements driver.UpstreamClient. A look changes nothing that a second one
// would harm, so it is sent again by this instance if the relay fails.
func (r *Relayer) Poll(ctx context.Context, token uint64, l planner.Poll) (planner.PollResult, error) {
	a, _, err := r.relay(ctx, l.Target, order{Token: token, Look: &l})
	if err == nil && !a.Expired {
		return a.seen()
	}
	r.direct.Inc(1)
	return r.cfg.Local.Poll(ctx, token, l)
}
