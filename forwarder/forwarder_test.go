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
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// fleet is a mesh on which one instance holds the domain.
type fleet struct {
	mu     sync.Mutex
	holder unit.Instance
	term   replicator.Term
	// down instances can't be reached; silent ones never answer.
	down, silent map[unit.Instance]bool
	asked        map[unit.Instance]int
	signs        map[unit.Instance]int
	reply        planner.Reply
	// fails: the holder answers with an error of the mesh.
	fails bool
	// lag is by how much the holder's answers are late.
	lag time.Duration
}

func newFleet(holder unit.Instance) *fleet {
	return &fleet{holder: holder, term: 1, down: map[unit.Instance]bool{}, silent: map[unit.Instance]bool{}, asked: map[unit.Instance]int{}, signs: map[unit.Instance]int{}}
}

// Call implements instance.Caller.
func (f *fleet) Call(ctx context.Context, to unit.Instance, _ instance.Method, body []byte) ([]byte, error) {
	f.mu.Lock()
	down, silent, holder, term, lag, fails := f.down[to], f.silent[to], f.holder, f.term, f.lag, f.fails
	f.mu.Unlock()
	if down {
		return nil, &instance.CallError{Peer: to, Cause: errors.New("down")}
	}
	if silent {
		<-ctx.Done()
		return nil, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: ctx.Err()}
	}
	e := driver.Response{NotLeader: to != holder, Leader: holder, Term: term, Members: []unit.Instance{"a", "b", "c"}}
	r, err := planner.DecodeRequest(body)
	if err != nil {
		return nil, err
	}
	_, attends := r.(planner.Heartbeat)
	if attends {
		f.mu.Lock()
		f.signs[to]++
		f.mu.Unlock()
	}
	if !attends && to == holder {
		f.mu.Lock()
		f.asked[to]++
		e.Reply = f.reply
		f.mu.Unlock()
	}
	if !attends && to == holder && fails {
		return nil, &instance.RemoteError{Peer: to, Message: "failed midway"}
	}
	if to == holder && lag > 0 {
		select {
		case <-time.After(lag):
		case <-ctx.Done():
			return nil, &instance.CallError{Peer: to, MaybeDelivered: true, Cause: ctx.Err()}
		}
	}
	return encoder.Marshal(e), nil
}

func start(ctx context.Context, f *fleet, contacts ...unit.Instance) (*forwarder.Forwarder, func()) {
	w := forwarder.New(forwarder.Config{Self: "e", Seeds: contacts, Mesh: f, Clock: clock.Clock{}})
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error)
	var group sync.WaitGroup
	group.Go(func() { done <- w.Run(ctx) })
	return w, func() {
		cancel()
		<-done
	}
}

// settled returns a fleet whose instance a holds the domain, and a forwarder that has
// found it. It is called in a synctest bubble.
func settled(t *testing.T) (*fleet, *forwarder.Forwarder) {
	t.Helper()
	f := newFleet("a")
	w, stop := start(t.Context(), f, "a", "b")
	t.Cleanup(stop)
	time.Sleep(time.Second)
	return f, w
}

// set changes the fleet.
func (f *fleet) set(change func(f *fleet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func ask(w *forwarder.Forwarder, d time.Duration) planner.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return w.Do(ctx, planner.GetConfig{})
}

func TestHolderIsFoundFromAnyContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("c")
		f.down["b"] = true
		w, stop := start(t.Context(), f, "b", "a")
		defer stop()
		is.New(t).Equal(ask(w, 3*time.Second).Code, planner.OK)
		is.New(t).Equal(w.Leader(), unit.Instance("c"))
	})
}

// TestRequestFollowsANewHolder has a request wait at a holder that froze while
// another one takes over.
func TestRequestFollowsANewHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, w := settled(t)
		f.set(func(f *fleet) { f.silent["a"] = true })
		var group sync.WaitGroup
		var reply planner.Reply
		began := time.Now()
		var took time.Duration
		group.Go(func() {
			reply = ask(w, 5*time.Second)
			took = time.Since(began)
		})
		time.Sleep(100 * time.Millisecond)
		f.set(func(f *fleet) { f.holder, f.term = "b", 2 })
		group.Wait()
		is.Equal(reply.Code, planner.OK)
		is.True(took < 700*time.Millisecond) // sooner than a try times out
	})
}

// TestSlowHolderIsAskedOnce: a holder that is behind isn't given the same work
// twice, and its entries don't turn away from it.
func TestSlowHolderIsAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, w := settled(t)
		f.set(func(f *fleet) { f.lag = time.Second })
		time.Sleep(time.Second)
		is.Equal(w.Leader(), unit.Instance("a"))
		is.Equal(ask(w, 3*time.Second).Code, planner.OK)
		is.Equal(f.asked["a"], 1)
	})
}

// TestSignsOfLifeGoToTheHolder: hundreds of instances send them, so the others get
// few while the holder answers.
func TestSignsOfLifeGoToTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("a")
		_, stop := start(t.Context(), f, "a", "b")
		defer stop()
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.True(f.signs["a"] >= 75)
		for _, other := range []unit.Instance{"b", "c"} {
			is.True(f.signs[other] >= 15)
			is.True(f.signs[other] <= 22)
		}
	})
}

// TestInstanceWithoutAHolderRefusesAtOnce cuts an instance off from the holder, with
// or without another instance beside it. Callers learn of it while they still have
// time to go elsewhere.
func TestInstanceWithoutAHolderRefusesAtOnce(t *testing.T) {
	for name, cut := range map[string][]unit.Instance{
		"alone":                  {"a", "b", "c"},
		"beside a former member": {"a", "b"},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { refuseWithoutAHolder(t, cut) }) })
	}
}

func refuseWithoutAHolder(t *testing.T, cut []unit.Instance) {
	is := is.New(t)
	f, w := settled(t)
	f.set(func(f *fleet) {
		for _, id := range cut {
			f.silent[id] = true
		}
	})
	began := time.Now()
	is.Equal(ask(w, 3*time.Second).Code, planner.Unknown) // the holder may have got it
	is.True(time.Since(began) < 2*time.Second)

	began = time.Now()
	r := ask(w, 3*time.Second)
	is.Equal(r.Code, planner.Unavailable) // nobody can have got it
	is.True(r.RetryAfter > 0)
	is.Equal(time.Since(began), time.Duration(0))

	f.set(func(f *fleet) { f.silent = map[unit.Instance]bool{} })
	time.Sleep(4 * time.Second)
	is.Equal(ask(w, 3*time.Second).Code, planner.OK)
}

func TestLastWordTellsTheTruth(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f *fleet)
		want   planner.Code
	}{
		"nobody is reachable":        {change: func(f *fleet) { f.down["a"], f.down["b"], f.down["c"] = true, true, true }, want: planner.Unavailable},
		"nobody holds the domain":    {change: func(f *fleet) { f.holder = "" }, want: planner.Unavailable},
		"the holder never answers":   {change: func(f *fleet) { f.silent["a"] = true }, want: planner.Unknown},
		"the holder knows no result": {change: func(f *fleet) { f.reply.Code = planner.Unknown }, want: planner.Unknown},
		"the holder fails midway":    {change: func(f *fleet) { f.fails = true }, want: planner.Unknown},
		"the holder is overloaded":   {change: func(f *fleet) { f.reply.Code = planner.Overloaded }, want: planner.Overloaded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, w := settled(t)
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
