package retrier_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/retrier"
)

func TestLimit(t *testing.T) {
	b := retrier.Backoff{BaseDelay: 20, MaxDelay: 1000}
	for name, c := range map[string]struct {
		attempt int
		want    clock.Millis
	}{
		"first attempt":            {attempt: 0, want: 20},
		"three doublings":          {attempt: 3, want: 160},
		"maximum delay":            {attempt: 6, want: 1000},
		"doublings would overflow": {attempt: 1 << 40, want: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(b.Limit(c.attempt), c.want)
		})
	}
}

func TestWaitReturnsWhenTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := retrier.Backoff{BaseDelay: clock.Second, MaxDelay: clock.Minute}
		started := time.Now()
		is.NoErr(b.Wait(context.Background(), 0))
		is.True(time.Since(started) <= time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.Equal(b.Wait(ctx, 30), context.Canceled)
	})
}
