package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// boundedBytes is how much may wait for a slow output, in bytes.
	boundedBytes = 256 << 10
	// flushEvery gathers lines, so that many of them share a write.
	flushEvery = 50 * time.Millisecond
)

// NonBlockingWriter is a writer for a log that never blocks: lines wait in a buffer of
// bounded size, and what doesn't fit is dropped and counted in a line of its
// own. Run writes them out.
type NonBlockingWriter struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int
}

// NewNonBlockingWriter returns a writer to out.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter { return &NonBlockingWriter{out: out} }

// Write implements io.Writer. It never fails.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffer)+len(line) > boundedBytes {
		b.dropped++
		return len(line), nil
	}
	b.buffer = append(b.buffer, line...)
	return len(line), nil
}

// Run writes the lines out until ctx ends, and the rest then.
func (b *NonBlockingWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushEvery)
	defer ticker.Stop()
	var spare []byte
	for {
		select {
		case <-ctx.Done():
			b.flush(spare)
			return nil
		case <-ticker.C:
			spare = b.flush(spare)
		}
	}
}

// flush writes what waits and returns a buffer for the next time.
func (b *NonBlockingWriter) flush(spare []byte) []byte {
	b.mu.Lock()
	full, dropped := b.buffer, b.dropped
	b.buffer, b.dropped = spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		full = fmt.Appendf(full, `{"Level":"warning","Message":"log lines were dropped","Lines":%d}`+"\n", dropped)
	}
	if len(full) > 0 {
		// There is nowhere to report a log that can't be written.
		_, _ = b.out.Write(full)
	}
	return full
}
