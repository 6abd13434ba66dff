package operator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/fetcher"
	"github.com/chervilvane/chervilvane/operator"
	"github.com/chervilvane/chervilvane/unit"
)

// step is what an instance does with one attempt; an empty body drops the
// connection after the request was received.
type step struct {
	status int
	body   string
}

// script is an instance that goes through steps and keeps the ids it got.
type script struct {
	steps []step
	mu    sync.Mutex
	ids   []string
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	next := s.steps[min(len(s.ids), len(s.steps)-1)]
	s.ids = append(s.ids, r.URL.Query().Get("id"))
	s.mu.Unlock()
	if next.body == "" {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(next.status)
	_, _ = io.WriteString(w, next.body)
}

func newClient(t *testing.T, h http.Handler, key string) *operator.Client {
	t.Helper()
	return newClientOf(t, 1, h, key)
}

// newClientOf returns a client of several addresses with one handler.
func newClientOf(t *testing.T, addresses int, h http.Handler, key string) *operator.Client {
	t.Helper()
	c := fetcher.Config{Key: key, Rounds: 3, Backoff: 1}
	for range addresses {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		c.Addresses = append(c.Addresses, s.URL)
	}
	f, err := fetcher.New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return operator.NewClient(f)
}

func TestApplyTellsWhatBecameOfTheChange(t *testing.T) {
	accepted := step{200, `{"Version":8}`}
	conflict := step{409, `{"Version":9,"Operator":"rui"}`}
	notNow := step{503, `{"Reason":"LogUnreachable","Detail":"no leader"}`}
	cases := map[string]struct {
		steps    []step
		attempts int
		want     string
	}{
		"accepted":               {[]step{accepted}, 1, "<nil>"},
		"accepted at the resend": {[]step{{}, accepted}, 2, "<nil>"},
		"not now, then accepted": {[]step{notNow, accepted}, 2, "<nil>"},
		"conflict":               {[]step{conflict}, 1, "*operator.ConflictError"},
		"conflict at the resend": {[]step{{}, conflict}, 2, "*operator.ConflictError"},
		"findings":               {[]step{{422, `{"Findings":[{"Line":1,"Message":"m"}]}`}}, 1, "*operator.InvalidConfigError"},
		"refused":                {[]step{{403, `{"Reason":"KeyRefused"}`}}, 1, "*operator.RefusedError"},
		"lost, then refused":     {[]step{{}, {403, `{"Reason":"KeyRefused"}`}}, 2, "*operator.UnknownResultError"},
		"never now":              {[]step{notNow}, 3, "*operator.UnknownResultError"},
		"always lost":            {[]step{{}}, 3, "*operator.UnknownResultError"},
		"a page of the balancer": {[]step{{502, "<html>"}}, 3, "*operator.UnknownResultError"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &script{steps: c.steps}
			version, err := newClient(t, s, "").ApplyConfig(context.Background(), 7, "change-1", []byte(text))
			is.Equal(fmt.Sprintf("%T", err), c.want)
			is.Equal(version == 8, err == nil)
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(strings.Join(s.ids, " "), strings.TrimSpace(strings.Repeat("change-1 ", c.attempts)))
		})
	}
}

func TestClientSpeaksToTheServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	client := newClient(t, f.mux, f.token.Plaintext())
	version, err := client.ApplyConfig(context.Background(), 0, "x", []byte(text))
	is.NoErr(err)
	is.Equal(version, unit.Version(1))
	_, err = client.ApplyConfig(context.Background(), 0, "y", []byte(text))
	is.Equal(fmt.Sprintf("%T", err), "*operator.ConflictError")
	version, shown, err := client.CurrentConfig(context.Background())
	is.NoErr(err)
	is.Equal(version, unit.Version(1))
	is.Equal(shown, text)
	history, err := client.ConfigHistory(context.Background())
	is.NoErr(err)
	is.Equal(len(history), 1)
	is.NoErr(client.GrantKey(context.Background(), f.token, "web", "booking"))
	keys, err := client.Keys(context.Background())
	is.NoErr(err)
	is.Equal(keys, []operator.KeyLine{{Key: f.token.ID, Account: "web", Team: "booking"}})
	_, err = client.Status(context.Background())
	is.NoErr(err)
}

func TestWithdrawTellsFurtherInstances(t *testing.T) {
	pending, logged, notNow := step{202, `{"State":"Pending"}`}, step{200, `{"State":"Withdrawn"}`}, step{503, `{"Reason":"x"}`}
	cases := map[string]struct {
		steps    []step
		attempts int
		logged   bool
		failed   bool
	}{
		"in the log":             {[]step{logged}, 1, true, false},
		"taken, then in the log": {[]step{pending, logged}, 2, true, false},
		"taken by each":          {[]step{pending}, 2, false, false},
		"taken, then refused":    {[]step{pending, notNow}, 6, false, false},
		"taken, then lost":       {[]step{pending, {}}, 6, false, false},
		"refused":                {[]step{notNow}, 6, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &script{steps: c.steps}
			logged, err := newClientOf(t, 2, s, "").WithdrawKey(context.Background(), "0011223344556677")
			is.Equal(logged, c.logged)
			is.Equal(err != nil, c.failed)
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(len(s.ids), c.attempts)
		})
	}
}
