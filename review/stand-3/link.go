//go:build review

package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// link is the network between one worker and all daemons. While it is cut, no byte from a
// daemon reaches the worker and no connection can be opened in either direction; what the
// worker sends on open connections still arrives. So a cut works in one direction only, like
// the one-way cuts of the users' days. Bytes that were held up arrive after the cut.
type link struct {
	mu     sync.Mutex
	healed chan struct{}
}

func newLink() *link {
	l := &link{healed: make(chan struct{})}
	close(l.healed)
	return l
}

// cut cuts the link for a time.
func (l *link) cut(s *stage, d time.Duration) {
	healed := make(chan struct{})
	l.mu.Lock()
	l.healed = healed
	l.mu.Unlock()
	s.group.Go(func() error {
		s.sleep(d)
		close(healed)
		return nil
	})
}

// wait returns once the link isn't cut. It returns an error if the context ends before.
func (l *link) wait(ctx context.Context) error {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	select {
	case <-healed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := l.wait(ctx); err != nil {
		return nil, err
	}
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return l.wrap(c), nil
}

func (l *link) wrap(c net.Conn) net.Conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &linkConn{Conn: c, link: l, ctx: ctx, cancel: cancel}
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	link   *link
	ctx    context.Context
	cancel context.CancelFunc
}

// Read implements net.Conn. Bytes that arrive during a cut are held up.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.link.wait(c.ctx) != nil {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// linkListener accepts connections over a link.
type linkListener struct {
	net.Listener
	link *link
	ctx  context.Context
}

// Accept implements net.Listener.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if err := l.link.wait(l.ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return l.link.wrap(c), nil
}
