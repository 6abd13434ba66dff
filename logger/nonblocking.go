package logger

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes is the maximum size of the lines that wait for a slow
	// output.
	maxBufferedBytes = 256 << 10
	// flushInterval is the time between two writes to the output. It batches
	// many lines into one write.
	flushInterval = 50 * time.Millisecond
)

// NonBlockingWriter is a log output that never blocks. It appends lines to a buffer of
// bounded size, which Run writes to the underlying writer. Lines that don't fit are
// dropped, and a line with their number is written instead.
type NonBlockingWriter struct {
	out io.Writer

	mu     sync.Mutex
	buffer []byte
	// dropped is the number of lines that were dropped since the last flush.
	dropped int
}

// NewNonBlockingWriter returns a NonBlockingWriter with out as the underlying writer.
// The caller must call Run.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter { return &NonBlockingWriter{out: out} }

// Write implements io.Writer. Each call must write one whole line. Write never returns
// an error.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Run writes the buffered lines to the underlying writer until ctx ends, then writes
// the remaining ones and returns nil.
func (w *NonBlockingWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var spare []byte
	for {
		select {
		case <-ctx.Done():
			w.flush(spare)
			return nil
		case <-ticker.C:
			spare = w.flush(spare)
		}
	}
}

// flush writes the buffered lines. It uses spare as the new buffer and returns the old
// one for reuse.
func (w *NonBlockingWriter) flush(spare []byte) []byte {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"Level":"warning","Message":"log lines were dropped","Lines":%d}`+"\n", dropped)
	}
	if len(lines) > 0 {
		// A failed write of the log can't be reported anywhere.
		_, _ = w.out.Write(lines)
	}
	return lines
}
