package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
)

func TestManualClockChangesOnlyByAdvance(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(5)
	is.Equal(c.Now(), clock.Millis(5))
	c.Advance(2 * clock.Second)
	is.Equal(c.Now(), clock.Millis(2005))
}

func TestMachineClockNeverGoesBack(t *testing.T) {
	var c clock.Clock
	last := c.Now()
	for range 1000 {
		now := c.Now()
		if now < last {
			t.Fatalf("the clock went back from %s to %s", last, now)
		}
		last = now
	}
}

func TestFromDurationRoundsUp(t *testing.T) {
	for name, c := range map[string]struct {
		in   time.Duration
		want clock.Millis
	}{
		"zero":       {in: 0, want: 0},
		"below 1 ms": {in: time.Nanosecond, want: 1},
		"whole":      {in: 3 * time.Millisecond, want: 3},
		"above 3 ms": {in: 3*time.Millisecond + 1, want: 4},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(clock.FromDuration(c.in), c.want) })
	}
}

func TestEveryCallsOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second+time.Millisecond)
		defer cancel()
		calls := 0
		clock.Every(ctx, clock.Second, func() { calls++ })
		is.New(t).Equal(calls, 10)
	})
}
