package queuer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// Config is what a Queuer is made for.
type Config struct {
	// MaxWaiting bounds the waiting tasks; urgent ones have a bound of their
	// own of the same size, so that they are never refused for batch. 0 means
	// DefaultMaxWaiting.
	MaxWaiting int
	Weights    Weights
	Policy     Policy
}

// DefaultMaxWaiting bounds the waiting tasks if the Config doesn't.
const DefaultMaxWaiting = 200_000

// Weights orders the measures where they compete. They are relative; all zero
// means the same weight for each.
type Weights struct {
	Waiting int
	Packing int
	Share   int
}

// Policy is how the order of starts and their places are chosen. The set is
// closed: Fair, Arrival.
type Policy interface{ policy() }

// Fair is the policy of the product.
type Fair struct{}

// Arrival is the baseline of the measurements: first fit in order of arrival,
// without shares, preemption and reservations.
type Arrival struct{}

func (Fair) policy()    {}
func (Arrival) policy() {}

// Team is a team and its share of a full cell.
type Team struct {
	Name  unit.Team
	Share int
	// Limit is the team's limit over the whole fleet, if it is known: work
	// that passes it by itself can never run. Zero means not known.
	Limit unit.Resources
}

// End is what became of a running task. The set is closed: Succeeded, Failed,
// Stopped, RefusedByUpstream, LostWithUpstream.
type End interface{ end() }

// Succeeded is a task that ran to its end.
type Succeeded struct{}

// Failed is a task that ran and reported a failure.
type Failed struct{}

// Stopped is a task that was told to stop or whose lease ran out.
type Stopped struct{ Checkpointed bool }

// RefusedByUpstream is a task that its upstream surely didn't start.
type RefusedByUpstream struct{}

// LostWithUpstream is a task whose upstream is gone and whose lease has
// surely ended.
type LostWithUpstream struct{}

func (Succeeded) end()         {}
func (Failed) end()            {}
func (Stopped) end()           {}
func (RefusedByUpstream) end() {}
func (LostWithUpstream) end()  {}
