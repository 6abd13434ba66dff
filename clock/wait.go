package clock

import (
	"context"
	"time"
)

// Sleep waits for the given duration. If the context ends first, Sleep returns the
// context's error.
func Sleep(ctx context.Context, duration Millis) error {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Every calls f once per interval until the context ends, first after one interval.
// Calls don't overlap: one that takes longer than the interval delays the next one.
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
