// Package tracer sets up OpenTelemetry traces: a span for each hop of a
// request, exported to a file or to a collector.
//
// The trace context travels in the W3C form, as HTTP headers towards callers
// and upstreams and as a field of the mesh's frames between instances.
// Messages that no request caused (heartbeats, reports) carry none, and StartChild
// makes no span for them, so that an idle daemon exports nothing.
package tracer

import (
	"context"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/unit"
)

// serviceName is the standard attribute that names the program in a trace.
const serviceName = attribute.Key("service.name")

// instanceID is the standard attribute that tells processes of a program
// apart.
const instanceID = attribute.Key("service.instance.id")

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// New returns the provider that the settings ask for. Shutdown exports what is
// left and closes the file.
func New(settings loader.Trace, id unit.Instance) (trace.TracerProvider, func(context.Context) error, error) {
	var options []sdk.TracerProviderOption
	var file io.Closer
	if settings.File != "" {
		exporter, f, err := newFileExporter(settings.File)
		if err != nil {
			return nil, nil, err
		}
		file = f
		options = append(options, sdk.WithBatcher(exporter))
	}
	if settings.OTLP != "" {
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(settings.OTLP))
		if err != nil {
			return nil, nil, errors.Wrap(err, "setting up the export of traces")
		}
		options = append(options, sdk.WithBatcher(exporter))
	}
	if len(options) == 0 {
		return noop.NewTracerProvider(), func(context.Context) error { return nil }, nil
	}
	options = append(options, sdk.WithResource(resource.NewSchemaless(
		serviceName.String("chervilvaned"),
		instanceID.String(string(id)),
	)))
	provider := sdk.NewTracerProvider(options...)
	shutdown := func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if file != nil {
			err = errors.CombineErrors(err, file.Close())
		}
		return err
	}
	return provider, shutdown, nil
}

func newFileExporter(path string) (sdk.SpanExporter, io.Closer, error) {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return nil, nil, errors.Wrap(err, "making the folder of the trace file")
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, nil, errors.Wrap(err, "opening the trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, nil, errors.CombineErrors(err, f.Close())
	}
	return exporter, f, nil
}
