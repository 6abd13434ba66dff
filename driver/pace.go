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
	// passPauseFactor times the duration of a planner pass is the minimum pause
	// after it, so that the planner uses at most a quarter of the time.
	passPauseFactor = 3
	// maxPassPause bounds that pause, since it delays starts.
	maxPassPause = 150 * clock.Millisecond
)

// passPause returns the pause after a pass of the planner that took the given time.
//
// Under load each pass takes longer, and requests and answers wait for the same
// processor. Fewer passes then process the same events.
func passPause(took clock.Millis) clock.Millis { return min(passPauseFactor*took, maxPassPause) }

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
