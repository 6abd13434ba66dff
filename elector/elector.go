// Package elector decides which instance schedules an availability zone.
//
// The replicated log hands out an epoch for each zone. Its holder may start
// work while it has a fresh lease from the log's leader, or while every other
// entry instance of its zone has promised within the last lease time not to
// take the zone over. A successor takes the zone only after the holder's lease
// has lapsed, and only if it has no promise outstanding.
//
// The holder counts a lease or promise from when it sent the request, the
// granter from when it answered, and adds an allowance for clock drift: the
// holder's view ends first.
//
// Machine and Granter are deterministic state machines. Elector drives a
// Machine over the mesh; Leader serves a Granter on the log's leader.
package elector
