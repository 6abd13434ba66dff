package withdrawer_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/unit"
	"github.com/chervilvane/chervilvane/withdrawer"
)

const key authenticator.KeyID = "0123456789abcdef"

// fleet consists of two instances and a log that can be made unreachable. The
// instances share one ring, as if each commit reached their copies at once.
type fleet struct {
	ring           authenticator.Ring
	logUnreachable atomic.Bool
	authenticators map[unit.Instance]*authenticator.Authenticator
	withdrawers    map[unit.Instance]*withdrawer.Withdrawer
	// received gets the instance that handled a message.
	received chan unit.Instance
}

func (f *fleet) Call(ctx context.Context, to unit.Instance, _ instance.Method, body []byte) ([]byte, error) {
	answer, err := f.withdrawers[to].Handle(ctx, "", body)
	select {
	case f.received <- to:
	default:
	}
	return answer, err
}

func (f *fleet) propose(_ context.Context, c registrar.Command) (registrar.Result, error) {
	if f.logUnreachable.Load() {
		return nil, errors.New("no voter took the command")
	}
	f.ring.Withdraw(c.(registrar.WithdrawKey).Key, 0)
	return registrar.KeyWithdrawn{}, nil
}

func newFleet() *fleet {
	f := &fleet{
		authenticators: map[unit.Instance]*authenticator.Authenticator{},
		withdrawers:    map[unit.Instance]*withdrawer.Withdrawer{},
		received:       make(chan unit.Instance, 1),
	}
	for _, id := range []unit.Instance{"a1", "a2"} {
		f.authenticators[id] = authenticator.New(authenticator.Config{
			Keys: &f.ring, Freshness: clock.Minute, FreshAt: clock.Clock{}.Now,
		})
		peer := map[unit.Instance]unit.Instance{"a1": "a2", "a2": "a1"}[id]
		f.withdrawers[id] = withdrawer.New(withdrawer.Config{
			Keys: f.authenticators[id], Propose: f.propose, Call: f, Peers: []unit.Instance{peer}, Logger: logrus.New(),
		})
	}
	return f
}

func TestWithdrawalDuringPartitionReachesPeersAndThenTheLog(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	f := newFleet()
	is.NoErr(f.ring.Grant(authenticator.Key{ID: key, Account: "web"}))
	f.logUnreachable.Store(true)
	is.True(!f.withdrawers["a1"].Withdraw(context.Background(), key, "ana"))
	_, verdict := f.authenticators["a1"].CheckID(key)
	is.Equal(verdict, authenticator.Refused) // at once on the instance that accepted it

	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.withdrawers["a1"].Run(ctx) })
	<-f.received
	cancel()
	is.NoErr(g.Wait())
	_, verdict = f.authenticators["a2"].CheckID(key)
	is.Equal(verdict, authenticator.Refused) // the peer received it without the log

	f.logUnreachable.Store(false)
	is.True(f.withdrawers["a2"].Withdraw(context.Background(), key, ""))
	is.Equal(len(f.authenticators["a1"].Pending()), 0)
	got, _ := f.ring.Key(key)
	is.True(got.Withdrawn)
}
