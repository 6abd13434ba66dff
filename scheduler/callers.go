package scheduler

import (
	"hash/maphash"
	"sync"

	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
)

// callerShards is the number of locks that the waiting callers are spread over,
// so that answers don't contend for the lock of the core.
const callerShards = 64

var callerSeed = maphash.MakeSeed()

// callers holds the callers that wait for the outcome of a request. The zero
// value is ready to use.
type callers struct {
	shards [callerShards]callerShard
}

type callerShard struct {
	mu      sync.Mutex
	waiting map[unit.Request][]*caller
}

// caller is a caller that waits for one outcome.
type caller struct {
	id unit.Request
	// outcome is buffered, so that notify never blocks.
	outcome chan dispatcher.Outcome
	// span is the span of the submission.
	span trace.SpanContext
}

func (c *callers) shard(id unit.Request) *callerShard {
	return &c.shards[maphash.String(callerSeed, string(id))%callerShards]
}

// add registers a caller that waits for the outcome of a request.
func (c *callers) add(id unit.Request, span trace.SpanContext) *caller {
	w := &caller{id: id, outcome: make(chan dispatcher.Outcome, 1), span: span}
	sh := c.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.waiting == nil {
		sh.waiting = map[unit.Request][]*caller{}
	}
	sh.waiting[id] = append(sh.waiting[id], w)
	return w
}

// remove removes a caller that no longer waits. It reports whether another
// caller waits for the same request.
func (c *callers) remove(removed *caller) bool {
	sh := c.shard(removed.id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var rest []*caller
	for _, w := range sh.waiting[removed.id] {
		if w != removed {
			rest = append(rest, w)
		}
	}
	if len(rest) == 0 {
		delete(sh.waiting, removed.id)
		return false
	}
	sh.waiting[removed.id] = rest
	return true
}

// notify sends the outcome of a request to its callers and removes them.
func (c *callers) notify(id unit.Request, o dispatcher.Outcome) {
	sh := c.shard(id)
	sh.mu.Lock()
	waiting := sh.waiting[id]
	delete(sh.waiting, id)
	sh.mu.Unlock()
	for _, w := range waiting {
		w.outcome <- o
	}
}

// span returns the span of one caller of a request; the zero SpanContext if none
// waits.
func (c *callers) span(id unit.Request) trace.SpanContext {
	sh := c.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if w := sh.waiting[id]; len(w) > 0 {
		return w[0].span
	}
	return trace.SpanContext{}
}
