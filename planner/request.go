package planner

import (
	"strconv"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// Request is a request of a caller, an operator or an upstream to the leader. The set of
// its types is closed.
type Request interface{ request() }

// Address names the queue, and for some requests the job, by host and path, and identifies
// the caller by its API key.
type Address struct {
	_      struct{} `cbor:",toarray"`
	Host   string
	Path   string
	APIKey string
}

// Submit submits a job. It may be sent again with the same ID.
type Submit struct {
	_          struct{} `cbor:",toarray"`
	Address    Address
	ID         keeper.JobID
	Submission keeper.Submission
}

// GetJob asks for a job's phase.
type GetJob struct {
	_       struct{} `cbor:",toarray"`
	Address Address
	ID      keeper.JobID
}

// Cancel cancels a job.
type Cancel struct {
	_       struct{} `cbor:",toarray"`
	Address Address
	ID      keeper.JobID
}

// CountQueued asks how many jobs of a queue have not begun.
type CountQueued struct {
	_       struct{} `cbor:",toarray"`
	Address Address
}

// PutConfig replaces the configuration. A version that isn't newer than the current one is
// ignored.
type PutConfig struct {
	_      struct{} `cbor:",toarray"`
	Config keeper.Config
}

// GetConfig asks for the document of the current configuration.
type GetConfig struct {
	_ struct{} `cbor:",toarray"`
}

// ReportUpstream is the report that an upstream sends by itself.
type ReportUpstream struct {
	_              struct{} `cbor:",toarray"`
	Upstream       keeper.Upstream
	Clock          clock.Millis
	Seq            int64
	DrainRemaining clock.Millis
}

// DeregisterUpstream is the message that an upstream sends when it leaves.
type DeregisterUpstream struct {
	_  struct{} `cbor:",toarray"`
	ID unit.Upstream
}

// Heartbeat is the periodic liveness message of an instance to the leader.
type Heartbeat struct {
	_    struct{} `cbor:",toarray"`
	From unit.Instance
	// RequestsTickets is set if the instance can call the advice service.
	RequestsTickets bool
	// RelaysOrders is set if the instance relays orders to the upstreams of its zone.
	RelaysOrders bool
	Zone         unit.AvailabilityZone
	// BootTime is the reading of the instance's boot time clock.
	BootTime clock.Millis
}

func (Submit) request()             {}
func (GetJob) request()             {}
func (Cancel) request()             {}
func (CountQueued) request()        {}
func (PutConfig) request()          {}
func (GetConfig) request()          {}
func (ReportUpstream) request()     {}
func (DeregisterUpstream) request() {}
func (Heartbeat) request()          {}

var requests = encoder.NewSet(
	Submit{}, GetJob{}, Cancel{}, CountQueued{}, PutConfig{}, GetConfig{}, ReportUpstream{}, DeregisterUpstream{}, Heartbeat{},
	Evacuate{},
)

// EncodeRequest encodes a request for the mesh.
func EncodeRequest(r Request) []byte { return requests.Marshal(r) }

// DecodeRequest decodes a request that EncodeRequest has encoded.
func DecodeRequest(data []byte) (Request, error) {
	v, err := requests.Unmarshal(data)
	if err != nil {
		return nil, err
	}
	r, _ := v.(Request)
	return r, nil
}

// Code is the result of a request.
type Code uint8

// The codes of replies.
const (
	// OK means that the request was executed, and that its change, if any, is durable.
	OK Code = iota
	// QueueNotFound means that no queue has this host and path.
	QueueNotFound
	// Unauthorized means that the key isn't one of a known account.
	Unauthorized
	// JobNotFound means that there is no such job, or that the caller may not access it.
	JobNotFound
	// Invalid means that the request isn't valid; retrying it doesn't help.
	Invalid
	// Overloaded means that nothing was done; the caller should retry later.
	Overloaded
	// Unavailable means that nothing was done, since the leader is unreachable or not
	// ready.
	Unavailable
	// Unknown means that it isn't known whether the request was executed; the caller should
	// ask again.
	Unknown
)

// String returns the code's name in logs.
func (c Code) String() string {
	names := [...]string{"OK", "NoQueue", "Unauthorized", "Gone", "Invalid", "Overloaded", "Unavailable", "Unknown"}
	if int(c) < len(names) {
		return names[c]
	}
	return "Code" + strconv.Itoa(int(c))
}

// Reply is the reply to a Request.
type Reply struct {
	_    struct{} `cbor:",toarray"`
	Code Code
	// Message is an explanation for people.
	Message string
	// RetryAfter is when to retry after Overloaded or Unavailable.
	RetryAfter clock.Millis
	Phase      keeper.Phase
	QueuedJobs int
	Document   []byte
	HTTPLimits keeper.HTTPLimits
}
