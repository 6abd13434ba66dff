package planner

import "github.com/chervilvane/chervilvane/clock"

const (
	// passPauseFactor times the duration of a pass is the minimum pause after it, so that
	// passes use at most a quarter of the time.
	passPauseFactor = 3
	// maxPassPause bounds that pause, since it delays starts.
	maxPassPause = 150 * clock.Millisecond
)

// PassPause returns the pause after a pass that took the given time.
//
// Under load each pass takes longer, and requests and answers wait for the same processor.
// Fewer passes then process the same events.
func PassPause(took clock.Millis) clock.Millis { return min(passPauseFactor*took, maxPassPause) }
