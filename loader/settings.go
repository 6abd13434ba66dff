// Package loader reads the settings of an instance: the YAML file that names
// its id, availability zone, addresses, peers, data folder and TLS files.
//
// Settings belong to one instance and are read at its start. What the whole
// system shall run is another file, the operator's text (see parser).
package loader

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Settings of an instance.
type Settings struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Listen           Listen
	// DataFolder is where a voter keeps its log; empty on an instance without
	// a disk.
	DataFolder string
	// Peers lists the instances of the fleet, this one included.
	Peers     []Peer
	TLS       TLS
	Operators []Operator
	Log       Log
	Trace     Trace
	Timing    Timing
}

// Listen holds the addresses that the instance listens on, as IP:PORT.
type Listen struct {
	// API is the HTTP address for callers, operators, upstreams and the
	// balancer.
	API string
	// Mesh is the QUIC address for other instances.
	Mesh string
}

// Peer is an instance of the fleet.
type Peer struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Mesh             string
	API              string
	// Voter marks an instance with a disk that votes in the log from the
	// first start of the fleet.
	Voter bool
}

// TLS names the PEM files that authenticate instances to one another. They
// are read again when they change.
type TLS struct {
	Authority   string
	Certificate string
	Key         string
}

// Operator is a person or program that may change the configuration and keys.
type Operator struct {
	Name string
	// KeyHash is the lower-case hexadecimal SHA-256 of the operator's key.
	KeyHash string
}

// Log holds the settings of the structured log.
type Log struct {
	// Level is one of Debug, Info, Warn, Error.
	Level string
}

// Trace holds where spans are exported to; both empty means nowhere.
type Trace struct {
	// File gets a JSON line for each span.
	File string
	// OTLP is the URL of an OTLP/HTTP collector.
	OTLP string
}

// Timing holds the spans that operators may tune. Zero means the default.
type Timing struct {
	// Heartbeat of the log's leader.
	Heartbeat clock.Millis
	// Election is the shortest time without a heartbeat before an election.
	Election clock.Millis
	// ZoneLease is how long a scheduler's hold of its zone lasts unrenewed.
	ZoneLease clock.Millis
	// TaskLease is how long an upstream runs a task unrenewed.
	TaskLease clock.Millis
	// KeyFreshness is the age past which an instance's copy of the keys is no
	// longer honoured.
	KeyFreshness clock.Millis
	// Drain bounds the wait for requests in progress on shutdown.
	Drain clock.Millis
}
