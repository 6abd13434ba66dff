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

// fleet is instances whose log can be cut off. They share one ring, as copies
// that follow the log at once would.
type fleet struct {
	ring  authenticator.Ring
	cut   atomic.Bool
	auths map[unit.Instance]*authenticator.Authenticator
	all   map[unit.Instance]*withdrawer.Withdrawer
	told  chan unit.Instance
}

func (f *fleet) Call(ctx context.Context, to unit.Instance, _ instance.Method, body []byte) ([]byte, error) {
	answer, err := f.all[to].Handle(ctx, "", body)
	select {
	case f.told <- to:
	default:
	}
	return answer, err
}

func (f *fleet) propose(_ context.Context, c registrar.Command) (registrar.Result, error) {
	if f.cut.Load() {
		return nil, errors.New("no voter took the command")
	}
	f.ring.Withdraw(c.(registrar.WithdrawKey).Key, 0)
	return registrar.KeyWithdrawn{}, nil
}

func newFleet() *fleet {
	f := &fleet{
		auths: map[unit.Instance]*authenticator.Authenticator{},
		all:   map[unit.Instance]*withdrawer.Withdrawer{},
		told:  make(chan unit.Instance, 1),
	}
	for _, id := range []unit.Instance{"a1", "a2"} {
		f.auths[id] = authenticator.New(authenticator.Config{
			Keys: &f.ring, Freshness: clock.Minute, FreshAt: clock.Clock{}.Now,
		})
		peer := map[unit.Instance]unit.Instance{"a1": "a2", "a2": "a1"}[id]
		f.all[id] = withdrawer.New(withdrawer.Config{
			Keys: f.auths[id], Propose: f.propose, Call: f, Peers: []unit.Instance{peer}, Logger: logrus.New(),
		})
	}
	return f
}

func TestWithdrawalDuringACutReachesPeersAndThenTheLog(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	f := newFleet()
	is.NoErr(f.ring.Grant(authenticator.Key{ID: key, Account: "web"}))
	f.cut.Store(true)
	is.True(!f.all["a1"].Withdraw(context.Background(), key, "ana"))
	_, refusal := f.auths["a1"].CheckID(key)
	is.Equal(refusal, authenticator.Refused) // at once, where it was taken

	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.all["a1"].Run(ctx) })
	<-f.told
	cancel()
	is.NoErr(g.Wait())
	_, refusal = f.auths["a2"].CheckID(key)
	is.Equal(refusal, authenticator.Refused) // the peer heard of it without the log

	f.cut.Store(false)
	is.True(f.all["a2"].Withdraw(context.Background(), key, ""))
	is.Equal(len(f.auths["a1"].Pending()), 0)
	got, _ := f.ring.Key(key)
	is.True(got.Withdrawn)
}
