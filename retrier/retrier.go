// Package retrier spaces the attempts of whatever is tried again: exponential
// backoff with full jitter, so that callers that failed together don't come
// back together.
package retrier

import (
	"context"
	"math/rand/v2"

	"github.com/chervilvane/chervilvane/clock"
)

// maxDoublings keeps the doubled wait from overflowing.
const maxDoublings = 20

// Backoff bounds the waits between attempts. The wait after attempt n, counted
// from 0, is drawn evenly from 0 to BaseDelay doubled n times, and at most MaxDelay.
type Backoff struct {
	BaseDelay clock.Millis
	MaxDelay  clock.Millis
}

// Wait waits after an attempt. It returns the context's error if that ends
// first.
func (b Backoff) Wait(ctx context.Context, attempt int) error {
	return clock.Sleep(ctx, clock.Millis(rand.Int64N(int64(b.Limit(attempt))+1)))
}

// Limit returns the longest wait after an attempt.
func (b Backoff) Limit(attempt int) clock.Millis {
	return min(b.BaseDelay<<min(attempt, maxDoublings), b.MaxDelay)
}
