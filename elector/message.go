package elector

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/unit"
)

// The mesh methods of this package.
const (
	MethodRenew   instance.Method = "elector.renew"
	MethodAsk     instance.Method = "elector.ask"
	MethodTake    instance.Method = "elector.take"
	MethodPromise instance.Method = "elector.promise"
	MethodRelease instance.Method = "elector.release"
)

// Renew asks the log's leader to renew the lease of the holder of Epoch.
type Renew struct {
	AvailabilityZone unit.AvailabilityZone
	Instance         unit.Instance
	Epoch            unit.Epoch
	Roster           Roster
}

// RenewReply is the reply to a Renew.
type RenewReply struct {
	Granted bool
	// Receipt acknowledges the holder's roster.
	Receipt Receipt
}

// Ask asks the log's leader whether the lease of a zone has expired. It is a
// pre-vote: it changes nothing at the leader, so an instance may send it while
// it is bound by a promise. Prior is the epoch of the lease.
type Ask struct {
	AvailabilityZone unit.AvailabilityZone
	Prior            unit.Epoch
}

// AskReply is the reply to an Ask. It has a ticket for a Take if the lease has
// expired.
type AskReply struct {
	Lapsed bool
	Ticket Ticket
}

// Ticket bounds how late a Take may be executed. It is valid for one lease
// duration, only at the leader that issued it and during the same leadership.
// Without a ticket, a Take that was delayed in the network could be executed
// after its sender promised not to take the zone.
type Ticket struct {
	Leader unit.Instance
	// Since is when the leadership began; it identifies the leadership.
	Since clock.Millis
	// IssuedAt is when the ticket was issued, by the leader's clock.
	IssuedAt clock.Millis
}

// Take asks the log's leader to make Instance the holder of the zone, in place
// of the holder of Prior.
type Take struct {
	AvailabilityZone unit.AvailabilityZone
	Instance         unit.Instance
	Prior            unit.Epoch
	Ticket           Ticket
}

// TakeReply is the reply to a Take. If Taken is false, the zone may still be
// taken later, by a duplicate of the same Take that is in transit.
type TakeReply struct {
	Taken bool
	Epoch unit.Epoch
	// Roster is the prior holder's roster, valid if RosterKnown is set.
	Roster      Roster
	RosterKnown bool
}

// Promise asks another entry instance of the zone to promise that it won't take
// the zone from the holder of Epoch for one lease duration.
type Promise struct {
	AvailabilityZone unit.AvailabilityZone
	Instance         unit.Instance
	Epoch            unit.Epoch
	Roster           Roster
}

// PromiseReply is the reply to a Promise.
type PromiseReply struct {
	Given bool
	// Receipt acknowledges the holder's roster.
	Receipt Receipt
}

// Release informs the log's leader and the peers that the holder of Epoch starts
// no more tasks, so that its lease and the promises given to it are void.
type Release struct {
	AvailabilityZone unit.AvailabilityZone
	Instance         unit.Instance
	Epoch            unit.Epoch
}

// DriftAllowance returns the time that a granter adds to a lease or promise,
// since the clocks of instances may run at different speeds.
func DriftAllowance(lease clock.Millis) clock.Millis {
	return max(lease/10, 1)
}
