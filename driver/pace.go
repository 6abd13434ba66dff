package driver

import "github.com/chervilvane/chervilvane/clock"

const (
	// minPollInterval is the minimum time between two polls of an upstream. Each
	// poll has a fixed cost, and one poll returns all ends since the previous one.
	minPollInterval = 120 * clock.Millisecond
	// pollIntervalPerLag times the leader's lag is added to minPollInterval.
	pollIntervalPerLag = 10
	// maxPollInterval bounds the interval. It is well below the shortest lease,
	// which each poll renews.
	maxPollInterval = 800 * clock.Millisecond
	// lagRetainedPercent is the part of the lag that is kept at each observation.
	lagRetainedPercent = 95
)

// lag is the scheduling delay of this process: how long a ready goroutine waits for
// the processor. It rises immediately and decays slowly.
//
// It rises if more events arrive than the processor can handle, because of a burst
// or of a processor that is slower than usual. Polls are then less frequent and
// return more ends each, which costs less per end.
type lag struct{ units clock.Millis }

// lagUnitsPerMillisecond is the resolution in which a lag is stored, so that it can
// decay by less than a millisecond.
const lagUnitsPerMillisecond = 100

// observe records the latest scheduling delay; one below zero counts as zero.
func (l *lag) observe(wait clock.Millis) {
	l.units = max(l.units*lagRetainedPercent/100, wait*lagUnitsPerMillisecond, 0)
}

// pollInterval returns the minimum time between two polls of an upstream at this lag.
func (l *lag) pollInterval() clock.Millis {
	return min(minPollInterval+pollIntervalPerLag*l.units/lagUnitsPerMillisecond, maxPollInterval)
}
