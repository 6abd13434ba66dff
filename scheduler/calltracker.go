package scheduler

import (
	"context"
	"sync"
)

// callTracker counts the calls in progress, so that Drain can wait for them, and
// Run can refuse further ones. The zero value is ready to use.
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
func (t *callTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.count++
	return true
}

func (t *callTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	if t.count == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// close makes begin refuse all further calls.
func (t *callTracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// wait returns once no call is in progress or ctx is done.
func (t *callTracker) wait(ctx context.Context) {
	t.mu.Lock()
	if t.count == 0 {
		t.mu.Unlock()
		return
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
