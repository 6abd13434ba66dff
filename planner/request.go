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
	_    struct{} `cbor:",toarray"`
	Host string
	Path string
	Key  string
}

// Submit hands a job in. It is safe to resend.
type Submit struct {
	_    struct{} `cbor:",toarray"`
	To   Address
	ID   keeper.JobID
	Work keeper.Submission
}

// Inspect asks for a job's state.
type Inspect struct {
	_  struct{} `cbor:",toarray"`
	To Address
	ID keeper.JobID
}

// Cancel ends a job.
type Cancel struct {
	_  struct{} `cbor:",toarray"`
	To Address
	ID keeper.JobID
}

// Count asks how many jobs of a queue have not begun.
type Count struct {
	_  struct{} `cbor:",toarray"`
	To Address
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

// Announce is an upstream's report.
type Announce struct {
	_         struct{} `cbor:",toarray"`
	Upstream  keeper.Upstream
	Clock     clock.Millis
	Seq       int64
	Remaining clock.Millis
}

// Goodbye is an upstream's end.
type Goodbye struct {
	_  struct{} `cbor:",toarray"`
	ID unit.Upstream
}

// Attend tells the holder of an instance and what it can do for it.
type Attend struct {
	_    struct{} `cbor:",toarray"`
	From unit.Instance
	// Advises: the instance takes questions for the advice service.
	Advises bool
	// Relays: the instance carries out orders to the upstreams of its zone.
	Relays bool
	Zone   unit.AvailabilityZone
	// Steady is the instance's steady clock.
	Steady clock.Millis
}

func (Submit) request()    {}
func (Inspect) request()   {}
func (Cancel) request()    {}
func (Count) request()     {}
func (PutConfig) request() {}
func (GetConfig) request() {}
func (Announce) request()  {}
func (Goodbye) request()   {}
func (Attend) request()    {}

var requests = encoder.NewSet(
	Submit{}, Inspect{}, Cancel{}, Count{}, PutConfig{}, GetConfig{}, Announce{}, Goodbye{}, Attend{},
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
	// NoQueue: no queue has this address.
	NoQueue
	// Unauthorized: the key isn't one of a known account.
	Unauthorized
	// Gone: there is no such job.
	Gone
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
	// Why says more, for people.
	Why string
	// RetryAfter is when to come back after Overloaded or Unavailable.
	RetryAfter clock.Millis
	Phase      keeper.Phase
	Pending    int
	Document   []byte
	Bounds     keeper.Bounds
}
