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

// percentile returns a percentile of sorted spans, in microseconds.
func percentile(sorted []time.Duration, percent int) float64 {
	return float64(sorted[len(sorted)*percent/100].Microseconds())
}

func BenchmarkCall(b *testing.B) {
	for _, size := range []int{64, 4 << 10, 256 << 10} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			p := newPair(b)
			if err := p.call(0, 0, patience); err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(size))
			spans := make([]time.Duration, 0, b.N)
			for b.Loop() {
				begin := time.Now()
				if err := p.call(1, size, patience); err != nil {
					b.Fatal(err)
				}
				spans = append(spans, time.Since(begin))
			}
			slices.Sort(spans)
			b.ReportMetric(percentile(spans, 50), "p50-µs")
			b.ReportMetric(percentile(spans, 99), "p99-µs")
		})
	}
}

func BenchmarkCallsInParallel(b *testing.B) {
	p := newPair(b)
	if err := p.call(0, 0, patience); err != nil {
		b.Fatal(err)
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := p.call(1, 64, patience); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkIdle tells what an instance with eight idle peers sends and gets,
// as UDP payload through relays: one iteration is one second.
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
	total := func() (n int64) {
		for _, r := range relays {
			n += r.Bytes()
		}
		return n
	}
	second := time.NewTicker(time.Second)
	defer second.Stop()
	// The search for the path's largest datagram takes the first seconds.
	for range 5 {
		<-second.C
	}
	before := total()
	begin := time.Now()
	for b.Loop() {
		<-second.C
	}
	b.ReportMetric(float64(total()-before)/time.Since(begin).Seconds(), "bytes/s")
}
