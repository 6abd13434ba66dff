package driver_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/driver"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// fakeLog commits each proposal after delay, or returns fail if it is set.
type fakeLog struct {
	mu     sync.Mutex
	state  *keeper.State
	term   replicator.Term
	leads  bool
	leased bool
	fail   error
	delay  time.Duration
}

func (l *fakeLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	delay, fail := l.delay, l.fail
	l.mu.Unlock()
	if len(command) > replicator.MaxCommandBytes {
		return nil, replicator.ErrTooLarge
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, &replicator.UnknownResultError{Cause: ctx.Err()}
	}
	if fail != nil {
		return nil, fail
	}
	return l.state.Apply(0, command), nil
}

func (l *fakeLog) Leadership() (replicator.Term, clock.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, 1, l.leads && l.leased
}

func (l *fakeLog) Status() replicator.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := replicator.Status{Term: l.term, Role: replicator.RoleFollower, Leader: "other"}
	if l.leads {
		s.Role, s.Leader = replicator.RoleLeader, "self"
	}
	return s
}

// hasJob reports whether a job was committed.
func (l *fakeLog) hasJob(id keeper.JobID) bool {
	s := keeper.New()
	return s.Restore(l.state.Snapshot()) == nil && s.Jobs[id] != nil
}

func (l *fakeLog) set(f func(l *fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

// fakeUpstream finishes each run after a second.
type fakeUpstream struct {
	mu      sync.Mutex
	began   time.Time
	started map[keeper.RunKey]time.Time
	tokens  []uint64
}

// startTokens returns the fencing tokens of the starts.
func (u *fakeUpstream) startTokens() []uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.tokens)
}

func (u *fakeUpstream) now() clock.Millis { return clock.FromDuration(time.Since(u.began)) + 1 }

func (u *fakeUpstream) Start(_ context.Context, token uint64, s planner.Start) (planner.OrderResult, clock.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started[s.Run] = time.Now()
	u.tokens = append(u.tokens, token)
	return planner.Executed{}, u.now()
}

func (u *fakeUpstream) Stop(context.Context, uint64, planner.Stop) (planner.OrderResult, clock.Millis) {
	return planner.Executed{}, u.now()
}

func (u *fakeUpstream) Poll(ctx context.Context, _ uint64, poll planner.Poll) (planner.PollResult, error) {
	if err := clock.Sleep(ctx, min(poll.MaxWait, 200)); err != nil {
		return planner.PollResult{}, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	s := planner.PollResult{Incarnation: 1, Clock: u.now()}
	for key, at := range u.started {
		if time.Since(at) < time.Second {
			s.Running = append(s.Running, planner.RunStatus{Run: key})
		} else if poll.AckedEndSeq == 0 {
			s.Ended = append(s.Ended, planner.EndedRun{Seq: 1, Run: key, Outcome: keeper.RunDone})
		}
	}
	return s, nil
}

type noMesh struct{}

func (noMesh) Call(context.Context, unit.Instance, instance.Method, []byte) ([]byte, error) {
	return nil, errors.New("no mesh")
}

const job keeper.JobID = "00000000000000aa"

var address = planner.Address{Host: "h", Path: "/q/" + string(job), APIKey: "k"}

// newLeader starts a driver that is the leader and has a configuration and one
// upstream. It must be called in a synctest bubble, in which a sleep takes no real
// time and ends at the same point of each run.
func newLeader(t *testing.T) (*driver.Driver, *fakeLog, *fakeUpstream) {
	t.Helper()
	return newLeaderWith(t, noMesh{}, keeper.Queue{Name: "q", Service: "s", MaxAttempts: 2})
}

// newLeaderWith is like newLeader, with a mesh and a queue.
func newLeaderWith(t *testing.T, mesh instance.Caller, queue keeper.Queue) (*driver.Driver, *fakeLog, *fakeUpstream) {
	t.Helper()
	l := &fakeLog{state: keeper.New(), term: 7, leads: true, leased: true, delay: 5 * time.Millisecond}
	u := &fakeUpstream{began: time.Now(), started: map[keeper.RunKey]time.Time{}}
	d := driver.New(driver.Config{
		Self: "self", Log: l, State: l.state, Upstreams: u, Mesh: mesh, Logger: logger.Discard(),
		Planner: planner.Config{MaxLease: 6000, Retention: clock.Minute},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	time.Sleep(50 * time.Millisecond)
	is := is.New(t)
	is.Equal(ask(d, planner.PutConfig{Config: keeper.Config{Version: 1, Queues: []keeper.QueueRoute{{
		Host: "h", PathPrefix: "/q/", Queue: queue,
	}}, Services: []keeper.Service{{Name: "s"}}, Accounts: []keeper.Account{{Name: "t", Keys: []string{"k"}}}}}).Reply.Code, planner.OK)
	is.Equal(ask(d, planner.ReportUpstream{Upstream: keeper.Upstream{
		ID: "u", Incarnation: 1, Address: "u:1", Service: "s", Zone: "z", Capacity: unit.Resources{CPU: 1000},
	}, Clock: 1, Seq: 1}).Reply.Code, planner.OK)
	return d, l, u
}

func ask(d *driver.Driver, r planner.Request) driver.Response {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	body, err := d.Serve(ctx, "e", planner.EncodeRequest(r))
	if err != nil {
		panic(err)
	}
	var response driver.Response
	if err := encoder.Unmarshal(body, &response); err != nil {
		panic(err)
	}
	return response
}

func submit() planner.Request {
	return planner.Submit{Address: address, ID: job, Submission: keeper.Submission{Spec: "x", Steps: []keeper.Step{{Count: 1, Need: unit.Resources{CPU: 500}}}}}
}

func TestAcceptedJobRunsOnceAndCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, l, u := newLeader(t)
		is.Equal(ask(d, submit()).Reply.Code, planner.OK)
		is.True(l.hasJob(job)) // the job is committed before the reply
		time.Sleep(3 * time.Second)
		is.Equal(ask(d, planner.GetJob{Address: address, ID: job}).Reply.Phase, keeper.Completed)
		is.Equal(u.startTokens(), []uint64{7 << 10})
	})
}

func TestFailedCommitReturnsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, l, u := newLeader(t)
		l.set(func(l *fakeLog) { l.fail = &replicator.UnknownResultError{Cause: errors.New("lost")} })
		is.Equal(ask(d, submit()).Reply.Code, planner.Unknown)
		time.Sleep(time.Second)
		// The proposal may still be committed in this term, so no new session starts
		// in it.
		is.True(ask(d, submit()).NotLeader)
		is.Equal(len(u.startTokens()), 0)
		l.set(func(l *fakeLog) { l.fail, l.term = nil, 8 })
		time.Sleep(100 * time.Millisecond)
		is.Equal(ask(d, submit()).Reply.Code, planner.OK)
	})
}

func TestRepliesAndOrdersWaitForTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, l, u := newLeader(t)
		var group sync.WaitGroup
		var reply planner.Reply
		group.Go(func() { reply = ask(d, submit()).Reply })
		time.Sleep(time.Millisecond) // the proposal is in progress
		l.set(func(l *fakeLog) { l.leased = false })
		group.Wait()
		is.Equal(reply.Code, planner.Unknown)
		is.True(l.hasJob(job))
		is.Equal(len(u.startTokens()), 0)
		l.set(func(l *fakeLog) { l.leased = true })
		time.Sleep(time.Second)
		is.Equal(u.startTokens(), []uint64{7 << 10})
	})
}

// TestRequestsAreRejectedWithoutALease guards against a request that arrives while
// the lease isn't valid and is executed later: the NotLeader response lets the caller
// send it to another instance.
func TestRequestsAreRejectedWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, l, _ := newLeader(t)
		l.set(func(l *fakeLog) { l.leased = false })
		is.True(ask(d, submit()).NotLeader)
		l.set(func(l *fakeLog) { l.leased = true })
		time.Sleep(time.Second)
		is.True(!l.hasJob(job))
	})
}

// TestSessionsOfOneTermHaveDifferentTokens guards against orders of an earlier session
// that an upstream still accepts. A leadership transfer that no instance takes ends a
// session, and the same instance starts another one in the same term.
func TestSessionsOfOneTermHaveDifferentTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, l, u := newLeader(t)
		is.Equal(ask(d, submit()).Reply.Code, planner.OK)
		time.Sleep(100 * time.Millisecond)
		l.set(func(l *fakeLog) { l.fail = &replicator.NotLeaderError{} })
		second := planner.Submit{Address: address, ID: "00000000000000ab", Submission: submit().(planner.Submit).Submission}
		second.Address.Path = "/q/" + string(second.ID)
		is.Equal(ask(d, second).Reply.Code, planner.Unknown)
		l.set(func(l *fakeLog) { l.fail = nil })
		time.Sleep(100 * time.Millisecond)
		is.Equal(ask(d, second).Reply.Code, planner.OK)
		time.Sleep(2 * time.Second)
		tokens := u.startTokens()
		is.Equal(tokens[0], uint64(7<<10))
		is.Equal(tokens[len(tokens)-1], uint64(7<<10+1))
	})
}

// TestDelayedStartIsNotSent guards against a start that is sent long after its decision,
// since the commit took too long: a later leader relies on planner.MaxStartDelay to tell
// which starts may still be executed late.
func TestDelayedStartIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, l, u := newLeader(t)
		l.set(func(l *fakeLog) { l.delay = planner.MaxStartDelay.Duration() + time.Second })
		_ = ask(d, submit())
		// The job and then the start are committed.
		time.Sleep(3 * (planner.MaxStartDelay.Duration() + time.Second))
		is.Equal(len(u.startTokens()), 0)
		l.set(func(l *fakeLog) { l.delay = 5 * time.Millisecond })
		time.Sleep(2*planner.MaxStartDelay.Duration() + 5*time.Second)
		is.Equal(len(u.startTokens()), 1)
	})
}

func TestFollowerNamesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, l, _ := newLeader(t)
		l.set(func(l *fakeLog) { l.leads = false })
		time.Sleep(100 * time.Millisecond)
		response := ask(d, submit())
		is.True(response.NotLeader)
		is.Equal(response.Leader, unit.Instance("other"))
	})
}

// TestBurstOfLargeJobsIsCommitted guards against the end of all service: large jobs that
// arrive during a commit need more than an entry of the log together, and a session that
// can't commit them never starts again in its term.
func TestBurstOfLargeJobsIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, l, _ := newLeader(t)
		l.set(func(l *fakeLog) { l.delay = 50 * time.Millisecond })
		const jobs = 24
		codes := make(chan planner.Code, jobs)
		var group sync.WaitGroup
		for i := range jobs {
			large := submit().(planner.Submit)
			large.ID = keeper.JobID(fmt.Sprintf("%016x", i))
			large.Address.Path = "/q/" + string(large.ID)
			large.Submission.Steps[0].Image = strings.Repeat("x", 250_000)
			group.Go(func() { codes <- ask(d, large).Reply.Code })
		}
		group.Wait()
		for range jobs {
			is.Equal(<-codes, planner.OK)
		}
		time.Sleep(time.Second)
		is.Equal(ask(d, planner.GetJob{Address: planner.Address{Host: "h", Path: "/q/0000000000000001", APIKey: "k"}, ID: "0000000000000001"}).Reply.Code, planner.OK)
	})
}

// TestOutputBeyondAnEntryIsCommitted guards against the same end by a single event: the
// starts of one pass need more than an entry of the log.
func TestOutputBeyondAnEntryIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _, u := newLeader(t)
		is.Equal(ask(d, planner.ReportUpstream{Upstream: keeper.Upstream{
			ID: unit.Upstream(strings.Repeat("u", 9000)), Incarnation: 1, Address: "u2:1", Service: "s", Capacity: unit.Resources{CPU: 5000},
		}, Clock: 1, Seq: 1}).Reply.Code, planner.OK)
		many := submit().(planner.Submit)
		many.Submission.Steps[0].Count, many.Submission.Steps[0].Need.CPU = 2000, 1
		is.Equal(ask(d, many).Reply.Code, planner.OK)
		time.Sleep(500 * time.Millisecond)
		is.Equal(len(u.startTokens()), 2000)
	})
}

// TestEvacuationIsDurableBeforeTheReply guards against an acknowledged evacuation that isn't
// in the log, or that a later session doesn't know.
func TestEvacuationIsDurableBeforeTheReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, l, u := newLeader(t)
		l.set(func(l *fakeLog) { l.fail = &replicator.UnknownResultError{Cause: errors.New("lost")} })
		is.Equal(ask(d, planner.Evacuate{Zone: "z"}).Reply.Code, planner.Unknown)
		l.set(func(l *fakeLog) { l.fail, l.term = nil, 8 })
		time.Sleep(100 * time.Millisecond)
		for range 2 {
			is.Equal(ask(d, planner.Evacuate{Zone: "z"}).Reply.Code, planner.OK)
			committed, err := l.state.Clone()
			is.NoErr(err)
			is.True(committed.EvacuatedZones["z"])
		}
		l.set(func(l *fakeLog) { l.term = 9 })
		time.Sleep(100 * time.Millisecond)
		is.Equal(ask(d, submit()).Reply.Code, planner.OK)
		time.Sleep(time.Second)
		is.Equal(len(u.startTokens()), 0)
		is.Equal(ask(d, planner.Evacuate{Zone: "z", Withdraw: true}).Reply.Code, planner.OK)
		time.Sleep(time.Second)
		is.Equal(u.startTokens(), []uint64{9 << 10})
	})
}

// TestStartIsNotSentToAZoneEvacuatedMeanwhile guards against an order that goes out after an
// evacuation was acknowledged, since the start was decided before and committed with it.
func TestStartIsNotSentToAZoneEvacuatedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, l, u := newLeader(t)
		l.set(func(l *fakeLog) { l.delay = 500 * time.Millisecond })
		var group sync.WaitGroup
		group.Go(func() { _ = ask(d, submit()) })
		time.Sleep(250 * time.Millisecond) // the start is decided and waits for the commit of the job
		is.Equal(ask(d, planner.Evacuate{Zone: "z"}).Reply.Code, planner.OK)
		group.Wait()
		time.Sleep(3 * time.Second)
		is.Equal(len(u.startTokens()), 0)
		is.Equal(ask(d, planner.Evacuate{Zone: "z", Withdraw: true}).Reply.Code, planner.OK)
		time.Sleep(3 * time.Second)
		is.Equal(len(u.startTokens()), 1)
	})
}

// advisoryMesh refuses all calls and counts the ticket requests.
type advisoryMesh struct{ requests atomic.Int32 }

func (m *advisoryMesh) Call(_ context.Context, _ unit.Instance, method instance.Method, _ []byte) ([]byte, error) {
	if method == driver.MethodAdvise {
		m.requests.Add(1)
	}
	return nil, errors.New("no mesh")
}

// TestTicketsAreNotRequestedWithoutALease guards against ticket requests of a leader that has
// lost its lease: they don't wait for a commit, and would keep the advice service busy while
// another leader needs it.
func TestTicketsAreNotRequestedWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		mesh := &advisoryMesh{}
		d, l, _ := newLeaderWith(t, mesh, keeper.Queue{Name: "q", Service: "s", MaxAttempts: 2, RequiresTicket: true, TicketTTL: 2500})
		is.Equal(ask(d, submit()).Reply.Code, planner.OK)
		heartbeat := planner.Heartbeat{From: "e", RequestsTickets: true}
		ask(d, heartbeat)
		time.Sleep(time.Second)
		requests := mesh.requests.Load()
		is.True(requests > 0)
		ask(d, heartbeat)
		l.set(func(l *fakeLog) { l.leased = false })
		time.Sleep(50 * time.Millisecond) // a request that is under way
		requests = mesh.requests.Load()
		time.Sleep(time.Second)
		is.Equal(mesh.requests.Load(), requests)
	})
}
