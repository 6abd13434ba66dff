package admitter_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// smallest are the limits of the smallest machine.
var smallest = admitter.Derive(144*unit.Megabyte, 3075)

// TestSmallestMachineTakesWhatUsersSend guards against defaults that refuse clients who keep to
// the users' limits: a configuration of 16 MB, the upstreams of a zone, and several hundred
// clients behind one address.
func TestSmallestMachineTakesWhatUsersSend(t *testing.T) {
	is := is.New(t)
	b := admitter.NewBudget(smallest.RequestBytes)
	is.True(b.Acquire(&admitter.Request{Holder: "operator"}, admitter.BodyBytes(16<<20))) // a configuration
	b = admitter.NewBudget(smallest.RequestBytes)
	connections := admitter.NewConnections(smallest.Connections, smallest.ConnectionsPerAddress)
	for range 2000 {
		is.True(b.Acquire(&admitter.Request{Holder: "upstreams"}, 12<<10)) // a report in progress
	}
	for i := range 2000 {
		conn, victim := connections.Open(string(rune(i)), 0)
		is.True(conn != nil && victim == nil)
	}
	connections = admitter.NewConnections(smallest.Connections, smallest.ConnectionsPerAddress)
	for range 1000 {
		conn, victim := connections.Open("balancer", clock.Hour)
		is.True(conn != nil && victim == nil)
	}
}

// TestGreatestFrameFits guards against a mesh that never takes a frame of the greatest length.
func TestGreatestFrameFits(t *testing.T) {
	for _, memory := range []unit.Bytes{1 * unit.Megabyte, 64 * unit.Megabyte, 144 * unit.Megabyte, 424 * unit.Megabyte} {
		b := admitter.NewBudget(admitter.Derive(memory, 0).MeshBytes)
		is.New(t).True(b.Acquire(&admitter.Request{Holder: "peer"}, 8<<20+1<<16)) // memory
	}
}

// TestUnknownClientsLeaveRoom guards against unknown clients that take the whole budget: neither
// a known account nor anybody's small request may be shut out by large bodies.
func TestUnknownClientsLeaveRoom(t *testing.T) {
	is := is.New(t)
	b := admitter.NewBudget(smallest.RequestBytes)
	for b.Acquire(&admitter.Request{}, 256<<10) {
	}
	is.True(b.Acquire(&admitter.Request{Holder: "account"}, 256<<10))
	is.True(b.Acquire(&admitter.Request{}, 16<<10))
}

// TestBudgetNeverExceedsItsTotal guards against memory that is counted twice or never given back.
func TestBudgetNeverExceedsItsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 1 << 20
		b := admitter.NewBudget(total)
		var open []*admitter.Request
		var sum unit.Bytes
		held := map[*admitter.Request]unit.Bytes{}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "release") {
				r := open[0]
				open = open[1:]
				b.Release(r)
				sum -= held[r]
				delete(held, r)
				continue
			}
			r := &admitter.Request{Holder: admitter.Holder(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "holder"))}
			open = append(open, r)
			n := unit.Bytes(rapid.IntRange(0, total).Draw(t, "bytes"))
			if b.Acquire(r, n) {
				held[r] += n
				sum += n
			}
		}
		if b.Used() != sum || sum > total {
			t.Fatalf("%d bytes are used, %d were acquired of %d", b.Used(), sum, total)
		}
	})
}

// TestStalledConnectionsAreDisplaced guards against a new client that is shut out by connections
// left open, and against one that ends a request in progress.
func TestStalledConnectionsAreDisplaced(t *testing.T) {
	is := is.New(t)
	c := admitter.NewConnections(3, 3)
	serving, _ := c.Open("a", 0)
	c.Enter(serving, admitter.Serving, 0)
	idle, _ := c.Open("a", 0)
	c.Enter(idle, admitter.Idle, 0)
	stalled, _ := c.Open("b", 1)
	conn, victim := c.Open("a", 1000)
	is.True(conn == nil && victim == nil) // all are young
	first, victim := c.Open("a", 5000)
	is.True(first != nil && victim == stalled)
	c.Enter(first, admitter.Serving, 5000)
	second, victim := c.Open("a", 5000)
	is.True(second != nil && victim == idle)
	is.Equal(c.Count(), 3)
}

// TestBodyDeadline guards against stalled bodies that are held, and slow links that are cut off.
func TestBodyDeadline(t *testing.T) {
	is := is.New(t)
	is.Equal(smallest.BodyDeadline(0, 0, 0, 0), 3*clock.Second)                       // nothing came
	is.Equal(smallest.BodyDeadline(0, 100, 262_143, 0), 3100*clock.Millisecond)       // one byte short
	is.Equal(smallest.BodyDeadline(0, 5000, 262_143, 0), 6*clock.Second)              // drips
	is.Equal(smallest.BodyDeadline(0, 80_000, 15<<20, clock.Minute), 83*clock.Second) // 1.5 Mbit/s
	is.Equal(smallest.BodyDeadline(0, 5000, 1000, clock.Hour), 3031*clock.Millisecond)
}

// TestKeysAreBounded guards against a set of keys that clients can grow without end.
func TestKeysAreBounded(t *testing.T) {
	is := is.New(t)
	k := admitter.NewKeys()
	for i := range 5000 {
		k.Learn(admitter.KeyHash(i))
	}
	is.True(!k.Known(0) && k.Known(4999))
	k.Forget(4999)
	is.True(!k.Known(4999))
}
