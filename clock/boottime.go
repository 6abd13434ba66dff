package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time of CLOCK_BOOTTIME, which also counts while the machine is
// suspended and never goes back. Its zero is arbitrary.
func BootTime() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Fall back to the monotonic clock, which doesn't count the time while
		// the machine is suspended.
		return Millis(time.Since(processStart) / time.Millisecond)
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}
