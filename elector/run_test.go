package elector

import (
	"context"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// TestTakeIsNotCancelledWhenItsAskEnds checks that the context of a Take outlives
// the Ask call that led to it. The log commits the Take only after the Ask call
// has ended.
func TestTakeIsNotCancelledWhenItsAskEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	state := registrar.New()
	proposed := make(chan error, 1)
	var e *Elector
	askEnded := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.callsInProgress[call{"i0", MethodAsk}]
	}
	e = New(Config{
		Instance: "i0", AvailabilityZone: testZone, State: state, ZoneLease: clock.Hour,
		LogLeader:   func() unit.Instance { return "i0" },
		LeaderSince: func() (clock.Millis, bool) { return 1, true },
		ProposeLocal: func(ctx context.Context, c registrar.Command) (registrar.Result, error) {
			for !askEnded() {
				runtime.Gosched()
			}
			proposed <- ctx.Err()
			return registrar.DecodeResult(state.Apply(1, registrar.EncodeCommand(c)))
		},
		Logger: logrus.New(), Metrics: tally.NoopScope,
	})
	// A start time in the past makes the first poll due at once.
	e.machine = NewMachine("i0", testZone, nil, clock.Hour, -clock.Day)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return e.Run(ctx) })
	is.NoErr(<-proposed)
	cancel()
	is.NoErr(g.Wait())
}
