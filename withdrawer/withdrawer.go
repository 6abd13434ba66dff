// Package withdrawer withdraws keys on all instances, also on those that can't
// reach the log.
//
// Any instance accepts a withdrawal. It refuses the key at once, sends the
// withdrawal to every peer that it can reach, and proposes it to the log. Each
// peer that receives a withdrawal does the same, until the withdrawal is committed.
// Withdrawals form a set that only grows, so the order and the number of the
// messages don't matter. An instance that receives no message refuses all keys once
// its copy of the ring is too old (see package authenticator).
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

// Method is the mesh method that sends withdrawn key ids to a peer.
const Method instance.Method = "keys.withdraw"

const (
	// retryInterval is the time between two rounds of messages and proposals
	// while a withdrawal is not committed.
	retryInterval = 500 * clock.Millisecond
	// sendTimeout limits one message to one peer.
	sendTimeout = 400 * clock.Millisecond
	// proposeTimeout limits the proposals of one call of Withdraw or of one round.
	proposeTimeout = 2 * clock.Second
	// maxKeysPerMessage is the maximum number of ids in one message.
	maxKeysPerMessage = 10000
)

// Config configures a Withdrawer.
type Config struct {
	// Keys holds the pending withdrawals of this instance.
	Keys *authenticator.Authenticator
	// Propose commits a command to the log and returns its result.
	Propose func(ctx context.Context, c registrar.Command) (registrar.Result, error)
	Call    instance.Caller
	// Peers are the other instances.
	Peers  []unit.Instance
	Clock  clock.Clock
	Logger logrus.FieldLogger
}

// Withdrawer sends and proposes withdrawals until the log contains them. It is safe
// for concurrent use.
type Withdrawer struct {
	config Config
	// wake makes Run start a round before the interval ends.
	wake chan struct{}
}

// New returns a Withdrawer. The caller must call Run, which sends the withdrawals.
func New(c Config) *Withdrawer {
	return &Withdrawer{config: c, wake: make(chan struct{}, 1)}
}

// Withdraw makes this instance refuse a key at once and proposes the withdrawal to
// the log. It reports whether the withdrawal is known to be committed; if not, Run
// continues to propose it.
func (w *Withdrawer) Withdraw(ctx context.Context, id authenticator.KeyID, operator string) bool {
	w.config.Keys.Withdraw(id)
	w.wakeRun()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout.Duration())
	defer cancel()
	return w.propose(ctx, id, operator)
}

// Run sends and proposes pending withdrawals until the context ends.
func (w *Withdrawer) Run(ctx context.Context) error {
	ticker := time.NewTicker(retryInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-w.wake:
		}
		if pending := w.config.Keys.Pending(); len(pending) > 0 {
			w.sendAndPropose(ctx, pending)
		}
	}
}

// Handle serves Method: it withdraws the received key ids on this instance.
func (w *Withdrawer) Handle(_ context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	var ids []authenticator.KeyID
	if err := encoder.Unmarshal(body, &ids); err != nil {
		return nil, err
	}
	w.config.Keys.Withdraw(ids...)
	return nil, nil
}

// sendAndPropose sends the pending withdrawals to every peer and concurrently
// proposes them, so that an unreachable log doesn't delay the messages.
func (w *Withdrawer) sendAndPropose(ctx context.Context, pending []authenticator.KeyID) {
	var g errgroup.Group
	body := encoder.Marshal(pending[:min(len(pending), maxKeysPerMessage)])
	for _, peer := range w.config.Peers {
		g.Go(func() error { return w.sendTo(ctx, peer, body) })
	}
	g.Go(func() error {
		w.proposeAll(ctx, pending)
		return nil
	})
	if err := g.Wait(); err != nil {
		w.config.Logger.WithError(err).Debug("sending withdrawn keys to a peer failed; retrying")
	}
}

func (w *Withdrawer) sendTo(ctx context.Context, peer unit.Instance, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout.Duration())
	defer cancel()
	_, err := w.config.Call.Call(ctx, peer, Method, body)
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
	_, err := w.config.Propose(ctx, registrar.WithdrawKey{Key: id, Operator: operator, At: w.config.Clock.Now()})
	if err != nil {
		w.config.Logger.WithError(err).WithField("Key", id).Warn("committing the withdrawal of a key failed; retrying")
	}
	return err == nil
}

// wakeRun makes Run start a round at once. It doesn't block.
func (w *Withdrawer) wakeRun() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
