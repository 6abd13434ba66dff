// Package keeper is the replicated state of a scheduling domain that spans all
// availability zones: the operator's configuration, the evacuated zones, the upstreams, the jobs
// with their steps, and the runs of their tasks.
//
// A State is a replicator.StateMachine. Its commands record decisions and
// observations. Apply makes no decisions of its own, so replicas that have
// applied the same log index have the same state. The leader of the log makes the
// decisions. It keeps a second State, which is ahead of the log: it applies its
// commands to that copy before they are committed.
//
// A run is recorded before its start order is sent. From then on it is live: it
// may exist on its upstream, and it counts against the upstream's capacity and
// the account's quota until a command records its outcome. A new leader
// therefore knows what may run on an upstream that it can't reach.
package keeper
