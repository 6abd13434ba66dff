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

// startInstance starts an HTTP server with the handler. It counts the requests.
func startInstance(t *testing.T, h http.HandlerFunc) (address string, requests *atomic.Int32) {
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

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// dropConnection closes the connection without a response.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// classifyStatus classifies 200 as Final, 503 as NotProcessed and other codes as
// UnknownResult.
func classifyStatus(a Response) ResponseClass {
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
	Classify:   classifyStatus,
}

const unusedAddress = "127.0.0.1:1"

func TestOtherMaybeDelivered(t *testing.T) {
	cases := map[string]struct {
		first               http.HandlerFunc
		second              http.HandlerFunc
		status              int
		otherMaybeDelivered bool
	}{
		"the first answers":                      {respond(200, "ok"), dropConnection, 200, false},
		"the first doesn't process it":           {respond(503, ""), respond(200, "ok"), 200, false},
		"the first drops the connection":         {dropConnection, respond(200, "ok"), 200, true},
		"the page of a load balancer":            {respond(404, "<html>"), respond(200, "ok"), 200, true},
		"dropped after one that isn't processed": {respond(503, ""), dropConnection, 503, true},
		"not processed after a dropped one":      {dropConnection, respond(503, ""), 503, true},
		"the answer is truncated": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "9")
			respond(200, "ok")(w, r)
		}, respond(200, "ok"), 200, true},
		"a redirect isn't followed": {func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/y", http.StatusFound) }, respond(200, "ok"), 200, true},
		"neither processes it":      {respond(503, ""), respond(503, ""), 503, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, _ := startInstance(t, c.first)
			second, _ := startInstance(t, c.second)
			a, err := newFetcher(t, unusedAddress, first, second).Fetch(context.Background(), post)
			is.NoErr(err)
			is.Equal(a.StatusCode, c.status)
			is.Equal(a.OtherMaybeDelivered, c.otherMaybeDelivered) // a refused connection can't have delivered the request
		})
	}
}

func TestUnreachableErrorMaybeDelivered(t *testing.T) {
	cases := map[string]struct {
		handler   http.HandlerFunc
		delivered bool
	}{
		"nothing listens":           {nil, false},
		"the connection is dropped": {dropConnection, true},
		"the answer is too large":   {respond(200, strings.Repeat("x", MaxResponseBytes+1)), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := unusedAddress
			if c.handler != nil {
				address, _ = startInstance(t, c.handler)
			}
			_, err := newFetcher(t, address).Fetch(context.Background(), post)
			var unreachable *UnreachableError
			is.True(errors.As(err, &unreachable))
			is.Equal(unreachable.MaybeDelivered(), c.delivered)
			is.Equal(len(unreachable.Attempts), 2) // one in each round
		})
	}
}

func TestPreferredAddressIsTriedFirst(t *testing.T) {
	is := is.New(t)
	first, firstRequests := startInstance(t, respond(503, ""))
	second, _ := startInstance(t, respond(200, "ok"))
	f := newFetcher(t, first, second)
	for range 3 {
		_, err := f.Fetch(context.Background(), post)
		is.NoErr(err)
	}
	is.Equal(firstRequests.Load(), int32(1))
}

func TestCanceledContextSendsNothing(t *testing.T) {
	is := is.New(t)
	address, requests := startInstance(t, respond(200, "ok"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := newFetcher(t, address).Fetch(ctx, post)
	var unreachable *UnreachableError
	is.True(errors.As(err, &unreachable))
	is.True(!unreachable.MaybeDelivered())
	is.Equal(requests.Load(), int32(0))
}

func TestNewRejectsInvalidAddresses(t *testing.T) {
	is := is.New(t)
	for _, a := range []string{"", "ftp://10.0.0.1:1", "http://", "10.0.0.1:1/path", "a b"} {
		_, err := New(Config{Addresses: []string{a}})
		is.True(err != nil) // the address is invalid
	}
	_, err := New(Config{})
	is.True(err != nil) // no address
}
