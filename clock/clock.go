// Package clock is the project's notion of time: whole milliseconds.
//
// The deciding packages never read a clock; they are given a Millis with
// every message, so a test can drive them through any order of events. The
// acting packages hold a Clock. Its zero value reads the machine's monotonic
// time, anchored once at the wall time of the process start, so it never goes
// back while the process lives, also not when an administrator sets the wall
// clock. A manual clock moves only when a test advances it.
package clock

import (
	"strconv"
	"sync/atomic"
	"time"
)

// Millis is a point in time or a span of time, in milliseconds. Points count
// from the Unix epoch.
type Millis int64

// Spans of time, in milliseconds.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
	Day                = 24 * Hour
)

// Duration converts a span for the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// String prints the number with its unit.
func (m Millis) String() string {
	return strconv.FormatInt(int64(m), 10) + "ms"
}

// FromDuration converts a span of the standard library, rounding up, so that
// a short wait never becomes none.
func FromDuration(d time.Duration) Millis {
	return Millis((d + time.Millisecond - 1) / time.Millisecond)
}

var processStart = time.Now()

// Clock tells the time. The zero value tells the machine's time.
type Clock struct {
	manual *atomic.Int64
}

// NewManual returns a clock that stands at start until Advance moves it.
func NewManual(start Millis) Clock {
	c := Clock{manual: new(atomic.Int64)}
	c.manual.Store(int64(start))
	return c
}

// Now returns the current time.
func (c Clock) Now() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load())
	}
	return Millis(processStart.UnixMilli()) + Millis(time.Since(processStart)/time.Millisecond)
}

// Advance moves a manual clock forward. It panics on the machine's clock.
func (c Clock) Advance(by Millis) {
	if c.manual == nil {
		panic("clock: only a manual clock can be advanced")
	}
	c.manual.Add(int64(by))
}
