package worker_test

import (
	"context"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/unit"
	"github.com/chervilvane/chervilvane/upstream"
	"github.com/chervilvane/chervilvane/worker"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testTimeout bounds the waits of tests; it expires only if a test fails.
const testTimeout = 20 * time.Second

var testCapacity = unit.Resources{CPU: 4 * unit.Core, Memory: unit.Gigabyte, Slots: 4, Connections: 4}

// fakeEntry is an entry instance that replies to reports and acknowledges the
// ends in them.
type fakeEntry struct {
	server *httptest.Server

	mu    sync.Mutex
	reply dispatcher.ReportReply
	last  dispatcher.Report
	// changed is closed and replaced with each report.
	changed chan struct{}
}

func newFakeEntry(t *testing.T) *fakeEntry {
	e := &fakeEntry{changed: make(chan struct{}), reply: dispatcher.ReportReply{Epoch: 1, Lease: clock.Minute}}
	e.server = httptest.NewServer(upstream.NewReportHandler(e.report))
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEntry) report(_ context.Context, r dispatcher.Report) (dispatcher.ReportReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = r
	close(e.changed)
	e.changed = make(chan struct{})
	reply := e.reply
	for _, ended := range r.Ended {
		reply.Forget = append(reply.Forget, ended.Task)
	}
	return reply, nil
}

// await waits until the last report satisfies ok.
func (e *fakeEntry) await(ctx context.Context, ok func(dispatcher.Report) bool) error {
	for {
		e.mu.Lock()
		last, changed := e.last, e.changed
		e.mu.Unlock()
		if ok(last) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "last report %+v", last)
		}
	}
}

// fixture is a running worker, its entry instance and a client for its orders.
type fixture struct {
	ctx     context.Context
	entry   *fakeEntry
	client  *upstream.Client
	address string
	// shutdown ends the worker's Run and returns its error.
	shutdown func() error
}

func start(t *testing.T, cfg worker.Config) fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	e := newFakeEntry(t)
	cfg.ID, cfg.AvailabilityZone, cfg.ListenAddress, cfg.Capacity = "u1", "z1", "127.0.0.1:0", testCapacity
	// The first address refuses connections, so the worker must try the next.
	cfg.EntryAddresses = []string{"127.0.0.1:1", e.server.Listener.Addr().String()}
	w := worker.New(cfg)
	run, stop := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return w.Run(run) })
	client := upstream.NewClient(upstream.ClientConfig{})
	shutdown := sync.OnceValue(func() error {
		stop()
		return group.Wait()
	})
	t.Cleanup(func() {
		if err := shutdown(); err != nil {
			t.Error(err)
		}
		client.Close()
		cancel()
	})
	return fixture{ctx: ctx, entry: e, client: client, address: w.Address(ctx), shutdown: shutdown}
}

func order(id unit.Task, data string) dispatcher.StartOrder {
	return dispatcher.StartOrder{
		Task:   id,
		Epoch:  1,
		Lease:  clock.Minute,
		Expiry: clock.Minute,
		Need:   unit.Resources{CPU: unit.Core, Slots: 1},
		Data:   []byte(data),
	}
}

func TestStartReplies(t *testing.T) {
	is := is.New(t)
	f := start(t, worker.Config{})
	reply, err := f.client.Start(f.ctx, f.address, order("t1", "hello"))
	is.NoErr(err)
	is.Equal(reply, dispatcher.Finished{Done: dispatcher.Done{Answer: []byte("hello")}})
	reply, err = f.client.Start(f.ctx, f.address, order("t2", "fail=no paper;"))
	is.NoErr(err)
	is.Equal(reply, dispatcher.Finished{Done: dispatcher.Done{Answer: []byte("no paper"), Failed: true}})
	is.NoErr(f.entry.await(f.ctx, func(r dispatcher.Report) bool { return r.Upstream == "u1" && r.Holds == testCapacity }))
}

func TestStopOrderEndsTask(t *testing.T) {
	is := is.New(t)
	f := start(t, worker.Config{})
	reply, err := f.client.Start(f.ctx, f.address, order("t1", "wait=1h;"))
	is.NoErr(err)
	is.Equal(reply, dispatcher.Started{})
	is.NoErr(f.client.Stop(f.ctx, f.address, dispatcher.StopOrder{Task: "t1", Checkpoint: true}))
	is.NoErr(f.entry.await(f.ctx, func(r dispatcher.Report) bool {
		return slices.ContainsFunc(r.Ended, func(e dispatcher.Ended) bool { return e.Task == "t1" && e.Stopped && e.Checkpointed })
	}))
}

func TestDrainWaitsForRunningTasks(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	finish := make(chan struct{})
	f := start(t, worker.Config{RunTask: func(context.Context, []byte) ([]byte, error) {
		close(begun)
		<-finish
		return []byte("whole"), nil
	}})
	var group errgroup.Group
	var reply dispatcher.StartReply
	group.Go(func() (err error) {
		reply, err = f.client.Start(f.ctx, f.address, order("t1", ""))
		return err
	})
	<-begun
	group.Go(f.shutdown)
	is.NoErr(f.entry.await(f.ctx, func(r dispatcher.Report) bool { return r.Departing && len(r.Running) == 1 }))
	refused, err := f.client.Start(f.ctx, f.address, order("t2", ""))
	is.NoErr(err)
	is.Equal(refused, dispatcher.Refused{Detail: "the upstream departs", Epoch: 1})
	close(finish)
	is.NoErr(group.Wait())
	is.NoErr(f.entry.await(f.ctx, func(r dispatcher.Report) bool { return len(r.Ended) == 1 && string(r.Ended[0].Done.Answer) == "whole" }))
	if _, open := reply.(dispatcher.Started); !open {
		is.Equal(reply, dispatcher.Finished{Done: dispatcher.Done{Answer: []byte("whole")}})
	}
}
