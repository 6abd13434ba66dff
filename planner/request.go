package planner

import (
	"strconv"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// Request is what a caller, an operator or an upstream asks of the holder. The
// set is closed.
type Request interface{ request() }

// Address says which queue a caller's request is for, and with which key.
type Address struct {
	_      struct{} `cbor:",toarray"`
	Host   string
	Path   string
	APIKey string
}

// Submit hands a job in. It is safe to resend.
type Submit struct {
	_          struct{} `cbor:",toarray"`
	Address    Address
	ID         keeper.JobID
	Submission keeper.Submission
}

// GetJob asks for a job's state.
type GetJob struct {
	_       struct{} `cbor:",toarray"`
	Address Address
	ID      keeper.JobID
}

// Cancel ends a job.
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

// PutConfig sets the configuration.
type PutConfig struct {
	_      struct{} `cbor:",toarray"`
	Config keeper.Config
}

// GetConfig reads the configuration.
type GetConfig struct {
	_ struct{} `cbor:",toarray"`
}

// ReportUpstream is an upstream's report.
type ReportUpstream struct {
	_              struct{} `cbor:",toarray"`
	Upstream       keeper.Upstream
	Clock          clock.Millis
	Seq            int64
	DrainRemaining clock.Millis
}

// DeregisterUpstream is an upstream's end.
type DeregisterUpstream struct {
	_  struct{} `cbor:",toarray"`
	ID unit.Upstream
}

// Heartbeat tells the holder of an instance and what it can do for it.
type Heartbeat struct {
	_    struct{} `cbor:",toarray"`
	From unit.Instance
	// RequestsTickets: the instance takes questions for the advice service.
	RequestsTickets bool
	// Relays: the instance carries out orders to the upstreams of its zone.
	Relays bool
	Zone   unit.AvailabilityZone
	// BootTime is the instance's steady clock.
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
)

// EncodeRequest encodes a request for the mesh.
func EncodeRequest(r Request) []byte { return requests.Marshal(r) }

// DecodeRequest is the inverse of EncodeRequest.
func DecodeRequest(data []byte) (Request, error) {
	v, err := requests.Unmarshal(data)
	if err != nil {
		return nil, err
	}
	r, _ := v.(Request)
	return r, nil
}

// Code says how a request ended.
type Code uint8

// Codes.
const (
	// OK: done, and durable where something changed.
	OK Code = iota
	// QueueNotFound: no queue has this address.
	QueueNotFound
	// Unauthorized: the key isn't one of a known account.
	Unauthorized
	// JobNotFound: there is no such job.
	JobNotFound
	// Invalid: the request can't be understood and never will.
	Invalid
	// Overloaded: nothing was done; come back later.
	Overloaded
	// Unavailable: nothing was done; the holder isn't there or isn't ready.
	Unavailable
	// Unknown: whether it was done isn't known; ask again.
	Unknown
)

// String names the code in logs.
func (c Code) String() string {
	names := [...]string{"OK", "NoQueue", "Unauthorized", "Gone", "Invalid", "Overloaded", "Unavailable", "Unknown"}
	if int(c) < len(names) {
		return names[c]
	}
	return "Code" + strconv.Itoa(int(c))
}

// Reply answers a Request.
type Reply struct {
	_    struct{} `cbor:",toarray"`
	Code Code
	// Message says more, for people.
	Message string
	// RetryAfter is when to come back after Overloaded or Unavailable.
	RetryAfter clock.Millis
	Phase      keeper.Phase
	QueuedJobs int
	Document   []byte
	HTTPLimits keeper.HTTPLimits
}
