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

// Renew asks the log's leader to renew the holder's lease.
type Renew struct {
	AvailabilityZone unit.AvailabilityZone
	Instance         unit.Instance
	Epoch            unit.Epoch
	Roster           Roster
}

// RenewReply answers a Renew.
type RenewReply struct {
	Granted bool
	// Receipt is for the holder's roster.
	Receipt Receipt
}

// Ask asks the log's leader whether the lease of a zone has lapsed. It can't
// change the zone, so an instance may ask while it is bound by a promise.
type Ask struct {
	AvailabilityZone unit.AvailabilityZone
	Prior            unit.Epoch
}

// AskReply holds a ticket for a Take if the lease has lapsed.
type AskReply struct {
	Lapsed bool
	Ticket Ticket
}

// Ticket bounds how late a Take may still be carried out: it is good for one
// lease time, at the leader that issued it and only while it leads. Without
// it, a Take that was delayed in the network could be carried out after its
// sender promised not to take the zone.
type Ticket struct {
	Leader unit.Instance
	// Since tells the leaderships of one instance apart.
	Since clock.Millis
	// IssuedAt is the leader's time.
	IssuedAt clock.Millis
}

// Take asks the log's leader to make Instance the scheduler of the zone.
type Take struct {
	AvailabilityZone unit.AvailabilityZone
	Instance         unit.Instance
	Prior            unit.Epoch
	Ticket           Ticket
}

// TakeReply answers a Take. One that isn't Taken is no proof that the zone
// won't be taken: another copy of the same Take may still be on its way.
type TakeReply struct {
	Taken bool
	Epoch unit.Epoch
	// Roster is the prior holder's roster, if RosterKnown.
	Roster      Roster
	RosterKnown bool
}

// Promise asks another entry instance of the zone not to take the zone from
// the holder of Epoch for one lease time.
type Promise struct {
	AvailabilityZone unit.AvailabilityZone
	Instance         unit.Instance
	Epoch            unit.Epoch
	Roster           Roster
}

// PromiseReply answers a Promise.
type PromiseReply struct {
	Given bool
	// Receipt is for the holder's roster.
	Receipt Receipt
}

// Release says that the holder of Epoch starts nothing more: its lease and
// the promises given to it are void.
type Release struct {
	AvailabilityZone unit.AvailabilityZone
	Instance         unit.Instance
	Epoch            unit.Epoch
}

// Drift is the allowance that a granter adds to a lease, since clocks of
// instances may run at different speeds.
func Drift(lease clock.Millis) clock.Millis {
	return max(lease/10, 1)
}
