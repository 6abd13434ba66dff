// Package withdrawer makes a withdrawn key stop everywhere, also where the
// log can't be reached.
//
// A withdrawal may be taken at any instance. That instance stops the key at
// once, tells every instance it can reach, and proposes the withdrawal to the
// log; whoever hears of it does the same until the log holds it. Withdrawals
// are a union, so the order and number of the messages don't matter. An
// instance that hears nothing stops honouring keys when its copy of the ring
// is too old (see authenticator).
package withdrawer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
)

// Method is the mesh method that tells of withdrawals.
const Method instance.Method = "keys.withdraw"

const (
	// interval is the time between rounds while a withdrawal is not in the log.
	interval = 500 * clock.Millisecond
	// tellTimeout bounds one message to one instance.
	tellTimeout = 400 * clock.Millisecond
	// proposeTimeout bounds one attempt to reach the log.
	proposeTimeout = 2 * clock.Second
	// maxTold bounds the ids in one message.
	maxTold = 10000
)

// Config of a Withdrawer.
type Config struct {
	Keys    *authenticator.Authenticator
	Propose func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	Call    instance.Caller
	// Peers are the other instances.
	Peers  []unit.Instance
	Clock  clock.Clock
	Logger logrus.FieldLogger
}

// Withdrawer spreads withdrawals until the log holds them.
type Withdrawer struct {
	c    Config
	wake chan struct{}
}

// New returns a Withdrawer; Run starts it.
func New(c Config) *Withdrawer {
	return &Withdrawer{c: c, wake: make(chan struct{}, 1)}
}

// Withdraw stops a key on this instance at once and tries to bring the
// withdrawal into the log. It reports whether the log holds it; if not, Run
// goes on trying.
func (w *Withdrawer) Withdraw(ctx context.Context, id authenticator.KeyID, operator string) bool {
	w.c.Keys.Withdraw(id)
	w.nudge()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	return w.propose(ctx, id, operator)
}

// Run spreads pending withdrawals until the context ends.
func (w *Withdrawer) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-w.wake:
		}
		if pending := w.c.Keys.Pending(); len(pending) > 0 {
			w.round(ctx, pending)
		}
	}
}

// Handle serves Method.
func (w *Withdrawer) Handle(_ context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	var ids []authenticator.KeyID
	if err := encoder.Unmarshal(body, &ids); err != nil {
		return nil, err
	}
	w.c.Keys.Withdraw(ids...)
	return nil, nil
}

// round tells every peer of the pending withdrawals and proposes them, side by
// side, so that an unreachable log doesn't delay the peers.
func (w *Withdrawer) round(ctx context.Context, pending []authenticator.KeyID) {
	var g errgroup.Group
	body := encoder.Marshal(pending[:min(len(pending), maxTold)])
	for _, peer := range w.c.Peers {
		g.Go(func() error { return w.tell(ctx, peer, body) })
	}
	g.Go(func() error {
		w.proposeAll(ctx, pending)
		return nil
	})
	if err := g.Wait(); err != nil {
		w.c.Logger.WithError(err).Debug("a peer was not told of withdrawn keys; trying again")
	}
}

func (w *Withdrawer) tell(ctx context.Context, peer unit.Instance, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout.Duration())
	defer cancel()
	_, err := w.c.Call.Call(ctx, peer, Method, body)
	return err
}

func (w *Withdrawer) proposeAll(ctx context.Context, pending []authenticator.KeyID) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	for _, id := range pending {
		if !w.propose(ctx, id, "") {
			return
		}
	}
}

func (w *Withdrawer) propose(ctx context.Context, id authenticator.KeyID, operator string) bool {
	_, err := w.c.Propose(ctx, registrar.WithdrawKey{Key: id, Operator: operator, At: w.c.Clock.Now()})
	if err != nil {
		w.c.Logger.WithError(err).WithField("Key", id).Warn("a withdrawn key is not in the log yet")
	}
	return err == nil
}

func (w *Withdrawer) nudge() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
