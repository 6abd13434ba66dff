// Package logger sets up the structured log: one JSON object a line.
//
// A request's id and trace id are put into the context once, by With; For
// then gives every line about that request both fields.
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

// Names of the fields that lines have in common.
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

// The error of a line has a Pascal-case name as all other fields. Logrus has
// one name for the whole process.
func init() { logrus.ErrorKey = FieldError }

// New returns a log that writes to w.
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

// RedirectStdLog sends the lines of the standard library's log package, which
// libraries write to, through l. It is called once, at the start of a program.
func RedirectStdLog(l *logrus.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standard{l})
}

type standard struct{ l logrus.FieldLogger }

// Write implements io.Writer; the standard log calls it once for each line.
func (s standard) Write(line []byte) (int, error) {
	s.l.Info(string(line))
	return len(line), nil
}

type requestKey struct{}

// With returns ctx marked as work for a request.
func With(ctx context.Context, id unit.Request) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

// For returns l with the request id and the trace id of ctx.
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

// Discard returns a log that writes nothing, for parts that were given none.
func Discard() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	return l
}
