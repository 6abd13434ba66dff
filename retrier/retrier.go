// Package retrier implements exponential backoff with full jitter. The jitter keeps
// callers that failed at the same time from retrying at the same time.
package retrier

import (
	"context"
	"math/rand/v2"

	"github.com/chervilvane/chervilvane/clock"
)

// maxDoublings limits the doublings of the delay, which would overflow otherwise.
const maxDoublings = 20

// Backoff configures the delays between attempts. The delay after attempt n, counted
// from 0, is drawn uniformly from 0 to min(BaseDelay * 2^n, MaxDelay).
type Backoff struct {
	// BaseDelay is the maximum delay after the first attempt.
	BaseDelay clock.Millis
	// MaxDelay is the maximum delay after any attempt.
	MaxDelay clock.Millis
}

// Wait waits for a random delay after the given attempt, counted from 0. If the
// context ends first, Wait returns the context's error.
func (b Backoff) Wait(ctx context.Context, attempt int) error {
	return clock.Sleep(ctx, clock.Millis(rand.Int64N(int64(b.Limit(attempt))+1)))
}

// Limit returns the maximum delay after the given attempt, counted from 0.
func (b Backoff) Limit(attempt int) clock.Millis {
	return min(b.BaseDelay<<min(attempt, maxDoublings), b.MaxDelay)
}
