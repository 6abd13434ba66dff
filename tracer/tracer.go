// Package tracer sets up OpenTelemetry tracing. Each hop of a request is a span, which
// is exported to a file or to a collector.
//
// The trace context is sent in the W3C form: as HTTP headers to and from callers and
// upstreams, and as a field of the mesh's frames between instances. Messages that no
// request caused, such as heartbeats and reports, have no trace context. StartChild
// starts no span for them, so that an idle daemon exports nothing.
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

// serviceName is the standard attribute for the name of the program.
const serviceName = attribute.Key("service.name")

// instanceID is the standard attribute that distinguishes the processes of a program.
const instanceID = attribute.Key("service.instance.id")

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// New returns a provider that exports spans as configured by the settings, and a
// function that shuts it down: it exports the remaining spans and closes the file. If
// the settings name neither a file nor a collector, spans aren't recorded.
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
			return nil, nil, errors.Wrap(err, "creating the OTLP exporter")
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
		return nil, nil, errors.Wrap(err, "creating the folder of the trace file")
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
