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

const worldText = worldHead + `    Limit: {CPU: "4", Memory: 8GB, Slots: 8, Connections: 8}
  - Name: prelo
    Share: 1
Queues:
  - {Name: holds, Team: booking, Access: Open, Class: Interactive, Need: {CPU: 1, Memory: 1GB, Slots: 1}}
  - {Name: proofs, Team: prelo, Access: Open, Class: Deferred, Need: {CPU: 1, Memory: 1GB, Slots: 1}}
`

const worldHead = `
AvailabilityZones: [{Name: a}, {Name: b}]
Teams:
  - Name: booking
    Share: 3
`

// lowerText halves the limit.
var lowerText = strings.Replace(worldText, `CPU: "4"`, `CPU: "2"`, 1)

// world is a fleet in the virtual time of a synctest bubble: real schedulers
// and electors on a fake log, mesh and upstreams, which break as a cell of the
// matrix says. A frozen instance's clock stands still and nothing gets in or
// out of it.
type world struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[unit.Instance]*node
	names []unit.Instance
	ups   map[unit.Upstream]*fakeUpstream
	log   *fakeLog
	obs   *observer
	// cut holds the pairs, by name, that nothing passes between, in the
	// direction from the first to the second.
	cut map[[2]string]bool
	// hooks run once, when the watched request reaches a step.
	hooks   map[pathStep]func()
	watched unit.Request
	// reset breaks the connection of the watched request's next start once the
	// order was received.
	reset bool
	// lastVictim is the scheduler of zone a that a fault hit last.
	lastVictim unit.Instance
	flaw       flaw
	group      errgroup.Group
	ctx        context.Context
	cancel     context.CancelFunc
	begun      time.Time
}

// node is one entry instance.
type node struct {
	w       *world
	name    unit.Instance
	zone    unit.AvailabilityZone
	clk     clock.Clock
	state   *registrar.Registrar
	applied int
	sched   *Scheduler
	elect   *elector.Elector
	frozen  bool
	dead    bool
	cancel  context.CancelFunc
}

func newWorld(t *testing.T, fl flaw) *world {
	w := &world{
		t:     t,
		nodes: map[unit.Instance]*node{},
		ups:   map[unit.Upstream]*fakeUpstream{},
		obs:   newObserver(),
		cut:   map[[2]string]bool{},
		hooks: map[pathStep]func(){},
		flaw:  fl,
		begun: time.Now(),
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.log = &fakeLog{w: w, leader: "b1", since: 1, votes: map[unit.Instance]bool{}}
	w.names = []unit.Instance{"a1", "a2", "b1", "b2"}
	for _, name := range w.names {
		w.boot(name)
	}
	text := worldText
	if fl.overAllots {
		// Each zone's even part is the whole of the limit that holds.
		text = strings.Replace(worldText, `CPU: "4"`, `CPU: "8"`, 1)
	}
	w.log.put(registrar.PutConfig{ID: "first", Text: []byte(text)})
	w.obs.limits["booking"] = unit.Resources{CPU: 4000, Memory: 8 * unit.Gigabyte, Accelerators: unit.Unlimited, Slots: 8, Connections: 8}
	w.group.Go(w.runClocks)
	return w
}

// boot starts the process of an instance.
func (w *world) boot(name unit.Instance) {
	n := &node{w: w, name: name, zone: unit.AvailabilityZone(name[:1]), clk: clock.NewManual(w.millis()), state: registrar.New()}
	ctx, cancel := context.WithCancel(w.ctx)
	n.cancel = cancel
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n.elect = elector.New(elector.Config{
		Instance: name, AvailabilityZone: n.zone, Peers: w.peers(name), Clock: n.clk, State: n.state,
		Call: mesh{n}, LogLeader: w.log.leaderNow, Propose: n.propose, ProposeLocal: n.proposeHere, LeaderSince: n.lead,
		ZoneLease: zoneLease, Logger: logger, Metrics: tally.NoopScope,
	})
	n.sched = New(Config{
		Instance: name, AvailabilityZone: n.zone, Clock: n.clk, State: n.state, Propose: n.propose,
		Upstreams: wire{n}, Holder: w.flaw.holder(n), TaskLease: taskLease,
		Logger: logger, Metrics: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""),
	})
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
	w.log.catchUp(n)
	w.group.Go(func() error { return n.elect.Run(ctx) })
	w.group.Go(func() error { return n.sched.Run(ctx) })
}

func (w *world) peers(name unit.Instance) []unit.Instance {
	for _, other := range w.names {
		if other != name && other[0] == name[0] {
			return []unit.Instance{other}
		}
	}
	return nil
}

// millis is the true time.
func (w *world) millis() clock.Millis {
	return 1_000_000 + clock.Millis(time.Since(w.begun)/time.Millisecond)
}

// runClocks moves the clocks of the instances that aren't frozen, and lets
// them apply what is new in the log.
func (w *world) runClocks() error {
	for w.ctx.Err() == nil {
		time.Sleep(step)
		for _, name := range w.names {
			n := w.node(name)
			if n.isUp() {
				n.clk.Advance(w.millis() - n.clk.Now())
				w.log.catchUp(n)
			}
		}
	}
	return nil
}

func (w *world) node(name unit.Instance) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[name]
}

// isUp reports whether the process runs and isn't frozen.
func (n *node) isUp() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return !n.frozen && !n.dead
}

func (n *node) isDead() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.dead
}

// thaw waits until the instance is neither frozen nor cut short by its end. It
// reports false if it is dead.
func (n *node) thaw() bool {
	for !n.isUp() {
		if n.isDead() || n.w.ctx.Err() != nil {
			return false
		}
		time.Sleep(step)
	}
	return true
}

// kill ends a process without notice.
func (w *world) kill(name unit.Instance) {
	n := w.node(name)
	w.mu.Lock()
	n.dead = true
	w.mu.Unlock()
	n.cancel()
}

// restart starts a killed process again.
func (w *world) restart(name unit.Instance) { w.boot(name) }

func (w *world) freeze(name unit.Instance, frozen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[name].frozen = frozen
}

// isolate cuts everything between two sets of names, in both directions.
func (w *world) isolate(from, to []string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range from {
		for _, t := range to {
			w.cut[[2]string{f, t}] = cut
			w.cut[[2]string{t, f}] = cut
		}
	}
}

func (w *world) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]string{from, to}]
}

// holder returns the instance that schedules a zone now; "" if none may.
func (w *world) holder(zone unit.AvailabilityZone) unit.Instance {
	for _, name := range w.names {
		n := w.node(name)
		if n.zone != zone || !n.isUp() {
			continue
		}
		if _, ok := n.elect.HoldsLease(n.clk.Now()); ok {
			return name
		}
	}
	return ""
}

// awaitHolder waits in virtual time until a zone has a scheduler.
func (w *world) awaitHolder(zone unit.AvailabilityZone) unit.Instance {
	for range 3000 {
		if h := w.holder(zone); h != "" {
			return h
		}
		time.Sleep(step)
	}
	w.t.Fatalf("zone %s has no scheduler", zone)
	return ""
}

// reached runs the hook of a step, once.
func (w *world) reached(s pathStep, r unit.Request) {
	w.mu.Lock()
	hook := w.hooks[s]
	if r != w.watched {
		hook = nil
	}
	if hook != nil {
		delete(w.hooks, s)
	}
	w.mu.Unlock()
	if hook != nil {
		hook()
	}
}

// close ends everything.
func (w *world) close() {
	w.cancel()
	if err := w.group.Wait(); err != nil {
		w.t.Error(err)
	}
}

// mesh is the instance mesh as one instance sees it.
type mesh struct{ n *node }

// errLost is a message that the network lost.
var errLost = errors.New("lost")

// Call implements instance.Caller.
func (m mesh) Call(ctx context.Context, to unit.Instance, method instance.Method, body []byte) ([]byte, error) {
	return exchange(ctx, m.n, to, func(ctx context.Context, n *node) ([]byte, error) {
		return n.elect.Handlers()[method](ctx, m.n.name, body)
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
	w := from.w
	if !from.thaw() {
		return none, &instance.CallError{Peer: to, Cause: errLost}
	}
	target := w.node(to)
	if target == nil || target.isDead() || w.isCut(string(from.name), string(to)) {
		return none, &instance.CallError{Peer: to, Cause: errLost}
	}
	answers := make(chan answer, 1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	broken := w.breaks(ctx, target)
	w.group.Go(func() error {
		time.Sleep(latency)
		if !target.thaw() {
			return nil
		}
		r, err := serve(ctx, target)
		if target.thaw() && !w.isCut(string(to), string(from.name)) {
			time.Sleep(latency)
			answers <- answer{r, err}
		}
		return nil
	})
	select {
	case a := <-answers:
		if !from.thaw() {
			return none, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: errLost}
		}
		return a.r, a.err
	case <-ctx.Done():
		return none, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: ctx.Err()}
	case <-broken:
		return none, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: errLost}
	case <-w.ctx.Done():
		return none, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: errLost}
	}
}

func (w *world) takesReset(r unit.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	takes := w.reset && r == w.watched
	w.reset = w.reset && !takes
	return takes
}

// idleTimeout is after how long a connection to a silent instance breaks.
const idleTimeout = 2 * time.Second

// breaks returns a channel that is closed once the connection to an instance
// breaks, since it died or was silent for long.
func (w *world) breaks(ctx context.Context, target *node) <-chan struct{} {
	broken := make(chan struct{})
	w.group.Go(func() error {
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
type wire struct{ n *node }

// Start implements UpstreamClient.
func (x wire) Start(ctx context.Context, address string, o dispatcher.StartOrder) (dispatcher.StartReply, error) {
	w := x.n.w
	w.reached(startSent, o.Request)
	if !x.n.thaw() {
		return nil, errLost
	}
	u := w.ups[unit.Upstream(address)]
	if u.isDead() || w.isCut(string(x.n.name), address) {
		return w.flaw.reply(nil, &dispatcher.NotSentError{Task: o.Task, Cause: errLost})
	}
	if w.takesReset(o.Request) {
		w.group.Go(func() error {
			u.start(o)
			return nil
		})
		time.Sleep(50 * latency)
		return w.flaw.reply(nil, errLost)
	}
	replies := make(chan dispatcher.StartReply, 2)
	for range u.copies(o.Request) {
		w.group.Go(func() error {
			time.Sleep(latency + u.delay(o.Request))
			if reply := u.start(o); reply != nil {
				w.reached(answerSent, o.Request)
				if !w.isCut(address, string(x.n.name)) && !u.isDead() {
					replies <- reply
				}
			}
			return nil
		})
	}
	select {
	case reply := <-replies:
		w.reached(answerReceived, o.Request)
		if !x.n.thaw() {
			return nil, errLost
		}
		return w.flaw.reply(reply, nil)
	case <-ctx.Done():
		return w.flaw.reply(nil, ctx.Err())
	case <-w.ctx.Done():
		return nil, errLost
	}
}

// Stop implements UpstreamClient.
func (x wire) Stop(_ context.Context, address string, o dispatcher.StopOrder) error {
	u := x.n.w.ups[unit.Upstream(address)]
	if !x.n.isUp() || u.isDead() || x.n.w.isCut(string(x.n.name), address) {
		return errLost
	}
	u.stop(o)
	return nil
}
