package logger_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/logger"
)

// TestNonBlockingWriterDropsAndCounts writes more lines than the buffer holds before
// the first flush.
func TestNonBlockingWriterDropsAndCounts(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logger.NewNonBlockingWriter(&out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 1000 {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(w.Run(ctx))
	lines := strings.Count(out.String(), "\n")
	is.True(lines < 300)
	is.True(strings.Contains(out.String(), `"Message":"log lines were dropped","Lines":738`))
}
