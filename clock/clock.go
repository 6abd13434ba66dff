// Package clock represents time in whole milliseconds and provides the clocks that
// return it.
//
// Packages that make decisions never read a clock. Their callers pass a Millis with
// every message, so a test can run them through any order of events. Packages that
// act on decisions use a Clock.
//
// The zero Clock reads the monotonic clock and adds the wall time of the process
// start. It never goes back while the process runs, even if an administrator sets
// the wall clock. A manual Clock advances only when a test calls Advance.
package clock

import (
	"strconv"
	"sync/atomic"
	"time"
)

// Millis is a time or a duration in milliseconds. Times are counted from the Unix
// epoch, except those of BootTime.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
	Day                = 24 * Hour
)

// Duration converts the duration m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String returns the number of milliseconds with the unit, such as "250ms".
func (m Millis) String() string {
	return strconv.FormatInt(int64(m), 10) + "ms"
}

// FromDuration converts d to Millis. It rounds up, so that a short wait never becomes
// 0.
func FromDuration(d time.Duration) Millis {
	return Millis((d + time.Millisecond - 1) / time.Millisecond)
}

var processStart = time.Now()

// Clock returns the current time. The zero value reads the machine's clock. A Clock is
// safe for concurrent use, and copies of a manual Clock share their time.
type Clock struct {
	// manual is the time of a manual clock in milliseconds; nil for the machine's
	// clock.
	manual *atomic.Int64
}

// NewManual returns a manual clock that starts at start and changes only by Advance.
func NewManual(start Millis) Clock {
	c := Clock{manual: new(atomic.Int64)}
	c.manual.Store(int64(start))
	return c
}

// Now returns the time since the Unix epoch.
func (c Clock) Now() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load())
	}
	return Millis(processStart.UnixMilli()) + Millis(time.Since(processStart)/time.Millisecond)
}

// Advance moves a manual clock forward by the given duration. It panics if c is the
// machine's clock.
func (c Clock) Advance(by Millis) {
	if c.manual == nil {
		panic("clock: only a manual clock can be advanced")
	}
	c.manual.Add(int64(by))
}
