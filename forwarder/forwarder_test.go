package forwarder_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/driver"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/forwarder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// fakeMesh is a mesh of the instances a, b and c, one of which may be the leader.
type fakeMesh struct {
	mu     sync.Mutex
	leader unit.Instance
	term   replicator.Term
	// Calls to the instances in down fail without delivery; calls to those in silent
	// are never answered.
	down, silent map[unit.Instance]bool
	requests     map[unit.Instance]int
	heartbeats   map[unit.Instance]int
	reply        planner.Reply
	// fails is true if the leader's handler returns an error, garbled if its response
	// can't be decoded.
	fails, garbled bool
	// lag is the delay of the leader's answers.
	lag time.Duration
}

func newFakeMesh(leader unit.Instance) *fakeMesh {
	return &fakeMesh{leader: leader, term: 1, down: map[unit.Instance]bool{}, silent: map[unit.Instance]bool{}, requests: map[unit.Instance]int{}, heartbeats: map[unit.Instance]int{}}
}

// Call implements instance.Caller.
func (f *fakeMesh) Call(ctx context.Context, to unit.Instance, _ instance.Method, body []byte) ([]byte, error) {
	f.mu.Lock()
	down, silent, leader, term, lag, fails, garbled := f.down[to], f.silent[to], f.leader, f.term, f.lag, f.fails, f.garbled
	f.mu.Unlock()
	if down {
		return nil, &instance.CallError{Peer: to, Cause: errors.New("down")}
	}
	if silent {
		<-ctx.Done()
		return nil, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: ctx.Err()}
	}
	resp := driver.Response{NotLeader: to != leader, Leader: leader, Term: term, Members: []unit.Instance{"a", "b", "c"}}
	r, err := planner.DecodeRequest(body)
	if err != nil {
		return nil, err
	}
	_, isHeartbeat := r.(planner.Heartbeat)
	if isHeartbeat {
		f.mu.Lock()
		f.heartbeats[to]++
		f.mu.Unlock()
	}
	if !isHeartbeat && to == leader {
		f.mu.Lock()
		f.requests[to]++
		resp.Reply = f.reply
		f.mu.Unlock()
	}
	if !isHeartbeat && to == leader && fails {
		return nil, &instance.RemoteError{Peer: to, Message: "failed midway"}
	}
	if !isHeartbeat && to == leader && garbled {
		return []byte{0xff}, nil
	}
	if to == leader && lag > 0 {
		select {
		case <-time.After(lag):
		case <-ctx.Done():
			return nil, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: ctx.Err()}
		}
	}
	return encoder.Marshal(resp), nil
}

func start(ctx context.Context, f *fakeMesh, seeds ...unit.Instance) (*forwarder.Forwarder, func()) {
	w := forwarder.New(forwarder.Config{Self: "e", Seeds: seeds, Mesh: f, Clock: clock.Clock{}})
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error)
	var group sync.WaitGroup
	group.Go(func() { done <- w.Run(ctx) })
	return w, func() {
		cancel()
		<-done
	}
}

// newSettled returns a mesh whose instance a is the leader, and a forwarder that has
// found it. It must be called in a synctest bubble.
func newSettled(t *testing.T) (*fakeMesh, *forwarder.Forwarder) {
	t.Helper()
	f := newFakeMesh("a")
	w, stop := start(t.Context(), f, "a", "b")
	t.Cleanup(stop)
	time.Sleep(time.Second)
	return f, w
}

// set changes the mesh with its lock held.
func (f *fakeMesh) set(change func(f *fakeMesh)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func ask(w *forwarder.Forwarder, d time.Duration) planner.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return w.Do(ctx, planner.GetConfig{})
}

func TestLeaderIsFoundFromAnySeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeMesh("c")
		f.down["b"] = true
		w, stop := start(t.Context(), f, "b", "a")
		defer stop()
		is.New(t).Equal(ask(w, 3*time.Second).Code, planner.OK)
		is.New(t).Equal(w.Leader(), unit.Instance("c"))
	})
}

// TestPendingRequestMovesToNewLeader guards against a request that waits for a leader
// that doesn't answer, although another instance has become the leader.
func TestPendingRequestMovesToNewLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, w := newSettled(t)
		f.set(func(f *fakeMesh) { f.silent["a"] = true })
		var group sync.WaitGroup
		var reply planner.Reply
		began := time.Now()
		var took time.Duration
		group.Go(func() {
			reply = ask(w, 5*time.Second)
			took = time.Since(began)
		})
		time.Sleep(100 * time.Millisecond)
		f.set(func(f *fakeMesh) { f.leader, f.term = "b", 2 })
		group.Wait()
		is.Equal(reply.Code, planner.OK)
		is.True(took < 700*time.Millisecond) // less than attemptTimeout
	})
}

// TestSlowLeaderGetsRequestOnce guards against retries at a leader that is behind,
// which would add to its load, and against forgetting that leader.
func TestSlowLeaderGetsRequestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, w := newSettled(t)
		f.set(func(f *fakeMesh) { f.lag = time.Second })
		time.Sleep(time.Second)
		is.Equal(w.Leader(), unit.Instance("a"))
		is.Equal(ask(w, 3*time.Second).Code, planner.OK)
		is.Equal(f.requests["a"], 1)
	})
}

// TestHeartbeatsGoMostlyToTheLeader guards against too many heartbeats to the other
// candidates while the leader answers: hundreds of instances send them.
func TestHeartbeatsGoMostlyToTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeMesh("a")
		_, stop := start(t.Context(), f, "a", "b")
		defer stop()
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.True(f.heartbeats["a"] >= 75)
		for _, other := range []unit.Instance{"b", "c"} {
			is.True(f.heartbeats[other] >= 15)
			is.True(f.heartbeats[other] <= 22)
		}
	})
}

// TestRequestsFailFastWhileLeaderIsUnreachable separates an instance from the leader,
// with or without another instance on its side of the partition. Requests must fail
// while their callers still have time to go to another instance.
func TestRequestsFailFastWhileLeaderIsUnreachable(t *testing.T) {
	for name, unreachable := range map[string][]unit.Instance{
		"all instances silent":    {"a", "b", "c"},
		"a former member answers": {"a", "b"},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testLeaderUnreachable(t, unreachable) }) })
	}
}

func testLeaderUnreachable(t *testing.T, unreachable []unit.Instance) {
	is := is.New(t)
	f, w := newSettled(t)
	f.set(func(f *fakeMesh) {
		for _, id := range unreachable {
			f.silent[id] = true
		}
	})
	began := time.Now()
	is.Equal(ask(w, 3*time.Second).Code, planner.Unknown) // the leader may have received it
	is.True(time.Since(began) < 2*time.Second)

	began = time.Now()
	r := ask(w, 3*time.Second)
	is.Equal(r.Code, planner.Unavailable) // the leader can't have received it
	is.True(r.RetryAfter > 0)
	is.Equal(time.Since(began), time.Duration(0))

	f.set(func(f *fakeMesh) { f.silent = map[unit.Instance]bool{} })
	time.Sleep(4 * time.Second)
	is.Equal(ask(w, 3*time.Second).Code, planner.OK)
}

func TestFailureReportsWhetherRequestWasMaybeDelivered(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *fakeMesh)
		want   planner.Code
	}{
		"no instance is reachable":    {change: func(f *fakeMesh) { f.down["a"], f.down["b"], f.down["c"] = true, true, true }, want: planner.Unavailable},
		"no instance is the leader":   {change: func(f *fakeMesh) { f.leader = "" }, want: planner.Unavailable},
		"the leader never answers":    {change: func(f *fakeMesh) { f.silent["a"] = true }, want: planner.Unknown},
		"the leader returns Unknown":  {change: func(f *fakeMesh) { f.reply.Code = planner.Unknown }, want: planner.Unknown},
		"the leader returns an error": {change: func(f *fakeMesh) { f.fails = true }, want: planner.Unknown},
		"the response is garbled":     {change: func(f *fakeMesh) { f.garbled = true }, want: planner.Unknown},
		"the leader is overloaded":    {change: func(f *fakeMesh) { f.reply.Code = planner.Overloaded }, want: planner.Overloaded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, w := newSettled(t)
				f.set(c.change)
				r := ask(w, 3*time.Second)
				is.New(t).Equal(r.Code, c.want)
				if c.want == planner.Unavailable {
					is.New(t).True(r.RetryAfter > 0)
				}
			})
		})
	}
}

// TestRefusalAfterMaybeDeliveredAttempt guards against a caller that is told that its request
// was refused although it was executed: a leader fails after it has received the request, and
// the new leader refuses the second attempt, for example because the key has been withdrawn
// since then.
func TestRefusalAfterMaybeDeliveredAttempt(t *testing.T) {
	submit, cancel := planner.Submit{ID: "00000000000000aa"}, planner.Cancel{ID: "00000000000000aa"}
	for name, c := range map[string]struct {
		request     planner.Request
		code        planner.Code
		undelivered bool
		want        planner.Code
	}{
		"a job, withdrawn key":                  {request: submit, code: planner.Unauthorized, want: planner.Unknown},
		"a job, removed queue":                  {request: submit, code: planner.QueueNotFound, want: planner.Unknown},
		"a job, key of another account":         {request: submit, code: planner.Invalid, want: planner.Unknown},
		"a job, overload":                       {request: submit, code: planner.Overloaded, want: planner.Unknown},
		"a job, no configuration":               {request: submit, code: planner.Unavailable, want: planner.Unknown},
		"a job that the new leader accepts":     {request: submit, code: planner.OK, want: planner.OK},
		"a job, first attempt not delivered":    {request: submit, code: planner.Unauthorized, undelivered: true, want: planner.Unauthorized},
		"a cancel, withdrawn key":               {request: cancel, code: planner.Unauthorized, want: planner.Unknown},
		"a cancel of a job that is gone":        {request: cancel, code: planner.JobNotFound, want: planner.JobNotFound},
		"a read, which changes nothing":         {request: planner.GetJob{ID: "00000000000000aa"}, code: planner.Unauthorized, want: planner.Unauthorized},
		"a configuration that is refused later": {request: planner.PutConfig{}, code: planner.Invalid, want: planner.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, w := newSettled(t)
				f.set(func(f *fakeMesh) {
					f.silent["a"], f.down["a"] = !c.undelivered, c.undelivered
					f.reply.Code = c.code
				})
				var group sync.WaitGroup
				var reply planner.Reply
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					reply = w.Do(ctx, c.request)
				})
				time.Sleep(100 * time.Millisecond)
				f.set(func(f *fakeMesh) { f.leader, f.term = "b", 2 })
				group.Wait()
				is.New(t).Equal(reply.Code, c.want)
			})
		})
	}
}

// TestOversizedRequestIsInvalidAtOnce guards against a request that no leader can commit: it
// would be repeated until its caller's deadline.
func TestOversizedRequestIsInvalidAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, w := newSettled(t)
		began := time.Now()
		is.Equal(w.Do(t.Context(), planner.PutConfig{Config: keeper.Config{Document: make([]byte, driver.MaxRequestBytes)}}).Code, planner.Invalid)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(f.requests["a"], 0)
	})
}
