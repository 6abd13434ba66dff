package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the machine's steady clock, which also counts the time for
// which the machine is suspended. Its zero is arbitrary.
func BootTime() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without that clock the one of the process has to do; a suspension
		// then isn't seen.
		return Millis(time.Since(processStart) / time.Millisecond)
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}
