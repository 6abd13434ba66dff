// Package placer decides which upstream a task runs on.
//
// It keeps a Cell: the upstreams of one availability zone with what each
// holds and what is reserved on it. Three kinds of work have three policies:
// a Service is spread over racks, a Batch task is packed tightly and may be
// preempted, a Gang is reserved whole or not at all. An upstream is never
// given more than it holds, whatever the order of events.
//
// The package is a deterministic state machine: no goroutine, no clock.
package placer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Kind is the kind of work of a task. The set is closed: Service, Batch, Gang.
type Kind interface{ kind() }

// Service is long-running work: spread over racks, disturbed last.
type Service struct{}

// Batch is work that can wait: packed tightly and preemptible.
type Batch struct {
	// Checkpoints says that a preempted task goes on from its checkpoint;
	// without it a preempted task starts again from the beginning, and one
	// that isn't repeatable is never preempted.
	Checkpoints bool
}

// Gang is one task of an all-at-once job: all Size tasks start, or none.
type Gang struct {
	ID   unit.Workload
	Size int
}

func (Service) kind() {}
func (Batch) kind()   {}
func (Gang) kind()    {}

// Upstream is an upstream as the cell knows it.
type Upstream struct {
	ID       unit.Upstream
	Rack     unit.Rack
	Capacity unit.Resources
	// Unschedulable is set once the upstream said it will leave, or fell silent:
	// it gets nothing new.
	Unschedulable bool
}

// Task is a task to place.
type Task struct {
	ID      unit.Task
	Team    unit.Team
	Account unit.ClientAccount
	// Workload groups tasks of the same service, batch work, job or queue; sizes
	// and run times are learned per work.
	Workload unit.Workload
	Kind     Kind
	// Need is the declared size.
	Need unit.Resources
	// Urgent work starts first, by preemption if it must.
	Urgent bool
	// Repeatable work may be run again after it was stopped.
	Repeatable bool
	// RunTime is the declared run time; 0 if none was declared.
	RunTime clock.Millis
	// DependsOn names the work that must be settled before this task starts.
	DependsOn []unit.Workload
	// StartDeadline is the point in time after which starting is useless; 0 if
	// there is none.
	StartDeadline clock.Millis
}
