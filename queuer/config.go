package queuer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Config is what a Queuer is made for.
type Config struct {
	// MaxWaiting bounds the waiting tasks; urgent ones have a bound of their
	// own of the same size, so that they are never refused for batch. 0 means
	// DefaultMaxWaiting.
	MaxWaiting int
	Weights    Weights
	// Policy is Fair if nil.
	Policy Policy
	// Scorer places batch work; nil means the one that the measurements in
	// docs/design/placement.md speak for.
	Scorer placer.Scorer
	// DeclaredSizes switches learned sizes off, for the measurements.
	DeclaredSizes bool
}

// DefaultMaxWaiting bounds the waiting tasks if the Config doesn't.
const DefaultMaxWaiting = 200_000

// Weights orders the measures where they compete. They are relative; all zero
// means the same weight for each. Waiting against Packing sets how soon room is
// kept empty for a large task; without Share no work is stopped for shares.
type Weights struct {
	Waiting int
	Packing int
	Share   int
}

// Bounds of waiting.
const (
	// settleTime is how long a cell is given to announce its upstreams before
	// work that fits none of them is said to fit nowhere.
	settleTime = 10 * clock.Second
	// impossibleTime is how long waiting work may fit no upstream before it is
	// rejected: upstreams come and go.
	impossibleTime = clock.Minute
	// gangTime is how long a whole gang finds no room before it gets a
	// reservation, starveTime the same for a single task.
	gangTime   = shareTime
	starveTime = 20 * clock.Second
	// overdue is how many times starveTime work waits before it gets a
	// reservation although teams with a smaller load wait too.
	overdue = 10
	// shareTime is how long a task of a team that has less than its share finds
	// no room before tasks of teams that have more are stopped for it.
	shareTime = 2 * clock.Second
	// searchTime is the time between two searches for work that needs a
	// reservation or preemption to get its part.
	searchTime = 250 * clock.Millisecond
	// upstreamsPerMove and maxMoves bound the tasks that are stopped for
	// shares in a searchTime.
	upstreamsPerMove = 50
	maxMoves         = 8
	// gangRetry is the time between two tries to place a whole gang.
	gangRetry = 250 * clock.Millisecond
	// late is how long a reservation waits for tasks that run longer than
	// expected before it stops them.
	late = 2 * clock.Second
	// patience is how long a reservation may be late before another group
	// gets its turn.
	patience = clock.Minute
)

func (c Config) scorer() placer.Scorer {
	if c.Scorer != nil {
		return c.Scorer
	}
	return placer.BestFit{}
}

// starveTime is shorter the more waiting weighs against packing: a
// reservation for a large task keeps room empty.
func (c Config) starveTime() clock.Millis {
	w := c.Weights
	if w.Waiting == w.Packing {
		return starveTime
	}
	return starveTime * clock.Millis(1+w.Packing) / clock.Millis(1+w.Waiting)
}

// shortFirst is how many run times later a task has its turn in its account,
// against the order of arrival.
func (c Config) shortFirst() clock.Millis {
	w := c.Weights
	if w == (Weights{}) {
		return 1
	}
	return clock.Millis(2 * w.Waiting / max(1, w.Packing+w.Share))
}

// movesForShares reports whether work is stopped for shares.
func (c Config) movesForShares() bool {
	return c.Weights.Share > 0 || c.Weights == Weights{}
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

// TaskOutcome is what became of a running task. The set is closed: Succeeded, Failed,
// Stopped, UpstreamRefused, UpstreamLost.
type TaskOutcome interface{ end() }

// Succeeded is a task that ran to its end.
type Succeeded struct{}

// Failed is a task that ran and reported a failure.
type Failed struct{}

// Stopped is a task that was told to stop or whose lease ran out.
type Stopped struct{ Checkpointed bool }

// UpstreamRefused is a task that its upstream surely didn't start.
type UpstreamRefused struct{}

// UpstreamLost is a task whose upstream is gone and whose lease has
// surely ended.
type UpstreamLost struct{}

func (Succeeded) end()       {}
func (Failed) end()          {}
func (Stopped) end()         {}
func (UpstreamRefused) end() {}
func (UpstreamLost) end()    {}
