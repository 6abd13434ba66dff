package dispatcher

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Report is what an upstream says of itself, again and again. The scheduler
// of a zone rebuilds everything it knows of upstreams from reports.
type Report struct {
	Upstream unit.Upstream
	// Incarnation changes when the upstream process restarts; nothing that ran
	// under an older one runs any more.
	Incarnation unit.Incarnation
	// Sequence numbers the reports of an incarnation from 1, so that a late
	// one isn't taken for news; 0 means that they aren't numbered.
	Sequence         uint64
	AvailabilityZone unit.AvailabilityZone
	Rack             unit.Rack
	// Address is the host and port of the upstream's HTTP interface.
	Address   string
	Holds     unit.Resources
	Departing bool
	// Epoch is the highest scheduler epoch the upstream has seen; it refuses
	// starts of lower ones.
	Epoch   unit.Epoch
	Running []Running
	// Ended lists ended tasks until a ReportReply forgets them.
	Ended []Ended
}

// Running is a task that an upstream runs now.
type Running struct {
	Task    unit.Task
	Request unit.Request
	Team    unit.Team
	Epoch   unit.Epoch
	Need    unit.Resources
	// Usage is measured by the upstream and lags.
	Usage unit.Resources
}

// Ended is a task that an upstream ran to its end.
type Ended struct {
	Task    unit.Task
	Request unit.Request
	Team    unit.Team
	Done    Done
	// Stopped is set when the task ended because it was told to stop or its
	// lease ran out; Done then means nothing.
	Stopped bool
	// Checkpointed says that a stopped task can go on from where it was.
	Checkpointed bool
}

// ReportReply is the scheduler's answer to a Report. It renews the lease of
// every task that the upstream reported running and that isn't in Stop.
type ReportReply struct {
	Epoch unit.Epoch
	// Lease is the time the renewed leases last, counted by the upstream from
	// when it sent the report, so that its view ends first.
	Lease clock.Millis
	Stop  []StopOrder
	// Forget names ended tasks whose end the scheduler holds.
	Forget []unit.Task
}

// StopOrder tells an upstream to stop a task.
type StopOrder struct {
	Task       unit.Task
	Checkpoint bool
}

// StartOrder asks an upstream to run a task.
type StartOrder struct {
	Task    unit.Task
	Request unit.Request
	Team    unit.Team
	Epoch   unit.Epoch
	// Lease is the time the task may run without a renewal, counted by the
	// upstream from the receipt of the order.
	Lease clock.Millis
	// Expiry bounds how late the order may arrive, as a span that the sender
	// counts from sending; an upstream refuses an order that waited longer.
	Expiry clock.Millis
	// Incarnation is the life of the upstream that the order is meant for; any
	// other refuses it.
	Incarnation unit.Incarnation
	// Sequence is the number of the latest report that the scheduler had when
	// it sent the order. The upstream refuses the order once Expiry has passed
	// since it sent that report, by its own clock: so an order that waited in
	// a buffer while the upstream was paused is refused too.
	Sequence uint64
	Need     unit.Resources
	Resume   bool
	Data     []byte
}

// StartReply is an upstream's answer to a StartOrder. The set is closed:
// Finished, Started, Refused.
type StartReply interface{ startReply() }

// Finished is a task that ran to its end while the call was open.
type Finished struct{ Done Done }

// Started is a task that now runs; its end comes with a Report.
type Started struct{}

// Refused is a task that the upstream surely doesn't run and won't run under
// this task id.
type Refused struct {
	Detail string
	// Epoch is the highest epoch the upstream has seen.
	Epoch unit.Epoch
}

func (Finished) startReply() {}
func (Started) startReply()  {}
func (Refused) startReply()  {}
