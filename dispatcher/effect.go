package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Effect is an action that the caller of a Dispatcher must carry out: Enqueue,
// Dequeue, CommitIntent, RetractIntent, SendStart, SendStop, Release, Adopt,
// Record, NotifyCallers, UpdateUpstream, RemoveUpstream or RecoveryComplete.
type Effect interface{ effect() }

// Enqueue puts a task in the queue. The caller reports the result with
// HandlePlacement, Reject or Postpone.
type Enqueue struct {
	Task    unit.Task
	Request Request
	// Attempt is shared by the Size tasks that start together or not at all.
	Attempt unit.Task
	Size    int
	// Deadline is the latest useful start time; 0 if there is none.
	Deadline clock.Millis
}

// Dequeue removes a task that isn't placed yet from the queue.
type Dequeue struct{ Task unit.Task }

// CommitIntent commits the intent to start an attempt. The caller reports the
// result with HandleIntentResult.
type CommitIntent struct {
	Request  Request
	Epoch    unit.Epoch
	Attempt  unit.Task
	Upstream unit.Upstream
}

// RetractIntent retracts the intent of an attempt that never ran.
type RetractIntent struct {
	Request unit.Request
	// Epoch is the epoch under which the intent was proposed.
	Epoch   unit.Epoch
	Attempt unit.Task
}

// SendStart sends a placed task to its upstream. The caller must call
// PrepareStart just before it sends the order, and then HandleStartReply,
// HandleStartUnknown or HandleStartNotSent.
type SendStart struct{ Task unit.Task }

// SendStop sends a stop order to an upstream. A lost order is repeated in the
// reply to the upstream's next report.
type SendStop struct {
	Address string
	Order   StopOrder
}

// Release frees the resources of a task on its upstream and in its team's usage.
type Release struct {
	Task unit.Task
	End  TaskOutcome
}

// Adopt charges the resources of a task that an upstream reported as running.
type Adopt struct {
	Running  Running
	Request  Request
	Upstream unit.Upstream
}

// Record commits the outcome of a request to the log. The caller reports the
// commit with HandleOutcomeRecorded.
type Record struct {
	Request unit.Request
	// Epoch is the epoch under which the outcome was decided.
	Epoch   unit.Epoch
	Outcome Outcome
}

// NotifyCallers sends the outcome of a request to its waiting callers.
type NotifyCallers struct {
	Request unit.Request
	Outcome Outcome
}

// UpdateUpstream adds an upstream to the placement, or updates its capacity and
// state.
type UpdateUpstream struct {
	Upstream      unit.Upstream
	Rack          unit.Rack
	Capacity      unit.Resources
	Unschedulable bool
}

// RemoveUpstream removes an upstream on which nothing runs any more.
type RemoveUpstream struct{ Upstream unit.Upstream }

// RecoveryComplete reports that no untracked task of an earlier scheduler can
// run any more.
type RecoveryComplete struct{}

func (Enqueue) effect()          {}
func (Dequeue) effect()          {}
func (CommitIntent) effect()     {}
func (RetractIntent) effect()    {}
func (SendStart) effect()        {}
func (SendStop) effect()         {}
func (Release) effect()          {}
func (Adopt) effect()            {}
func (Record) effect()           {}
func (NotifyCallers) effect()    {}
func (UpdateUpstream) effect()   {}
func (RemoveUpstream) effect()   {}
func (RecoveryComplete) effect() {}

// TaskOutcome is how a task ended: Completed, Stopped, Unstarted or Lost.
type TaskOutcome interface{ taskOutcome() }

// Completed means that the task ran to its end.
type Completed struct{ Failed bool }

// Stopped means that the upstream stopped the task before its end.
type Stopped struct{ Checkpointed bool }

// Unstarted means that the task never ran. UpstreamFault is set if its upstream
// is the cause.
type Unstarted struct{ UpstreamFault bool }

// Lost means that the lease of the task has expired, or that its upstream has
// restarted.
type Lost struct{}

func (Completed) taskOutcome() {}
func (Stopped) taskOutcome()   {}
func (Unstarted) taskOutcome() {}
func (Lost) taskOutcome()      {}
