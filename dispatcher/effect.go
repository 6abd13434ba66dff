package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Effect is something that the caller of a Dispatcher must carry out. The set
// is closed: Enqueue, Dequeue, Intend, Unintend, Send, Halt, Release, Adopt,
// Record, Answer, Announce, Withdraw, Quiet.
type Effect interface{ effect() }

// Enqueue puts a task in the queue; see Placed and Reject.
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

// Intend commits the intent to start an attempt; see Intended.
type Intend struct {
	Request  Request
	Epoch    unit.Epoch
	Attempt  unit.Task
	Upstream unit.Upstream
}

// Unintend takes an intent back, since the attempt surely never ran.
type Unintend struct {
	Request unit.Request
	// Epoch is the one that the intent was made under.
	Epoch   unit.Epoch
	Attempt unit.Task
}

// Send sends a placed task to its upstream. The caller must call Sending just
// before the order leaves, and then Replied or Unsent.
type Send struct{ Task unit.Task }

// Halt tells an upstream to stop a task. A lost one is repeated with the next
// report.
type Halt struct {
	Address string
	Order   StopOrder
}

// Release takes a task off its upstream and its team's account.
type Release struct {
	Task unit.Task
	End  End
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

// Answer tells the waiting callers of a request its outcome.
type Answer struct {
	Request unit.Request
	Outcome Outcome
}

// Announce tells what an upstream of this scheduler offers.
type Announce struct {
	Upstream  unit.Upstream
	Rack      unit.Rack
	Holds     unit.Resources
	Departing bool
}

// Withdraw says that an upstream is gone and nothing runs there any more.
type Withdraw struct{ Upstream unit.Upstream }

// Quiet says that nothing an earlier scheduler started can run unknown any
// more.
type Quiet struct{}

func (Enqueue) effect()  {}
func (Dequeue) effect()  {}
func (Intend) effect()   {}
func (Unintend) effect() {}
func (Send) effect()     {}
func (Halt) effect()     {}
func (Release) effect()  {}
func (Adopt) effect()    {}
func (Record) effect()   {}
func (Answer) effect()   {}
func (Announce) effect() {}
func (Withdraw) effect() {}
func (Quiet) effect()    {}

// End is how a task came off its upstream. The set is closed: Completed,
// Halted, Unstarted, Lapsed.
type End interface{ end() }

// Completed is a task that ran to its end.
type Completed struct{ Failed bool }

// Halted is a task that was stopped.
type Halted struct{ Checkpointed bool }

// Unstarted is a task that surely never ran. Blame says that its upstream is
// the reason.
type Unstarted struct{ Blame bool }

// Lapsed is a task whose lease has surely ended, or whose upstream has
// restarted.
type Lapsed struct{}

func (Completed) end() {}
func (Halted) end()    {}
func (Unstarted) end() {}
func (Lapsed) end()    {}
