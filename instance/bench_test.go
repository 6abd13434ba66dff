package instance_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/e2e/relay"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/unit"
)

// percentile returns a percentile of sorted durations, in microseconds.
func percentile(sorted []time.Duration, percent int) float64 {
	return float64(sorted[len(sorted)*percent/100].Microseconds())
}

func BenchmarkCall(b *testing.B) {
	for _, size := range []int{64, 4 << 10, 256 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			p := newPair(b)
			if err := p.call(0, 0, testTimeout); err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(size))
			latencies := make([]time.Duration, 0, b.N)
			for b.Loop() {
				begin := time.Now()
				if err := p.call(1, size, testTimeout); err != nil {
					b.Fatal(err)
				}
				latencies = append(latencies, time.Since(begin))
			}
			slices.Sort(latencies)
			b.ReportMetric(percentile(latencies, 50), "p50-µs")
			b.ReportMetric(percentile(latencies, 99), "p99-µs")
		})
	}
}

func BenchmarkCallsInParallel(b *testing.B) {
	p := newPair(b)
	if err := p.call(0, 0, testTimeout); err != nil {
		b.Fatal(err)
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := p.call(1, 64, testTimeout); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkIdle measures the UDP payload that an instance with eight idle peers
// sends and receives, counted by relays. One iteration takes one second.
func BenchmarkIdle(b *testing.B) {
	const peers = 8
	ca := authority(b)
	addresses := map[unit.Instance]string{}
	var relays []*relay.Relay
	handlers := map[instance.Method]instance.Handler{"Echo": echo}
	for i := range peers {
		id := unit.Instance(fmt.Sprintf("b%d", i))
		m := start(b, credentials(b, ca, id), id, map[unit.Instance]string{"a": loopback}, handlers)
		r, err := relay.New(m.Addr())
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = r.Close() }()
		relays = append(relays, r)
		addresses[id] = r.Addr()
	}
	a := start(b, credentials(b, ca, "a"), "a", addresses, nil)
	var group errgroup.Group
	for id := range addresses {
		group.Go(func() error {
			_, err := a.Call(context.Background(), id, "Echo", nil)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	relayedBytes := func() (n int64) {
		for _, r := range relays {
			n += r.Bytes()
		}
		return n
	}
	second := time.NewTicker(time.Second)
	defer second.Stop()
	// Path MTU discovery takes the first seconds.
	for range 5 {
		<-second.C
	}
	before := relayedBytes()
	begin := time.Now()
	for b.Loop() {
		<-second.C
	}
	b.ReportMetric(float64(relayedBytes()-before)/time.Since(begin).Seconds(), "bytes/s")
}
