// Package worker is a small stand-in upstream: it announces itself to the
// entry instances and runs tasks as functions of its own process. The daemon's
// -dev mode and the tests use it; it also shows what the system expects of an
// upstream.
//
// An upstream owes the system four things. It runs a task only under a lease
// and stops it when the lease ends. It refuses a start of an epoch older than
// one it has seen, and one that comes too late. It never runs a task id a
// second time. And it lists an ended task in its reports until the scheduler
// says that it holds the end.
//
// The table (table.go) decides all this without clock or goroutine; the
// other files carry it out.
package worker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/unit"
)

// Defaults and intervals.
const (
	// DefaultDrainTimeout bounds the wait for running tasks on shutdown.
	DefaultDrainTimeout = 30 * clock.Second
	// reportInterval is the time between two reports.
	reportInterval = 500 * clock.Millisecond
	// leaseCheck is the time between two looks at the leases.
	leaseCheck = 25 * clock.Millisecond
)

// TaskFunc runs a task. It must return soon after its context ends.
type TaskFunc func(ctx context.Context, data []byte) ([]byte, error)

// Config of a Worker.
type Config struct {
	ID               unit.Upstream
	AvailabilityZone unit.AvailabilityZone
	Rack             unit.Rack
	// ListenAddress is the address of the HTTP interface, as IP:PORT.
	ListenAddress string
	// EntryAddresses are the API addresses of entry instances, as IP:PORT.
	EntryAddresses []string
	Capacity       unit.Resources
	// RunTask runs the tasks; nil means Echo.
	RunTask TaskFunc
	// DrainTimeout bounds the wait for running tasks on shutdown; 0 means
	// DefaultDrainTimeout.
	DrainTimeout clock.Millis
	Clock        clock.Clock
	Logger       logrus.FieldLogger
	Tracer       trace.Tracer
}

// Worker is a stand-in upstream.
type Worker struct {
	cfg  Config
	log  logrus.FieldLogger
	http *http.Client
	// ready is closed once address is set.
	ready chan struct{}
	// kick asks for a report before the next one is due.
	kick chan struct{}
	// tasks ends with Run; every task's context derives from it.
	tasks     context.Context
	stopTasks context.CancelFunc
	running   errgroup.Group

	mu      sync.Mutex
	address string
	table   table
	// stops holds what ends the context of each running task.
	stops map[unit.Task]context.CancelFunc
	// ended holds a channel for each running task, closed at its end.
	ended map[unit.Task]chan struct{}
}

// New returns a Worker; Run starts it. Each Worker is an incarnation of its
// own.
func New(cfg Config) *Worker {
	if cfg.RunTask == nil {
		cfg.RunTask = Echo
	}
	if cfg.DrainTimeout == 0 {
		cfg.DrainTimeout = DefaultDrainTimeout
	}
	if cfg.Logger == nil {
		cfg.Logger = logger.Discard()
	}
	w := &Worker{
		cfg:   cfg,
		log:   cfg.Logger.WithField(logger.FieldUpstream, cfg.ID),
		http:  &http.Client{Transport: &http.Transport{}, Timeout: reportTimeout},
		ready: make(chan struct{}),
		kick:  make(chan struct{}, 1),
		table: newTable(cfg.Capacity, unit.Incarnation(uuid.NewString())),
		stops: map[unit.Task]context.CancelFunc{},
		ended: map[unit.Task]chan struct{}{},
	}
	w.tasks, w.stopTasks = context.WithCancel(context.Background())
	return w
}

// Address waits until the worker listens and returns its address, or "" if ctx
// ends before.
func (w *Worker) Address(ctx context.Context) string {
	select {
	case <-w.ready:
		return w.address
	case <-ctx.Done():
		return ""
	}
}

// Run serves until ctx ends. Then the worker announces that it departs, takes
// no more tasks, goes on until the running ones have ended and their ends are
// taken, or for the time of DrainTimeout, and leaves.
func (w *Worker) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.cfg.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "binding the address of the upstream")
	}
	w.address = listener.Addr().String()
	close(w.ready)
	server := &http.Server{Handler: w.routes(), ReadHeaderTimeout: readHeaderTimeout.Duration()}
	leave, left := context.WithCancel(context.Background())
	defer left()
	var group errgroup.Group
	group.Go(func() error { return serve(server, listener) })
	group.Go(func() error { return w.announce(leave) })
	group.Go(func() error { return w.watchLeases(leave) })
	<-ctx.Done()
	w.drain()
	left()
	w.stopTasks()
	_ = w.running.Wait()
	err = errors.CombineErrors(closeServer(server), group.Wait())
	w.http.CloseIdleConnections()
	return err
}

func serve(server *http.Server, l net.Listener) error {
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving the upstream's interface")
}

// closeServer lets replies that are being written go out whole.
func closeServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), readHeaderTimeout.Duration())
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// drain marks the worker as departing and waits until nothing is left of its
// tasks.
func (w *Worker) drain() {
	w.mu.Lock()
	w.table.departing = true
	w.mu.Unlock()
	w.reportSoon()
	limit := time.NewTimer(w.cfg.DrainTimeout.Duration())
	defer limit.Stop()
	tick := time.NewTicker(leaseCheck.Duration())
	defer tick.Stop()
	for !w.isSettled() {
		select {
		case <-limit.C:
			return
		case <-tick.C:
		}
	}
}

// isSettled reports whether a departing worker may leave: the departure was
// announced and no task or untold end is left.
func (w *Worker) isSettled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.isSettled()
}

func (w *Worker) reportSoon() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// watchLeases stops the tasks whose lease has ended.
func (w *Worker) watchLeases(ctx context.Context) error {
	tick := time.NewTicker(leaseCheck.Duration())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		w.mu.Lock()
		for _, id := range w.table.expire(w.cfg.Clock.Now()) {
			w.stops[id]()
			w.log.WithField(logger.FieldTask, id).Warn("lease ended, task stopped")
		}
		w.mu.Unlock()
	}
}
