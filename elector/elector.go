// Package elector decides which instance schedules an availability zone.
//
// The replicated log hands out an epoch for each zone. Its holder may start
// work while it has a fresh lease from the log's leader, or while every other
// entry instance of its zone has promised within the last lease time not to
// take the zone over. A successor takes the zone only after the holder's lease
// has lapsed, and only if it has no promise outstanding.
//
// The holder counts a lease or promise from when it sent the request, the
// granter from when it answered, and adds an allowance for clock drift: the
// holder's view ends first.
//
// Machine and Granter are deterministic state machines, for the two sides.
// Elector drives both over the mesh.
package elector

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// Config of an Elector.
type Config struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	// Peers are the other entry instances of the zone. All of them must be
	// named: one that isn't asked for a promise can take the zone at any time.
	Peers []unit.Instance
	Clock clock.Clock
	State *registrar.Registrar
	Call  instance.Caller
	// LogLeader returns the log's leader; empty when none is known.
	LogLeader func() unit.Instance
	// Propose commits a command wherever the log's leader is.
	Propose func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	// ProposeLocal commits a command if this instance leads the log, and must
	// never pass it on to another leader: that one may have renewed the lease
	// that this one saw lapse. It is nil on an instance without a vote.
	ProposeLocal func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	// LeaderSince reports since when this instance leads the log. It is ok only with
	// a valid leader lease and once everything committed before is applied. It
	// is nil on an instance without a vote.
	LeaderSince func() (since clock.Millis, ok bool)
	ZoneLease   clock.Millis
	Logger      logrus.FieldLogger
	Metrics     tally.Scope
}

// Elector takes an instance's part in choosing the scheduler of its zone, and
// serves the granter's side if the instance leads the log.
type Elector struct {
	c Config
	// mu guards machine and the calls in progress.
	mu      sync.Mutex
	machine *Machine
	calling map[call]bool
	wake    chan struct{}

	grantMu sync.Mutex
	granter *Granter
}

// call is one kind of call to one instance. There is at most one at a time, so
// that a hanging instance doesn't pile calls up.
type call struct {
	to     unit.Instance
	method instance.Method
}

// New returns an Elector; Run starts it. It must be made before the log is
// started, since it watches the state.
func New(c Config) *Elector {
	e := &Elector{
		c:       c,
		machine: NewMachine(c.Instance, c.AvailabilityZone, c.Peers, c.ZoneLease, c.Clock.Now()),
		calling: map[call]bool{},
		wake:    make(chan struct{}, 1),
		granter: NewGranter(c.Instance, c.ZoneLease),
	}
	c.State.Subscribe(func(replicator.Index) { e.observe() })
	e.observe()
	return e
}

// observe gives the machine what the log says of the zone.
func (e *Elector) observe() {
	z := e.c.State.Zone(e.c.AvailabilityZone)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.Observe(z)
}

// HoldsLease reports whether this instance may start work in its zone at now,
// and under which epoch.
func (e *Elector) HoldsLease(now clock.Millis) (unit.Epoch, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.HoldsLease(now)
}

// Holder returns who holds the zone, as far as this instance knows.
func (e *Elector) Holder() registrar.Zone {
	return e.c.State.Zone(e.c.AvailabilityZone)
}

// SetUpstreams sets the upstreams that this holder wants to start work on, and
// whether nothing of an earlier epoch runs elsewhere.
func (e *Elector) SetUpstreams(epoch unit.Epoch, upstreams []unit.Upstream, whole bool) {
	e.mu.Lock()
	changed := e.machine.SetUpstreams(epoch, upstreams, whole)
	e.mu.Unlock()
	if changed {
		e.wakeUp()
	}
}

// IsUpstreamConfirmed reports whether a successor would surely learn that work may run
// on an upstream. Work is started only there.
func (e *Elector) IsUpstreamConfirmed(epoch unit.Epoch, u unit.Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.IsUpstreamConfirmed(epoch, u)
}

// PriorUpstreams returns the upstreams that earlier schedulers' work can run on.
// known is false if there may be others.
func (e *Elector) PriorUpstreams(epoch unit.Epoch) (upstreams []unit.Upstream, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	from := e.machine.PriorUpstreams(epoch)
	return from.Upstreams, from.Known
}

func (e *Elector) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run takes part until the context ends.
func (e *Elector) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		e.loop(ctx, g)
		return nil
	})
	return g.Wait()
}

// Release hands the zone over on shutdown: this instance starts nothing more,
// and the log's leader and the peers are told, so that a successor needn't
// wait for the lease to lapse.
func (e *Elector) Release(ctx context.Context) error {
	e.mu.Lock()
	r, held := e.machine.Release()
	e.mu.Unlock()
	if !held {
		return nil
	}
	var g errgroup.Group
	for _, to := range append([]unit.Instance{e.c.LogLeader()}, e.c.Peers...) {
		g.Go(func() error {
			_, err := ask[struct{}](ctx, e, to, MethodRelease, r)
			return err
		})
	}
	return errors.Wrap(g.Wait(), "handing the zone over")
}
