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

// scriptedResponse is the response of an instance to one attempt. If the body
// is empty, the instance closes the connection after it has received the
// request.
type scriptedResponse struct {
	status int
	body   string
}

// scriptedInstance answers each request with the next of its responses, repeating
// the last one, and records the ids of the requests.
type scriptedInstance struct {
	responses []scriptedResponse
	mu        sync.Mutex
	ids       []string
}

func (s *scriptedInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	next := s.responses[min(len(s.ids), len(s.responses)-1)]
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
	return newMultiAddressClient(t, 1, h, key)
}

// newMultiAddressClient returns a client with several addresses, all served by
// one handler.
func newMultiAddressClient(t *testing.T, addresses int, h http.Handler, key string) *operator.Client {
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

// TestApplyConfigResultAfterRetries guards against a definite error for a change
// that an earlier attempt may have made, and against a resend with another id.
func TestApplyConfigResultAfterRetries(t *testing.T) {
	accepted := scriptedResponse{200, `{"Version":8}`}
	conflict := scriptedResponse{409, `{"Version":9,"Operator":"rui"}`}
	unavailable := scriptedResponse{503, `{"Reason":"LogUnreachable","Detail":"no leader"}`}
	cases := map[string]struct {
		steps    []scriptedResponse
		attempts int
		want     string
	}{
		"accepted":              {[]scriptedResponse{accepted}, 1, "<nil>"},
		"accepted on resend":    {[]scriptedResponse{{}, accepted}, 2, "<nil>"},
		"unavailable, accepted": {[]scriptedResponse{unavailable, accepted}, 2, "<nil>"},
		"conflict":              {[]scriptedResponse{conflict}, 1, "*operator.ConflictError"},
		"conflict on resend":    {[]scriptedResponse{{}, conflict}, 2, "*operator.ConflictError"},
		"findings":              {[]scriptedResponse{{422, `{"Findings":[{"Line":1,"Message":"m"}]}`}}, 1, "*operator.InvalidConfigError"},
		"refused":               {[]scriptedResponse{{403, `{"Reason":"KeyRefused"}`}}, 1, "*operator.RefusedError"},
		"lost, then refused":    {[]scriptedResponse{{}, {403, `{"Reason":"KeyRefused"}`}}, 2, "*operator.UnknownResultError"},
		"always unavailable":    {[]scriptedResponse{unavailable}, 3, "*operator.UnknownResultError"},
		"always lost":           {[]scriptedResponse{{}}, 3, "*operator.UnknownResultError"},
		"load balancer error":   {[]scriptedResponse{{502, "<html>"}}, 3, "*operator.UnknownResultError"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedInstance{responses: c.steps}
			version, err := newClient(t, s, "").ApplyConfig(context.Background(), 7, "change-1", []byte(configText))
			is.Equal(fmt.Sprintf("%T", err), c.want)
			is.Equal(version == 8, err == nil)
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(strings.Join(s.ids, " "), strings.TrimSpace(strings.Repeat("change-1 ", c.attempts)))
		})
	}
}

func TestClientAndServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	client := newClient(t, f.mux, f.token.Plaintext())
	version, err := client.ApplyConfig(context.Background(), 0, "x", []byte(configText))
	is.NoErr(err)
	is.Equal(version, unit.Version(1))
	_, err = client.ApplyConfig(context.Background(), 0, "y", []byte(configText))
	is.Equal(fmt.Sprintf("%T", err), "*operator.ConflictError")
	version, text, err := client.CurrentConfig(context.Background())
	is.NoErr(err)
	is.Equal(version, unit.Version(1))
	is.Equal(text, configText)
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

// TestWithdrawKeyTriesInstancesUntilLogged guards against a withdrawal that ends
// at the first instance although it isn't in the log yet.
func TestWithdrawKeyTriesInstancesUntilLogged(t *testing.T) {
	pending, logged, unavailable := scriptedResponse{202, `{"State":"Pending"}`}, scriptedResponse{200, `{"State":"Withdrawn"}`}, scriptedResponse{503, `{"Reason":"x"}`}
	cases := map[string]struct {
		steps    []scriptedResponse
		attempts int
		logged   bool
		failed   bool
	}{
		"logged":                {[]scriptedResponse{logged}, 1, true, false},
		"accepted, then logged": {[]scriptedResponse{pending, logged}, 2, true, false},
		"accepted by each":      {[]scriptedResponse{pending}, 2, false, false},
		"accepted, unavailable": {[]scriptedResponse{pending, unavailable}, 6, false, false},
		"accepted, then lost":   {[]scriptedResponse{pending, {}}, 6, false, false},
		"always unavailable":    {[]scriptedResponse{unavailable}, 6, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedInstance{responses: c.steps}
			logged, err := newMultiAddressClient(t, 2, s, "").WithdrawKey(context.Background(), "0011223344556677")
			is.Equal(logged, c.logged)
			is.Equal(err != nil, c.failed)
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(len(s.ids), c.attempts)
		})
	}
}
