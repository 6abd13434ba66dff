package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Effect is something that the caller of a Dispatcher must carry out. The set
// is closed: Enqueue, Dequeue, CommitIntent, RevokeIntent, SendStart, SendStop,
// Release, Adopt, Record, NotifyCallers, UpdateUpstream, RemoveUpstream,
// RecoveryComplete.
type Effect interface{ effect() }

// Enqueue puts a task in the queue; see HandlePlacement and Reject.
type Enqueue struct {
	Task    unit.Task
	Request Request
	// Attempt groups the Size tasks that start together or not at all.
	Attempt unit.Task
	Size    int
	// Deadline is when starting becomes useless; 0 if never.
	Deadline clock.Millis
}

// Dequeue takes a task that isn't placed yet out of the queue.
type Dequeue struct{ Task unit.Task }

// CommitIntent commits the intent to start an attempt; see HandleIntentResult.
type CommitIntent struct {
	Request  Request
	Epoch    unit.Epoch
	Attempt  unit.Task
	Upstream unit.Upstream
}

// RevokeIntent takes an intent back, since the attempt surely never ran.
type RevokeIntent struct {
	Request unit.Request
	// Epoch is the one that the intent was made under.
	Epoch   unit.Epoch
	Attempt unit.Task
}

// SendStart sends a placed task to its upstream. The caller must call PrepareStart just
// before the order leaves, and then HandleStartReply or HandleStartNotSent.
type SendStart struct{ Task unit.Task }

// SendStop tells an upstream to stop a task. A lost one is repeated with the next
// report.
type SendStop struct {
	Address string
	Order   StopOrder
}

// Release takes a task off its upstream and its team's account.
type Release struct {
	Task unit.Task
	End  TaskOutcome
}

// Adopt charges a task that an upstream was found to run.
type Adopt struct {
	Running  Running
	Request  Request
	Upstream unit.Upstream
}

// Record commits the outcome of a request; see Recorded.
type Record struct {
	Request unit.Request
	// Epoch is the one that the outcome was decided under.
	Epoch   unit.Epoch
	Outcome Outcome
}

// NotifyCallers tells the waiting callers of a request its outcome.
type NotifyCallers struct {
	Request unit.Request
	Outcome Outcome
}

// UpdateUpstream tells what an upstream of this scheduler offers.
type UpdateUpstream struct {
	Upstream      unit.Upstream
	Rack          unit.Rack
	Capacity      unit.Resources
	Unschedulable bool
}

// RemoveUpstream says that an upstream is gone and nothing runs there any more.
type RemoveUpstream struct{ Upstream unit.Upstream }

// RecoveryComplete says that nothing an earlier scheduler started can run unknown any
// more.
type RecoveryComplete struct{}

func (Enqueue) effect()          {}
func (Dequeue) effect()          {}
func (CommitIntent) effect()     {}
func (RevokeIntent) effect()     {}
func (SendStart) effect()        {}
func (SendStop) effect()         {}
func (Release) effect()          {}
func (Adopt) effect()            {}
func (Record) effect()           {}
func (NotifyCallers) effect()    {}
func (UpdateUpstream) effect()   {}
func (RemoveUpstream) effect()   {}
func (RecoveryComplete) effect() {}

// TaskOutcome is how a task came off its upstream. The set is closed: Completed,
// Stopped, Unstarted, Lost.
type TaskOutcome interface{ end() }

// Completed is a task that ran to its end.
type Completed struct{ Failed bool }

// Stopped is a task that was stopped.
type Stopped struct{ Checkpointed bool }

// Unstarted is a task that surely never ran. UpstreamFault says that its upstream is
// the reason.
type Unstarted struct{ UpstreamFault bool }

// Lost is a task whose lease has surely ended, or whose upstream has
// restarted.
type Lost struct{}

func (Completed) end() {}
func (Stopped) end()   {}
func (Unstarted) end() {}
func (Lost) end()      {}
