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

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/driver"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/forwarder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/listener"
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
	// domainHeartbeatInterval and domainElectionTimeout are the log's timing.
	// The election timeout must cover several round trips and syncs of a slow
	// disk; it bounds the time without a leader.
	domainHeartbeatInterval = 50 * clock.Millisecond
	domainElectionTimeout   = 400 * clock.Millisecond
	// minDeadMemberTimeout and maxDeadMemberTimeout bound how long a voter must be
	// silent before a standby replaces it. A restart takes less.
	minDeadMemberTimeout = 1200 * clock.Millisecond
	maxDeadMemberTimeout = 4 * clock.Second
	// domainLeaveTimeout bounds how long an instance that shuts down waits until a
	// standby has its vote.
	domainLeaveTimeout = 2 * clock.Second
	// heapLimitPercent is the garbage collector's memory limit, in percent of
	// the process's memory limit.
	heapLimitPercent = 70
	// leaderGCPercent is the garbage that an instance which may lead collects at once, in percent
	// of its live heap, as long as it is below the memory limit.
	leaderGCPercent = 200
	// domainUnreadyDelay is how long an instance serves clients after it became
	// unready on shutdown: the balancer stops sending requests after two failed
	// checks, one a second.
	domainUnreadyDelay = 2600 * clock.Millisecond
	// stopReserve is the part of the platform's grace time that is left for the
	// end of the process.
	stopReserve = 700 * clock.Millisecond
	// maxLeaderSilence is the longest time since the leader's last answer for
	// which an instance is ready. The balancer stops sending requests to an
	// instance after two failed checks, one a second. So it avoids an instance
	// that can't reach the leader, but not one that only waits for the end of
	// an election, which comes before the second check.
	maxLeaderSilence = 1 * clock.Second
	// domainHeaderTimeout bounds the time to read a request's header, and
	// domainIdleTimeout the time that a connection may be idle.
	domainHeaderTimeout = 3 * clock.Second
	domainIdleTimeout   = 60 * clock.Second
	// maxReadyConnections bounds the connections of the balancer and of readers of metrics. Two
	// failed checks take an instance out of service, so a flood of clients must not use them up.
	maxReadyConnections = 64
)

// methodLog is the mesh method for messages of the domain's log.
const methodLog instance.Method = "log.message"

// runPlatform runs an instance of a scheduling domain with the platform's
// settings until the context ends. If check is set, it only checks the settings.
func runPlatform(ctx context.Context, meshListen string, check bool, stdout io.Writer) error {
	settings, err := platform.LoadSettings()
	if err != nil {
		return &usageError{err}
	}
	if check {
		return nil
	}
	limitHeap(settings)
	return Run(ctx, newDomain(settings, meshBinding(meshListen), stdout))
}

// limitHeap sets the garbage collector's memory limit. Within it, an instance that may lead collects
// garbage less often, since a leader can be short of processor.
func limitHeap(s platform.Settings) {
	if s.MemoryLimit <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(s.MemoryLimit) * heapLimitPercent / 100)
	if s.DataFolder != "" {
		debug.SetGCPercent(leaderGCPercent)
	}
}

// meshBinding is the listen address of the mesh; if it is empty, the mesh listens
// on the address by which peers know this instance.
type meshBinding string

// newDomain returns an instance of a scheduling domain as an fx application.
func newDomain(settings platform.Settings, binding meshBinding, logTo io.Writer) *fx.App {
	return fx.New(
		fx.Supply(settings, binding, clock.Clock{}, domainOutput{logger.NewNonBlockingWriter(logTo)}),
		fx.Provide(
			newDomainLogger, newMeter, newDomainMesh, newDomainUpstreamClient, newDomainForwarder,
			newHealth, newDomainCore, newDomainLimits, newAdmission, newDomainServers,
		),
		fx.Invoke(addDomainLifecycle),
		fx.StopTimeout((settings.Grace + stopReserve).Duration()),
		fx.WithLogger(func(l *logrus.Logger) fxevent.Logger { return fxFailureLogger{l} }),
	)
}

// domainOutput is the destination of the structured log.
type domainOutput struct{ *logger.NonBlockingWriter }

func newDomainLogger(s platform.Settings, out domainOutput) (*logrus.Logger, logrus.FieldLogger) {
	l := logger.New(loader.Log{Level: "Info"}, out)
	logger.RedirectStdLog(l)
	return l, l.WithFields(logrus.Fields{logger.FieldInstance: s.Name, logger.FieldZone: s.AvailabilityZone})
}

// newDomainLimits returns the limits of admission control, which follow from the platform's limits
// of the process unless the settings say otherwise.
func newDomainLimits(s platform.Settings) admitter.Limits {
	return admitter.Derive(s.MemoryLimit, cmp.Or(s.Descriptors, descriptorLimit())).Override(s.Admission)
}

func newDomainMesh(s platform.Settings, limits admitter.Limits, b meshBinding, l logrus.FieldLogger, m tally.Scope) (*instance.TCPMesh, error) {
	return instance.NewTCPMesh(instance.TCPMeshConfig{
		ListenAddress: cmp.Or(string(b), s.MeshAddress), AdvertiseAddress: s.MeshAddress, Logger: l, Metrics: m,
		MaxBytes: limits.MeshBytes, MaxConnections: limits.MeshConnections,
	})
}

func newDomainUpstreamClient(s platform.Settings, l logrus.FieldLogger) *platform.UpstreamClient {
	return platform.NewUpstreamClient(s.AdviceAddress, l)
}

func newDomainForwarder(s platform.Settings, mesh *instance.TCPMesh, clk clock.Clock, l logrus.FieldLogger, client *platform.UpstreamClient) *forwarder.Forwarder {
	mesh.Handle(driver.MethodAdvise, func(ctx context.Context, _ unit.Instance, body []byte) ([]byte, error) {
		var request driver.TicketRequest
		if err := encoder.Unmarshal(body, &request); err != nil {
			return nil, err
		}
		response, err := client.Advise(ctx, request)
		if err != nil {
			return nil, err
		}
		return encoder.Marshal(response), nil
	})
	return forwarder.New(forwarder.Config{
		Self: mesh.Self(), Seeds: s.Seeds, Mesh: mesh, Clock: clk, Logger: l,
		Heartbeat: planner.Heartbeat{
			RequestsTickets: s.AdviceAddress != "",
			RelaysOrders:    s.DataFolder != "", Zone: s.AvailabilityZone,
		},
		BootTime: clock.BootTime,
	})
}

// domainCore holds the components that only an instance with a disk has; all
// fields are nil on other instances.
type domainCore struct {
	node    *replicator.Node
	storage *recorder.Recorder
	driver  *driver.Driver
}

func newDomainCore(s platform.Settings, mesh *instance.TCPMesh, client *platform.UpstreamClient, clk clock.Clock, l logrus.FieldLogger, m tally.Scope) (*domainCore, error) {
	if s.DataFolder == "" {
		return &domainCore{}, nil
	}
	storage, err := openStorage(s, l)
	if err != nil {
		return nil, err
	}
	state := keeper.New()
	state.Now = clk.Now
	state.Observer = planner.NewLearner()
	c := replicator.Config{
		ID: mesh.Self(), Incarnation: storage.Incarnation(), LogID: "domain",
		Seeds: s.Seeds, TargetVoters: 2*s.FaultTolerance + 1, DeadMemberTimeout: deadMemberTimeout(s),
		Storage: storage, Transport: logTransport{mesh}, StateMachine: state, Clock: clk,
		HeartbeatInterval: domainHeartbeatInterval, ElectionTimeout: domainElectionTimeout, RandSeed: uint64(clk.Now()), Logger: l,
	}
	if s.Bootstrap {
		c.InitialVoters = s.Seeds
	}
	node, err := replicator.New(c)
	if err != nil {
		return nil, errors.CombineErrors(err, storage.Close())
	}
	relay := relayer.New(relayer.Config{Self: mesh.Self(), Mesh: mesh, Local: client, Clock: clk, BootTime: clock.BootTime, Logger: l, Metrics: m})
	mesh.Handle(relayer.MethodOrder, relay.Serve)
	d := driver.New(driver.Config{
		Self: mesh.Self(), Log: node, State: state, Upstreams: relay, OnHeartbeat: relay.HandleHeartbeat, Mesh: mesh, Clock: clk, BootTime: clock.BootTime, Logger: l, Metrics: m,
		Planner: planner.Config{
			MaxLease: s.MaxLease, MaxListedEnds: platform.MaxListedEnds, Retention: s.Retention,
			EntitlementSlack: s.EntitlementSlack, EvacuateBound: s.EvacuateBound,
		},
	})
	mesh.Handle(methodLog, func(_ context.Context, from unit.Instance, body []byte) ([]byte, error) {
		node.Step(from, body)
		return nil, nil
	})
	mesh.Handle(driver.MethodRequest, d.Serve)
	return &domainCore{node, storage, d}, nil
}

// deadMemberTimeout returns how long a voter must be silent before a standby replaces it. A
// machine that is removed counts as lost until its successor, which may start at the same time,
// has had its time to catch up. By then the vote must have moved, since another machine may be
// lost.
func deadMemberTimeout(s platform.Settings) clock.Millis {
	if s.CatchUp == 0 {
		return maxDeadMemberTimeout
	}
	return max(minDeadMemberTimeout, min(s.CatchUp-replicator.ReplaceElectionTimeouts*domainElectionTimeout, maxDeadMemberTimeout))
}

const (
	// openTimeout bounds the attempts to open the data folder. Without them, a
	// disk that is full or hangs for some seconds would end the process again
	// and again.
	openTimeout = 10 * clock.Second
	// openRetryInterval is the time between two attempts.
	openRetryInterval = 500 * clock.Millisecond
)

// openStorage opens the data folder, with retries for openTimeout.
func openStorage(s platform.Settings, l logrus.FieldLogger) (*recorder.Recorder, error) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout.Duration())
	defer cancel()
	for {
		storage, err := recorder.Open(filepath.Join(s.DataFolder, "domain"), recorder.OSFS{}, recorder.Options{})
		if err == nil {
			return storage, nil
		}
		l.WithError(err).Error("the data folder can't be opened")
		if clock.Sleep(ctx, openRetryInterval) != nil {
			return nil, err
		}
	}
}

// logTransport sends the log's messages over the mesh.
type logTransport struct{ mesh *instance.TCPMesh }

// Send implements replicator.Transport.
func (t logTransport) Send(to unit.Instance, message []byte) { t.mesh.Send(to, methodLog, message) }

// domainServers are the HTTP servers of an instance.
type domainServers struct {
	servers   []*httpServer
	admission *listener.Admission
	// control is nil on an instance that doesn't serve operators.
	control *platform.ControlAPI
	// closing is set on shutdown: the instance is unready and closes the
	// connection after each response.
	closing atomic.Bool
}

func newDomainServers(s platform.Settings, f *forwarder.Forwarder, clk clock.Clock, m meterPage, a *listener.Admission) (*domainServers, error) {
	d := &domainServers{admission: a}
	if s.ClientAddress != "" {
		api := platform.NewClientAPI(f)
		api.SetAdmission(a)
		d.add(s.ClientAddress, d.withConnectionClose(api), api.Policy())
	}
	if s.ReadyAddress != "" {
		routes := mux.NewRouter()
		platform.RegisterReady(routes, func() bool {
			return !d.closing.Load() && clk.Now()-f.LastLeaderReply() < maxLeaderSilence
		})
		routes.Handle("/metrics", m.handler).Methods(http.MethodGet)
		ready := d.add(s.ReadyAddress, routes, listener.Policy{Refuse: platform.Refuse, Holder: func(*http.Request) (admitter.Holder, clock.Millis) {
			return "balancer", 0
		}})
		ready.apart = maxReadyConnections
	}
	if s.ControlAddress != "" {
		routes := mux.NewRouter()
		d.control = platform.NewControlAPI(f, s.ControlAddress, s.AvailabilityZone, s.Zones)
		d.control.Register(routes)
		routes.Handle("/metrics", m.handler).Methods(http.MethodGet)
		d.add(s.ControlAddress, d.withConnectionClose(routes), platform.ControlPolicy())
	}
	return d, nil
}

func (d *domainServers) add(address string, h http.Handler, p listener.Policy) *httpServer {
	server := &http.Server{
		Addr: address, Handler: h, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: domainHeaderTimeout.Duration(), IdleTimeout: domainIdleTimeout.Duration(),
	}
	d.admission.Apply(server, p)
	s := &httpServer{server: server, admission: d.admission}
	d.servers = append(d.servers, s)
	return s
}

// withConnectionClose wraps a handler. While the instance shuts down, each
// response closes its connection.
func (d *domainServers) withConnectionClose(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// domain holds what addDomainLifecycle starts and stops.
type domain struct {
	fx.In

	Settings   platform.Settings
	Output     domainOutput
	Mesh       *instance.TCPMesh
	Forwarder  *forwarder.Forwarder
	Core       *domainCore
	Servers    *domainServers
	Clock      clock.Clock
	Logger     logrus.FieldLogger
	Shutdowner fx.Shutdowner
}

func addDomainLifecycle(lc fx.Lifecycle, d domain) {
	ctx, cancel := context.WithCancel(context.Background())
	logCtx, stopLog := context.WithCancel(context.Background())
	var logGroup errgroup.Group
	group, ctx := errgroup.WithContext(ctx)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			logGroup.Go(func() error { return d.Output.Run(logCtx) })
			group.Go(func() error { return d.watchSettings(ctx) })
			for _, c := range d.components() {
				group.Go(func() error { return d.runComponent(ctx, c) })
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
			stopLog()
			return errors.CombineErrors(err, logGroup.Wait())
		},
	})
}

func (d domain) components() components {
	all := components{{"mesh", d.Mesh.Run}, {"forwarder", d.Forwarder.Run}}
	if d.Core.node != nil {
		all = append(all,
			component{"log", func(ctx context.Context) error {
				return errors.CombineErrors(d.Core.node.Run(ctx), d.Core.storage.Close())
			}},
			component{"driver", d.Core.driver.Run})
	}
	return all
}

// exitPanicked is the exit status after a panic, the same as the Go runtime's.
const exitPanicked = 2

// reportPanic must be deferred. After a panic it prints the stack, then the
// cause as the last line, and exits: log collectors often keep only the end of a
// process's output.
func reportPanic(name string) {
	if v := recover(); v != nil {
		fmt.Fprintf(os.Stderr, "%s\nchervilvaned: the part %s panicked: %v\n", debug.Stack(), name, v)
		os.Exit(exitPanicked)
	}
}

func (d domain) runComponent(ctx context.Context, c component) error {
	defer reportPanic(c.name)
	err := c.run(ctx)
	if err == nil || ctx.Err() != nil {
		return nil
	}
	d.Logger.WithError(err).WithField("Part", c.name).Error("a component failed; the instance stops")
	return errors.CombineErrors(errors.Wrap(err, c.name), d.Shutdowner.Shutdown(fx.ExitCode(1)))
}

// settingsPollInterval is the time between two checks whether the settings file
// has changed. The platform may change it without sending a signal.
const settingsPollInterval = 1 * clock.Second

// watchSettings reloads the settings after a SIGHUP or a change of their file,
// until the context ends. Only the seeds and the list of zones can change while the
// process runs.
func (d domain) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval.Duration())
	defer ticker.Stop()
	changed := platform.SettingsChanged()
	for {
		cause := "a signal"
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
		case <-ticker.C:
			if !changed() {
				continue
			}
			cause = "the file has changed"
		}
		s, err := platform.LoadSettings()
		if err != nil {
			d.Logger.WithError(err).WithField("Cause", cause).Error("the settings can't be reloaded; the current ones stay in use")
			continue
		}
		d.Forwarder.SetSeeds(s.Seeds)
		if d.Servers.control != nil {
			d.Servers.control.SetZones(s.Zones)
		}
		d.Logger.WithFields(logrus.Fields{"Contacts": s.Seeds, "Zones": s.Zones, "Cause": cause}).Info("settings reloaded")
	}
}

// shutDown hands over this instance's part in the log and waits for the requests in
// progress, within the platform's grace time.
func (d domain) shutDown(stop context.Context) {
	d.Logger.Info("shutting down")
	d.Servers.closing.Store(true)
	ctx, cancel := context.WithTimeout(stop, (d.Settings.Grace - stopReserve).Duration())
	defer cancel()
	d.leaveLog(ctx)
	if d.Settings.ClientAddress != "" {
		// The steps below must run even if the deadline has passed.
		_ = clock.Sleep(ctx, domainUnreadyDelay)
	}
	var g errgroup.Group
	for _, s := range d.Servers.servers {
		g.Go(func() error { return s.shutdown(ctx) })
	}
	if err := g.Wait(); err != nil {
		d.Logger.WithError(err).Warn("requests in progress did not end before the shutdown")
	}
}

// leaveLog leaves the log's group, since nobody tells a process whether it will start again.
func (d domain) leaveLog(ctx context.Context) {
	if d.Core.node == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, domainLeaveTimeout.Duration())
	defer cancel()
	started := d.Clock.Now()
	err := d.Core.node.Leave(ctx)
	l := d.Logger.WithField("WaitMillis", int64(d.Clock.Now()-started))
	switch {
	case err == nil:
		l.Info("left the log's group")
	case errors.Is(err, replicator.ErrNotReplaced):
		l.WithError(err).Info("this instance stays a member of the log's group")
	default:
		l.WithError(err).Warn("the log's group has not confirmed that this instance leaves")
	}
}
