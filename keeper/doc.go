// Package keeper is the replicated state of a scheduling domain that spans all
// availability zones: the operator's configuration, the upstreams, the jobs
// with their steps, and the runs of their tasks.
//
// A State is a replicator.StateMachine. It holds facts: commands say what was
// decided or seen, and Apply records it without a judgement of its own, so all
// copies are equal at equal index. Who decides is the holder of the domain, the
// leader of the log; it keeps a second State ahead of the log, to which its
// commands are applied when they are proposed.
//
// A run is in the state before its start is sent. From then on it is live: it
// may exist on its upstream, counts against the upstream's capacity and the
// account's maximum, until a command says how it ended. So a successor knows
// what may run on an upstream that it can't reach.
package keeper
