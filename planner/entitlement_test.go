package planner_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// newWeightedPlanner returns a planner with one upstream of 4 cores, an urgent queue and
// another one. Account a is entitled to one job a second with a slack of two, b has a quota
// of 3 cores.
func newWeightedPlanner(now clock.Millis, state *keeper.State) *planner.Planner {
	return planner.New(planner.Config{FencingToken: 1, LeaderSince: now, MaxLease: 6000, Retention: clock.Hour, EntitlementSlack: 2}, state)
}

func weightedState() *keeper.State {
	c := config(0)
	c.Queues[0].Queue.Priority = 2
	c.Queues = append(c.Queues, keeper.QueueRoute{Host: "h", PathPrefix: "/u/", Queue: keeper.Queue{
		Name: "u", Service: service, MaxAttempts: 3, Stretch: 2, TargetLatency: 500,
	}})
	c.Accounts = []keeper.Account{
		{Name: "a", Keys: []string{"a"}, Weight: 1},
		{Name: "b", Keys: []string{"b"}, Weight: 100, Quota: unit.Resources{CPU: 3000}},
	}
	state := keeper.New()
	state.ApplyCommand(keeper.SetConfig{Config: c})
	return state
}

// weightedSubmit submits a job of one task and returns the reply.
func weightedSubmit(p *planner.Planner, now clock.Millis, number int, queue, account string, step keeper.Step) planner.Reply {
	id := keeper.JobID(fmt.Sprintf("%016x", number))
	to := planner.Address{Host: "h", Path: "/" + queue + "/" + string(id), APIKey: account}
	var reply planner.Reply
	p.HandleRequest(now, planner.Submit{Address: to, ID: id, Submission: keeper.Submission{Steps: []keeper.Step{step}}}, func(r planner.Reply) { reply = r })
	_, effects := p.TakeOutput()
	for _, e := range effects {
		if r, ok := e.(planner.Respond); ok {
			r.Send()
		}
	}
	return reply
}

// reportUpstream adds an upstream of 4 cores.
func reportUpstream(p *planner.Planner, now clock.Millis) {
	p.HandleReport(now, planner.Report{Seq: 1, Clock: 1, Upstream: keeper.Upstream{
		ID: "x", Incarnation: 1, Address: "x:1", Service: service, Labels: []string{"ssd", "r1"},
		Capacity: unit.Resources{CPU: 4000, Memory: 4 * unit.Gigabyte},
	}}, func() {})
}

// TestSurplusWaitsForEntitledJobs guards the jobs of accounts within their weight against
// those that another account submits beyond its weight: all wait for the one upstream, and
// the entitled job must start first although it came last. A new leader must come to the same
// order, and the urgent queue is exempt.
func TestSurplusWaitsForEntitledJobs(t *testing.T) {
	for name, c := range map[string]struct {
		queue    string
		handOver bool
		first    string
	}{
		"same leader":  {queue: "q", first: "b"},
		"new leader":   {queue: "q", handOver: true, first: "b"},
		"urgent queue": {queue: "u", first: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := clock.Millis(1_000_000)
			state := weightedState()
			p := newWeightedPlanner(now, state)
			// The urgent queue is known once it has had a job.
			is.Equal(weightedSubmit(p, now, 50, "u", "b", keeper.Step{Count: 1}).Code, planner.OK)
			whole := keeper.Step{Count: 1, Need: unit.Resources{CPU: 3000}, Estimate: 100}
			// The first three jobs of account a are entitled, the next two are surplus.
			for i := range 5 {
				is.Equal(weightedSubmit(p, now+clock.Millis(i), i, c.queue, "a", whole).Code, planner.OK)
			}
			for i := range 3 {
				id := keeper.JobID(fmt.Sprintf("%016x", i))
				p.HandleRequest(now+5, planner.Cancel{Address: planner.Address{Host: "h", Path: "/" + c.queue + "/" + string(id), APIKey: "a"}, ID: id}, func(planner.Reply) {})
			}
			is.Equal(weightedSubmit(p, now+9, 9, c.queue, "b", whole).Code, planner.OK)
			if c.handOver {
				p = newWeightedPlanner(now+10, state)
			}
			p.TakeOutput()
			reportUpstream(p, now+10)
			p.Tick(now + 100)
			_, effects := p.TakeOutput()
			for _, e := range effects {
				if s, ok := e.(planner.Start); ok && s.Run.Task.Job != keeper.JobID(fmt.Sprintf("%016x", 50)) {
					is.Equal(string(p.State().Jobs[s.Run.Task.Job].Account), c.first)
					return
				}
			}
			t.Fatal("nothing was started")
		})
	}
}

// TestSurplusIsRefusedWhileTheDomainIsBehind guards callers against waiting for a job that
// can't end in time: a surplus job is refused once the waiting work takes longer than the
// job's objective allows, and callers are told to return at different times.
func TestSurplusIsRefusedWhileTheDomainIsBehind(t *testing.T) {
	is := is.New(t)
	now := clock.Millis(1_000_000)
	p := newWeightedPlanner(now, weightedState())
	reportUpstream(p, now)
	small := keeper.Step{Count: 1, Need: unit.Resources{CPU: 100}, Estimate: 100}
	// The urgent queue is known once it has had a job.
	is.Equal(weightedSubmit(p, now, 50, "u", "b", small).Code, planner.OK)
	for i := range 5 {
		is.Equal(weightedSubmit(p, now, i, "q", "a", small).Code, planner.OK)
	}
	behind := keeper.Step{Count: 100, Need: unit.Resources{CPU: 2500}, Estimate: 1000}
	is.Equal(weightedSubmit(p, now, 60, "q", "b", behind).Code, planner.OK)
	p.Tick(now + 100)
	retries := map[clock.Millis]bool{}
	for i := range 20 {
		reply := weightedSubmit(p, now+100, 100+i, "q", "a", small)
		is.Equal(reply.Code, planner.Overloaded)
		is.True(reply.RetryAfter > 0)
		retries[reply.RetryAfter] = true
	}
	is.True(len(retries) > 10)
	is.Equal(weightedSubmit(p, now+100, 200, "q", "b", small).Code, planner.OK)
	is.Equal(weightedSubmit(p, now+100, 201, "u", "a", small).Code, planner.OK)
}

// TestInfeasibleJobIsRefused guards callers against waiting for a job that the domain can't
// serve as it is, and against the refusal of one that it can.
func TestInfeasibleJobIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		account string
		step    keeper.Step
		empty   bool
		want    planner.Code
	}{
		"a gang above the quota":         {account: "b", step: keeper.Step{Count: 4, Gang: true, Need: unit.Resources{CPU: 1000}}, want: planner.Overloaded},
		"a gang as large as the quota":   {account: "b", step: keeper.Step{Count: 3, Gang: true, Need: unit.Resources{CPU: 1000}}},
		"tasks that can take turns":      {account: "b", step: keeper.Step{Count: 40, Need: unit.Resources{CPU: 1000}}},
		"a task above the quota":         {account: "b", step: keeper.Step{Count: 1, Need: unit.Resources{CPU: 3500}}, want: planner.Overloaded},
		"a task above all upstreams":     {account: "a", step: keeper.Step{Count: 1, Need: unit.Resources{CPU: 4500}}, want: planner.Overloaded},
		"a label that no upstream has":   {account: "a", step: keeper.Step{Count: 1, Requires: "gpu"}, want: planner.Overloaded},
		"a label that an upstream has":   {account: "a", step: keeper.Step{Count: 1, Requires: "ssd"}},
		"a service without any upstream": {account: "a", step: keeper.Step{Count: 1, Need: unit.Resources{CPU: 4500}}, empty: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := clock.Millis(1_000_000)
			p := newWeightedPlanner(now, weightedState())
			if !c.empty {
				reportUpstream(p, now)
			}
			reply := weightedSubmit(p, now, 1, "q", c.account, c.step)
			is.Equal(reply.Code, c.want)
			is.Equal(reply.RetryAfter > 0, c.want != planner.OK)
			is.Equal(len(p.State().Jobs) == 0, c.want != planner.OK)
		})
	}
}

// TestInheritedEntitlementsIgnoreAFastClock guards an account against being held back after
// a hand-over for as long as the clock of the former leader was fast.
func TestInheritedEntitlementsIgnoreAFastClock(t *testing.T) {
	is := is.New(t)
	now := clock.Millis(10_000_000)
	state := weightedState()
	p := newWeightedPlanner(now+clock.Hour, state)
	reportUpstream(p, now+clock.Hour)
	small := keeper.Step{Count: 1, Need: unit.Resources{CPU: 100}, Estimate: 100}
	is.Equal(weightedSubmit(p, now+clock.Hour, 50, "u", "b", small).Code, planner.OK)
	for i := range 3 {
		is.Equal(weightedSubmit(p, now+clock.Hour, i, "q", "a", small).Code, planner.OK)
	}
	p = newWeightedPlanner(now, state)
	behind := keeper.Step{Count: 100, Need: unit.Resources{CPU: 2500}, Estimate: 1000}
	is.Equal(weightedSubmit(p, now, 60, "q", "b", behind).Code, planner.OK)
	p.HandlePollResult(now, now, planner.Target{ID: "x", Incarnation: 1}, planner.PollResult{Incarnation: 1, Clock: 10})
	p.Tick(now + 100)
	// Account a is entitled to a job each second.
	is.Equal(weightedSubmit(p, now+5*clock.Second, 100, "q", "a", small).Code, planner.OK)
}

// TestHugeEstimatesCountAsWaitingWork guards against waiting work whose sum overflows and then
// counts as none.
func TestHugeEstimatesCountAsWaitingWork(t *testing.T) {
	is := is.New(t)
	now := clock.Millis(1_000_000)
	p := newWeightedPlanner(now, weightedState())
	reportUpstream(p, now)
	small := keeper.Step{Count: 1, Need: unit.Resources{CPU: 100}, Estimate: 100}
	is.Equal(weightedSubmit(p, now, 50, "u", "b", small).Code, planner.OK)
	for i := range 5 {
		is.Equal(weightedSubmit(p, now, i, "q", "a", small).Code, planner.OK)
	}
	huge := keeper.Step{Count: 100_000, Need: unit.Resources{CPU: 2500}, Estimate: math.MaxInt64 >> 13}
	is.Equal(weightedSubmit(p, now, 60, "q", "b", huge).Code, planner.OK)
	p.Tick(now + 100)
	is.Equal(weightedSubmit(p, now+100, 100, "q", "a", small).Code, planner.Overloaded)
}

// TestFeasibilityOfManySteps guards against a check of a job that visits all upstreams for
// each of its steps: 1,000 of them need a label that one of 5,900 upstreams has. All other
// events wait meanwhile, and a sweep is due each 50 ms.
func TestFeasibilityOfManySteps(t *testing.T) {
	const upstreams = 5900
	now := clock.Millis(1_000_000)
	p := newWeightedPlanner(now, weightedState())
	for i := range upstreams {
		r := reportOf(i, 1, now)
		r.Upstream.Labels = []string{"cpu", "z0", "r1"}
		if r.Upstream.ID == "u999" {
			r.Upstream.Labels = []string{"ssd", "z0", "r1"}
		}
		p.HandleReport(now, r, func() {})
	}
	submission := keeper.Submission{}
	for range 1000 {
		submission.Steps = append(submission.Steps, keeper.Step{Count: 1, Requires: "ssd", Need: unit.Resources{CPU: 100}, Estimate: 100})
	}
	best := clock.Minute.Duration()
	for i := range 3 {
		id := keeper.JobID(fmt.Sprintf("%016x", i))
		started := time.Now()
		p.HandleRequest(now, planner.Submit{Address: planner.Address{Host: "h", Path: "/q/" + string(id), APIKey: "b"}, ID: id, Submission: submission}, func(planner.Reply) {})
		best = min(best, time.Since(started))
	}
	if best > 50*time.Millisecond {
		t.Errorf("a submission takes %v", best)
	}
}

// TestNewLeaderCountsUpstreamsThatHaveNotAnswered guards against surplus that is refused, and
// accounts that count as over their share, because a new leader takes the few upstreams that
// have answered it for the whole domain.
func TestNewLeaderCountsUpstreamsThatHaveNotAnswered(t *testing.T) {
	is := is.New(t)
	now := clock.Millis(1_000_000)
	state := weightedState()
	p := newWeightedPlanner(now, state)
	for i := range 10 {
		p.HandleReport(now, reportOf(i, 1, now), func() {})
	}
	small := keeper.Step{Count: 1, Need: unit.Resources{CPU: 100}, Estimate: 100}
	// The urgent queue is known once it has had a job.
	is.Equal(weightedSubmit(p, now, 50, "u", "b", small).Code, planner.OK)
	for i := range 5 {
		is.Equal(weightedSubmit(p, now, i, "q", "a", small).Code, planner.OK)
	}
	// This takes half of the domain for a second.
	is.Equal(weightedSubmit(p, now, 60, "q", "b", keeper.Step{Count: 10, Need: unit.Resources{CPU: 2000}, Estimate: 1000}).Code, planner.OK)
	p = newWeightedPlanner(now, state)
	p.HandlePollResult(now, now, planner.Target{ID: "u0", Incarnation: 1}, planner.PollResult{Incarnation: 1, Clock: 1010})
	p.Tick(now + 100)
	is.Equal(weightedSubmit(p, now+100, 100, "q", "a", small).Code, planner.OK)
}
