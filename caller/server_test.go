package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/caller"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/router"
	"github.com/chervilvane/chervilvane/scheduler"
	"github.com/chervilvane/chervilvane/unit"
)

const sample = `AvailabilityZones: [{Name: a}]
Teams: [{Name: booking, Share: 1}, {Name: proofs, Share: 1}]
Queues:
  - {Name: open, Team: booking, Access: Open, Class: Interactive, Need: {CPU: 100m}}
  - {Name: keyed, Team: booking, Access: Keyed, Class: Interactive, Need: {CPU: 100m}}
`

// fakeRouter answers every submission with the scoped id of its request.
type fakeRouter struct{ submissions []router.Submission }

func (f *fakeRouter) NewID() string { return "a.fresh" }

func (f *fakeRouter) Submit(_ context.Context, s router.Submission) (string, dispatcher.Outcome, bool) {
	f.submissions = append(f.submissions, s)
	return s.ClientRequestID, dispatcher.Done{Answer: []byte(s.Request.ID)}, s.Async
}

func (f *fakeRouter) Result(_ context.Context, _ string, id unit.Request) (scheduler.RequestState, error) {
	return scheduler.Ended{Outcome: dispatcher.Done{Answer: []byte(id)}}, nil
}

func (f *fakeRouter) Cancel(context.Context, string, unit.Request) (scheduler.RequestState, error) {
	return scheduler.Pending{}, nil
}

// fixture is a server with a key of team booking and a key of team proofs.
type fixture struct {
	router          *fakeRouter
	mux             *mux.Router
	booking, proofs authenticator.Token
	freshAt         clock.Millis
	state           *registrar.Registrar
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{router: &fakeRouter{}, mux: mux.NewRouter(), state: registrar.New()}
	index := replicator.Index(0)
	apply := func(c registrar.Command) {
		index++
		f.state.Apply(index, registrar.EncodeCommand(c))
	}
	apply(registrar.PutConfig{Text: []byte(sample)})
	for team, token := range map[unit.Team]*authenticator.Token{"booking": &f.booking, "proofs": &f.proofs} {
		made, err := authenticator.NewToken()
		if err != nil {
			t.Fatal(err)
		}
		*token = made
		apply(registrar.GrantKey{Key: made.ID, Hash: made.Hash(), Account: unit.ClientAccount("acc-" + team), Team: team})
	}
	keys := authenticator.New(authenticator.Config{
		Keys: f.state, Clock: clock.NewManual(10_000), Freshness: 3 * clock.Second, FreshAt: func() clock.Millis { return f.freshAt },
	})
	f.freshAt = 10_000
	caller.NewServer(caller.Config{
		Router: f.router, State: f.state, Authenticator: keys, Logger: logrus.New(), Tracer: noop.NewTracerProvider().Tracer(""),
	}).Register(f.mux)
	return f
}

func (f *fixture) send(method, path, body string, header http.Header) (int, map[string]any) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header = header
	w := httptest.NewRecorder()
	f.mux.ServeHTTP(w, r)
	var answer map[string]any
	_ = json.Unmarshal(w.Body.Bytes(), &answer)
	return w.Code, answer
}

func TestSubmit(t *testing.T) {
	with := func(token authenticator.Token) http.Header {
		return http.Header{"Authorization": {"Bearer " + token.Plaintext()}}
	}
	cases := map[string]struct {
		body   string
		header func(f *fixture) http.Header
		before func(f *fixture)
		status int
		reason string
	}{
		"open":                    {body: `{"Queue":"open","ID":"x"}`, status: 200},
		"open, async":             {body: `{"Queue":"open","ID":"x","Async":true}`, status: 202},
		"keyed":                   {body: `{"Queue":"keyed","ID":"x"}`, header: func(f *fixture) http.Header { return with(f.booking) }, status: 200},
		"keyed without a key":     {body: `{"Queue":"keyed","ID":"x"}`, status: 401, reason: "KeyMissing"},
		"key of another team":     {body: `{"Queue":"keyed","ID":"x"}`, header: func(f *fixture) http.Header { return with(f.proofs) }, status: 403, reason: "KeyRefused"},
		"two keys":                {body: `{"Queue":"keyed","ID":"x"}`, header: func(f *fixture) http.Header { h := with(f.booking); h.Add("Authorization", "Bearer x"); return h }, status: 400, reason: "BadRequest"},
		"stale keys":              {body: `{"Queue":"keyed","ID":"x"}`, header: func(f *fixture) http.Header { return with(f.booking) }, before: func(f *fixture) { f.freshAt = 0 }, status: 503, reason: "KeysStale"},
		"stale keys, open queue":  {body: `{"Queue":"open","ID":"x"}`, before: func(f *fixture) { f.freshAt = 0 }, status: 200},
		"no such queue":           {body: `{"Queue":"other","ID":"x"}`, status: 404, reason: "NoSuchQueue"},
		"bad id":                  {body: `{"Queue":"open","ID":"a/b"}`, status: 400, reason: "BadRequest"},
		"negative timeout":        {body: `{"Queue":"open","TimeoutMillis":-1}`, status: 400, reason: "BadRequest"},
		"unknown field":           {body: `{"Queue":"open","Repeatble":true}`, status: 400, reason: "BadRequest"},
		"truncated":               {body: `{"Queue":"op`, status: 400, reason: "BadRequest"},
		"two values":              {body: `{"Queue":"open"}{}`, status: 400, reason: "BadRequest"},
		"body too large":          {body: `{"Queue":"open","Data":"` + strings.Repeat("A", caller.MaxBodyBytes) + `"}`, status: 400, reason: "BadRequest"},
		"generated id":            {body: `{"Queue":"open"}`, status: 200},
		"duplicate content types": {body: `{"Queue":"open"}`, header: func(*fixture) http.Header { return http.Header{"Content-Type": {"a", "b"}} }, status: 400, reason: "BadRequest"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			header := http.Header{}
			if c.header != nil {
				header = c.header(f)
			}
			if c.before != nil {
				c.before(f)
			}
			status, answer := f.send(http.MethodPost, "/v1/requests", c.body, header)
			is.Equal(status, c.status)
			if c.reason == "" {
				return
			}
			is.Equal(answer["Outcome"], "NotRun")
			is.Equal(answer["Reason"], c.reason)
			is.True(answer["Remedy"] != "")
			is.Equal(len(f.router.submissions), 0) // a refused request doesn't reach the router
		})
	}
}

func TestIDsAreScopedByAccount(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	header := http.Header{"Authorization": {"Bearer " + f.booking.Plaintext()}}
	_, mine := f.send(http.MethodGet, "/v1/requests/x", "", header)
	_, open := f.send(http.MethodGet, "/v1/requests/x", "", http.Header{})
	is.True(mine["Answer"] != open["Answer"])
	f.freshAt = 0
	status, _ := f.send(http.MethodGet, "/v1/requests/x", "", header)
	is.Equal(status, 200) // results remain available while the keys are stale
}

func TestWithdrawnKeyIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.state.Apply(9, registrar.EncodeCommand(registrar.WithdrawKey{Key: f.booking.ID}))
	header := http.Header{"Authorization": {"Bearer " + f.booking.Plaintext()}}
	status, _ := f.send(http.MethodPost, "/v1/requests", `{"Queue":"keyed","ID":"x"}`, header)
	is.Equal(status, 403)
	status, _ = f.send(http.MethodGet, "/v1/requests/x", "", header)
	is.Equal(status, 403)
}
