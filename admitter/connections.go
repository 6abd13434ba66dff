package admitter

import (
	"container/list"

	"github.com/chervilvane/chervilvane/clock"
)

// Phase is what a connection is at.
type Phase uint8

// The phases of a connection.
const (
	// Receiving means that a request, or its body, is incomplete.
	Receiving Phase = iota
	// Idle means that an answered request was the last.
	Idle
	// Serving means that a request is being handled or answered.
	Serving
	phases
)

// displaceAfter is how long a connection must have been in a phase before a new one displaces it.
// A header takes a fraction of that on a slow link, and upstreams report once a second.
const displaceAfter = 2 * clock.Second

// Connection is an open connection.
type Connection struct {
	address string
	phase   Phase
	since   clock.Millis
	element *list.Element
}

// Connections bounds the open connections of a process and of each remote address.
//
// It answers connections that are left open, idle or amid a request, until nobody else gets one:
// at the bound a new connection displaces the one that has been receiving for longest, or else the
// one that has been idle for longest. No connection is displaced while its request is handled.
type Connections struct {
	limit, perAddress int
	open              int
	byAddress         map[string]int
	// byPhase holds the connections of each phase in the order in which they entered it.
	byPhase [phases]list.List
}

// NewConnections returns the bound for this many connections, and for those of one address.
func NewConnections(limit, perAddress int) *Connections {
	return &Connections{limit: limit, perAddress: perAddress, byAddress: map[string]int{}}
}

// Open adds a connection from an address. It returns nil if the connection must be closed at once.
// The caller closes the victim, which no longer counts, unless it is nil.
func (c *Connections) Open(address string, now clock.Millis) (opened, victim *Connection) {
	switch {
	case c.byAddress[address] >= c.perAddress:
		if victim = c.victim(address, now); victim == nil {
			return nil, nil
		}
	case c.open >= c.limit:
		if victim = c.victim("", now); victim == nil {
			return nil, nil
		}
	}
	if victim != nil {
		c.Close(victim)
	}
	opened = &Connection{address: address}
	c.open++
	c.byAddress[address]++
	opened.since = now
	opened.element = c.byPhase[Receiving].PushBack(opened)
	return opened, victim
}

// victim returns the connection to displace, of one address or, if it is empty, of any.
func (c *Connections) victim(address string, now clock.Millis) *Connection {
	for _, phase := range []Phase{Receiving, Idle} {
		for e := c.byPhase[phase].Front(); e != nil; e = e.Next() {
			candidate, _ := e.Value.(*Connection)
			if now-candidate.since < displaceAfter {
				break
			}
			if address == "" || candidate.address == address {
				return candidate
			}
		}
	}
	return nil
}

// Enter sets the phase of a connection.
func (c *Connections) Enter(conn *Connection, phase Phase, now clock.Millis) {
	if conn.element == nil || conn.phase == phase {
		return
	}
	c.byPhase[conn.phase].Remove(conn.element)
	conn.phase, conn.since = phase, now
	conn.element = c.byPhase[phase].PushBack(conn)
}

// Close removes a connection. A second call for the same connection does nothing.
func (c *Connections) Close(conn *Connection) {
	if conn.element == nil {
		return
	}
	c.byPhase[conn.phase].Remove(conn.element)
	conn.element = nil
	c.open--
	if c.byAddress[conn.address]--; c.byAddress[conn.address] == 0 {
		delete(c.byAddress, conn.address)
	}
}

// Phase returns the phase of a connection.
func (conn *Connection) Phase() Phase { return conn.phase }

// Count returns the number of open connections.
func (c *Connections) Count() int { return c.open }
