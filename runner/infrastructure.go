package runner

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/certifier"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/listener"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/meter"
	"github.com/chervilvane/chervilvane/platform"
	"github.com/chervilvane/chervilvane/tracer"
	"github.com/chervilvane/chervilvane/unit"
	"github.com/chervilvane/chervilvane/upstream"
)

// tracerName is the name of the tracer of the daemon's spans.
const tracerName = "github.com/chervilvane/chervilvane"

func newLogger(s loader.Settings, o Options) (*logrus.Logger, logrus.FieldLogger) {
	l := logger.New(s.Log, o.LogTo)
	logger.RedirectStdLog(l)
	return l, l.WithFields(logrus.Fields{"Instance": s.Instance, "AvailabilityZone": s.AvailabilityZone})
}

// meterPage serves the scrape page of the metrics.
type meterPage struct{ handler http.Handler }

func newMeter(lc fx.Lifecycle) (tally.Scope, meterPage) {
	scope, page, closer := meter.New()
	lc.Append(fx.StopHook(closer.Close))
	return scope, meterPage{page}
}

func newTracer(lc fx.Lifecycle, s loader.Settings) (trace.Tracer, error) {
	provider, shutdown, err := tracer.New(s.Trace, s.Instance)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(func(ctx context.Context) error { return shutdown(ctx) }))
	return provider.Tracer(tracerName), nil
}

func newCredentials(s loader.Settings, o Options) (instance.Credentials, error) {
	if o.Credentials != nil {
		return o.Credentials, nil
	}
	return certifier.NewFileCredentials(s.TLS.Authority, s.TLS.Certificate, s.TLS.Key)
}

// descriptorLimit returns how many descriptors the process may open; 0 if that isn't known.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return 0
	}
	return int(limit.Cur)
}

// maxDescriptors is the greatest limit of descriptors that is taken for one.
const maxDescriptors = 1 << 24

// newLimits returns the limits of admission control. Memory that the settings don't name is taken
// from the Go memory limit, of which a process with a limit usually has 70 percent.
func newLimits(s loader.Settings) admitter.Limits {
	memory := s.Limits.Memory
	switch limit := debug.SetMemoryLimit(-1); {
	case limit == math.MaxInt64 && memory > 0:
		debug.SetMemoryLimit(int64(memory) * heapLimitPercent / 100)
	case limit < math.MaxInt64 && memory == 0:
		memory = unit.Bytes(limit) * 100 / heapLimitPercent
	}
	return admitter.Derive(memory, cmp.Or(s.Limits.Descriptors, descriptorLimit())).Override(s.Limits.Admission)
}

func newAdmission(limits admitter.Limits, clk clock.Clock, l logrus.FieldLogger, m tally.Scope) *listener.Admission {
	return listener.New(listener.Config{Limits: limits, Clock: clk, Logger: l, Metrics: m})
}

func newMesh(s loader.Settings, limits admitter.Limits, creds instance.Credentials, clk clock.Clock, l logrus.FieldLogger, m tally.Scope, t trace.Tracer) (*instance.Mesh, error) {
	peers := map[unit.Instance]string{}
	for _, p := range s.Peers {
		peers[p.Instance] = p.Mesh
	}
	return instance.New(instance.Config{
		Self: s.Instance, ListenAddress: s.Listen.Mesh, Peers: peers, Credentials: creds,
		Clock: clk, Logger: l, Metrics: m, Tracer: t, MaxConnections: limits.MeshConnections,
	})
}

func newUpstreamClient(m tally.Scope, t trace.Tracer) *upstream.Client {
	return upstream.NewClient(upstream.ClientConfig{Metrics: m, Tracer: t})
}

func newHealth() *platform.Health { return new(platform.Health) }
