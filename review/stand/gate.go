//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// gate is the listener of a worker with a link that can be cut. While it is cut, no
// byte passes in either direction and no connection is set up. What is sent meanwhile
// arrives after the cut, unless its sender has closed the connection.
type gate struct {
	net.Listener
	c *cluster

	mu   sync.Mutex
	open chan struct{}
}

func newGate(c *cluster, ln net.Listener) *gate {
	open := make(chan struct{})
	close(open)
	return &gate{Listener: ln, c: c, open: open}
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

func (g *gate) isCut() bool {
	select {
	case <-g.passable():
		return false
	default:
		return true
	}
}

// passable returns a channel that is closed while bytes may pass.
func (g *gate) passable() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// wait returns once bytes may pass.
func (g *gate) wait() {
	select {
	case <-g.passable():
	case <-g.c.done:
	}
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, gate: g, acceptedAt: time.Now()}, nil
}

// gatedConn is a connection through a gate.
type gatedConn struct {
	net.Conn
	gate       *gate
	acceptedAt time.Time
}

// Read implements net.Conn. Bytes that arrive during a cut are held until it ends. They
// are lost if the peer has closed the connection by then.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil || !c.gate.isCut() {
		return n, err
	}
	c.gate.wait()
	if c.peerClosed() {
		c.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// peerClosed reports whether the peer has closed the connection: nothing more can be
// read from it then. A peer that waits for an answer sends nothing.
func (c *gatedConn) peerClosed() bool {
	_ = c.Conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer c.Conn.SetReadDeadline(time.Time{})
	var one [1]byte
	_, err := c.Conn.Read(one[:])
	if err == nil {
		return true
	}
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(b)
}
