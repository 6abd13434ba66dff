// Package worker implements a small stand-in upstream, which reports to the entry
// instances and runs tasks as functions in its own process. The daemon's -dev
// mode and the tests use it; it is also an example for other implementations of
// an upstream.
//
// An upstream must follow four rules:
//
//   - It runs a task only under a lease and stops it when the lease expires.
//   - It refuses a start order that has expired, or whose epoch is older than one
//     it has already received.
//   - It never runs a task id a second time.
//   - It lists an ended task in its reports until the scheduler acknowledges the
//     end.
//
// The type table implements these rules without a clock or goroutines; the other
// files connect it to the network and run the tasks.
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
	// reportInterval is the usual time between two reports.
	reportInterval = 500 * clock.Millisecond
	// leaseCheckInterval is the time between two checks for expired leases.
	leaseCheckInterval = 25 * clock.Millisecond
)

// TaskFunc runs a task with the request's data and returns its answer. It must
// return soon after its context ends.
type TaskFunc func(ctx context.Context, data []byte) ([]byte, error)

// Config configures a Worker. Logger and Tracer may be nil.
type Config struct {
	ID               unit.Upstream
	AvailabilityZone unit.AvailabilityZone
	Rack             unit.Rack
	// ListenAddress is the address of the HTTP interface, as IP:PORT.
	ListenAddress string
	// EntryAddresses holds the API addresses of entry instances, as IP:PORT.
	EntryAddresses []string
	// Capacity is the capacity that the worker offers to tasks.
	Capacity unit.Resources
	// RunTask runs a task; nil means Echo.
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
	// reportNow requests a report before the next one is due.
	reportNow chan struct{}
	// tasksCtx is the parent of every task's context. It ends when Run does.
	tasksCtx  context.Context
	stopTasks context.CancelFunc
	taskGroup errgroup.Group

	mu      sync.Mutex
	address string
	table   table
	// cancelTask holds the function that ends the context of each running task.
	cancelTask map[unit.Task]context.CancelFunc
	// endSignals holds a channel for each running task, closed when it ends.
	endSignals map[unit.Task]chan struct{}
}

// New returns a Worker with a new incarnation; Run starts it.
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
		cfg:        cfg,
		log:        cfg.Logger.WithField(logger.FieldUpstream, cfg.ID),
		http:       &http.Client{Transport: &http.Transport{}, Timeout: reportTimeout},
		ready:      make(chan struct{}),
		reportNow:  make(chan struct{}, 1),
		table:      newTable(cfg.Capacity, unit.Incarnation(uuid.NewString())),
		cancelTask: map[unit.Task]context.CancelFunc{},
		endSignals: map[unit.Task]chan struct{}{},
	}
	w.tasksCtx, w.stopTasks = context.WithCancel(context.Background())
	return w
}

// Address waits until the worker listens and returns its address, as IP:PORT. It
// returns "" if ctx ends first.
func (w *Worker) Address(ctx context.Context) string {
	select {
	case <-w.ready:
		return w.address
	case <-ctx.Done():
		return ""
	}
}

// Run serves until ctx ends and then drains the worker: it reports the departure,
// refuses new tasks, and waits until all running tasks have ended and their ends
// are acknowledged, at most for DrainTimeout. Then it stops the remaining tasks
// and returns.
func (w *Worker) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", w.cfg.ListenAddress)
	if err != nil {
		return errors.Wrap(err, "binding the address of the upstream")
	}
	w.address = listener.Addr().String()
	close(w.ready)
	server := &http.Server{Handler: w.routes(), ReadHeaderTimeout: readHeaderTimeout.Duration()}
	reportCtx, stopReports := context.WithCancel(context.Background())
	defer stopReports()
	var group errgroup.Group
	group.Go(func() error { return serve(server, listener) })
	group.Go(func() error { return w.reportLoop(reportCtx) })
	group.Go(func() error { return w.watchLeases(reportCtx) })
	<-ctx.Done()
	w.drain()
	stopReports()
	w.stopTasks()
	_ = w.taskGroup.Wait()
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

// closeServer shuts the server down. Replies in progress have readHeaderTimeout
// to complete.
func closeServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), readHeaderTimeout.Duration())
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// drain marks the worker as draining and waits until isDrained returns true, at
// most for DrainTimeout.
func (w *Worker) drain() {
	w.mu.Lock()
	w.table.draining = true
	w.mu.Unlock()
	w.requestReport()
	limit := time.NewTimer(w.cfg.DrainTimeout.Duration())
	defer limit.Stop()
	tick := time.NewTicker(leaseCheckInterval.Duration())
	defer tick.Stop()
	for !w.isDrained() {
		select {
		case <-limit.C:
			return
		case <-tick.C:
		}
	}
}

// isDrained reports whether the draining worker may shut down; see
// table.isDrained.
func (w *Worker) isDrained() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.isDrained()
}

func (w *Worker) requestReport() {
	select {
	case w.reportNow <- struct{}{}:
	default:
	}
}

// watchLeases stops the tasks whose lease has expired.
func (w *Worker) watchLeases(ctx context.Context) error {
	tick := time.NewTicker(leaseCheckInterval.Duration())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		w.mu.Lock()
		for _, id := range w.table.expire(w.cfg.Clock.Now()) {
			w.cancelTask[id]()
			w.log.WithField(logger.FieldTask, id).Warn("lease expired; stopping the task")
		}
		w.mu.Unlock()
	}
}
