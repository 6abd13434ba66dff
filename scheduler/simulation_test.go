package scheduler

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/elector"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Timing of the simulation.
const (
	zoneLease = 1 * clock.Second
	taskLease = 2 * clock.Second
	// clockStep is the interval in which clocks advance and waits poll.
	clockStep = 20 * time.Millisecond
	// latency is the time of a message from one process to another.
	latency = 1 * time.Millisecond
)

const simulationConfig = simulationConfigHead + `    Limit: {CPU: "4", Memory: 8GB, Slots: 8, Connections: 8}
  - Name: prelo
    Share: 1
Queues:
  - {Name: holds, Team: booking, Access: Open, Class: Interactive, Need: {CPU: 1, Memory: 1GB, Slots: 1}}
  - {Name: proofs, Team: prelo, Access: Open, Class: Deferred, Need: {CPU: 1, Memory: 1GB, Slots: 1}}
`

const simulationConfigHead = `
AvailabilityZones: [{Name: a}, {Name: b}]
Teams:
  - Name: booking
    Share: 3
`

// loweredConfig is simulationConfig with half the CPU limit of team booking.
var loweredConfig = strings.Replace(simulationConfig, `CPU: "4"`, `CPU: "2"`, 1)

// simulation is a fleet in the virtual time of a synctest bubble: real
// schedulers and electors with a fake log, mesh and upstreams, into which the
// tests inject faults. The clock of a frozen instance doesn't advance, and the
// instance neither sends nor receives anything.
type simulation struct {
	t         *testing.T
	mu        sync.Mutex
	nodes     map[unit.Instance]*node
	names     []unit.Instance
	upstreams map[unit.Upstream]*fakeUpstream
	log       *fakeLog
	obs       *observer
	// blocked holds the pairs of names for which messages from the first to the
	// second are lost.
	blocked map[[2]string]bool
	// hooks holds the functions that run once, when the watched request reaches a
	// step.
	hooks   map[pathStep]func()
	watched unit.Request
	// resetNextStart makes the connection of the watched request's next start
	// order break after the upstream has received the order.
	resetNextStart bool
	// lastTarget is the last scheduler of zone a that target returned.
	lastTarget unit.Instance
	defect     defect
	group      errgroup.Group
	ctx        context.Context
	cancel     context.CancelFunc
	startedAt  time.Time
}

// node is one instance of the fleet.
type node struct {
	sim   *simulation
	name  unit.Instance
	zone  unit.AvailabilityZone
	clock clock.Clock
	state *registrar.Registrar
	// applied is the number of log entries applied to state.
	applied   int
	scheduler *Scheduler
	elector   *elector.Elector
	frozen    bool
	dead      bool
	cancel    context.CancelFunc
}

// newSimulation starts two instances in each of the zones a and b, with
// simulationConfig in force and no upstreams.
func newSimulation(t *testing.T, d defect) *simulation {
	sim := &simulation{
		t:         t,
		nodes:     map[unit.Instance]*node{},
		upstreams: map[unit.Upstream]*fakeUpstream{},
		obs:       newObserver(),
		blocked:   map[[2]string]bool{},
		hooks:     map[pathStep]func(){},
		defect:    d,
		startedAt: time.Now(),
	}
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	sim.log = &fakeLog{sim: sim, leader: "b1", leaderSince: 1, votes: map[unit.Instance]bool{}}
	sim.names = []unit.Instance{"a1", "a2", "b1", "b2"}
	for _, name := range sim.names {
		sim.startInstance(name)
	}
	text := simulationConfig
	if d.overAllocates {
		// Each zone's equal part of this limit is the whole limit that the
		// observer enforces.
		text = strings.Replace(simulationConfig, `CPU: "4"`, `CPU: "8"`, 1)
	}
	sim.log.commitExternal(registrar.PutConfig{ID: "first", Text: []byte(text)})
	sim.obs.limits["booking"] = unit.Resources{CPU: 4000, Memory: 8 * unit.Gigabyte, Accelerators: unit.Unlimited, Slots: 8, Connections: 8}
	sim.group.Go(sim.runClocks)
	return sim
}

// startInstance starts the process of an instance.
func (sim *simulation) startInstance(name unit.Instance) {
	n := &node{sim: sim, name: name, zone: unit.AvailabilityZone(name[:1]), clock: clock.NewManual(sim.trueTime()), state: registrar.New()}
	ctx, cancel := context.WithCancel(sim.ctx)
	n.cancel = cancel
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n.elector = elector.New(elector.Config{
		Instance: name, AvailabilityZone: n.zone, Peers: sim.peers(name), Clock: n.clock, State: n.state,
		Call: mesh{n}, LogLeader: sim.log.currentLeader, Propose: n.propose, ProposeLocal: n.proposeLocal, LeaderSince: n.leaderSince,
		ZoneLease: zoneLease, Logger: logger, Metrics: tally.NoopScope,
	})
	n.scheduler = New(Config{
		Instance: name, AvailabilityZone: n.zone, Clock: n.clock, State: n.state, Propose: n.propose,
		Upstreams: upstreamClient{n}, Holder: sim.defect.holder(n), TaskLease: taskLease,
		Logger: logger, Metrics: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""),
	})
	sim.mu.Lock()
	sim.nodes[name] = n
	sim.mu.Unlock()
	sim.log.catchUpIfReachable(n)
	sim.group.Go(func() error { return n.elector.Run(ctx) })
	sim.group.Go(func() error { return n.scheduler.Run(ctx) })
}

// peers returns the other instance of the same zone.
func (sim *simulation) peers(name unit.Instance) []unit.Instance {
	for _, other := range sim.names {
		if other != name && other[0] == name[0] {
			return []unit.Instance{other}
		}
	}
	return nil
}

// trueTime returns the time that the clock of an instance shows if it was never
// frozen.
func (sim *simulation) trueTime() clock.Millis {
	return 1_000_000 + clock.Millis(time.Since(sim.startedAt)/time.Millisecond)
}

// runClocks advances the clocks of the running instances and makes them apply the
// new entries of the log.
func (sim *simulation) runClocks() error {
	for sim.ctx.Err() == nil {
		time.Sleep(clockStep)
		for _, name := range sim.names {
			n := sim.node(name)
			if n.isUp() {
				n.clock.Advance(sim.trueTime() - n.clock.Now())
				sim.log.catchUpIfReachable(n)
			}
		}
	}
	return nil
}

func (sim *simulation) node(name unit.Instance) *node {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.nodes[name]
}

// isUp reports whether the process runs and isn't frozen.
func (n *node) isUp() bool {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	return !n.frozen && !n.dead
}

func (n *node) isDead() bool {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	return n.dead
}

// awaitThaw waits while the instance is frozen. It returns false if the instance is
// dead or the simulation ends.
func (n *node) awaitThaw() bool {
	for !n.isUp() {
		if n.isDead() || n.sim.ctx.Err() != nil {
			return false
		}
		time.Sleep(clockStep)
	}
	return true
}

// killInstance ends a process without a shutdown.
func (sim *simulation) killInstance(name unit.Instance) {
	n := sim.node(name)
	sim.mu.Lock()
	n.dead = true
	sim.mu.Unlock()
	n.cancel()
}

// restartInstance starts a killed process again.
func (sim *simulation) restartInstance(name unit.Instance) { sim.startInstance(name) }

func (sim *simulation) setFrozen(name unit.Instance, frozen bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.nodes[name].frozen = frozen
}

// setPartition blocks or unblocks all messages between two sets of names, in both
// directions.
func (sim *simulation) setPartition(from, to []string, blocked bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, f := range from {
		for _, t := range to {
			sim.blocked[[2]string{f, t}] = blocked
			sim.blocked[[2]string{t, f}] = blocked
		}
	}
}

func (sim *simulation) isBlocked(from, to string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.blocked[[2]string{from, to}]
}

// holder returns the running instance that holds a zone now, or "".
func (sim *simulation) holder(zone unit.AvailabilityZone) unit.Instance {
	for _, name := range sim.names {
		n := sim.node(name)
		if n.zone != zone || !n.isUp() {
			continue
		}
		if _, ok := n.elector.HoldsLease(n.clock.Now()); ok {
			return name
		}
	}
	return ""
}

// awaitHolder waits until a zone has a holder and returns it.
func (sim *simulation) awaitHolder(zone unit.AvailabilityZone) unit.Instance {
	for range 3000 {
		if h := sim.holder(zone); h != "" {
			return h
		}
		time.Sleep(clockStep)
	}
	sim.t.Fatalf("no instance acquired the lease of zone %s", zone)
	return ""
}

// reachStep runs and removes the hook of a step if the watched request reached it.
func (sim *simulation) reachStep(s pathStep, r unit.Request) {
	sim.mu.Lock()
	hook := sim.hooks[s]
	if r != sim.watched {
		hook = nil
	}
	if hook != nil {
		delete(sim.hooks, s)
	}
	sim.mu.Unlock()
	if hook != nil {
		hook()
	}
}

// close ends the simulation and waits for its goroutines.
func (sim *simulation) close() {
	sim.cancel()
	if err := sim.group.Wait(); err != nil {
		sim.t.Error(err)
	}
}

// mesh is the instance mesh of one instance. It implements instance.Caller.
type mesh struct{ n *node }

// errMessageLost is the error of a call whose request or answer was lost.
var errMessageLost = errors.New("message lost")

// Call implements instance.Caller.
func (m mesh) Call(ctx context.Context, to unit.Instance, method instance.Method, body []byte) ([]byte, error) {
	return exchange(ctx, m.n, to, func(ctx context.Context, n *node) ([]byte, error) {
		return n.elector.Handlers()[method](ctx, m.n.name, body)
	})
}

// exchange sends a request to an instance and returns its answer. A frozen
// instance handles the request after it thaws, whether or not the sender still
// waits.
func exchange[R any](ctx context.Context, from *node, to unit.Instance, serve func(ctx context.Context, n *node) (R, error)) (R, error) {
	type answer struct {
		r   R
		err error
	}
	var zero R
	sim := from.sim
	if !from.awaitThaw() {
		return zero, &instance.CallError{Peer: to, Cause: errMessageLost}
	}
	target := sim.node(to)
	if target == nil || target.isDead() || sim.isBlocked(string(from.name), string(to)) {
		return zero, &instance.CallError{Peer: to, Cause: errMessageLost}
	}
	answers := make(chan answer, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	broken := sim.watchConnection(ctx, target)
	sim.group.Go(func() error {
		time.Sleep(latency)
		if !target.awaitThaw() {
			return nil
		}
		r, err := serve(ctx, target)
		if target.awaitThaw() && !sim.isBlocked(string(to), string(from.name)) {
			time.Sleep(latency)
			answers <- answer{r, err}
		}
		return nil
	})
	select {
	case a := <-answers:
		if !from.awaitThaw() {
			return zero, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: errMessageLost}
		}
		return a.r, a.err
	case <-ctx.Done():
		return zero, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: ctx.Err()}
	case <-broken:
		return zero, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: errMessageLost}
	case <-sim.ctx.Done():
		return zero, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: errMessageLost}
	}
}

// consumeReset reports whether the start order of a request must break its
// connection, and clears resetNextStart if so.
func (sim *simulation) consumeReset(r unit.Request) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	reset := sim.resetNextStart && r == sim.watched
	sim.resetNextStart = sim.resetNextStart && !reset
	return reset
}

// idleTimeout is the time without an answer after which the connection to an
// instance breaks.
const idleTimeout = 2 * time.Second

// watchConnection returns a channel that is closed once the instance has been dead
// or frozen for idleTimeout, or when ctx is done.
func (sim *simulation) watchConnection(ctx context.Context, target *node) <-chan struct{} {
	broken := make(chan struct{})
	sim.group.Go(func() error {
		silent := time.Duration(0)
		for ctx.Err() == nil && silent < idleTimeout {
			select {
			case <-ctx.Done():
			case <-time.After(idleTimeout / 10):
			}
			if target.isUp() {
				silent = 0
			} else {
				silent += idleTimeout / 10
			}
		}
		close(broken)
		return nil
	})
	return broken
}

// upstreamClient sends the orders of one instance to the fake upstreams.
type upstreamClient struct{ n *node }

// Start implements UpstreamClient.
func (c upstreamClient) Start(ctx context.Context, address string, o dispatcher.StartOrder) (dispatcher.StartReply, error) {
	sim := c.n.sim
	sim.reachStep(startSent, o.Request)
	if !c.n.awaitThaw() {
		return nil, errMessageLost
	}
	u := sim.upstreams[unit.Upstream(address)]
	if u.isDead() || sim.isBlocked(string(c.n.name), address) {
		return sim.defect.reply(nil, &dispatcher.NotSentError{Task: o.Task, Cause: errMessageLost})
	}
	if sim.consumeReset(o.Request) {
		sim.group.Go(func() error {
			u.start(o)
			return nil
		})
		time.Sleep(50 * latency)
		return sim.defect.reply(nil, errMessageLost)
	}
	replies := make(chan dispatcher.StartReply, 2)
	for range u.consumeDuplicate(o.Request) {
		sim.group.Go(func() error {
			time.Sleep(latency + u.consumeDelay(o.Request))
			if reply := u.start(o); reply != nil {
				sim.reachStep(answerSent, o.Request)
				if !sim.isBlocked(address, string(c.n.name)) && !u.isDead() {
					replies <- reply
				}
			}
			return nil
		})
	}
	select {
	case reply := <-replies:
		sim.reachStep(answerReceived, o.Request)
		if !c.n.awaitThaw() {
			return nil, errMessageLost
		}
		return sim.defect.reply(reply, nil)
	case <-ctx.Done():
		return sim.defect.reply(nil, ctx.Err())
	case <-sim.ctx.Done():
		return nil, errMessageLost
	}
}

// Stop implements UpstreamClient.
func (c upstreamClient) Stop(_ context.Context, address string, o dispatcher.StopOrder) error {
	u := c.n.sim.upstreams[unit.Upstream(address)]
	if !c.n.isUp() || u.isDead() || c.n.sim.isBlocked(string(c.n.name), address) {
		return errMessageLost
	}
	u.stop(o)
	return nil
}
