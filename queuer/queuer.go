// Package queuer decides which waiting task starts next, and asks the placer
// where.
//
// Order: urgent work first, then teams by weighted dominant share of what
// they really hold, then client accounts inside a team by the same rule, then
// order of arrival. A task that can't start now says why (see Why) and holds
// up nobody behind it that could start without delaying it.
//
// The package is a deterministic state machine: no goroutine, no clock.
package queuer

import (
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// Decision is something the scheduler must now carry out. The set is closed:
// Start, Stop, Reject.
type Decision interface{ decision() }

// Start tells to start a task on an upstream. Its resources and allotment are
// reserved already.
type Start struct {
	Task     unit.Task
	Upstream unit.Upstream
}

// Stop tells to checkpoint or stop a running task, to make room for another
// or to return below a lowered limit. The task holds its resources until
// Ended is called.
type Stop struct {
	Task       unit.Task
	Upstream   unit.Upstream
	Checkpoint bool
}

// Reject gives a waiting task a final end: it can never run.
type Reject struct {
	Task    unit.Task
	Refusal dispatcher.Refusal
}

func (Start) decision()  {}
func (Stop) decision()   {}
func (Reject) decision() {}
