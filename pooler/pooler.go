// Package pooler runs short functions on goroutines that it reuses.
//
// A goroutine starts with a small stack. Decoding a message makes the stack grow
// several times, and each growth copies it. A reused goroutine has a large enough
// stack already. With thousands of short calls per second, the copies would take a
// tenth of the CPU time. The goroutine that became idle last is reused first, so that
// the others stay idle.
package pooler

import (
	"sync"

	"golang.org/x/sync/errgroup"
)

// maxIdle is the maximum number of idle goroutines. Each has a stack of 8 to 32 KB.
const maxIdle = 64

// Pool runs functions on reused goroutines. The zero value is ready to use. A Pool is
// safe for concurrent use.
type Pool struct {
	group errgroup.Group

	mu sync.Mutex
	// idle holds the channel of each idle goroutine, on which it receives its next
	// function. The last element became idle last.
	idle   []chan func()
	closed bool
}

// Go runs f on an idle goroutine, or on a new one if none is idle. It doesn't block.
func (p *Pool) Go(f func()) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		next := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		next <- f
		return
	}
	p.mu.Unlock()
	p.group.Go(func() error {
		next := make(chan func(), 1)
		for ok := true; ok; f, ok = <-next {
			f()
			if !p.keepIdle(next) {
				return nil
			}
		}
		return nil
	})
}

// keepIdle adds a goroutine's channel to the idle ones. It returns false if the
// goroutine must end instead.
func (p *Pool) keepIdle(next chan func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		return false
	}
	p.idle = append(p.idle, next)
	return true
}

// Wait ends the idle goroutines and returns when all functions have returned. After
// Wait was called, only functions that still run on the pool may call Go.
func (p *Pool) Wait() {
	p.mu.Lock()
	p.closed = true
	for _, next := range p.idle {
		close(next)
	}
	p.idle = nil
	p.mu.Unlock()
	// The functions return no errors.
	_ = p.group.Wait()
}
