package planner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// quiet returns a world without faults whose configuration was changed.
func quiet(t *testing.T, change func(c *keeper.Config)) *world {
	w := newWorld(t, func(int) int { return 1 }, 3)
	w.calm = true
	c := config(0)
	c.Version = 2
	change(&c)
	w.log.ApplyCommand(keeper.SetConfig{Config: c})
	w.takeOver()
	w.step(10)
	return w
}

func (w *world) ask(r planner.Request) planner.Reply {
	var reply planner.Reply
	w.planner.HandleRequest(w.now, r, func(a planner.Reply) { reply = a })
	w.commit()
	return reply
}

func submission(cpu unit.MilliCPU, count int) keeper.Submission {
	return keeper.Submission{Spec: "x", Steps: []keeper.Step{{Count: count, Need: unit.Resources{CPU: cpu}, Estimate: 500}}}
}

const first keeper.JobID = "00000000000000aa"

// TestJobsBelongToTheirAccount has another account ask for a job, cancel it and hand in
// one under its id.
func TestJobsBelongToTheirAccount(t *testing.T) {
	for name, c := range map[string]struct {
		key      string
		open     bool
		isTheirs bool
	}{
		"its own key":           {key: "k", isTheirs: true},
		"another account's key": {key: "other"},
		"a queue open to all":   {key: "other", open: true, isTheirs: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := quiet(t, func(k *keeper.Config) {
				k.Accounts = append(k.Accounts, keeper.Account{Name: "other", Keys: []string{"other"}})
				k.Queues[0].Public = c.open
			})
			to := address(first)
			is.Equal(w.ask(planner.Submit{Address: to, ID: first, Submission: submission(100, 1)}).Code, planner.OK)
			to.APIKey = c.key
			want, again := planner.JobNotFound, planner.Invalid
			if c.isTheirs {
				want, again = planner.OK, planner.OK
			}
			is.Equal(w.ask(planner.Submit{Address: to, ID: first, Submission: submission(100, 1)}).Code, again)
			is.Equal(w.ask(planner.GetJob{Address: to, ID: first}).Code, want)
			is.Equal(w.ask(planner.Cancel{Address: to, ID: first}).Code, want)
			is.Equal(w.planner.State().Jobs[first].Phase == keeper.Cancelled, c.isTheirs)
		})
	}
}

func TestRequestsAreAdmittedByQueueAndKey(t *testing.T) {
	w := quiet(t, func(c *keeper.Config) {
		c.Queues = append(c.Queues, keeper.QueueRoute{Host: "h", PathPrefix: "/q/open/", Public: true, Queue: keeper.Queue{Name: "o", Service: service}})
	})
	for name, c := range map[string]struct {
		path, key string
		id        keeper.JobID
		want      planner.Code
	}{
		"known key":          {path: "/q/" + string(first), key: "k", id: first, want: planner.OK},
		"unknown key":        {path: "/q/" + string(first), key: "other", id: first, want: planner.Unauthorized},
		"no key":             {path: "/q/" + string(first), id: first, want: planner.Unauthorized},
		"open queue":         {path: "/q/open/00000000000000ab", id: "00000000000000ab", want: planner.OK},
		"no queue":           {path: "/x/" + string(first), key: "k", id: first, want: planner.QueueNotFound},
		"no id":              {path: "/q/short", key: "k", id: "short", want: planner.Invalid},
		"a path after it":    {path: "/q/more/" + string(first), key: "k", id: first, want: planner.Invalid},
		"unknown key, no id": {path: "/q/short", key: "other", id: "short", want: planner.Unauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			to := planner.Address{Host: "h", Path: c.path, APIKey: c.key}
			is.New(t).Equal(w.ask(planner.Submit{Address: to, ID: c.id, Submission: submission(100, 1)}).Code, c.want)
		})
	}
}

func TestJobsThatMakeNoSenseAreInvalid(t *testing.T) {
	w := quiet(t, func(*keeper.Config) {})
	for name, work := range map[string]keeper.Submission{
		"no steps":         {},
		"no tasks":         {Steps: []keeper.Step{{}}},
		"a negative need":  {Steps: []keeper.Step{{Count: 1, Need: unit.Resources{CPU: -1}}}},
		"needs itself":     {Steps: []keeper.Step{{Count: 1, DependsOn: []int{0}}}},
		"needs a later":    {Steps: []keeper.Step{{Count: 1, DependsOn: []int{1}}, {Count: 1}}},
		"too many tasks":   {Steps: []keeper.Step{{Count: 1 << 30}}},
		"negative repeats": {Steps: []keeper.Step{{Count: 1}}, Repeat: -1},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(w.ask(planner.Submit{Address: address(first), ID: first, Submission: work}).Code, planner.Invalid)
		})
	}
}

func TestResentJobStaysOne(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	for range 3 {
		is.Equal(w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(100, 1)}).Code, planner.OK)
		w.step(30)
	}
	is.Equal(len(w.log.Jobs), 1)
	is.Equal(len(w.begun), 1)
}

func TestRequestsBeforeAConfigurationAreUnavailable(t *testing.T) {
	is := is.New(t)
	p := planner.New(planner.Config{FencingToken: 1, MaxLease: maxHold}, keeper.New())
	var got planner.Reply
	p.HandleRequest(1, planner.GetJob{Address: address(first), ID: first}, func(a planner.Reply) { got = a })
	_, effects := p.TakeOutput()
	effects[0].(planner.Respond).Send()
	is.Equal(got.Code, planner.Unavailable)
	is.True(got.RetryAfter > 0)
}

func TestOlderConfigurationChangesNothing(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	is.Equal(w.ask(planner.PutConfig{Config: keeper.Config{Version: 2, Document: []byte("other")}}).Code, planner.OK)
	is.Equal(string(w.ask(planner.GetConfig{}).Document), "")
	is.Equal(w.ask(planner.PutConfig{Config: keeper.Config{Version: 3, Document: []byte("new")}}).Code, planner.OK)
	is.Equal(string(w.ask(planner.GetConfig{}).Document), "new")
}

func TestWithdrawnKeyIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	is.Equal(w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(100, 1)}).Code, planner.OK)
	c := config(0)
	c.Version, c.Accounts[0].Keys = 3, []string{"new"}
	is.Equal(w.ask(planner.PutConfig{Config: c}).Code, planner.OK)
	is.Equal(w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(100, 1)}).Code, planner.Unauthorized)
	is.Equal(w.ask(planner.GetJob{Address: address(first), ID: first}).Code, planner.Unauthorized)
	to := address(first)
	to.APIKey = "new"
	is.Equal(w.ask(planner.GetJob{Address: to, ID: first}).Code, planner.OK)
}

func TestCancelStopsWhatRuns(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(100, 3)})
	w.step(20)
	w.step(20)
	is.Equal(w.running(), 3)
	is.Equal(w.ask(planner.Cancel{Address: address(first), ID: first}).Phase, keeper.Cancelled)
	for range 6 {
		w.step(20)
	}
	is.Equal(w.running(), 0)
	is.Equal(w.ask(planner.GetJob{Address: address(first), ID: first}).Phase, keeper.Cancelled)
}

func (w *world) running() int {
	n := 0
	for _, u := range w.upstreams {
		n += len(u.runs)
	}
	return n
}

func TestDrainingUpstreamGetsNothing(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	for _, u := range w.upstreams[1:] {
		u.draining = true
	}
	w.step(10)
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(1000, 8)})
	w.step(20)
	w.step(20)
	is.Equal(len(w.upstreams[0].runs), 4)
	is.Equal(w.running(), 4)
}

// TestStartsNeedATicket also shows that known answers are kept and only their
// tickets are asked for again.
func TestStartsNeedATicket(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(c *keeper.Config) {
		c.Queues[0].Queue.RequiresTicket, c.Queues[0].Queue.TicketTTL = true, 2000
	})
	w.planner.HandleHeartbeat(w.now, planner.Heartbeat{From: "e1", RequestsTickets: true})
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(4000, 2)})
	w.planner.Tick(w.now)
	q := only[planner.RequestTickets](t, w)
	is.Equal(len(q.Upstreams), 3)
	w.planner.HandleTickets(w.now, q, map[unit.Upstream]string{"b": "ticket"}, 2000, nil)
	w.planner.Tick(w.now)
	start := only[planner.Start](t, w)
	is.Equal(start.Target.ID, unit.Upstream("b"))
	is.Equal(start.Ticket, "ticket")
	// The second task waits for room on b, and by then the ticket is too old.
	w.planner.HandleStartResult(w.now, start.Run, start.Target, planner.Executed{}, 0)
	w.now += 3000
	u := w.upstreams[1]
	u.seq = 99
	w.planner.Report(w.now, planner.Report{Upstream: u.describe(), Clock: u.clock(), Seq: 99}, func() {})
	w.planner.HandlePollResult(w.now, w.now, start.Target, planner.PollResult{Incarnation: 1, Clock: u.clock(), Ended: []planner.EndedRun{{Seq: 1, Run: start.Run, Outcome: keeper.RunDone}}})
	w.planner.HandleHeartbeat(w.now, planner.Heartbeat{From: "e1", RequestsTickets: true})
	w.planner.Tick(w.now)
	is.Equal(only[planner.RequestTickets](t, w).Upstreams, []unit.Upstream{"b"})
}

// taken commits what was decided and returns the effects of a type.
func taken[E planner.Effect](w *world) []E {
	commands, effects := w.planner.TakeOutput()
	for _, c := range commands {
		w.log.ApplyCommand(c)
	}
	var found []E
	for _, e := range effects {
		if x, ok := e.(E); ok {
			found = append(found, x)
		}
	}
	return found
}

// only returns the one effect of a type that was decided.
func only[E planner.Effect](t *testing.T, w *world) E {
	t.Helper()
	found := taken[E](w)
	if len(found) != 1 {
		t.Fatalf("%d effects of type %T: %+v", len(found), *new(E), found)
	}
	return found[0]
}

// TestRunThatStandsStillIsMoved lets one upstream make no progress.
func TestRunThatStandsStillIsMoved(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(100, 1)})
	w.planner.Tick(w.now)
	start := only[planner.Start](t, w)
	w.planner.HandleStartResult(w.now, start.Run, start.Target, planner.Executed{}, 0)
	for range 40 {
		w.now += 100
		w.planner.HandlePollResult(w.now, w.now, start.Target, planner.PollResult{
			Incarnation: 1, Clock: w.upstream(start.Target.ID).clock(), Running: []planner.RunStatus{{Run: start.Run, Percent: 7}},
		})
		w.planner.PollNowDone(start.Target)
		w.planner.Tick(w.now)
		_, effects := w.planner.TakeOutput()
		for _, e := range effects {
			if s, ok := e.(planner.Stop); ok {
				is.Equal(s.Run, start.Run)
				is.True(w.now-1_000_010 < 3000) // soon after twice the predicted time
				return
			}
		}
	}
	t.Fatal("the run was never stopped")
}

// TestWorthlessGangsComeLast submits a gang whose worth is gone and one that
// can still earn.
func TestWorthlessGangsComeLast(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	for _, u := range w.upstreams {
		u.draining = true
	}
	w.step(10)
	gang := keeper.Submission{Steps: []keeper.Step{{Count: 3, Gang: true, Need: unit.Resources{CPU: 4000}, Estimate: 500}}}
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: gang})
	w.now += 20 * clock.Second
	second := keeper.JobID("00000000000000ac")
	w.ask(planner.Submit{Address: address(second), ID: second, Submission: gang})
	for _, u := range w.upstreams {
		u.draining = false
	}
	for range 4 {
		w.step(10)
	}
	is.Equal(w.log.Jobs[first].Phase, keeper.Queued)
	is.Equal(w.log.Jobs[second].Phase, keeper.Running)
}

// fillWithLow fills the upstreams with tasks of the queue low that checkpoint and last
// for long. takes is the client's estimate.
func fillWithLow(is *is.I, w *world, takes clock.Millis) {
	low := submission(1000, 12)
	low.Steps[0].Checkpointing, low.Steps[0].Estimate = true, takes
	w.ask(planner.Submit{Address: planner.Address{Host: "h", Path: "/low/" + string(first), APIKey: "k"}, ID: first, Submission: low})
	w.step(10)
	w.step(10)
	is.Equal(w.running(), 12)
	w.prolong(first)
}

// prolong lets all runs of a job last for long, lest those that go on elsewhere end soon
// and the others seem to stand still.
func (w *world) prolong(id keeper.JobID) {
	for _, u := range w.upstreams {
		for key, r := range u.runs {
			if key.Task.Job == id {
				r.left = clock.Minute
			}
		}
	}
}

// TestGangsMakeRoom fills the upstreams with tasks that checkpoint, of a less
// urgent queue. They give way if their job ends in time nevertheless or for one of the
// largest gangs, and if they wouldn't end soon by themselves.
func TestGangsMakeRoom(t *testing.T) {
	for name, c := range map[string]struct {
		takes   clock.Millis
		stretch float64
		gang    bool
		large   bool
		stopped int
	}{
		// No more are stopped than the room takes.
		"time to spare":               {takes: 5 * clock.Second, stretch: 9, stopped: 6},
		"no time to spare":            {takes: 5 * clock.Second, stretch: 1.5},
		"a gang and time to spare":    {takes: 5 * clock.Second, stretch: 9, gang: true, stopped: 6},
		"a gang and no time to spare": {takes: 5 * clock.Second, stretch: 1.5, gang: true},
		"a large gang":                {takes: 5 * clock.Second, stretch: 1.5, gang: true, large: true, stopped: 6},
		"a gang and about to end":     {takes: 500, stretch: 90, gang: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := quiet(t, func(k *keeper.Config) {
				k.Queues = append(k.Queues, keeper.QueueRoute{Host: "h", PathPrefix: "/low/", Queue: keeper.Queue{Name: "low", Service: service, Priority: 1, MaxAttempts: 3, Stretch: c.stretch}})
			})
			fillWithLow(is, w, c.takes)
			second := keeper.JobID("00000000000000ac")
			if c.large {
				// The usual gangs, which no upstream may run, have one task.
				usual := keeper.Submission{Steps: []keeper.Step{{Count: 1, Gang: true, Requires: "nowhere", Estimate: 500}}}
				w.ask(planner.Submit{Address: address("00000000000000ad"), ID: "00000000000000ad", Submission: usual})
			}
			urgent := keeper.Submission{Steps: []keeper.Step{{Count: 2, Gang: c.gang, Need: unit.Resources{CPU: 3000}, Estimate: 500}}}
			if c.large {
				urgent.Steps[0].Count, urgent.Steps[0].Need.CPU = 3, 2000
			}
			w.ask(planner.Submit{Address: address(second), ID: second, Submission: urgent})
			for range 20 {
				w.step(30)
				w.prolong(first)
			}
			is.Equal(w.log.Jobs[second].Phase == keeper.Completed, c.stopped > 0)
			stopped := 0
			for _, u := range w.upstreams {
				for _, e := range u.ends {
					if e.Outcome == keeper.RunStopped {
						stopped++
					}
				}
			}
			is.Equal(stopped, c.stopped)
		})
	}
}

// TestLargestGangKeepsRoom has a gang wait that needs all upstreams as a whole, while
// small tasks of a less urgent queue keep coming. Smaller gangs, which no upstream may
// run, wait for longer.
func TestLargestGangKeepsRoom(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(c *keeper.Config) {
		c.Queues[0].Queue.Stretch = 40
		c.Queues = append(c.Queues, keeper.QueueRoute{Host: "h", PathPrefix: "/low/", Queue: keeper.Queue{Name: "low", Service: service, Priority: 1, MaxAttempts: 3, Stretch: 9}})
	})
	jobs := 0
	submit := func(queue string, work keeper.Submission) keeper.JobID {
		jobs++
		id := keeper.JobID(fmt.Sprintf("%016x", jobs))
		to := planner.Address{Host: "h", Path: "/" + queue + "/" + string(id), APIKey: "k"}
		is.Equal(w.ask(planner.Submit{Address: to, ID: id, Submission: work}).Code, planner.OK)
		return id
	}
	submit("low", submission(1000, 12))
	w.step(10)
	for range 6 {
		gang := submission(1000, 2)
		gang.Steps[0].Gang, gang.Steps[0].Requires = true, "nowhere"
		submit("q", gang)
	}
	large := submission(4000, 3)
	large.Steps[0].Gang = true
	id := submit("q", large)
	for range 200 {
		submit("low", submission(1000, 1))
		w.step(30)
	}
	is.Equal(w.log.Jobs[id].Phase, keeper.Completed)
}

// TestGangGetsItsAccountsMaximum has a gang wait that needs all that its account may
// have running, while small tasks of the account keep coming in a less urgent queue.
func TestGangGetsItsAccountsMaximum(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(c *keeper.Config) {
		c.Queues[0].Queue.Stretch = 40
		c.Queues = append(c.Queues, keeper.QueueRoute{Host: "h", PathPrefix: "/low/", Queue: keeper.Queue{Name: "low", Service: service, Priority: 1, MaxAttempts: 3, Stretch: 9}})
		c.Accounts[0].Quota = unit.Resources{CPU: 6000}
	})
	low := func(n int) {
		id := keeper.JobID(fmt.Sprintf("%016x", n))
		to := planner.Address{Host: "h", Path: "/low/" + string(id), APIKey: "k"}
		is.Equal(w.ask(planner.Submit{Address: to, ID: id, Submission: submission(1000, 1)}).Code, planner.OK)
	}
	for n := range 6 {
		low(n)
	}
	w.step(10)
	gang := submission(2000, 3)
	gang.Steps[0].Gang = true
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: gang})
	long := map[keeper.RunKey]bool{}
	for n := range 200 {
		low(n + 10)
		w.step(30)
		for _, u := range w.upstreams {
			for key, r := range u.runs {
				if !long[key] {
					long[key], r.left = true, 200+clock.Millis(len(long)%7)*90
				}
			}
		}
	}
	is.Equal(w.log.Jobs[first].Phase, keeper.Completed)
}

// TestLastingTaskComesBackSoon ends a task that lasts long after its job was accepted,
// while more short tasks come than there is room for.
func TestLastingTaskComesBackSoon(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	lasting := submission(1000, 1)
	lasting.Steps[0].LongRunning = true
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: lasting})
	jobs := 0
	seen := map[keeper.RunKey]bool{}
	step := func() {
		for range 2 {
			jobs++
			id := keeper.JobID(fmt.Sprintf("%016x", jobs))
			is.Equal(w.ask(planner.Submit{Address: address(id), ID: id, Submission: submission(1000, 1)}).Code, planner.OK)
		}
		w.step(30)
		for _, u := range w.upstreams {
			for key, r := range u.runs {
				if key.Task.Job == first {
					r.left = clock.Minute
				} else if !seen[key] {
					seen[key], r.left = true, 500
				}
			}
		}
	}
	for range 300 {
		step()
	}
	for _, u := range w.upstreams {
		for _, key := range sorted(u.runs) {
			if key.Task.Job == first {
				u.end(key, keeper.RunFailed)
			}
		}
	}
	for range 60 {
		step()
	}
	is.True(w.begun[keeper.RunKey{Task: keeper.TaskID{Job: first}, Number: 2}])
}

// TestFailingUpstreamIsLeftAlone lets one upstream fail what it starts.
func TestFailingUpstreamIsLeftAlone(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(c *keeper.Config) { c.Queues[0].Queue.MaxAttempts = 9 })
	starts := map[unit.Upstream]int{}
	for i := range 30 {
		id := keeper.JobID(first[:14]) + keeper.JobID([]byte{'a' + byte(i/6), 'a' + byte(i%6)})
		w.ask(planner.Submit{Address: address(id), ID: id, Submission: submission(100, 1)})
		w.step(20)
		w.step(20)
		for _, u := range w.upstreams {
			for _, key := range sorted(u.runs) {
				starts[u.id]++
				how := keeper.RunDone
				if u.id == "a" {
					how = keeper.RunFailed
				}
				u.end(key, how)
			}
		}
		w.step(100)
	}
	is.True(starts["a"] <= 6)
}

// TestLateOrderAfterALapseIsWaitedFor takes an upstream away while a start has
// no answer: the task isn't started elsewhere while the order may come late.
func TestLateOrderAfterALapseIsWaitedFor(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(100, 1)})
	w.planner.Tick(w.now)
	start := only[planner.Start](t, w)
	sent := w.now
	w.planner.HandleStartResult(w.now, start.Run, start.Target, planner.Indeterminate{}, 0)
	for w.now < sent+20*clock.Second {
		w.now += 100
		for _, u := range w.upstreams {
			if u.id == start.Target.ID {
				w.planner.HandlePollFailure(w.now, start.Target, false)
				continue
			}
			u.seq++
			w.planner.Report(w.now, planner.Report{Upstream: u.describe(), Clock: u.clock(), Seq: u.seq}, func() {})
		}
		w.planner.Tick(w.now)
		_, effects := w.planner.TakeOutput()
		for _, e := range effects {
			if s, ok := e.(planner.Start); ok {
				is.True(w.now-sent > 12*clock.Second)
				is.Equal(s.Run.Number, 2)
				return
			}
		}
	}
	t.Fatal("the task was never started again")
}

func TestFailedJobIsShownAfterItsAttempts(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(100, 1)})
	attempts := 0
	for range 200 {
		w.step(50)
		for _, u := range w.upstreams {
			for _, key := range sorted(u.runs) {
				attempts++
				u.end(key, keeper.RunFailed)
			}
		}
	}
	is.Equal(attempts, 3)
	is.Equal(w.log.Jobs[first].Phase, keeper.Failed)
}

// TestRunsOfAVanishedUpstreamStartElsewhere takes an upstream away for good
// while the holder goes on looking for it.
func TestRunsOfAVanishedUpstreamStartElsewhere(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(100, 1)})
	w.step(10)
	w.step(10)
	is.Equal(w.running(), 1)
	for _, u := range w.upstreams {
		for _, r := range u.runs {
			r.left = clock.Minute
			u.up = false
		}
	}
	vanished := w.now
	for w.now < vanished+2*maxHold {
		w.step(50)
		if len(w.begun) == 2 {
			return
		}
	}
	t.Fatal("the task was never started again")
}

// TestRunStartedByANewLifeIsKept lets a start reach the next life of an upstream
// under the same id, before that life's first report.
func TestRunStartedByANewLifeIsKept(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(100, 1)})
	w.planner.Tick(w.now)
	start := only[planner.Start](t, w)
	u := w.upstream(start.Target.ID)
	u.begin()
	u.start(w.term, start)
	w.planner.HandleStartResult(w.now, start.Run, start.Target, planner.Executed{}, u.clock())
	w.step(10)
	is.Equal(w.running(), 1)
	for range 30 {
		w.step(100)
	}
	is.Equal(len(w.begun), 1)
	is.Equal(w.log.Jobs[first].Phase, keeper.Completed)
}

// TestRoomThatOpensTwiceIsGivenOnce has two runs end on one upstream with an end
// on another one between them, while a step waits for room.
func TestRoomThatOpensTwiceIsGivenOnce(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(2000, 6)})
	w.planner.Tick(w.now)
	running := map[unit.Upstream][]planner.Start{}
	for _, s := range startsOf(w) {
		running[s.Target.ID] = append(running[s.Target.ID], s)
	}
	second := keeper.JobID("00000000000000ac")
	w.ask(planner.Submit{Address: address(second), ID: second, Submission: submission(2000, 6)})
	w.planner.Tick(w.now)
	endOn(w, "a", running["a"][:1], running["a"][1:])
	endOn(w, "b", running["b"][:1], running["b"][1:])
	endOn(w, "a", running["a"], nil)
	w.planner.Tick(w.now)
	for _, h := range w.planner.State().Upstreams {
		is.True(h.Used.Fits(h.Capacity)) // no upstream gets more than it holds
	}
}

// startsOf returns the starts that were decided and lets the upstreams answer.
func startsOf(w *world) []planner.Start {
	var list []planner.Start
	_, effects := w.planner.TakeOutput()
	for _, e := range effects {
		if s, ok := e.(planner.Start); ok {
			w.planner.HandleStartResult(w.now, s.Run, s.Target, planner.Executed{}, 0)
			list = append(list, s)
		}
	}
	return list
}

// endOn lets an upstream list the end of some runs, and the others as running.
func endOn(w *world, id unit.Upstream, ended, running []planner.Start) {
	seen := planner.PollResult{Incarnation: 1, Clock: w.upstream(id).clock()}
	for i, s := range ended {
		seen.Ended = append(seen.Ended, planner.EndedRun{Seq: int64(i) + 1, Run: s.Run, Outcome: keeper.RunDone})
	}
	for _, s := range running {
		seen.Running = append(seen.Running, planner.RunStatus{Run: s.Run})
	}
	w.planner.HandlePollResult(w.now, w.now, planner.Target{ID: id, Incarnation: 1}, seen)
}

// TestGangStartsOnceItsTicketsAreRenewed lets a better upstream have room while
// a gang's tickets are renewed: it starts where it has tickets and doesn't ask
// again.
func TestGangStartsOnceItsTicketsAreRenewed(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(c *keeper.Config) {
		g := c.Queues[0]
		g.PathPrefix, g.Queue.Name, g.Queue.RequiresTicket, g.Queue.TicketTTL = "/g/", "g", true, 2000
		c.Queues = append(c.Queues, g)
	})
	w.planner.HandleHeartbeat(w.now, planner.Heartbeat{From: "e1", RequestsTickets: true})
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: submission(2000, 6)})
	w.planner.Tick(w.now)
	on := map[unit.Upstream][]planner.Start{}
	for _, s := range startsOf(w) {
		on[s.Target.ID] = append(on[s.Target.ID], s)
	}
	gang := keeper.JobID("00000000000000ac")
	w.planner.HandleRequest(w.now, planner.Submit{
		Address: planner.Address{Host: "h", Path: "/g/" + string(gang), APIKey: "k"}, ID: gang,
		Submission: keeper.Submission{Steps: []keeper.Step{{Count: 2, Gang: true, Need: unit.Resources{CPU: 2000}}}},
	}, func(planner.Reply) {})
	w.planner.Tick(w.now)
	all := map[unit.Upstream]string{"a": "1", "b": "1", "c": "1"}
	w.planner.HandleTickets(w.now, only[planner.RequestTickets](t, w), all, 2000, nil)
	w.now += 3000 // the tickets end
	w.planner.HandleHeartbeat(w.now, planner.Heartbeat{From: "e1", RequestsTickets: true})
	endOn(w, "a", on["a"], nil)
	endOn(w, "b", on["b"], nil)
	w.planner.Tick(w.now)
	again := only[planner.RequestTickets](t, w)
	// On c one task ends: it leaves no room over, so it would be chosen first.
	endOn(w, "c", on["c"][:1], on["c"][1:])
	w.planner.HandleTickets(w.now, again, all, 2000, nil)
	w.planner.Tick(w.now)
	is.Equal(len(startsOf(w)), 2)
}

// TestRestOfABrokenGangIsStoppedByANewHolder loses the holder after it has noted
// the end of one member and before it has stopped the other.
func TestRestOfABrokenGangIsStoppedByANewHolder(t *testing.T) {
	is := is.New(t)
	w := quiet(t, func(*keeper.Config) {})
	w.ask(planner.Submit{Address: address(first), ID: first, Submission: keeper.Submission{
		Steps: []keeper.Step{{Count: 2, Gang: true, Need: unit.Resources{CPU: 4000}}},
	}})
	w.planner.Tick(w.now)
	commands, effects := w.planner.TakeOutput()
	for _, c := range commands {
		w.log.ApplyCommand(c)
	}
	var starts []planner.Start
	for _, e := range effects {
		if s, ok := e.(planner.Start); ok {
			w.planner.HandleStartResult(w.now, s.Run, s.Target, planner.Executed{}, 0)
			starts = append(starts, s)
		}
	}
	w.planner.HandlePollResult(w.now, w.now, starts[0].Target, planner.PollResult{
		Incarnation: 1, Clock: w.upstream(starts[0].Target.ID).clock(), Ended: []planner.EndedRun{{Seq: 1, Run: starts[0].Run, Outcome: keeper.RunExpired}},
	})
	commands, _ = w.planner.TakeOutput()
	for _, c := range commands {
		w.log.ApplyCommand(c)
	}
	w.takeOver()
	w.now += 1000
	w.planner.Tick(w.now)
	is.Equal(only[planner.Stop](t, w).Run, starts[1].Run)
}
