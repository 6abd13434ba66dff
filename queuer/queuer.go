// Package queuer decides which waiting task starts next, and asks the placer
// where.
//
// Order: urgent work first, then teams by weighted dominant share of what
// they really hold, then client accounts inside a team by the same rule, then
// order of arrival. A task that can't start now says why (see WaitReason) and holds
// up nobody behind it that could start without delaying it.
//
// Tasks that are alike stand in one lane. A pass goes over the lanes in that
// order and tries their heads; a lane that found no room is tried again only
// where room was freed since. So a decision costs by the lanes and not by the
// waiting tasks or the upstreams.
//
// The package is a deterministic state machine: no goroutine, no clock.
package queuer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/limiter"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Decision is something the scheduler must now carry out. The set is closed:
// Start, Preempt, Reject.
type Decision interface{ decision() }

// Start tells to start a task on an upstream. Its resources and allotment are
// reserved already.
type Start struct {
	Task     unit.Task
	Upstream unit.Upstream
}

// Preempt tells to checkpoint or stop a running task, to make room for another
// or to return below a lowered limit. The task holds its resources until
// FinishTask is called.
type Preempt struct {
	Task       unit.Task
	Upstream   unit.Upstream
	Checkpoint bool
}

// Reject gives a waiting task a final end: it can never run.
type Reject struct {
	Task    unit.Task
	Refusal dispatcher.Refusal
}

func (Start) decision()   {}
func (Preempt) decision() {}
func (Reject) decision()  {}

// Queuer holds the waiting tasks of one availability zone, its cell and its
// allotments.
type Queuer struct {
	config Config
	// fair is false for the baseline of the measurements.
	fair bool
	cell *placer.Cell
	zone *limiter.ZoneQuota

	teams  map[unit.Team]*team
	byName []*team
	tasks  map[unit.Task]*waiting
	lanes  map[laneKey]*lane
	seq    uint64
	// counts are the waiting tasks, urgent and others.
	counts [classes]int

	settled    map[unit.Workload]bool
	dependants map[unit.Workload][]*waiting
	// failed lists works whose dependants must be rejected.
	failed    []unit.Workload
	profiles  map[unit.Workload]*profile
	deadlines deadlines
	gangs     map[gangKey]int
	// shrunk are the upstreams that may hold less than they were given.
	shrunk map[unit.Upstream]struct{}
	// overused are those whose tasks use much more than they hold.
	overused    map[unit.Upstream]struct{}
	claims      []*waiting
	reservation *reservation
	searchedAt  clock.Millis
	movedAt     clock.Millis
	// watched are lanes whose head fits no upstream, full or empty.
	watched []*lane
	// checkOver is set while a team may hold more than its allotment.
	checkOver bool

	// freed are the upstreams that may have room for a lane that found none.
	freed []unit.Upstream
	// recheck asks for a pass over the lanes that were not tried yet, also
	// where no room was freed.
	recheck bool
	// floor is at most what any lane needs that found no room.
	floor unit.Resources
	// since is when the first upstream was announced.
	since   clock.Millis
	started bool

	// These let tests show that the properties notice a broken variant.
	partialGangs       bool
	ignoreDependencies bool
	noReservations     bool

	now  clock.Millis
	most int
	out  []Decision
}

// gangKey names a gang in the fleet.
type gangKey struct {
	team unit.Team
	work unit.Workload
}

// New returns a queuer without upstreams, teams and tasks.
func New(config Config) *Queuer {
	if config.MaxWaiting <= 0 {
		config.MaxWaiting = DefaultMaxWaiting
	}
	if config.Policy == nil {
		config.Policy = Fair{}
	}
	q := &Queuer{
		config:     config,
		zone:       limiter.NewZoneQuota(),
		teams:      map[unit.Team]*team{},
		tasks:      map[unit.Task]*waiting{},
		lanes:      map[laneKey]*lane{},
		settled:    map[unit.Workload]bool{},
		dependants: map[unit.Workload][]*waiting{},
		profiles:   map[unit.Workload]*profile{},
		gangs:      map[gangKey]int{},
		shrunk:     map[unit.Upstream]struct{}{},
		overused:   map[unit.Upstream]struct{}{},
	}
	switch config.Policy.(type) {
	case Fair:
		q.fair = true
		q.cell = placer.NewCell(config.scorer())
	case Arrival:
		q.cell = placer.NewCell(placer.FirstFit{})
		q.cell.DisableQuarantine()
	}
	return q
}

// Quota returns the zone's spending, for returning spare allotments.
func (q *Queuer) Quota() *limiter.ZoneQuota { return q.zone }

// SetWeights sets what the operator prefers where the measures compete.
func (q *Queuer) SetWeights(w Weights) {
	q.config.Weights = w
}

// SetUpstream announces an upstream or changes it. It may hold less than before.
func (q *Queuer) SetUpstream(now clock.Millis, w placer.Upstream) {
	if !q.started {
		q.started = true
		q.since = now
	}
	if q.cell.SetUpstream(now, w) {
		q.shrunk[w.ID] = struct{}{}
	}
}

// RemoveUpstream takes an upstream out and returns its tasks. They stay charged
// until FinishTask is called for each.
func (q *Queuer) RemoveUpstream(now clock.Millis, id unit.Upstream) []unit.Task {
	return q.cell.RemoveUpstream(now, id)
}

// SetInherited counts what a predecessor may have started against a team's allotment
// until Adopt finds it or ClearInherited is called.
func (q *Queuer) SetInherited(team unit.Team, amount unit.Resources) {
	q.zone.SetInherited(team, amount)
}

// ClearInherited is called once every upstream of the zone was claimed, or the
// leases of the predecessor's tasks have surely ended.
func (q *Queuer) ClearInherited(team unit.Team) {
	q.zone.ClearInherited(team)
	q.recheck = true
}

// Waiting returns the number of waiting tasks.
func (q *Queuer) Waiting() int { return len(q.tasks) }
