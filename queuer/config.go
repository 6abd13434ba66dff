package queuer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Config configures a Queuer. The zero value is valid.
type Config struct {
	// MaxWaiting bounds the number of waiting tasks. Urgent tasks have a
	// separate bound of the same size, so that they are never refused because
	// of batch tasks. 0 means DefaultMaxWaiting.
	MaxWaiting int
	Weights    Weights
	// Policy is Fair if nil.
	Policy Policy
	// Scorer places batch tasks. It is placer.BestFit if nil;
	// docs/design/placement.md compares the scorers.
	Scorer placer.Scorer
	// DeclaredSizes charges tasks their declared need only and ignores measured
	// usage.
	DeclaredSizes bool
}

// DefaultMaxWaiting is the MaxWaiting of a Config that doesn't set it.
const DefaultMaxWaiting = 200_000

// Weights sets how much each goal counts where goals compete. They are relative;
// if all are zero, each goal counts the same. Waiting relative to Packing sets
// how soon capacity is kept free for a large task. If only Share is zero, no
// task is stopped for the sake of shares.
type Weights struct {
	Waiting int
	Packing int
	Share   int
}

// Durations and bounds of waiting, reservations and preemption.
const (
	// upstreamGrace is how long the upstreams have to report, from the first
	// SetUpstream on, before tasks that fit on none of them are refused.
	upstreamGrace = 10 * clock.Second
	// infeasibleTimeout is how long a waiting task may fit on no upstream, even
	// an empty one, before it is rejected. Upstreams come and go.
	infeasibleTimeout = clock.Minute
	// gangReservationDelay is how long a whole gang finds no capacity before it
	// gets a reservation, defaultReservationDelay the same for a single task.
	gangReservationDelay    = shareDelay
	defaultReservationDelay = 20 * clock.Second
	// overdueFactor is after how many reservation delays a group gets the
	// reservation although teams with a smaller load wait too.
	overdueFactor = 10
	// shareDelay is how long a task of a team below its share finds no capacity
	// before tasks of teams above their share are stopped for it.
	shareDelay = 2 * clock.Second
	// searchInterval is the time between two searches for tasks that start only
	// by a reservation or preemption.
	searchInterval = 250 * clock.Millisecond
	// upstreamsPerPreemption and maxSharePreemptions bound the tasks for which
	// others are stopped for shares in a searchInterval: one for each
	// upstreamsPerPreemption upstreams, at least 1 and at most
	// maxSharePreemptions.
	upstreamsPerPreemption = 50
	maxSharePreemptions    = 8
	// gangRetryInterval is the time between two attempts to place a whole gang.
	gangRetryInterval = 250 * clock.Millisecond
	// overrunGrace is how long after its expected start a reservation waits for
	// tasks that run longer than expected before they are stopped.
	overrunGrace = 2 * clock.Second
	// reservationTimeout is how long after its expected start a reservation is
	// released, so that another group can have it, and how long after one
	// attempt a lane may get a reservation again.
	reservationTimeout = clock.Minute
)

func (c Config) scorer() placer.Scorer {
	if c.Scorer != nil {
		return c.Scorer
	}
	return placer.BestFit{}
}

// reservationDelay returns how long a single task finds no capacity before it
// gets a reservation. The more Waiting weighs against Packing, the shorter it
// is: a reservation for a large task keeps capacity empty.
func (c Config) reservationDelay() clock.Millis {
	w := c.Weights
	if w.Waiting == w.Packing {
		return defaultReservationDelay
	}
	return defaultReservationDelay * clock.Millis(1+w.Packing) / clock.Millis(1+w.Waiting)
}

// shortFirstFactor returns how many of its run times a task is put back in its
// account's order of arrival, so that short tasks come before long ones.
func (c Config) shortFirstFactor() clock.Millis {
	w := c.Weights
	if w == (Weights{}) {
		return 1
	}
	return clock.Millis(2 * w.Waiting / max(1, w.Packing+w.Share))
}

// preemptsForShares reports whether tasks are stopped for the sake of shares.
func (c Config) preemptsForShares() bool {
	return c.Weights.Share > 0 || c.Weights == Weights{}
}

// Policy chooses the order of starts and their upstreams. The set is closed:
// Fair, Arrival.
type Policy interface{ policy() }

// Fair is the policy that the package comment describes.
type Fair struct{}

// Arrival starts tasks in order of arrival on the first upstream that fits,
// without shares, preemption or reservations. Benchmarks compare Fair with it.
type Arrival struct{}

func (Fair) policy()    {}
func (Arrival) policy() {}

// Team is a team and its share of a full cell.
type Team struct {
	Name  unit.Team
	Share int
	// Limit is the team's limit over the whole fleet. A task or gang that
	// exceeds it by itself is refused. Zero means that it isn't known.
	Limit unit.Resources
}

// TaskOutcome is how a running task ended. The set is closed: Succeeded, Failed,
// Stopped, UpstreamRefused, UpstreamLost.
type TaskOutcome interface{ taskOutcome() }

// Succeeded is the outcome of a task that ran to its end.
type Succeeded struct{}

// Failed is the outcome of a task that ran and reported a failure.
type Failed struct{}

// Stopped is the outcome of a task that was told to stop or whose lease expired.
type Stopped struct{ Checkpointed bool }

// UpstreamRefused is the outcome of a task that its upstream certainly didn't
// start.
type UpstreamRefused struct{}

// UpstreamLost is the outcome of a task whose upstream is gone and whose lease
// has certainly expired.
type UpstreamLost struct{}

func (Succeeded) taskOutcome()       {}
func (Failed) taskOutcome()          {}
func (Stopped) taskOutcome()         {}
func (UpstreamRefused) taskOutcome() {}
func (UpstreamLost) taskOutcome()    {}
