package fetcher

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve starts an instance that answers by a handler, and counts its requests.
func serve(t *testing.T, h http.HandlerFunc) (address string, requests *atomic.Int32) {
	t.Helper()
	requests = new(atomic.Int32)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		h(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL, requests
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// drop ends the connection without an answer.
func drop(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// judgeStatus takes 200 as final, 503 as declined, the rest as lost.
func judgeStatus(a Response) ResponseClass {
	switch a.StatusCode {
	case http.StatusOK:
		return Final
	case http.StatusServiceUnavailable:
		return NotProcessed
	}
	return UnknownResult
}

func newFetcher(t *testing.T, addresses ...string) *Fetcher {
	t.Helper()
	f, err := New(Config{Addresses: addresses, Rounds: 2, Backoff: 1, Key: "k"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

var post = Call{
	NewRequest: func() Request { return Request{Method: http.MethodPost, Path: "/x", Body: []byte("body")} },
	Classify:   judgeStatus,
}

const nobody = "127.0.0.1:1"

func TestDoubtFollowsWhatWasDelivered(t *testing.T) {
	cases := map[string]struct {
		first    http.HandlerFunc
		second   http.HandlerFunc
		status   int
		doubtful bool
	}{
		"the first answers":       {answer(200, "ok"), drop, 200, false},
		"the first declines":      {answer(503, ""), answer(200, "ok"), 200, false},
		"the first drops":         {drop, answer(200, "ok"), 200, true},
		"a balancer's page":       {answer(404, "<html>"), answer(200, "ok"), 200, true},
		"dropped after declining": {answer(503, ""), drop, 503, true},
		"declining after a drop":  {drop, answer(503, ""), 503, true},
		"the answer is cut off": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "9")
			answer(200, "ok")(w, r)
		}, answer(200, "ok"), 200, true},
		"a redirect isn't followed":  {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/y", http.StatusFound) }, answer(200, "ok"), 200, true},
		"both decline in each round": {answer(503, ""), answer(503, ""), 503, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, _ := serve(t, c.first)
			second, _ := serve(t, c.second)
			a, err := newFetcher(t, nobody, first, second).Fetch(context.Background(), post)
			is.NoErr(err)
			is.Equal(a.StatusCode, c.status)
			is.Equal(a.PriorMaybeDelivered, c.doubtful) // a refused connection alone makes no doubt
		})
	}
}

func TestUnreachableTellsWhetherDelivered(t *testing.T) {
	cases := map[string]struct {
		handler   http.HandlerFunc
		delivered bool
	}{
		"nobody listens": {nil, false},
		"dropped":        {drop, true},
		"too large":      {answer(200, strings.Repeat("x", MaxAnswer+1)), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := nobody
			if c.handler != nil {
				address, _ = serve(t, c.handler)
			}
			_, err := newFetcher(t, address).Fetch(context.Background(), post)
			var unreachable *UnreachableError
			is.True(errors.As(err, &unreachable))
			is.Equal(unreachable.MaybeDelivered(), c.delivered)
			is.Equal(len(unreachable.Attempts), 2) // the budget of resends
		})
	}
}

func TestPreferredAddressIsTriedFirst(t *testing.T) {
	is := is.New(t)
	first, toFirst := serve(t, answer(503, ""))
	second, _ := serve(t, answer(200, "ok"))
	f := newFetcher(t, first, second)
	for range 3 {
		_, err := f.Fetch(context.Background(), post)
		is.NoErr(err)
	}
	is.Equal(toFirst.Load(), int32(1))
}

func TestEndedContextSendsNothing(t *testing.T) {
	is := is.New(t)
	address, requests := serve(t, answer(200, "ok"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := newFetcher(t, address).Fetch(ctx, post)
	var unreachable *UnreachableError
	is.True(errors.As(err, &unreachable))
	is.True(!unreachable.MaybeDelivered())
	is.Equal(requests.Load(), int32(0))
}

func TestAddressesAreChecked(t *testing.T) {
	is := is.New(t)
	for _, a := range []string{"", "ftp://10.0.0.1:1", "http://", "10.0.0.1:1/path", "a b"} {
		_, err := New(Config{Addresses: []string{a}})
		is.True(err != nil) // the address can't be used
	}
	_, err := New(Config{})
	is.True(err != nil) // no address
}
