package planner

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// TestRequesterIsAvailable guards against an advice service that is idle while an answer is
// on its way, and against requests that wait behind a long one of the same instance.
func TestRequesterIsAvailable(t *testing.T) {
	const now = 100_000
	for name, c := range map[string]struct {
		requester ticketRequester
		want      bool
	}{
		"idle":                       {requester: ticketRequester{heartbeatAt: now}, want: true},
		"silent":                     {requester: ticketRequester{heartbeatAt: now - requesterSilence}},
		"failed just now":            {requester: ticketRequester{heartbeatAt: now, failedAt: now}},
		"its request is nearly done": {requester: ticketRequester{heartbeatAt: now, requests: 1, doneAt: now + pipelineLead}, want: true},
		"its request takes longer":   {requester: ticketRequester{heartbeatAt: now, requests: 1, doneAt: now + pipelineLead + 1}},
		"two requests in progress":   {requester: ticketRequester{heartbeatAt: now, requests: 2, doneAt: now}},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.requester.isAvailable(now), c.want) })
	}
}

// TestRequestersAreUsedInOrder guards idle instances and those in reserve: a busy instance
// must not be used while one is idle, nor one in reserve while any other is available.
func TestRequestersAreUsedInOrder(t *testing.T) {
	is := is.New(t)
	list := []*ticketRequester{
		{id: "reserve", reserve: true},
		{id: "busy longer", requests: 1, doneAt: 50},
		{id: "busy", requests: 1, doneAt: 20},
		{id: "idle"},
	}
	slices.SortFunc(list, (*ticketRequester).compare)
	var order []unit.Instance
	for _, r := range list {
		order = append(order, r.id)
	}
	is.Equal(order, []unit.Instance{"idle", "busy", "busy longer", "reserve"})
}

// TestRequestsAreSentWhileTheServiceIsScarce guards the calls to the advice service, when
// they are scarce: the steps within their entitlement may use the instances in reserve and
// those with a request in progress, surplus may not.
func TestRequestsAreSentWhileTheServiceIsScarce(t *testing.T) {
	for name, c := range map[string]struct {
		requesters []ticketRequester
		surplus    bool
		want       int
	}{
		"an idle instance":                  {requesters: []ticketRequester{{id: "a"}}, want: 1},
		"surplus and an idle instance":      {requesters: []ticketRequester{{id: "a"}}, surplus: true, want: 1},
		"an instance in reserve":            {requesters: []ticketRequester{{id: "a", reserve: true}}, want: 1},
		"surplus and one in reserve":        {requesters: []ticketRequester{{id: "a", reserve: true}}, surplus: true},
		"a request that is nearly done":     {requesters: []ticketRequester{{id: "a", requests: 1}}, want: 1},
		"surplus and one nearly done":       {requesters: []ticketRequester{{id: "a", requests: 1}}, surplus: true},
		"no more than an instance can take": {requesters: []ticketRequester{{id: "a", requests: maxPipelinedRequests}}},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{FencingToken: 1, LeaderSince: 1000}, newConfiguredState())
			j := &keeper.Job{ID: "j", Queue: keeper.Queue{Name: "q", Service: "s", RequiresTicket: true}, Submission: keeper.Submission{Steps: []keeper.Step{{Count: 1}}}}
			s := p.newStep(j, keeper.StepID{Job: "j"})
			s.rank.surplus = c.surplus
			p.steps[s.id], p.waiting = s, []*step{s}
			p.HandleReport(1000, Report{Seq: 1, Clock: 1, Upstream: keeper.Upstream{ID: "u", Incarnation: 1, Address: "u:1", Service: "s"}}, func() {})
			for _, r := range c.requesters {
				r.heartbeatAt, r.doneAt = 1000, 1000
				p.ticketRequesters[r.id] = &r
			}
			p.TakeOutput()
			p.sendTicketRequests()
			_, effects := p.TakeOutput()
			is.New(t).Equal(len(effects), c.want)
		})
	}
}

// TestExpectsEnough guards the advice service against requests about further upstreams for a
// step whose granted ones will have capacity before the answer could be used.
func TestExpectsEnough(t *testing.T) {
	for name, c := range map[string]struct {
		count     int
		stopping  bool
		predicted clock.Millis
		want      bool
	}{
		"fits now":                   {count: 1, predicted: clock.Minute, want: true},
		"doesn't fit":                {count: 2, predicted: clock.Minute},
		"fits once a run has ended":  {count: 2, predicted: clock.Second, want: true},
		"fits once a run is stopped": {count: 2, predicted: clock.Minute, stopping: true, want: true},
		"a run of unknown length":    {count: 2},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{FencingToken: 1, LeaderSince: 1000}, newConfiguredState())
			p.HandleReport(1000, Report{Seq: 1, Clock: 1, Upstream: keeper.Upstream{ID: "u", Incarnation: 1, Address: "u:1", Service: "s", Capacity: unit.Resources{CPU: 2000}}}, func() {})
			u := p.upstreams["u"]
			u.Used = unit.Resources{CPU: 1000}
			r := &run{need: unit.Resources{CPU: 1000}, recordedAt: 1000, stopRequested: c.stopping, endForecast: 1000 + c.predicted, endForecastAt: 1000}
			if c.predicted > 0 {
				r.spec, r.job = &keeper.Step{}, &keeper.Job{}
			}
			u.liveRuns = []*run{r}
			j := &keeper.Job{ID: "j", Queue: keeper.Queue{Name: "q", Service: "s", RequiresTicket: true}, Submission: keeper.Submission{Steps: []keeper.Step{{Count: c.count, Need: unit.Resources{CPU: 1000}}}}}
			s := p.newStep(j, keeper.StepID{Job: "j"})
			g := &grant{upstream: u}
			s.tickets = &stepTickets{granted: map[unit.Upstream]*grant{"u": g}, grants: []*grant{g}}
			is.New(t).Equal(p.expectsEnough(s), c.want)
		})
	}
}

// newConfiguredState returns a state with a configuration that names the service s.
func newConfiguredState() *keeper.State {
	state := keeper.New()
	state.ApplyCommand(keeper.SetConfig{Config: keeper.Config{Version: 1, Services: []keeper.Service{{Name: "s"}}}})
	return state
}
