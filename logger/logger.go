// Package logger sets up structured logging, with one JSON object per line.
//
// With stores a request's id in a context. For returns a logger that adds this id and
// the context's trace id to every line.
package logger

import (
	"context"
	"io"
	stdlog "log"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/tracer"
	"github.com/chervilvane/chervilvane/unit"
)

// Names of common log fields.
const (
	FieldInstance = "Instance"
	FieldRequest  = "Request"
	FieldTrace    = "Trace"
	FieldPeer     = "Peer"
	FieldZone     = "AvailabilityZone"
	FieldUpstream = "Upstream"
	FieldTask     = "Task"
	FieldError    = "Error"
)

// The name of the error field is in Pascal case like that of all other fields. Logrus
// has one such name per process.
func init() { logrus.ErrorKey = FieldError }

// New returns a logger that writes JSON lines to w.
func New(settings loader.Log, w io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime:  "Time",
			logrus.FieldKeyLevel: "Level",
			logrus.FieldKeyMsg:   "Message",
		},
	})
	l.SetLevel(level(settings.Level))
	return l
}

// level returns the level with the given name in the settings; Info if there is none.
func level(name string) logrus.Level {
	switch name {
	case "Debug":
		return logrus.DebugLevel
	case "Warn":
		return logrus.WarnLevel
	case "Error":
		return logrus.ErrorLevel
	default:
		return logrus.InfoLevel
	}
}

// RedirectStdLog makes the standard library's log package, which other libraries use,
// write to l at level Info. A program calls it once, at its start.
func RedirectStdLog(l *logrus.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(stdLogWriter{l})
}

// stdLogWriter writes the lines of the standard library's logger to l.
type stdLogWriter struct{ l logrus.FieldLogger }

// Write implements io.Writer. The standard logger calls it once per line.
func (s stdLogWriter) Write(line []byte) (int, error) {
	s.l.Info(string(line))
	return len(line), nil
}

// requestKey is the context key of the request id.
type requestKey struct{}

// With returns ctx with the id of the request that it belongs to.
func With(ctx context.Context, id unit.Request) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

// For returns l with the request id and the trace id of ctx as fields, as far as ctx
// has them.
func For(ctx context.Context, l logrus.FieldLogger) logrus.FieldLogger {
	fields := logrus.Fields{}
	if id, ok := ctx.Value(requestKey{}).(unit.Request); ok {
		fields[FieldRequest] = id
	}
	if t := tracer.TraceID(ctx); t != "" {
		fields[FieldTrace] = t
	}
	if len(fields) == 0 {
		return l
	}
	return l.WithFields(fields)
}

// Discard returns a logger that writes nothing, for components without a logger.
func Discard() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}
