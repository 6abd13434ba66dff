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

// partitionCallTimeout is the timeout of calls that get no reply because of a
// network partition.
const partitionCallTimeout = 300 * time.Millisecond

// callCounter is a handler that counts the received calls by their id.
type callCounter struct {
	mu     sync.Mutex
	counts map[uint64]int
}

func (c *callCounter) handle(_ context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[binary.BigEndian.Uint64(body)]++
	return body[:8], nil
}

func (c *callCounter) count(id uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[id]
}

// body returns the body of the call with an id, of at least 8 bytes.
func body(id uint64, size int) []byte {
	b := make([]byte, max(size, 8))
	binary.BigEndian.PutUint64(b, id)
	return b
}

// pair is two meshes, a relay between a and b, and the calls that b received.
type pair struct {
	a, b     *instance.Mesh
	relay    *relay.Relay
	received *callCounter
}

func newPair(t testing.TB) pair {
	t.Helper()
	ca := authority(t)
	p := pair{received: &callCounter{counts: map[uint64]int{}}}
	p.b = start(t, credentials(t, ca, "b"), "b", map[unit.Instance]string{"a": loopback}, map[instance.Method]instance.Handler{"Count": p.received.handle})
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

// TestMaybeDeliveredInPartitions checks MaybeDelivered of a call that fails in a
// network partition against the calls that the peer received.
func TestMaybeDeliveredInPartitions(t *testing.T) {
	// beyondWindow is more than the flow control window of a connection, so the
	// end of such a call isn't sent while the peer reads nothing.
	const beyondWindow = 4 << 20
	tests := map[string]struct {
		connected      bool
		partition      func(*relay.Relay)
		size           int
		maybeDelivered bool
		received       int
	}{
		"before the first connection":       {partition: (*relay.Relay).Partition},
		"whole call written":                {connected: true, partition: (*relay.Relay).Partition, maybeDelivered: true},
		"part of the call written":          {connected: true, partition: (*relay.Relay).Partition, size: beyondWindow},
		"one-way, answer lost":              {connected: true, partition: (*relay.Relay).PartitionToClients, maybeDelivered: true, received: 1},
		"one-way, nothing arrives":          {connected: true, partition: (*relay.Relay).PartitionToTarget, size: beyondWindow},
		"one-way, part of the call arrives": {connected: true, partition: (*relay.Relay).PartitionToClients, size: beyondWindow},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			if test.connected {
				is.NoErr(p.call(1, 0, testTimeout))
			}
			test.partition(p.relay)
			err := p.call(2, test.size, partitionCallTimeout)
			is.Equal(maybeDelivered(t, err), test.maybeDelivered)
			p.relay.Heal()
			// Once b has received a later call, no older one can still arrive.
			eventually(t, func() error { return p.call(3, 0, testTimeout) })
			is.NoErr(p.a.Close())
			is.NoErr(p.b.Close())
			if !test.maybeDelivered || test.received > 0 {
				is.Equal(p.received.count(2), test.received)
			}
		})
	}
}

// TestMaybeDeliveredInRandomPartitions starts and heals partitions at random during
// calls of all sizes, and checks MaybeDelivered against the calls that the peer
// received.
func TestMaybeDeliveredInRandomPartitions(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	is.NoErr(p.call(0, 0, testTimeout))
	random := rand.New(rand.NewPCG(1, 1))
	const rounds, calls = 8, 24
	errs := make([]error, rounds*calls)
	for round := range rounds {
		var group errgroup.Group
		for i := range calls {
			id := round*calls + i
			size := 1 << random.IntN(23)
			group.Go(func() error {
				errs[id] = p.call(uint64(id)+1, size, partitionCallTimeout)
				return nil
			})
		}
		startPartition := []func(){p.relay.Partition, p.relay.PartitionToTarget, p.relay.PartitionToClients}[random.IntN(3)]
		startPartition()
		is.NoErr(group.Wait())
		p.relay.Heal()
	}
	is.NoErr(p.a.Close())
	is.NoErr(p.b.Close())
	tally := map[string]int{}
	for i, err := range errs {
		count := p.received.count(uint64(i) + 1)
		switch {
		case err == nil:
			is.Equal(count, 1)
			tally["answered"]++
		case maybeDelivered(t, err):
			is.True(count <= 1)
			tally["maybe delivered"]++
		default:
			is.Equal(count, 0)
			tally["not delivered"]++
		}
	}
	t.Log(tally)
	is.True(tally["not delivered"] > 0)
}

func TestMessagesArriveInOrder(t *testing.T) {
	is := is.New(t)
	ca := authority(t)
	const messages = 500
	got := make(chan string, messages)
	b := start(t, credentials(t, ca, "b"), "b", map[unit.Instance]string{"a": loopback}, map[instance.Method]instance.Handler{
		"Message": func(_ context.Context, _ unit.Instance, body []byte) ([]byte, error) {
			got <- string(body)
			return nil, nil
		},
		"Echo": echo,
	})
	a := start(t, credentials(t, ca, "a"), "a", map[unit.Instance]string{"b": b.Addr()}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := a.Call(ctx, "b", "Echo", nil)
	is.NoErr(err)
	for i := range messages {
		a.Send("b", "Message", fmt.Append(nil, i))
	}
	for i := range messages {
		select {
		case n := <-got:
			is.Equal(n, fmt.Sprint(i))
		case <-ctx.Done():
			t.Fatal("one-way messages are missing")
		}
	}
}

// TestSendNeverBlocks sends more messages than the queue holds to an unreachable
// peer.
func TestSendNeverBlocks(t *testing.T) {
	is := is.New(t)
	a := start(t, credentials(t, authority(t), "a"), "a", map[unit.Instance]string{"b": "127.0.0.1:1"}, nil)
	large := make([]byte, instance.MaxBodyBytes)
	for range 5000 {
		a.Send("b", "Message", large)
	}
	is.Equal(a.Reachable(), map[unit.Instance]bool{"b": false})
}

// TestReconnectsToRestartedPeer restarts a peer at the same address.
func TestReconnectsToRestartedPeer(t *testing.T) {
	is := is.New(t)
	ca := authority(t)
	handlers := map[instance.Method]instance.Handler{"Echo": echo}
	cfg := instance.Config{Self: "b", ListenAddress: loopback, Credentials: credentials(t, ca, "b"), Peers: map[unit.Instance]string{"a": loopback}}
	b := startWith(t, cfg, handlers)
	cfg.ListenAddress = b.Addr()
	a := start(t, credentials(t, ca, "a"), "a", map[unit.Instance]string{"b": b.Addr()}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
