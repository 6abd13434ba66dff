package elector

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

func instances(n ...unit.Instance) []unit.Instance { return n }

// testFleet is a log and a mesh in memory.
type testFleet struct {
	mu       sync.Mutex
	state    *registrar.Registrar
	index    replicator.Index
	electors map[unit.Instance]*Elector
	// changed receives a value after each applied command.
	changed chan struct{}
}

func (f *testFleet) propose(_ context.Context, c registrar.Command) (registrar.Result, error) {
	f.mu.Lock()
	f.index++
	data := f.state.Apply(f.index, registrar.EncodeCommand(c))
	f.mu.Unlock()
	return registrar.DecodeResult(data)
}

// testMesh is the mesh of one instance.
type testMesh struct {
	fleet *testFleet
	self  unit.Instance
}

func (p testMesh) Call(ctx context.Context, to unit.Instance, m instance.Method, body []byte) ([]byte, error) {
	e := p.fleet.electors[to]
	if e == nil {
		return nil, &instance.CallError{Peer: to, Cause: errors.New("no such instance")}
	}
	return e.Handlers()[m](ctx, p.self, body)
}

func (f *testFleet) addElector(self unit.Instance, peers ...unit.Instance) *Elector {
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	e := New(Config{
		Instance: self, AvailabilityZone: testZone, Peers: peers, State: f.state,
		Call: testMesh{f, self}, LogLeader: func() unit.Instance { return "i0" },
		Propose: f.propose, ProposeLocal: f.propose,
		LeaderSince: func() (clock.Millis, bool) { return 1, self == "i0" },
		ZoneLease:   200 * clock.Millisecond, Logger: logger, Metrics: tally.NoopScope,
	})
	f.electors[self] = e
	return e
}

// TestTakeAndRelease checks that one instance takes the zone, and that the other
// one takes over after the first has released it.
func TestTakeAndRelease(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	f := &testFleet{state: registrar.New(), electors: map[unit.Instance]*Elector{}, changed: make(chan struct{}, 100)}
	f.state.Subscribe(func(replicator.Index) { f.changed <- struct{}{} })
	electors := map[unit.Instance]*Elector{"i0": f.addElector("i0", "i1"), "i1": f.addElector("i1", "i0")}
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	for _, e := range electors {
		g.Go(func() error { return e.Run(ctx) })
	}
	<-f.changed
	first := f.state.Zone(testZone)
	is.Equal(first.Epoch, unit.Epoch(1))

	is.NoErr(electors[first.Holder].Release(ctx))
	_, ok := electors[first.Holder].HoldsLease(clock.Clock{}.Now())
	is.True(!ok) // the first holder starts no more tasks
	for f.state.Zone(testZone).Epoch < 2 {
		<-f.changed
	}
	second := f.state.Zone(testZone)
	is.True(second.Holder != first.Holder) // the other instance took over
	cancel()
	is.NoErr(g.Wait())
}
