//go:build review

package main

import (
	"context"
	"io"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
)

// proxy passes connections on to a server. It can make all open connections go silent: they stay
// open, and nothing passes any more. New connections work.
type proxy struct {
	listener net.Listener
	target   string
	group    *errgroup.Group

	mu    sync.Mutex
	links map[*link]bool
	// dark is set once the server has gone: connections to it hang.
	dark bool
}

// link is one connection through the proxy.
type link struct {
	mu     sync.Mutex
	silent bool
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func newProxy(ctx context.Context, group *errgroup.Group, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, group: group, links: map[*link]bool{}}
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error {
		for {
			client, err := listener.Accept()
			if err != nil {
				return nil
			}
			p.pass(ctx, client)
		}
	})
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) pass(ctx context.Context, client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	l := &link{silent: p.dark}
	p.links[l] = true
	p.mu.Unlock()
	linkCtx, end := context.WithCancel(ctx)
	p.group.Go(func() error {
		<-linkCtx.Done()
		_ = client.Close()
		_ = server.Close()
		p.mu.Lock()
		delete(p.links, l)
		p.mu.Unlock()
		return nil
	})
	forward := func(to, from net.Conn) {
		p.group.Go(func() error {
			buffer := make([]byte, 32<<10)
			for {
				n, err := from.Read(buffer)
				if l.isSilent() {
					// Neither bytes nor the end of the connection pass.
					_, _ = io.Copy(io.Discard, from)
					return nil
				}
				if n > 0 {
					if _, werr := to.Write(buffer[:n]); werr != nil {
						end()
						return nil
					}
				}
				if err != nil {
					end()
					return nil
				}
			}
		})
	}
	forward(server, client)
	forward(client, server)
}

// silence makes all open connections go silent. It returns how many there are.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.links)
}

// goDark makes all connections hang, open and new ones.
func (p *proxy) goDark() {
	p.mu.Lock()
	p.dark = true
	p.mu.Unlock()
	p.silence()
}
