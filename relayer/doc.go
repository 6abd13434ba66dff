// Package relayer has other instances carry out the holder's orders to
// upstreams.
//
// An order over HTTP costs the holder many times what a message on the mesh
// does, and at some hundreds of upstreams it would use up its processor. A
// Relayer therefore gives each order to an instance in the upstream's
// availability zone that attends and offers to relay, and carries it out itself
// if there is none or if that instance fails. An order is never sent again by
// another way once the first may have carried it out.
//
// A relay that stood still must not send what it finds in its buffers when it
// wakes. Each order therefore says until when it may leave, on the relay's own
// steady clock, which the holder knows from the relay's latest sign of life.
package relayer
