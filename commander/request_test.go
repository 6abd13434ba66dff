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

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/differ"
	"github.com/chervilvane/chervilvane/fetcher"
)

// stubInstance is a stub of an instance's HTTP interface. It records the requests
// and gives each route a fixed answer.
type stubInstance struct {
	*httptest.Server
	mu           sync.Mutex
	routes       map[string]answer
	requestLines []string
	bodies       []string
	keys         []string
	dropped      map[string]bool
}

type answer struct {
	status int
	body   string
}

// newStubInstance starts a stub. The keys of routes are a method and a path; a
// request's query is recorded but not matched.
func newStubInstance(t *testing.T, routes map[string]answer) *stubInstance {
	t.Helper()
	i := &stubInstance{routes: routes, dropped: map[string]bool{}}
	i.Server = httptest.NewServer(i)
	t.Cleanup(i.Close)
	return i
}

// drop makes the stub close the connection instead of sending the next answer of
// a route.
func (i *stubInstance) drop(route string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.dropped[route] = true
}

// requests returns the methods and URIs of the requests so far.
func (i *stubInstance) requests() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.requestLines)
}

// body returns the body of the n-th request, from 0.
func (i *stubInstance) body(n int) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.bodies[n]
}

func (i *stubInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	route := r.Method + " " + r.URL.Path
	i.mu.Lock()
	i.requestLines = append(i.requestLines, r.Method+" "+r.URL.RequestURI())
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
	// An instance repeats the id of a submission in its answer.
	var sent struct{ ID string }
	_ = json.Unmarshal(body, &sent)
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, strings.ReplaceAll(a.body, "$ID", sent.ID))
}

// run runs a command line with the addresses and a key from the environment. It
// returns the exit status, the standard output and the standard error.
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
		Platform: &Format{
			MaxBytes:   99,
			Recognizes: func(text []byte) bool { return text[0] == '{' },
			Check: func(file string, _, inForce []byte) []decoder.Finding {
				return []decoder.Finding{{File: file, Severity: decoder.Warning, Message: "the platform's, against " + string(inForce)}}
			},
			Compare: func(_, _ []byte) ([]differ.Difference, error) { return []differ.Difference{}, nil },
			Fetch:   func(context.Context, *fetcher.Fetcher) ([]byte, error) { return []byte("in force"), nil },
		},
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
		"escape code":  {answer{502, `{"ID":"$ID","Outcome":"Unknown","Detail":"\u001b[2J"}`}, StatusNotDone, "", ": \ufffd[2J"},
		"another's id": {answer{200, `{"ID":"other","Outcome":"Done","Answer":"aGVsbG8="}`}, StatusNotDone, "", "Unknown: NoAnswer"},
		"truncated":    {answer{200, `{"ID":"$ID","Outcome":"Done","Ans`}, StatusNotDone, "", "Unknown: NoAnswer"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := newStubInstance(t, map[string]answer{"POST /v1/ids": {200, `{"ID":"a.7"}`}, "POST /v1/requests": c.answer})
			status, out, notes := run(t, i.URL, "submit", "-queue", "q", "-data", "d")
			is.Equal(status, c.status)               // the exit status matches the outcome
			is.Equal(out, c.out)                     // standard output has only the answer
			is.True(strings.Contains(notes, c.note)) // the note has the reason
			i.mu.Lock()
			defer i.mu.Unlock()
			is.Equal(i.keys[1], "Bearer cv1.0011223344556677.secret")
		})
	}
}
