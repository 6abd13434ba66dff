package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// instance is a stand-in for an instance's HTTP interface. It records what it
// got and answers each route with a fixed answer.
type instance struct {
	*httptest.Server
	mu      sync.Mutex
	routes  map[string]answer
	got     []string
	bodies  []string
	keys    []string
	dropped map[string]bool
}

type answer struct {
	status int
	body   string
}

// newInstance starts a stand-in. Routes are named by method and path; a query
// of the request is recorded but not matched.
func newInstance(t *testing.T, routes map[string]answer) *instance {
	t.Helper()
	i := &instance{routes: routes, dropped: map[string]bool{}}
	i.Server = httptest.NewServer(i)
	t.Cleanup(i.Close)
	return i
}

// drop loses the next answer of a route.
func (i *instance) drop(route string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.dropped[route] = true
}

// requests returns the methods and paths that came so far.
func (i *instance) requests() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.got)
}

// body returns the body of a request that came.
func (i *instance) body(n int) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.bodies[n]
}

func (i *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	route := r.Method + " " + r.URL.Path
	i.mu.Lock()
	i.got = append(i.got, r.Method+" "+r.URL.RequestURI())
	i.bodies = append(i.bodies, string(body))
	i.keys = append(i.keys, r.Header.Get("Authorization"))
	drop := i.dropped[route]
	delete(i.dropped, route)
	a, ok := i.routes[route]
	i.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		a = answer{http.StatusNotFound, `{"Reason":"BadRequest","Detail":"no such route"}`}
	}
	// The id of a submission is repeated, as an instance does.
	var sent struct{ ID string }
	_ = json.Unmarshal(body, &sent)
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, strings.ReplaceAll(a.body, "$ID", sent.ID))
}

// run runs a command line against addresses, with a key from the environment.
func run(t *testing.T, addresses string, args ...string) (status Status, out, notes string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	env := map[string]string{"CHERVILVANE_ADDRESS": addresses, "CHERVILVANE_KEY": "cv1.0011223344556677.secret"}
	c := New(Config{
		In:      strings.NewReader("from standard input"),
		Out:     &stdout,
		Err:     &stderr,
		Getenv:  func(name string) string { return env[name] },
		Version: "v0",
		Backoff: 1,
	})
	status = c.Run(context.Background(), args)
	return status, stdout.String(), stderr.String()
}

func TestSubmitReportsEachOutcome(t *testing.T) {
	cases := map[string]struct {
		answer answer
		status Status
		out    string
		note   string
	}{
		"done":         {answer{200, `{"ID":"$ID","Outcome":"Done","Answer":"aGVsbG8="}`}, StatusDone, "hello\n", ""},
		"ran, failed":  {answer{200, `{"ID":"$ID","Outcome":"Done","Answer":"bm8=","Failed":true}`}, StatusNotDone, "no\n", "ran and failed"},
		"accepted":     {answer{202, `{"ID":"$ID","Outcome":"Accepted"}`}, StatusDone, "a.7\n", "chervilvane result a.7"},
		"refused":      {answer{404, `{"ID":"$ID","Outcome":"NotRun","Reason":"NoSuchQueue","Detail":"no q"}`}, StatusNotDone, "", "NotRun: NoSuchQueue: no q"},
		"unknown":      {answer{502, `{"ID":"$ID","Outcome":"Unknown","Reason":"UpstreamLost"}`}, StatusNotDone, "", "Unknown: UpstreamLost"},
		"another's id": {answer{200, `{"ID":"other","Outcome":"Done","Answer":"aGVsbG8="}`}, StatusNotDone, "", "Unknown: NoAnswer"},
		"cut off":      {answer{200, `{"ID":"$ID","Outcome":"Done","Ans`}, StatusNotDone, "", "Unknown: NoAnswer"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newInstance(t, map[string]answer{"POST /v1/ids": {200, `{"ID":"a.7"}`}, "POST /v1/requests": c.answer})
			status, out, notes := run(t, i.URL, "submit", "-queue", "q", "-data", "d")
			is.Equal(status, c.status)               // the exit status tells the outcome
			is.Equal(out, c.out)                     // standard output holds the answer only
			is.True(strings.Contains(notes, c.note)) // the note tells the reason
			i.mu.Lock()
			defer i.mu.Unlock()
			is.Equal(i.keys[1], "Bearer cv1.0011223344556677.secret")
		})
	}
}
