package registrar

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// Zone is the current epoch of an availability zone and the instance that
// schedules it.
type Zone struct {
	Epoch  unit.Epoch
	Holder unit.Instance
}

// Record is the state of a request in the log.
type Record struct {
	Request          dispatcher.Request
	AvailabilityZone unit.AvailabilityZone
	// Accepted is set if the caller was told that the request was accepted,
	// and fetches the result later.
	Accepted  bool
	Cancelled bool
	// Intent is the latest start that was recorded and not retracted. Its Task
	// is empty if there is none.
	Intent Intent
	// Outcome is the encoded outcome. It is empty while the request is open.
	Outcome []byte
	// At is the time of the outcome, or of the first record while the request
	// is open.
	At clock.Millis
}

// Intent is a start of a request, recorded before the start order is sent.
type Intent struct {
	Task     unit.Task
	Upstream unit.Upstream
	Epoch    unit.Epoch
}

// Open reports whether the request has no outcome yet.
func (r Record) Open() bool { return len(r.Outcome) == 0 }
