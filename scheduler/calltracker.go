package scheduler

import (
	"context"
	"sync"
)

// busy counts the calls in progress, so that Drain and Run can wait for them.
// The zero value is ready.
type callTracker struct {
	mu     sync.Mutex
	count  int
	closed bool
	// idle is closed when the count returns to zero; nil while nobody waits.
	idle chan struct{}
}

// begin reports whether a call may begin. If so, end must be called.
func (b *callTracker) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.count++
	return true
}

func (b *callTracker) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count--
	if b.count == 0 && b.idle != nil {
		close(b.idle)
		b.idle = nil
	}
}

// close lets no further call begin.
func (b *callTracker) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// wait returns once no call is in progress, or the context ends.
func (b *callTracker) wait(ctx context.Context) {
	b.mu.Lock()
	if b.count == 0 {
		b.mu.Unlock()
		return
	}
	if b.idle == nil {
		b.idle = make(chan struct{})
	}
	idle := b.idle
	b.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
