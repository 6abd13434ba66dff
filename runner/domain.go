package runner

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/driver"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/forwarder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/platform"
	"github.com/chervilvane/chervilvane/recorder"
	"github.com/chervilvane/chervilvane/relayer"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// domainHeartbeat and domainElection are the log's timing. An election
	// timeout is several round trips and syncs of a disk that is slow, and
	// bounds the time without a holder.
	domainHeartbeat = 50 * clock.Millisecond
	domainElection  = 400 * clock.Millisecond
	// domainDeadAfter is for how long a voter must be silent before a standby
	// takes its place: longer than a restart takes.
	domainDeadAfter = 4 * clock.Second
	// memoryShare is the part of the process's memory limit, in percent, that
	// the collector keeps the heap under.
	memoryShare = 70
	// entryDrain is how long an entry goes on after ready turned false: the
	// balancer needs two misses, one a second, to stop sending.
	entryDrain = 2600 * clock.Millisecond
	// stopReserve is kept of the platform's grace for the end of the process.
	stopReserve = 700 * clock.Millisecond
	// readyWithin is how recently the holder must have answered for an entry
	// to be ready. The balancer needs two misses, one a second, to stop sending
	// to an entry that is cut off; the end of an election comes before the second.
	readyWithin = 1 * clock.Second
	// domainHeaderTimeout and domainIdleTimeout bound clients' connections.
	domainHeaderTimeout = 3 * clock.Second
	domainIdleTimeout   = 60 * clock.Second
)

// methodLog carries the log's messages on the domain's mesh.
const methodLog instance.Method = "log.message"

// runPlatform runs an instance of a domain under the platform's settings.
func runPlatform(ctx context.Context, meshListen string, check bool, stdout io.Writer) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return &usageError{err}
	}
	if check {
		return nil
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryLimit) * memoryShare / 100)
	}
	return Run(ctx, newDomain(settings, meshBinding(meshListen), stdout))
}

// meshBinding is where the mesh is bound; empty is the address by which peers
// know this instance.
type meshBinding string

// newDomain returns an instance of a domain as an fx application.
func newDomain(settings platform.Settings, binding meshBinding, logTo io.Writer) *fx.App {
	return fx.New(
		fx.Supply(settings, binding, clock.Clock{}, domainOutput{logger.NewNonBlockingWriter(logTo)}),
		fx.Provide(
			newDomainLogger, newMeter, newDomainMesh, newDomainOrders, newDomainForwarder,
			newHealth, newDomainCore, newDomainServers,
		),
		fx.Invoke(runDomain),
		fx.StopTimeout((settings.Grace + stopReserve).Duration()),
		fx.WithLogger(func(l *logrus.Logger) fxevent.Logger { return quietEvents{l} }),
	)
}

// domainOutput is where the log goes.
type domainOutput struct{ *logger.NonBlockingWriter }

func newDomainLogger(s platform.Settings, out domainOutput) (*logrus.Logger, logrus.FieldLogger) {
	l := logger.New(loader.Log{Level: "Info"}, out)
	logger.RedirectStdLog(l)
	return l, l.WithFields(logrus.Fields{logger.FieldInstance: s.Name, logger.FieldZone: s.AvailabilityZone})
}

func newDomainMesh(s platform.Settings, b meshBinding, l logrus.FieldLogger, m tally.Scope) (*instance.TCPMesh, error) {
	return instance.NewTCPMesh(instance.TCPMeshConfig{ListenAddress: cmp.Or(string(b), s.MeshAddress), AdvertiseAddress: s.MeshAddress, Logger: l, Metrics: m})
}

func newDomainOrders(s platform.Settings, l logrus.FieldLogger) *platform.UpstreamClient {
	return platform.NewUpstreamClient(s.AdviceAddress, l)
}

func newDomainForwarder(s platform.Settings, mesh *instance.TCPMesh, clk clock.Clock, l logrus.FieldLogger, o *platform.UpstreamClient) *forwarder.Forwarder {
	mesh.Handle(driver.MethodAdvise, func(ctx context.Context, _ unit.Instance, body []byte) ([]byte, error) {
		var q driver.AdviceRequest
		if err := encoder.Unmarshal(body, &q); err != nil {
			return nil, err
		}
		a, err := o.Advise(ctx, q)
		if err != nil {
			return nil, err
		}
		return encoder.Marshal(a), nil
	})
	return forwarder.New(forwarder.Config{
		Self: mesh.Self(), Seeds: s.Seeds, Mesh: mesh, Clock: clk, Logger: l,
		Heartbeat: planner.Heartbeat{
			RequestsTickets: s.AdviceAddress != "" && s.DataFolder == "",
			Relays:          s.DataFolder != "", Zone: s.AvailabilityZone,
		},
		BootTime: clock.BootTime,
	})
}

// domainCore is the part of an instance with a disk; its fields are nil on any
// other.
type domainCore struct {
	node    *replicator.Node
	storage *recorder.Recorder
	driver  *driver.Driver
}

func newDomainCore(s platform.Settings, mesh *instance.TCPMesh, o *platform.UpstreamClient, clk clock.Clock, l logrus.FieldLogger, m tally.Scope) (*domainCore, error) {
	if s.DataFolder == "" {
		return &domainCore{}, nil
	}
	storage, err := openStorage(s, l)
	if err != nil {
		return nil, err
	}
	state := keeper.New()
	c := replicator.Config{
		ID: mesh.Self(), Incarnation: storage.Incarnation(), LogID: "domain",
		Seeds: s.Seeds, TargetVoters: 2*s.FaultTolerance + 1, DeadMemberTimeout: domainDeadAfter,
		Storage: storage, Transport: logTransport{mesh}, StateMachine: state, Clock: clk,
		HeartbeatInterval: domainHeartbeat, ElectionTimeout: domainElection, RandSeed: uint64(clk.Now()), Logger: l,
	}
	if s.Bootstrap {
		c.InitialVoters = s.Seeds
	}
	node, err := replicator.New(c)
	if err != nil {
		return nil, errors.CombineErrors(err, storage.Close())
	}
	relays := relayer.New(relayer.Config{Self: mesh.Self(), Mesh: mesh, Local: o, Clock: clk, BootTime: clock.BootTime, Logger: l, Metrics: m})
	mesh.Handle(relayer.MethodOrder, relays.Serve)
	d := driver.New(driver.Config{
		Self: mesh.Self(), Log: node, State: state, Upstreams: relays, OnHeartbeat: relays.HandleHeartbeat, Mesh: mesh, Clock: clk, Logger: l, Metrics: m,
		Planner: planner.Config{MaxLease: s.MaxLease, Retention: s.Retention},
	})
	mesh.Handle(methodLog, func(_ context.Context, from unit.Instance, body []byte) ([]byte, error) {
		node.Step(from, body)
		return nil, nil
	})
	mesh.Handle(driver.MethodRequest, d.Serve)
	return &domainCore{node, storage, d}, nil
}

const (
	// openFor is how long a disk that can't be opened is tried again, so that
	// one that is full or hangs for some seconds doesn't end the process time
	// after time.
	openFor = 10 * clock.Second
	// openRetry is the wait between two tries.
	openRetry = 500 * clock.Millisecond
)

// openStorage opens the data folder.
func openStorage(s platform.Settings, l logrus.FieldLogger) (*recorder.Recorder, error) {
	ctx, cancel := context.WithTimeout(context.Background(), openFor.Duration())
	defer cancel()
	for {
		storage, err := recorder.Open(filepath.Join(s.DataFolder, "domain"), recorder.OSFS{}, recorder.Options{})
		if err == nil {
			return storage, nil
		}
		l.WithError(err).Error("the data folder can't be opened")
		if clock.Sleep(ctx, openRetry) != nil {
			return nil, err
		}
	}
}

// logTransport sends the log's messages over the mesh.
type logTransport struct{ mesh *instance.TCPMesh }

// Send implements replicator.Transport.
func (t logTransport) Send(to unit.Instance, message []byte) { t.mesh.Send(to, methodLog, message) }

// domainServers are the HTTP interfaces of an instance.
type domainServers struct {
	servers []*httpServer
	// closing asks clients to come back on another connection.
	closing atomic.Bool
}

func newDomainServers(s platform.Settings, f *forwarder.Forwarder, clk clock.Clock, m meterPage) (*domainServers, error) {
	d := &domainServers{}
	if s.ClientAddress != "" {
		d.add(s.ClientAddress, d.withClose(platform.NewClientAPI(f)))
	}
	if s.ReadyAddress != "" {
		routes := mux.NewRouter()
		platform.RegisterReady(routes, func() bool {
			return !d.closing.Load() && clk.Now()-f.LastContact() < readyWithin
		})
		routes.Handle("/metrics", m.handler).Methods(http.MethodGet)
		d.add(s.ReadyAddress, routes)
	}
	if s.ControlAddress != "" {
		routes := mux.NewRouter()
		platform.NewControlAPI(f, s.ControlAddress, s.AvailabilityZone).Register(routes)
		routes.Handle("/metrics", m.handler).Methods(http.MethodGet)
		d.add(s.ControlAddress, d.withClose(routes))
	}
	return d, nil
}

func (d *domainServers) add(address string, h http.Handler) {
	d.servers = append(d.servers, &httpServer{server: &http.Server{
		Addr: address, Handler: h, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: domainHeaderTimeout.Duration(), IdleTimeout: domainIdleTimeout.Duration(),
	}})
}

// withClose answers on a connection for the last time while the instance shuts
// down.
func (d *domainServers) withClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// domain holds what runDomain starts and stops.
type domain struct {
	fx.In

	Settings   platform.Settings
	Output     domainOutput
	Mesh       *instance.TCPMesh
	Forwarder  *forwarder.Forwarder
	Core       *domainCore
	Servers    *domainServers
	Logger     logrus.FieldLogger
	Shutdowner fx.Shutdowner
}

func runDomain(lc fx.Lifecycle, d domain) {
	ctx, cancel := context.WithCancel(context.Background())
	logs, endLogs := context.WithCancel(context.Background())
	var output errgroup.Group
	group, ctx := errgroup.WithContext(ctx)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			output.Go(func() error { return d.Output.Run(logs) })
			group.Go(func() error { return d.reload(ctx) })
			for _, p := range d.parts() {
				group.Go(func() error { return d.runPart(ctx, p) })
			}
			for _, s := range d.Servers.servers {
				if err := s.listen(); err != nil {
					return err
				}
				group.Go(s.serve)
			}
			d.Logger.WithFields(logrus.Fields{
				"Mesh": d.Settings.MeshAddress, "Contacts": d.Settings.Seeds, "FirstStart": d.Settings.Bootstrap,
			}).Info("instance started")
			return nil
		},
		OnStop: func(stop context.Context) error {
			d.shutDown(stop)
			cancel()
			err := group.Wait()
			d.Logger.Info("instance stopped")
			endLogs()
			return errors.CombineErrors(err, output.Wait())
		},
	})
}

func (d domain) parts() parts {
	all := parts{{"mesh", d.Mesh.Run}, {"forwarder", d.Forwarder.Run}}
	if d.Core.node != nil {
		all = append(all,
			part{"log", func(ctx context.Context) error {
				return errors.CombineErrors(d.Core.node.Run(ctx), d.Core.storage.Close())
			}},
			part{"driver", d.Core.driver.Run})
	}
	return all
}

// exitPanicked is the exit status after a panic, as the runtime's.
const exitPanicked = 2

// reportPanic ends the process after a panic with the cause as the last line:
// what collects the output of processes often keeps only its end.
func reportPanic(part string) {
	if v := recover(); v != nil {
		fmt.Fprintf(os.Stderr, "%s\nchervilvaned: the part %s panicked: %v\n", debug.Stack(), part, v)
		os.Exit(exitPanicked)
	}
}

func (d domain) runPart(ctx context.Context, p part) error {
	defer reportPanic(p.name)
	err := p.run(ctx)
	if err == nil || ctx.Err() != nil {
		return nil
	}
	d.Logger.WithError(err).WithField("Part", p.name).Error("a part failed; the instance stops")
	return errors.CombineErrors(errors.Wrap(err, p.name), d.Shutdowner.Shutdown(fx.ExitCode(1)))
}

// settingsPoll is the time between two looks at whether the settings file has
// changed, which the platform may do without a signal.
const settingsPoll = 1 * clock.Second

// reload reads the settings anew when the platform asks for it or their file has
// changed; only the contacts can change while the process runs.
func (d domain) reload(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPoll.Duration())
	defer ticker.Stop()
	changed := platform.SettingsChanged()
	for {
		why := "a signal"
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
		case <-ticker.C:
			if !changed() {
				continue
			}
			why = "the file has changed"
		}
		s, err := platform.LoadSettings()
		if err != nil {
			d.Logger.WithError(err).WithField("Cause", why).Error("the settings can't be read again; the former ones stay")
			continue
		}
		d.Forwarder.SetSeeds(s.Seeds)
		d.Logger.WithFields(logrus.Fields{"Contacts": s.Seeds, "Cause": why}).Info("settings reloaded")
	}
}

// shutDown ends the requests in progress and hands the log's leadership over.
func (d domain) shutDown(stop context.Context) {
	d.Logger.Info("shutting down")
	d.Servers.closing.Store(true)
	ctx, cancel := context.WithTimeout(stop, (d.Settings.Grace - stopReserve).Duration())
	defer cancel()
	if d.Core.node != nil {
		if err := d.Core.node.TransferLeadership(ctx); err != nil {
			d.Logger.WithError(err).Warn("the log's leadership was not handed over")
		}
	}
	if d.Settings.ClientAddress != "" {
		// An end of the wait by the deadline changes nothing: the steps go on.
		_ = clock.Sleep(ctx, entryDrain)
	}
	var g errgroup.Group
	for _, s := range d.Servers.servers {
		g.Go(func() error { return s.shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		d.Logger.WithError(err).Warn("shutdown left requests behind")
	}
}
