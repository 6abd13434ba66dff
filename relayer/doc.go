// Package relayer sends the leader's orders and polls to upstreams through other
// instances.
//
// An order over HTTP costs the leader many times as much as a message on the mesh,
// and with some hundreds of upstreams such orders would use up its processor. A
// Relayer therefore passes each order to a live instance in the upstream's
// availability zone that offers to relay. It sends the order itself if there is no
// such instance or if the instance fails. Start and stop orders are never sent
// again once they may have been executed; polls may be.
//
// A relay that was suspended must not send old orders from its buffers when it
// resumes. Each order therefore has a time until which it may be sent, on the
// relay's boot time clock, which the leader knows from the relay's latest
// heartbeat.
package relayer
