package instance_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/e2e/relay"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/unit"
)

// giveUp is the deadline of calls that a cut keeps from being answered.
const giveUp = 300 * time.Millisecond

// ledger is what a peer's handler was given, as the outside observer sees it.
type ledger struct {
	mu  sync.Mutex
	got map[uint64]int
}

func (l *ledger) handle(_ context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.got[binary.BigEndian.Uint64(body)]++
	return body[:8], nil
}

func (l *ledger) count(id uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.got[id]
}

// body returns the body of call id.
func body(id uint64, size int) []byte {
	b := make([]byte, max(size, 8))
	binary.BigEndian.PutUint64(b, id)
	return b
}

// pair is two meshes with a relay from a to b, and what b was given.
type pair struct {
	a, b   *instance.Mesh
	relay  *relay.Relay
	ledger *ledger
}

func newPair(t testing.TB) pair {
	t.Helper()
	ca := authority(t)
	p := pair{ledger: &ledger{got: map[uint64]int{}}}
	p.b = start(t, credentials(t, ca, "b"), "b", map[unit.Instance]string{"a": loopback}, map[instance.Method]instance.Handler{"Count": p.ledger.handle})
	r, err := relay.New(p.b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	p.relay = r
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	p.a = start(t, credentials(t, ca, "a"), "a", map[unit.Instance]string{"b": r.Addr()}, nil)
	return p
}

func (p pair) call(id uint64, size int, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	answer, err := p.a.Call(ctx, "b", "Count", body(id, size))
	if err == nil && binary.BigEndian.Uint64(answer) != id {
		return errors.Newf("call %d got the answer of call %d", id, binary.BigEndian.Uint64(answer))
	}
	return err
}

func TestDeliveredIsTrue(t *testing.T) {
	// beyondWindow is more than the connection takes before the peer has read
	// any of it, so the end of such a call isn't sent into a cut.
	const beyondWindow = 4 << 20
	tests := map[string]struct {
		connected bool
		cut       func(*relay.Relay)
		size      int
		delivered bool
		received  int
	}{
		"cut before the first connection": {cut: (*relay.Relay).Cut},
		"cut, whole call handed over":     {connected: true, cut: (*relay.Relay).Cut, delivered: true},
		"cut in the middle of a call":     {connected: true, cut: (*relay.Relay).Cut, size: beyondWindow},
		"one-way cut, answer lost":        {connected: true, cut: (*relay.Relay).CutToClients, delivered: true, received: 1},
		"one-way cut, nothing arrives":    {connected: true, cut: (*relay.Relay).CutToTarget, size: beyondWindow},
		"one-way cut, a part arrives":     {connected: true, cut: (*relay.Relay).CutToClients, size: beyondWindow},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			if test.connected {
				is.NoErr(p.call(1, 0, patience))
			}
			test.cut(p.relay)
			err := p.call(2, test.size, giveUp)
			is.Equal(isDelivered(t, err), test.delivered)
			p.relay.Heal()
			// A call that b gets after the cut shows that nothing older is under
			// way any more.
			eventually(t, func() error { return p.call(3, 0, patience) })
			is.NoErr(p.a.Close())
			is.NoErr(p.b.Close())
			if !test.delivered || test.received > 0 {
				is.Equal(p.ledger.count(2), test.received)
			}
		})
	}
}

// TestDeliveredIsTrueUnderManyCuts cuts and heals at random while calls of all
// sizes run.
func TestDeliveredIsTrueUnderManyCuts(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	is.NoErr(p.call(0, 0, patience))
	random := rand.New(rand.NewPCG(1, 1))
	const rounds, calls = 8, 24
	errs := make([]error, rounds*calls)
	for round := range rounds {
		var group errgroup.Group
		for i := range calls {
			id := round*calls + i
			size := 1 << random.IntN(23)
			group.Go(func() error {
				errs[id] = p.call(uint64(id)+1, size, giveUp)
				return nil
			})
		}
		cut := []func(){p.relay.Cut, p.relay.CutToTarget, p.relay.CutToClients}[random.IntN(3)]
		cut()
		is.NoErr(group.Wait())
		p.relay.Heal()
	}
	is.NoErr(p.a.Close())
	is.NoErr(p.b.Close())
	tally := map[string]int{}
	for i, err := range errs {
		count := p.ledger.count(uint64(i) + 1)
		switch {
		case err == nil:
			is.Equal(count, 1)
			tally["answered"]++
		case isDelivered(t, err):
			is.True(count <= 1)
			tally["delivered or not"]++
		default:
			is.Equal(count, 0)
			tally["not delivered"]++
		}
	}
	t.Log(tally)
	is.True(tally["not delivered"] > 0)
}

func TestNotesKeepTheirOrder(t *testing.T) {
	is := is.New(t)
	ca := authority(t)
	const notes = 500
	got := make(chan string, notes)
	b := start(t, credentials(t, ca, "b"), "b", map[unit.Instance]string{"a": loopback}, map[instance.Method]instance.Handler{
		"Note": func(_ context.Context, _ unit.Instance, body []byte) ([]byte, error) {
			got <- string(body)
			return nil, nil
		},
		"Echo": echo,
	})
	a := start(t, credentials(t, ca, "a"), "a", map[unit.Instance]string{"b": b.Addr()}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := a.Call(ctx, "b", "Echo", nil)
	is.NoErr(err)
	for i := range notes {
		a.Send("b", "Note", fmt.Append(nil, i))
	}
	for i := range notes {
		select {
		case n := <-got:
			is.Equal(n, fmt.Sprint(i))
		case <-ctx.Done():
			t.Fatal("notes are missing")
		}
	}
}

// TestSendNeverBlocks sends more than a queue holds to a peer that isn't
// there.
func TestSendNeverBlocks(t *testing.T) {
	is := is.New(t)
	a := start(t, credentials(t, authority(t), "a"), "a", map[unit.Instance]string{"b": "127.0.0.1:1"}, nil)
	large := make([]byte, instance.MaxBody)
	for range 5000 {
		a.Send("b", "Note", large)
	}
	is.Equal(a.Reachable(), map[unit.Instance]bool{"b": false})
}

// TestPeerComesBack restarts a peer at its address.
func TestPeerComesBack(t *testing.T) {
	is := is.New(t)
	ca := authority(t)
	handlers := map[instance.Method]instance.Handler{"Echo": echo}
	cfg := instance.Config{Self: "b", ListenAddress: loopback, Credentials: credentials(t, ca, "b"), Peers: map[unit.Instance]string{"a": loopback}}
	b := startWith(t, cfg, handlers)
	cfg.ListenAddress = b.Addr()
	a := start(t, credentials(t, ca, "a"), "a", map[unit.Instance]string{"b": b.Addr()}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := a.Call(ctx, "b", "Echo", nil)
	is.NoErr(err)
	is.NoErr(b.Close())
	startWith(t, cfg, handlers)
	eventually(t, func() error {
		_, err := a.Call(ctx, "b", "Echo", nil)
		return err
	})
}
