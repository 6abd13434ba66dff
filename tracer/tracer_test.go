package tracer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/tracer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// TestTraceContextCrossesMeshAndHTTP passes a trace context from span to span, as a
// TraceContext and as HTTP headers. All three spans in the file must belong to the
// same trace.
func TestTraceContextCrossesMeshAndHTTP(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "spans", "a.jsonl")
	provider, shutdown, err := tracer.New(loader.Trace{File: file}, "a")
	is.NoErr(err)
	tr := provider.Tracer("test")
	ctx, root := tr.Start(context.Background(), "entry")
	id := tracer.TraceID(ctx)
	is.True(id != "")

	ctx, child := tracer.StartChild(tracer.Inject(ctx).Extract(context.Background()), tr, "scheduler")
	headers := http.Header{}
	tracer.InjectHTTP(ctx, headers)
	_, last := tracer.StartChild(tracer.ExtractHTTP(context.Background(), headers), tr, "upstream")
	tracer.End(last, errors.New("no paper"))
	tracer.End(child, nil)
	root.End()
	is.NoErr(shutdown(context.Background()))

	data, err := os.ReadFile(file)
	is.NoErr(err)
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	is.Equal(len(lines), 3)
	for _, line := range lines {
		var span struct{ SpanContext struct{ TraceID string } }
		is.NoErr(json.Unmarshal(line, &span))
		is.Equal(span.SpanContext.TraceID, id)
	}
}

func TestStartChildWithoutTraceExportsNothing(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "a.jsonl")
	provider, shutdown, err := tracer.New(loader.Trace{File: file}, "a")
	is.NoErr(err)
	ctx := tracer.Inject(context.Background()).Extract(context.Background())
	_, span := tracer.StartChild(ctx, provider.Tracer("test"), "heartbeat")
	tracer.End(span, nil)
	is.NoErr(shutdown(context.Background()))
	data, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(len(data), 0)
}

func TestDefaultSettingsRecordNoSpans(t *testing.T) {
	is := is.New(t)
	provider, shutdown, err := tracer.New(loader.Trace{}, "a")
	is.NoErr(err)
	_, span := provider.Tracer("test").Start(context.Background(), "entry")
	is.True(!span.IsRecording())
	is.NoErr(shutdown(context.Background()))
}
