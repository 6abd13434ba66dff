package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Request is a caller's request as the entry instance admitted it. The entry
// instance sends it to the scheduler of the request's home availability zone.
type Request struct {
	ID      unit.Request
	Queue   unit.Queue
	Team    unit.Team
	Account unit.ClientAccount
	// Repeatable allows another attempt after one whose outcome is unknown.
	Repeatable bool
	// Fresh is set if this is the first send of an id that the entry instance
	// generated, so no earlier scheduler can have received the request. It is
	// never set on a resend, nor with an id that the caller chose.
	Fresh bool
	// Timeout is the time left until the caller's deadline. A duration is sent
	// instead of a point in time, since the clocks of instances differ.
	Timeout clock.Millis
	Data    []byte
}
