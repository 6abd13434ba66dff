package scheduler

import (
	"context"
	"sync"
)

// callTracker counts the calls in progress, so that Drain can wait for
// them. The zero value is ready to use.
type callTracker struct {
	mu     sync.Mutex
	count  int
	closed bool
	// idle is closed when count returns to zero. It is nil while no wait is in
	// progress.
	idle chan struct{}
}

// begin counts a call, unless the tracker is closed. It reports whether the call
// may begin; if so, the caller must call end after it.
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

// close makes begin refuse all further calls.
func (b *callTracker) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// wait returns once no call is in progress or ctx is done.
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
