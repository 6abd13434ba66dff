package elector

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Config of an Elector.
type Config struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	// Peers are the other entry instances of the zone.
	Peers []unit.Instance
	Clock clock.Clock
	State *registrar.Registrar
	Call  instance.Caller
	// Leader returns the log's leader; empty when none is known.
	Leader  func() unit.Instance
	Propose func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	Lease   clock.Millis
	// Lead reports since when this instance leads the log. It is ok only with
	// a valid leader lease and once everything committed before is applied.
	Lead    func() (since clock.Millis, ok bool)
	Logger  logrus.FieldLogger
	Metrics tally.Scope
}

// Elector keeps one instance's part in choosing the scheduler of its zone.
type Elector struct {
	c  Config
	mu sync.Mutex
	e  unit.Epoch
}

// New returns an Elector; Run starts it.
func New(c Config) *Elector { return &Elector{c: c} }

// Run takes part until the context ends.
func (e *Elector) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// MayStart reports whether this instance may start work in its zone at now,
// and under which epoch.
func (e *Elector) MayStart(_ clock.Millis) (unit.Epoch, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.e, e.e > 0
}

// Holder returns who holds the zone, as far as this instance knows.
func (e *Elector) Holder() registrar.Zone { return e.c.State.Zone(e.c.AvailabilityZone) }

// Release hands the zone over on shutdown.
func (e *Elector) Release(_ context.Context) error { return nil }

// Handlers returns the mesh methods that this instance serves.
func (e *Elector) Handlers() map[instance.Method]instance.Handler {
	return map[instance.Method]instance.Handler{}
}
