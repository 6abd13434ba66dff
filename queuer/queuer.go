// Package queuer decides which waiting task starts next. Package placer decides
// on which upstream.
//
// Urgent tasks start first. Other tasks start in the order of their teams'
// weighted dominant shares of the cell, then of their client accounts' dominant
// shares, then of arrival. Shares count what running tasks are charged. A
// task that can't start now doesn't block tasks behind it that can start without
// delaying it; WaitReason returns why it waits.
//
// Tasks of the same client account, workload, kind and need can start under the
// same conditions, so they wait in one queue, called a lane. A pass goes over the
// lanes in the order above and tries the first task of each. A lane that found no
// capacity is tried again only on upstreams whose free capacity has grown since.
// The cost of a decision therefore grows with the number of lanes, but not with
// the number of waiting tasks or upstreams.
//
// The package is a deterministic state machine: it starts no goroutine and
// reads no clock.
package queuer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/limiter"
	"github.com/chervilvane/chervilvane/placer"
	"github.com/chervilvane/chervilvane/unit"
)

// Decision is an action that the scheduler must carry out. The set is closed:
// Start, Preempt, Reject.
type Decision interface{ decision() }

// Start starts a task on an upstream. The task is already charged to the upstream
// and to the team's allotment.
type Start struct {
	Task     unit.Task
	Upstream unit.Upstream
}

// Preempt stops a running task, after a checkpoint if Checkpoint is set, to free
// capacity or allotment for another task, or because more is charged than the
// upstream's capacity or the team's allotment. The task stays charged until
// FinishTask is called.
type Preempt struct {
	Task       unit.Task
	Upstream   unit.Upstream
	Checkpoint bool
}

// Reject ends a waiting task that can't run any more.
type Reject struct {
	Task    unit.Task
	Refusal dispatcher.Refusal
}

func (Start) decision()   {}
func (Preempt) decision() {}
func (Reject) decision()  {}

// Queuer queues the waiting tasks of one availability zone and tracks its cell and
// allotments.
type Queuer struct {
	config Config
	// fair is set for the policy Fair.
	fair  bool
	cell  *placer.Cell
	quota *limiter.ZoneQuota

	teams       map[unit.Team]*team
	teamsByName []*team
	tasks       map[unit.Task]*waiting
	lanes       map[laneKey]*lane
	seq         uint64
	// waitingCounts counts the urgent and the other waiting tasks.
	waitingCounts [numClasses]int

	resolved   map[unit.Workload]bool
	dependants map[unit.Workload][]*waiting
	// failedWorkloads lists workloads whose dependants must be rejected.
	failedWorkloads  []unit.Workload
	profiles         map[unit.Workload]*profile
	deadlines        deadlines
	runningGangTasks map[gangKey]int
	// maybeOverCapacity is the set of upstreams whose capacity may be less than
	// what is charged to them.
	maybeOverCapacity map[unit.Upstream]struct{}
	// overused is the set of upstreams whose usage exceeds their capacity by
	// more than the tolerance.
	overused              map[unit.Upstream]struct{}
	claims                []*waiting
	reservation           *reservation
	lastSearchAt          clock.Millis
	lastSharePreemptionAt clock.Millis
	// infeasible lists the lanes whose tasks fit on no upstream, not even an
	// empty one.
	infeasible []*lane
	// checkOverage is set while a team may be charged more than its allotment.
	checkOverage bool

	// freed lists the upstreams that may have the capacity for a lane that found
	// none.
	freed []unit.Upstream
	// passNeeded requests a pass over the untried lanes even if no capacity was
	// freed.
	passNeeded bool
	// minBlockedCharge is a lower bound, in each dimension, of the charges of the
	// lanes that found no capacity.
	minBlockedCharge unit.Resources
	// firstUpstreamAt is when SetUpstream was first called, if hadUpstream.
	firstUpstreamAt clock.Millis
	hadUpstream     bool

	// Tests set these to check that the property tests detect a broken variant.
	partialGangs       bool
	ignoreDependencies bool
	noReservations     bool

	now          clock.Millis
	maxDecisions int
	decisions    []Decision
}

// gangKey identifies a gang.
type gangKey struct {
	team unit.Team
	gang unit.Workload
}

// New returns a Queuer without upstreams, teams and tasks.
func New(config Config) *Queuer {
	if config.MaxWaiting <= 0 {
		config.MaxWaiting = DefaultMaxWaiting
	}
	if config.Policy == nil {
		config.Policy = Fair{}
	}
	q := &Queuer{
		config:            config,
		quota:             limiter.NewZoneQuota(),
		teams:             map[unit.Team]*team{},
		tasks:             map[unit.Task]*waiting{},
		lanes:             map[laneKey]*lane{},
		resolved:          map[unit.Workload]bool{},
		dependants:        map[unit.Workload][]*waiting{},
		profiles:          map[unit.Workload]*profile{},
		runningGangTasks:  map[gangKey]int{},
		maybeOverCapacity: map[unit.Upstream]struct{}{},
		overused:          map[unit.Upstream]struct{}{},
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

// Quota returns the zone's allotments and charges. The scheduler uses it to
// release spare allotment.
func (q *Queuer) Quota() *limiter.ZoneQuota { return q.quota }

// SetWeights replaces Config.Weights.
func (q *Queuer) SetWeights(weights Weights) {
	q.config.Weights = weights
}

// SetUpstream adds an upstream or changes it. Its capacity may be lowered.
func (q *Queuer) SetUpstream(now clock.Millis, u placer.Upstream) {
	if !q.hadUpstream {
		q.hadUpstream = true
		q.firstUpstreamAt = now
	}
	if q.cell.SetUpstream(now, u) {
		q.maybeOverCapacity[u.ID] = struct{}{}
	}
}

// RemoveUpstream removes an upstream and returns its tasks. They stay charged
// until FinishTask is called for each.
func (q *Queuer) RemoveUpstream(now clock.Millis, id unit.Upstream) []unit.Task {
	return q.cell.RemoveUpstream(now, id)
}

// SetInherited charges a team's allotment with amount, which tasks that an earlier
// scheduler started may use. Adopt reduces it by the task's need, ClearInherited
// ends it.
func (q *Queuer) SetInherited(team unit.Team, amount unit.Resources) {
	q.quota.SetInherited(team, amount)
}

// ClearInherited ends the charge of SetInherited. Call it once every upstream that
// may run tasks of an earlier scheduler has received the new scheduler's epoch and
// reported its tasks, or the leases of these tasks have certainly expired.
func (q *Queuer) ClearInherited(team unit.Team) {
	q.quota.ClearInherited(team)
	q.passNeeded = true
}

// Waiting returns the number of waiting tasks.
func (q *Queuer) Waiting() int { return len(q.tasks) }
