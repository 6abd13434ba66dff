// Package unit defines the types that the other packages share: a distinct type for
// each kind of id, so that the compiler detects a mixed-up id, and quantities whose
// type has a unit.
package unit

// Instance is the name of one of the system's own processes, unique in the fleet.
type Instance string

// Incarnation distinguishes the successive disks of an instance and the successive
// processes of an upstream. An instance whose disk was lost and an upstream that was
// restarted have a new incarnation.
type Incarnation string

// AvailabilityZone is the name of an availability zone.
type AvailabilityZone string

// Rack is the name of a rack in an availability zone.
type Rack string

// Upstream is the name of an upstream, which runs tasks and sends reports.
type Upstream string

// Team is the name of a team, which has a fair share and an upper limit.
type Team string

// ClientAccount is the name of a team's client account, to which keys are granted.
type ClientAccount string

// Queue is the name of a queue to which callers submit requests.
type Queue string

// Workload is the name of a service, a batch or a job in the configuration.
type Workload string

// Request is the id of a caller's request. It is scoped by the client account that
// sent it (see ScopedRequest), so that no account can fetch another's answers.
type Request string

// Task is the id of a task: one attempt, or one member of a gang's attempt, to run a
// request or a piece of a workload on an upstream. A task id is never reused, so
// another attempt has other task ids.
type Task string

// Epoch numbers the successive schedulers of one availability zone. Commands of a
// lower epoch than the current one are rejected.
type Epoch uint64

// Version numbers the accepted configurations, starting from 1.
type Version uint64

// ScopedRequest returns the fleet-wide id of a request that a client account
// submitted under its own id. The account of a submission to an open queue is empty.
func ScopedRequest(account ClientAccount, id string) Request {
	return Request(string(account) + "/" + id)
}
