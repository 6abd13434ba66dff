// Package placer decides which upstream a task runs on.
//
// A Cell tracks the upstreams of one availability zone, the capacity of each, and
// the charges to it and the claims on it. Each kind of task has its own policy:
// a Service is spread over racks, a Batch task is packed tightly and may be
// preempted, and the tasks of a Gang are placed all together or not at all. No
// order of events makes a Cell place more on an upstream than its capacity.
//
// The package is a deterministic state machine: it starts no goroutine and
// reads no clock.
package placer

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Kind is the kind of a task. The set is closed: Service, Batch, Gang.
type Kind interface{ kind() }

// Service is a long-running task. The tasks of a service are spread over racks.
// They are never preempted for other tasks, but may be stopped if the capacity of
// their upstream or the allotment of their team is lowered.
type Service struct{}

// Batch is a task that can wait. It is packed tightly and may be preempted.
type Batch struct {
	// Checkpoints is set if a preempted task resumes from its checkpoint.
	// Without it a preempted task starts again from the beginning, and a task
	// that isn't repeatable is never preempted.
	Checkpoints bool
}

// Gang is one of the Size tasks of a gang, which start all together or not at
// all.
type Gang struct {
	ID   unit.Workload
	Size int
}

func (Service) kind() {}
func (Batch) kind()   {}
func (Gang) kind()    {}

// Upstream describes an upstream to SetUpstream.
type Upstream struct {
	ID       unit.Upstream
	Rack     unit.Rack
	Capacity unit.Resources
	// Unschedulable is set if the upstream is departing or silent. It then gets
	// no new tasks.
	Unschedulable bool
}

// Task is a task to place.
type Task struct {
	ID      unit.Task
	Team    unit.Team
	Account unit.ClientAccount
	// Workload is the service, batch, job or queue that the task belongs to.
	// Usage and run times are learned per workload.
	Workload unit.Workload
	Kind     Kind
	// Need is the resources that the task was declared to use.
	Need unit.Resources
	// Urgent tasks start first, and preempt others if they must.
	Urgent bool
	// Repeatable tasks may be run again after they were stopped.
	Repeatable bool
	// RunTime is the declared run time, 0 if none was declared.
	RunTime clock.Millis
	// DependsOn lists the workloads that must have succeeded or, for services,
	// run before this task starts.
	DependsOn []unit.Workload
	// StartDeadline is the time after which the task must not start any more,
	// 0 if there is none.
	StartDeadline clock.Millis
}
