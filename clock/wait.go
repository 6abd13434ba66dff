package clock

import (
	"context"
	"time"
)

// Sleep waits for a span of the machine's time, or until the context ends; then
// it returns the context's error.
func Sleep(ctx context.Context, span Millis) error {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Every calls f once in each interval of the machine's time until the context
// ends. A call that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval Millis, f func()) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
