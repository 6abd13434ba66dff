// Package elector decides which instance schedules an availability zone.
//
// The replicated log assigns each zone to a holder, under an epoch that increases
// with every takeover. The holder may start tasks while it holds a lease from the
// log's leader, or while every other entry instance of its zone has promised
// within the last lease duration not to take over the zone. A successor takes
// over only after the holder's lease has expired, and only if no promise binds
// the successor.
//
// The holder counts a lease or promise from when it sent the request. The
// granter counts it from when it answered and adds an allowance for clock drift.
// So a lease or promise ends at the holder before it ends at the granter.
//
// Machine is the state machine of an instance that holds or wants the lease of
// its zone; Granter is the one of the log's leader. Both are deterministic.
// Elector drives them over the mesh.
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

// Config configures an Elector.
type Config struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	// Peers are the other entry instances of the zone. The list must be
	// complete: an instance that isn't asked for a promise can take over the
	// zone while the holder relies on promises.
	Peers []unit.Instance
	Clock clock.Clock
	State *registrar.Registrar
	Call  instance.Caller
	// LogLeader returns the log's leader; empty if none is known.
	LogLeader func() unit.Instance
	// Propose commits a command, through the log's leader if that is another
	// instance.
	Propose func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	// ProposeLocal commits a command if this instance leads the log. It must
	// not forward the command to another leader, which may have renewed the
	// lease that has expired here. It is nil on an instance without a vote.
	ProposeLocal func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	// LeaderSince returns when this instance became the log's leader. ok is
	// true only with a valid leader lease, and after every earlier commit has
	// been applied. It is nil on an instance without a vote.
	LeaderSince func() (since clock.Millis, ok bool)
	// ZoneLease is the duration of a zone's lease and of a promise.
	ZoneLease clock.Millis
	Logger    logrus.FieldLogger
	Metrics   tally.Scope
}

// Elector competes for the lease of this instance's zone, and grants the leases
// of all zones while this instance leads the log.
type Elector struct {
	config Config
	// mu guards machine and callsInProgress.
	mu              sync.Mutex
	machine         *Machine
	callsInProgress map[call]bool
	wake            chan struct{}

	grantMu sync.Mutex
	granter *Granter
}

// call identifies a kind of call to an instance. At most one of each is in
// progress, so that calls to an unresponsive instance don't accumulate.
type call struct {
	to     unit.Instance
	method instance.Method
}

// New returns an Elector; Run starts it. It must be called before the log is
// started, since it subscribes to the state.
func New(c Config) *Elector {
	e := &Elector{
		config:          c,
		machine:         NewMachine(c.Instance, c.AvailabilityZone, c.Peers, c.ZoneLease, c.Clock.Now()),
		callsInProgress: map[call]bool{},
		wake:            make(chan struct{}, 1),
		granter:         NewGranter(c.Instance, c.ZoneLease),
	}
	c.State.Subscribe(func(replicator.Index) { e.observeZone() })
	e.observeZone()
	return e
}

// observeZone passes the zone's entry in the replicated state to the machine.
func (e *Elector) observeZone() {
	zone := e.config.State.Zone(e.config.AvailabilityZone)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.Observe(zone)
}

// HoldsLease reports whether this instance may start tasks in its zone at now,
// and returns the epoch.
func (e *Elector) HoldsLease(now clock.Millis) (unit.Epoch, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.HoldsLease(now)
}

// Holder returns the holder of the zone in this instance's copy of the state,
// which may be outdated.
func (e *Elector) Holder() registrar.Zone {
	return e.config.State.Zone(e.config.AvailabilityZone)
}

// SetUpstreams sets the upstreams on which this holder wants to start tasks.
// complete means that no task of an earlier epoch runs on any other upstream.
func (e *Elector) SetUpstreams(epoch unit.Epoch, upstreams []unit.Upstream, complete bool) {
	e.mu.Lock()
	changed := e.machine.SetUpstreams(epoch, upstreams, complete)
	e.mu.Unlock()
	if changed {
		e.wakeUp()
	}
}

// IsUpstreamConfirmed reports whether a successor is certain to learn that tasks
// may run on an upstream. Tasks may start only on confirmed upstreams.
func (e *Elector) IsUpstreamConfirmed(epoch unit.Epoch, u unit.Upstream) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.IsUpstreamConfirmed(epoch, u)
}

// PriorUpstreams returns the upstreams on which tasks of earlier schedulers may
// run. complete is false if such tasks may also run on unlisted upstreams.
func (e *Elector) PriorUpstreams(epoch unit.Epoch) (upstreams []unit.Upstream, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prior := e.machine.PriorUpstreams(epoch)
	return prior.Upstreams, prior.Complete
}

func (e *Elector) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run competes for the zone until the context ends.
func (e *Elector) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		e.loop(ctx, g)
		return nil
	})
	return g.Wait()
}

// Release releases the zone's lease on shutdown. This instance starts no more
// tasks, and it notifies the log's leader and the peers, so that a successor
// needn't wait for the lease to expire.
func (e *Elector) Release(ctx context.Context) error {
	e.mu.Lock()
	release, held := e.machine.Release()
	e.mu.Unlock()
	if !held {
		return nil
	}
	var g errgroup.Group
	for _, to := range append([]unit.Instance{e.config.LogLeader()}, e.config.Peers...) {
		g.Go(func() error {
			_, err := callPeer[struct{}](ctx, e, to, MethodRelease, release)
			return err
		})
	}
	return errors.Wrap(g.Wait(), "release the lease of the availability zone")
}
