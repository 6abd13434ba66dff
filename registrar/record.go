package registrar

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// Zone is who schedules an availability zone.
type Zone struct {
	Epoch  unit.Epoch
	Holder unit.Instance
}

// Record is what the log holds of a request.
type Record struct {
	Request          dispatcher.Request
	AvailabilityZone unit.AvailabilityZone
	// Accepted says that the caller was told that the request was accepted
	// and will fetch the result later.
	Accepted  bool
	Cancelled bool
	// Intent is the start that an upstream is or was about to be asked for;
	// its Task is empty while there is none.
	Intent Intent
	// Outcome is the encoded outcome; empty while the request is open.
	Outcome []byte
	At      clock.Millis
}

// Intent is one start of a request.
type Intent struct {
	Task     unit.Task
	Upstream unit.Upstream
	Epoch    unit.Epoch
}

// Open reports whether the request has no outcome yet.
func (r Record) Open() bool { return len(r.Outcome) == 0 }
