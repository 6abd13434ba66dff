// Package loader reads the settings of an instance from a YAML file: its id,
// availability zone, addresses, peers, data folder and TLS files, and options
// such as timing and tracing.
//
// An instance reads its settings once, when it starts. The configuration of the
// whole system is separate: it is the operator's text, which package parser
// reads.
package loader

import (
	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Settings holds the settings of an instance.
type Settings struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Listen           Listen
	// DataFolder is the folder of a voter's log. It is empty for an instance
	// without a disk.
	DataFolder string
	// Peers lists the instances of the fleet, this one included.
	Peers     []Peer
	TLS       TLS
	Operators []Operator
	Log       Log
	Trace     Trace
	Timing    Timing
	Limits    Limits
}

// Limits holds what the process may use. Limits of admission control that the file doesn't set
// follow from its memory and descriptors.
type Limits struct {
	// Memory is the memory of the process; 0 if the file doesn't set it.
	Memory unit.Bytes
	// Descriptors is the number of file descriptors; 0 if the file doesn't set it.
	Descriptors int
	// Admission holds the limits of admission control that the file sets.
	Admission admitter.Limits
}

// Listen holds the addresses that the instance listens on, as IP:PORT.
type Listen struct {
	// API is the HTTP address for callers, operators, upstreams and the load
	// balancer.
	API string
	// Mesh is the QUIC address for other instances.
	Mesh string
}

// Peer is an entry of Peers: an instance and the addresses, as IP:PORT, at which
// others reach it.
type Peer struct {
	Instance         unit.Instance
	AvailabilityZone unit.AvailabilityZone
	Mesh             string
	API              string
	// Voter reports whether the instance is a voting member of the log when
	// the fleet first starts. A voter needs a disk.
	Voter bool
}

// TLS holds the paths of the PEM files with which instances authenticate each
// other. The files are read again when they change.
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
	// Level is the lowest level that is logged: Debug, Info, Warn or Error.
	Level string
}

// Trace holds the destinations of exported spans. If both are empty, spans
// aren't exported.
type Trace struct {
	// File is the path of a file to which each span is written as a line of
	// JSON.
	File string
	// OTLP is the URL of an OTLP/HTTP collector.
	OTLP string
}

// Timing holds the durations that operators may set. Parse uses DefaultTiming
// for those that the file doesn't set.
type Timing struct {
	// Heartbeat is the interval of the heartbeats of the log's leader.
	Heartbeat clock.Millis
	// Election is the shortest time without a heartbeat after which a voter
	// starts an election.
	Election clock.Millis
	// ZoneLease is the time after which a scheduler's lease of its zone
	// expires unless it is renewed.
	ZoneLease clock.Millis
	// TaskLease is the time after which a task's lease expires, and the
	// upstream stops the task, unless it is renewed.
	TaskLease clock.Millis
	// KeyFreshness is the maximum age of an instance's copy of the keys.
	// While the copy is older, the instance refuses requests with a key.
	KeyFreshness clock.Millis
	// Drain bounds the wait for requests in progress during a shutdown.
	Drain clock.Millis
}
