package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Request is a caller's request as the entry admitted it. It travels from the
// entry instance to the scheduler of its home availability zone.
type Request struct {
	ID      unit.Request
	Queue   unit.Queue
	Team    unit.Team
	Account unit.ClientAccount
	// Repeatable says that the work may be run again after an attempt whose
	// end isn't known.
	Repeatable bool
	// Fresh says that this is surely the first send of an id that the entry
	// made itself, so no earlier scheduler can have seen the request. It is
	// never set on a resend, nor on an id that the caller chose.
	Fresh bool
	// Timeout is the time left until the caller's deadline. A span travels
	// instead of a point in time, since clocks of instances differ.
	Timeout clock.Millis
	Data    []byte
}
