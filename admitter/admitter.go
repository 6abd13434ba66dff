// Package admitter decides what a process takes in from clients that nobody controls: how many
// bytes of requests at once, how many connections, and how long a body may take.
//
// It answers two loads that ended a process for lack of memory: many large bodies at once, and
// many chunked bodies at once, most of which stop just short of their end with the connection
// left open. Headers, decoded bodies, idle connections and frames of the mesh are bounded by the
// same rules.
//
// The package has no clock, log or I/O. Its types are not safe for concurrent use; package
// listener applies them to HTTP servers and package instance to the mesh.
package admitter

import (
	"bytes"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// reservedDescriptors is the number of descriptors that the platform reserves of its limit.
	reservedDescriptors = 200
	// defaultMemory and defaultDescriptors apply to a process without known limits.
	defaultMemory      = 1000 * unit.Megabyte
	defaultDescriptors = 10_000
	// connectionCost is the memory of an idle connection: two buffers of 4 KB, a stack and the
	// state of net/http took 12 KB, and a header of usual size may come on top.
	connectionCost = 20 * unit.Kilobyte
	// minMeshBytes is a budget of which one holder gets a frame of the mesh of the greatest length,
	// 8 MB and 64 KB: nine sixteenths of it.
	minMeshBytes = (8<<20 + 1<<16) * 9 / 5
)

// Limits are the bounds of a process.
type Limits struct {
	// RequestBytes bounds the memory of all requests in progress: headers, bodies and their
	// decoded form.
	RequestBytes unit.Bytes
	// Connections bounds the open connections of all HTTP listeners, ConnectionsPerAddress
	// those from one remote address.
	Connections           int
	ConnectionsPerAddress int
	// BodyTimeout is the longest time of a body whose call has no later deadline, BodyStall the
	// longest time without any byte of it. BodyRate is the least rate in bytes per second
	// after the first BodyStall.
	BodyTimeout clock.Millis
	BodyStall   clock.Millis
	BodyRate    unit.Bytes
	// MeshBytes bounds the memory of frames that are received or wait to be sent on connections
	// that others dialled, and of the calls in progress from them; MeshConnections bounds these
	// connections.
	MeshBytes       unit.Bytes
	MeshConnections int
}

// Derive returns the limits of a process with this much memory and this many descriptors; 0 means
// that the limit isn't known.
//
// A process with 144 MB and 3,075 descriptors, the smallest, gets 36 MB for requests, 2,156
// connections and 24 MB for the mesh. That leaves room for the 2,000 upstreams of a zone with
// their connections and a report of each in progress, or for a configuration of 16 MB.
func Derive(memory unit.Bytes, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	usable := max(descriptors-reservedDescriptors, descriptors/4)
	connections := min(usable*3/4, int(memory*3/8/connectionCost))
	return Limits{
		RequestBytes: memory / 4,
		Connections:  connections, ConnectionsPerAddress: connections * 3 / 4,
		// Callers usually wait 3 s for an answer; a body that takes twice that is of no use to
		// them. The smallest link, 1.5 Mbit/s, carries six bodies at the least rate.
		BodyTimeout: 6 * clock.Second, BodyStall: 3 * clock.Second, BodyRate: 32 * unit.Kilobyte,
		MeshBytes:       max(memory/6, minMeshBytes),
		MeshConnections: max(usable/8, 32),
	}
}

// Override returns the limits with those of o that are set.
func (l Limits) Override(o Limits) Limits {
	override(&l.RequestBytes, o.RequestBytes)
	override(&l.Connections, o.Connections)
	override(&l.ConnectionsPerAddress, o.ConnectionsPerAddress)
	override(&l.BodyTimeout, o.BodyTimeout)
	override(&l.BodyStall, o.BodyStall)
	override(&l.BodyRate, o.BodyRate)
	override(&l.MeshBytes, o.MeshBytes)
	override(&l.MeshConnections, o.MeshConnections)
	return l
}

func override[T unit.Bytes | clock.Millis | int](limit *T, value T) {
	if value > 0 {
		*limit = value
	}
}

// maxBodyTimeout bounds the time of any body, whatever the deadline of its call. A body of 16 MB
// takes 90 s on the smallest link.
const maxBodyTimeout = 180 * clock.Second

// BodyDeadline returns until when the next byte of a body must arrive. The body began at start,
// received bytes have come, the last of them at last. timeout is how long its call may wait, or
// 0; a body may take twice that.
func (l Limits) BodyDeadline(start, last clock.Millis, received unit.Bytes, timeout clock.Millis) clock.Millis {
	longest := min(max(l.BodyTimeout, 2*timeout), maxBodyTimeout)
	atRate := l.BodyStall + clock.Millis(received*unit.Bytes(clock.Second)/l.BodyRate)
	return min(start+min(longest, atRate), last+l.BodyStall)
}

// GrowthBytes is how far the buffer for a body doubles; beyond it grows by a quarter.
const GrowthBytes = 1 << 20

// BodyBytes returns the memory of a body of which this much has arrived: its buffer is up to twice
// as long, or the one before it is still in memory.
func BodyBytes(received unit.Bytes) unit.Bytes { return received + min(received, GrowthBytes) }

// Estimated memory of what a body decodes to, beside twice its length: an empty object in a list
// of steps takes 230 bytes as decoded and as much again as a step of the log; an empty text or
// number in a list takes 16, twice that while the list grows.
const (
	objectCost  = 512
	elementCost = 32
)

// DecodedBytes estimates the memory of the decoded form of a JSON body.
func DecodedBytes(body []byte) unit.Bytes {
	objects, elements := bytes.Count(body, []byte{'{'}), bytes.Count(body, []byte{','})+bytes.Count(body, []byte{'['})
	return unit.Bytes(2*len(body) + objects*objectCost + elements*elementCost)
}

const (
	// freeHeaderLines and freeHeaderBytes are covered by the cost of a connection. Callers send
	// about ten lines of 400 bytes in all.
	freeHeaderLines = 24
	freeHeaderBytes = 2 << 10
	// headerLineCost is the memory of a short header: an entry of a map, a list and a text. A
	// header of 15 KB with 2,500 lines took 0.22 MB.
	headerLineCost = 128
)

// HeaderBytes returns the memory of a header to be charged.
func HeaderBytes(lines, length int) unit.Bytes {
	if lines <= freeHeaderLines && length <= freeHeaderBytes {
		return 0
	}
	return unit.Bytes(lines*headerLineCost + 2*length)
}
