package operator_test

import (
	"context"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/operator"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/scheduler"
	"github.com/chervilvane/chervilvane/unit"
)

const configText = "AvailabilityZones: [{Name: a}]\nTeams: [{Name: booking, Share: 1}]\n"

// fixture is a server that applies its commands directly to a registrar in
// place of a log. If proposeErr is set, proposals fail with it.
type fixture struct {
	mux        *mux.Router
	state      *registrar.Registrar
	index      replicator.Index
	proposeErr error
	token      authenticator.Token
}

func (f *fixture) propose(_ context.Context, c registrar.Command) (registrar.Result, error) {
	if f.proposeErr != nil {
		return nil, f.proposeErr
	}
	f.index++
	return registrar.DecodeResult(f.state.Apply(f.index, registrar.EncodeCommand(c)))
}

func (f *fixture) Withdraw(ctx context.Context, id authenticator.KeyID, _ string) bool {
	_, err := f.propose(ctx, registrar.WithdrawKey{Key: id})
	return err == nil
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{mux: mux.NewRouter(), state: registrar.New()}
	var err error
	if f.token, err = authenticator.NewToken(); err != nil {
		t.Fatal(err)
	}
	operator.NewServer(operator.Config{
		Operators: []loader.Operator{{Name: "ana", KeyHash: hex.EncodeToString(f.token.Hash())}},
		State:     f.state, Propose: f.propose, Withdrawer: f,
		RunningVersions: func(context.Context) []operator.RunningVersion { return nil },
		Leader:          func() unit.Instance { return "a1" },
		FreshAt:         func() clock.Millis { return 0 },
		SchedulerStatus: func() (unit.Epoch, scheduler.Status, bool) { return 0, scheduler.Status{}, false },
		Logger:          logrus.New(), Tracer: noop.NewTracerProvider().Tracer(""),
	}).Register(f.mux)
	return f
}

func (f *fixture) send(method, path, body, token string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	f.mux.ServeHTTP(w, r)
	return w
}

func TestOnlyOperatorsAreAuthorized(t *testing.T) {
	other, err := authenticator.NewToken()
	if err != nil {
		t.Fatal(err)
	}
	for name, token := range map[string]string{"no key": "", "another key": other.Plaintext(), "not a key": "x"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			is := is.New(t)
			for path, method := range map[string]string{
				"/v1/config?base=0": http.MethodPut, "/v1/config": http.MethodGet, "/v1/config/history": http.MethodGet,
				"/v1/config/running": http.MethodGet, "/v1/keys": http.MethodPost, "/v1/keys/0123456789abcdef": http.MethodDelete,
			} {
				is.Equal(f.send(method, path, configText, token).Code, http.StatusForbidden)
			}
			_, version := f.state.Config()
			is.Equal(version, unit.Version(0))
		})
	}
}

func TestPutConfig(t *testing.T) {
	cases := map[string]struct {
		query, body string
		proposeErr  error
		status      int
		want        string
	}{
		"accepted":       {query: "base=0&id=x", body: configText, status: 200, want: `"Version":1`},
		"outdated base":  {query: "base=7&id=x", body: configText, status: 409, want: `"Version":0`},
		"no base":        {query: "id=x", body: configText, status: 400, want: "base"},
		"invalid text":   {query: "base=0", body: "Teams: [{Nme: x}]\nQueues: 3\n", status: 422, want: `"Line":2`},
		"not committed":  {query: "base=0&id=x", body: configText, proposeErr: errors.New("no voter"), status: 503, want: "not accepted"},
		"unknown result": {query: "base=0&id=x", body: configText, proposeErr: &replicator.UnknownResultError{Cause: errors.New("x")}, status: 503, want: "may or may not"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			f.proposeErr = c.proposeErr
			w := f.send(http.MethodPut, "/v1/config?"+c.query, c.body, f.token.Plaintext())
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), c.want))
			if c.status != http.StatusOK {
				_, version := f.state.Config()
				is.Equal(version, unit.Version(0)) // no part of a refused text is applied
			}
		})
	}
}

func TestKeys(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	is.Equal(f.send(http.MethodPut, "/v1/config?base=0", configText, f.token.Plaintext()).Code, 200)
	key, err := authenticator.NewToken()
	is.NoErr(err)
	body := func(team string) string {
		return `{"Key":"` + string(key.ID) + `","Hash":"` + hex.EncodeToString(key.Hash()) + `","Account":"web","Team":"` + team + `"}`
	}
	is.Equal(f.send(http.MethodPost, "/v1/keys", body("nobody"), f.token.Plaintext()).Code, 400)
	is.Equal(f.send(http.MethodPost, "/v1/keys", body("booking"), f.token.Plaintext()).Code, 200)
	is.Equal(f.send(http.MethodPost, "/v1/keys", body("booking"), f.token.Plaintext()).Code, 200) // a resend
	listed := f.send(http.MethodGet, "/v1/keys", "", f.token.Plaintext()).Body.String()
	is.True(strings.Contains(listed, string(key.ID)))
	is.True(!strings.Contains(listed, hex.EncodeToString(key.Hash())))
	f.proposeErr = errors.New("no voter")
	is.Equal(f.send(http.MethodDelete, "/v1/keys/"+string(key.ID), "", f.token.Plaintext()).Code, 202)
	f.proposeErr = nil
	is.Equal(f.send(http.MethodDelete, "/v1/keys/"+string(key.ID), "", f.token.Plaintext()).Code, 200)
	is.Equal(f.send(http.MethodPost, "/v1/keys", body("booking"), f.token.Plaintext()).Code, 409) // a withdrawn key can't be granted again
}

func TestStatusNeedsNoKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	w := f.send(http.MethodGet, "/v1/status", "", "")
	is.Equal(w.Code, 200)
	is.True(strings.Contains(w.Body.String(), `"LogLeader":"a1"`))
}

func TestStatusReportsWorkloadProgress(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	work := configText + "Batches: [{Name: nightly, Team: booking, Count: 3}]\n"
	is.Equal(f.send(http.MethodPut, "/v1/config?base=0", work, f.token.Plaintext()).Code, 200)
	config, _ := f.state.Config()
	outcomes := []dispatcher.Outcome{
		dispatcher.Done{},
		dispatcher.NotRun{Refusal: dispatcher.Refusal{Reason: dispatcher.ReasonNeverFits, Detail: "too large"}},
	}
	for i, o := range outcomes {
		id := config.Batches[0].Key().RequestID(strconv.Itoa(i))
		for _, c := range []registrar.Command{
			registrar.AcceptRequest{Request: dispatcher.Request{ID: id}, AvailabilityZone: "a"},
			registrar.EndRequest{Request: id, Outcome: dispatcher.MarshalOutcome(o)},
		} {
			_, err := f.propose(context.Background(), c)
			is.NoErr(err)
		}
	}
	body := f.send(http.MethodGet, "/v1/status", "", "").Body.String()
	is.True(strings.Contains(body, `"Pieces":3,"Done":1,"Failed":1,"Reason":"NeverFits","Detail":"too large"`))
}
