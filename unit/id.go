// Package unit holds the named types that every other package shares: ids
// that can't be confused with one another, and quantities that carry their
// unit in the type.
package unit

// Instance names one of the system's own processes, unique in the fleet.
type Instance string

// Incarnation tells the lives of an instance's disk apart. An instance whose
// disk was lost comes back under a new incarnation.
type Incarnation string

// AvailabilityZone names an availability zone.
type AvailabilityZone string

// Rack names a rack of an availability zone.
type Rack string

// Upstream names a worker that announces itself and runs tasks.
type Upstream string

// Team names a team: the owner of a share and an upper limit.
type Team string

// ClientAccount names a client account of a team; keys are granted to it.
type ClientAccount string

// Queue names a queue that callers submit requests to.
type Queue string

// Workload names a service, a batch work or a job of the operator's text.
type Workload string

// Request names a caller's request. It is scoped by the client account that
// sent it (see ScopedRequest), so accounts never see each other's answers.
type Request string

// Task names one run of something on an upstream. A task id is never reused.
type Task string

// Epoch numbers the schedulers of one availability zone; a higher epoch
// fences off the lower ones.
type Epoch uint64

// Version numbers the accepted configurations, from 1.
type Version uint64

// ScopedRequest returns the fleet-wide id of a request that account sent
// under its own id. Work of open queues has the empty account.
func ScopedRequest(account ClientAccount, id string) Request {
	return Request(string(account) + "/" + id)
}
