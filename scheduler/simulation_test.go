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

// Timing of the world.
const (
	zoneLease = 1 * clock.Second
	taskLease = 2 * clock.Second
	step      = 20 * time.Millisecond
	latency   = 1 * time.Millisecond
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

// lowerText halves the limit.
var loweredConfig = strings.Replace(simulationConfig, `CPU: "4"`, `CPU: "2"`, 1)

// world is a fleet in the virtual time of a synctest bubble: real schedulers
// and electors on a fake log, mesh and upstreams, which break as a cell of the
// matrix says. A frozen instance's clock stands still and nothing gets in or
// out of it.
type simulation struct {
	t         *testing.T
	mu        sync.Mutex
	nodes     map[unit.Instance]*node
	names     []unit.Instance
	upstreams map[unit.Upstream]*fakeUpstream
	log       *fakeLog
	obs       *observer
	// cut holds the pairs, by name, that nothing passes between, in the
	// direction from the first to the second.
	blocked map[[2]string]bool
	// hooks run once, when the watched request reaches a step.
	hooks   map[pathStep]func()
	watched unit.Request
	// reset breaks the connection of the watched request's next start once the
	// order was received.
	resetNextStart bool
	// lastVictim is the scheduler of zone a that a fault hit last.
	lastTarget unit.Instance
	defect     defect
	group      errgroup.Group
	ctx        context.Context
	cancel     context.CancelFunc
	startedAt  time.Time
}

// node is one entry instance.
type node struct {
	sim       *simulation
	name      unit.Instance
	zone      unit.AvailabilityZone
	clock     clock.Clock
	state     *registrar.Registrar
	applied   int
	scheduler *Scheduler
	elector   *elector.Elector
	frozen    bool
	dead      bool
	cancel    context.CancelFunc
}

func newSimulation(t *testing.T, fl defect) *simulation {
	sim := &simulation{
		t:         t,
		nodes:     map[unit.Instance]*node{},
		upstreams: map[unit.Upstream]*fakeUpstream{},
		obs:       newObserver(),
		blocked:   map[[2]string]bool{},
		hooks:     map[pathStep]func(){},
		defect:    fl,
		startedAt: time.Now(),
	}
	sim.ctx, sim.cancel = context.WithCancel(context.Background())
	sim.log = &fakeLog{sim: sim, leader: "b1", leaderSince: 1, votes: map[unit.Instance]bool{}}
	sim.names = []unit.Instance{"a1", "a2", "b1", "b2"}
	for _, name := range sim.names {
		sim.startInstance(name)
	}
	text := simulationConfig
	if fl.overAllocates {
		// Each zone's even part is the whole of the limit that holds.
		text = strings.Replace(simulationConfig, `CPU: "4"`, `CPU: "8"`, 1)
	}
	sim.log.commitExternal(registrar.PutConfig{ID: "first", Text: []byte(text)})
	sim.obs.limits["booking"] = unit.Resources{CPU: 4000, Memory: 8 * unit.Gigabyte, Accelerators: unit.Unlimited, Slots: 8, Connections: 8}
	sim.group.Go(sim.runClocks)
	return sim
}

// boot starts the process of an instance.
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
	sim.log.catchUp(n)
	sim.group.Go(func() error { return n.elector.Run(ctx) })
	sim.group.Go(func() error { return n.scheduler.Run(ctx) })
}

func (sim *simulation) peers(name unit.Instance) []unit.Instance {
	for _, other := range sim.names {
		if other != name && other[0] == name[0] {
			return []unit.Instance{other}
		}
	}
	return nil
}

// millis is the true time.
func (sim *simulation) trueTime() clock.Millis {
	return 1_000_000 + clock.Millis(time.Since(sim.startedAt)/time.Millisecond)
}

// runClocks moves the clocks of the instances that aren't frozen, and lets
// them apply what is new in the log.
func (sim *simulation) runClocks() error {
	for sim.ctx.Err() == nil {
		time.Sleep(step)
		for _, name := range sim.names {
			n := sim.node(name)
			if n.isUp() {
				n.clock.Advance(sim.trueTime() - n.clock.Now())
				sim.log.catchUp(n)
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

// thaw waits until the instance is neither frozen nor cut short by its end. It
// reports false if it is dead.
func (n *node) awaitThaw() bool {
	for !n.isUp() {
		if n.isDead() || n.sim.ctx.Err() != nil {
			return false
		}
		time.Sleep(step)
	}
	return true
}

// kill ends a process without notice.
func (sim *simulation) killInstance(name unit.Instance) {
	n := sim.node(name)
	sim.mu.Lock()
	n.dead = true
	sim.mu.Unlock()
	n.cancel()
}

// restart starts a killed process again.
func (sim *simulation) restartInstance(name unit.Instance) { sim.startInstance(name) }

func (sim *simulation) setFrozen(name unit.Instance, frozen bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.nodes[name].frozen = frozen
}

// isolate cuts everything between two sets of names, in both directions.
func (sim *simulation) setPartition(from, to []string, cut bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, f := range from {
		for _, t := range to {
			sim.blocked[[2]string{f, t}] = cut
			sim.blocked[[2]string{t, f}] = cut
		}
	}
}

func (sim *simulation) isBlocked(from, to string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.blocked[[2]string{from, to}]
}

// holder returns the instance that schedules a zone now; "" if none may.
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

// awaitHolder waits in virtual time until a zone has a scheduler.
func (sim *simulation) awaitHolder(zone unit.AvailabilityZone) unit.Instance {
	for range 3000 {
		if h := sim.holder(zone); h != "" {
			return h
		}
		time.Sleep(step)
	}
	sim.t.Fatalf("zone %s has no scheduler", zone)
	return ""
}

// reached runs the hook of a step, once.
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

// close ends everything.
func (sim *simulation) close() {
	sim.cancel()
	if err := sim.group.Wait(); err != nil {
		sim.t.Error(err)
	}
}

// mesh is the instance mesh as one instance sees it.
type mesh struct{ n *node }

// errLost is a message that the network lost.
var errMessageLost = errors.New("lost")

// Call implements instance.Caller.
func (m mesh) Call(ctx context.Context, to unit.Instance, method instance.Method, body []byte) ([]byte, error) {
	return exchange(ctx, m.n, to, func(ctx context.Context, n *node) ([]byte, error) {
		return n.elector.Handlers()[method](ctx, m.n.name, body)
	})
}

// exchange carries a request to an instance and its answer back. A request to
// a frozen instance is handled once it goes on, whether or not the sender
// still waits.
func exchange[R any](ctx context.Context, from *node, to unit.Instance, serve func(ctx context.Context, n *node) (R, error)) (R, error) {
	type answer struct {
		r   R
		err error
	}
	var none R
	sim := from.sim
	if !from.awaitThaw() {
		return none, &instance.CallError{Peer: to, Cause: errMessageLost}
	}
	target := sim.node(to)
	if target == nil || target.isDead() || sim.isBlocked(string(from.name), string(to)) {
		return none, &instance.CallError{Peer: to, Cause: errMessageLost}
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
			return none, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: errMessageLost}
		}
		return a.r, a.err
	case <-ctx.Done():
		return none, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: ctx.Err()}
	case <-broken:
		return none, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: errMessageLost}
	case <-sim.ctx.Done():
		return none, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: errMessageLost}
	}
}

func (sim *simulation) consumeReset(r unit.Request) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	takes := sim.resetNextStart && r == sim.watched
	sim.resetNextStart = sim.resetNextStart && !takes
	return takes
}

// idleTimeout is after how long a connection to a silent instance breaks.
const idleTimeout = 2 * time.Second

// breaks returns a channel that is closed once the connection to an instance
// breaks, since it died or was silent for long.
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

// wire is the way from an instance to the upstreams.
type upstreamClient struct{ n *node }

// Start implements UpstreamClient.
func (x upstreamClient) Start(ctx context.Context, address string, o dispatcher.StartOrder) (dispatcher.StartReply, error) {
	sim := x.n.sim
	sim.reachStep(startSent, o.Request)
	if !x.n.awaitThaw() {
		return nil, errMessageLost
	}
	u := sim.upstreams[unit.Upstream(address)]
	if u.isDead() || sim.isBlocked(string(x.n.name), address) {
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
				if !sim.isBlocked(address, string(x.n.name)) && !u.isDead() {
					replies <- reply
				}
			}
			return nil
		})
	}
	select {
	case reply := <-replies:
		sim.reachStep(answerReceived, o.Request)
		if !x.n.awaitThaw() {
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
func (x upstreamClient) Stop(_ context.Context, address string, o dispatcher.StopOrder) error {
	u := x.n.sim.upstreams[unit.Upstream(address)]
	if !x.n.isUp() || u.isDead() || x.n.sim.isBlocked(string(x.n.name), address) {
		return errMessageLost
	}
	u.stop(o)
	return nil
}
