package logger_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/logger"
)

// TestBoundedDropsAndCounts writes more than may wait before anything is
// written out.
func TestBoundedDropsAndCounts(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	b := logger.NewNonBlockingWriter(&out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 1000 {
		n, err := b.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(b.Run(ctx))
	lines := strings.Count(out.String(), "\n")
	is.True(lines < 300)
	is.True(strings.Contains(out.String(), `"Message":"log lines were dropped","Lines":738`))
}
