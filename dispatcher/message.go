package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Report is an upstream's periodic report. A new scheduler of the zone rebuilds
// its state of the upstreams from reports.
type Report struct {
	Upstream unit.Upstream
	// Incarnation changes when the upstream process restarts; no task of an
	// earlier incarnation runs any more.
	Incarnation unit.Incarnation
	// Sequence numbers the reports of an incarnation from 1, so that a delayed
	// report is recognised; 0 means that they aren't numbered.
	Sequence         uint64
	AvailabilityZone unit.AvailabilityZone
	Rack             unit.Rack
	// Address is the host and port of the upstream's HTTP interface.
	Address string
	// Holds is the upstream's capacity.
	Holds unit.Resources
	// Departing is set while the upstream is on its way out; it gets no new
	// tasks.
	Departing bool
	// Epoch is the highest scheduler epoch that the upstream has received; it
	// refuses start orders of lower ones.
	Epoch   unit.Epoch
	Running []Running
	// Ended lists the ended tasks that no ReportReply has listed in Forget.
	Ended []Ended
}

// Running is a task that an upstream currently runs.
type Running struct {
	Task    unit.Task
	Request unit.Request
	Team    unit.Team
	Epoch   unit.Epoch
	Need    unit.Resources
	// Usage is the measured use of resources; it lags behind the present.
	Usage unit.Resources
}

// Ended is a task that ended on an upstream.
type Ended struct {
	Task    unit.Task
	Request unit.Request
	Team    unit.Team
	Done    Done
	// Stopped is set if the task ended because of a stop order or because its
	// lease expired; Done is then unused.
	Stopped bool
	// Checkpointed is set if a stopped task can resume from a checkpoint.
	Checkpointed bool
}

// ReportReply is the scheduler's reply to a Report. It renews the lease of
// every task that the report listed as running and that isn't in Stop.
type ReportReply struct {
	// Epoch is the scheduler's epoch.
	Epoch unit.Epoch
	// Lease is the duration of the renewed leases. The upstream counts it from
	// when it sent the report, so the lease expires there before it expires at
	// the scheduler.
	Lease clock.Millis
	Stop  []StopOrder
	// Forget lists the ended tasks that the upstream may stop reporting.
	Forget []unit.Task
}

// StopOrder orders an upstream to stop a task, after a checkpoint if Checkpoint
// is set.
type StopOrder struct {
	Task       unit.Task
	Checkpoint bool
}

// StartOrder orders an upstream to run a task.
type StartOrder struct {
	Task    unit.Task
	Request unit.Request
	Team    unit.Team
	Epoch   unit.Epoch
	// Lease is how long the task may run without a renewal. The upstream
	// counts it from the receipt of the order.
	Lease clock.Millis
	// Expiry is how long after sending the order may be executed. An upstream
	// refuses an order that was delayed for longer.
	Expiry clock.Millis
	// Incarnation is the upstream's incarnation that the order is meant for;
	// any other incarnation refuses it.
	Incarnation unit.Incarnation
	// Sequence is the number of the upstream's latest report that the
	// scheduler had handled when it sent the order. The upstream refuses the
	// order once Expiry has passed on its own clock since it sent that report.
	// This also refuses an order that stayed in a buffer while the upstream
	// was paused.
	Sequence uint64
	Need     unit.Resources
	// Resume is set if the task continues from a checkpoint.
	Resume bool
	Data   []byte
}

// StartReply is an upstream's reply to a StartOrder: Finished, Started or
// Refused.
type StartReply interface{ startReply() }

// Finished means that the task ran to its end before the reply was sent.
type Finished struct{ Done Done }

// Started means that the task is running; a later Report lists its end.
type Started struct{}

// Refused means that the upstream doesn't run the task and will never run it
// under this task id.
type Refused struct {
	Detail string
	// Epoch is the highest scheduler epoch that the upstream has received.
	Epoch unit.Epoch
}

func (Finished) startReply() {}
func (Started) startReply()  {}
func (Refused) startReply()  {}
