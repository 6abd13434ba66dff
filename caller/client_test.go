package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/caller"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/fetcher"
)

// scriptedResponse is the response of an instance to one attempt. If the body
// is empty, the instance closes the connection after it has received the
// request. $ID in the body is replaced by the id of the request.
type scriptedResponse struct {
	status int
	body   string
}

var (
	dropped     = scriptedResponse{}
	done        = scriptedResponse{200, `{"ID":"$ID","Outcome":"Done","Answer":"b2s="}`}
	unavailable = scriptedResponse{503, `{"ID":"$ID","Outcome":"NotRun","Reason":"KeysStale"}`}
	overloaded  = scriptedResponse{429, `{"ID":"$ID","Outcome":"NotRun","Reason":"Overloaded"}`}
	unknown     = scriptedResponse{502, `{"ID":"$ID","Outcome":"Unknown","Reason":"UpstreamLost"}`}
)

// scriptedInstance answers each submission with the next of its responses,
// repeating the last one, and records the submissions.
type scriptedInstance struct {
	responses []scriptedResponse
	mu        sync.Mutex
	sent      []struct {
		ID            string
		TimeoutMillis int64
	}
}

func (s *scriptedInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/ids" {
		_, _ = io.WriteString(w, `{"ID":"a.1"}`)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.sent)
	s.sent = append(s.sent, struct {
		ID            string
		TimeoutMillis int64
	}{})
	_ = json.NewDecoder(r.Body).Decode(&s.sent[n])
	next := s.responses[min(n, len(s.responses)-1)]
	if next.body == "" {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(next.status)
	_, _ = io.WriteString(w, strings.ReplaceAll(next.body, "$ID", s.sent[n].ID))
}

func newClient(t *testing.T, h http.Handler, key string) *caller.Client {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	f, err := fetcher.New(fetcher.Config{Addresses: []string{s.URL}, Key: key, Rounds: 3, Backoff: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return caller.NewClient(f)
}

// TestSubmitOutcomeAfterLostAnswers guards against a definite outcome for a
// request whose earlier attempt may have been accepted, and against resending a
// request that was refused permanently.
func TestSubmitOutcomeAfterLostAnswers(t *testing.T) {
	cases := map[string]struct {
		steps    []scriptedResponse
		attempts int
		want     dispatcher.Outcome
	}{
		"done":                     {[]scriptedResponse{done}, 1, dispatcher.Done{}},
		"done on resend":           {[]scriptedResponse{dropped, done}, 2, dispatcher.Done{}},
		"unavailable, then done":   {[]scriptedResponse{unavailable, done}, 2, dispatcher.Done{}},
		"always unavailable":       {[]scriptedResponse{unavailable}, 3, dispatcher.NotRun{}},
		"overload isn't retried":   {[]scriptedResponse{overloaded}, 1, dispatcher.NotRun{}},
		"unknown is final":         {[]scriptedResponse{unknown, unavailable}, 1, dispatcher.Unknown{}},
		"lost, then refused":       {[]scriptedResponse{dropped, overloaded}, 2, dispatcher.Unknown{}},
		"lost, then unavailable":   {[]scriptedResponse{dropped, unavailable}, 3, dispatcher.Unknown{}},
		"unavailable, then lost":   {[]scriptedResponse{unavailable, dropped}, 3, dispatcher.Unknown{}},
		"always lost":              {[]scriptedResponse{dropped}, 3, dispatcher.Unknown{}},
		"load balancer error page": {[]scriptedResponse{{503, "<html>"}, unavailable}, 3, dispatcher.Unknown{}},
		"answer for another id":    {[]scriptedResponse{{200, `{"ID":"x","Outcome":"Done"}`}, overloaded}, 2, dispatcher.Unknown{}},
		"refusal without an id":    {[]scriptedResponse{{400, `{"Outcome":"NotRun","Reason":"BadRequest"}`}}, 1, dispatcher.NotRun{}},
		"no outcome":               {[]scriptedResponse{{200, `{"ID":"$ID"}`}, overloaded}, 2, dispatcher.Unknown{}},
		"truncated, then complete": {[]scriptedResponse{{200, `{"ID":"$ID","Outc`}, done}, 2, dispatcher.Done{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedInstance{responses: c.steps}
			id, reply, err := newClient(t, s, "").Submit(context.Background(), caller.ClientRequest{Queue: "q"})
			is.NoErr(err)
			is.Equal(id, "a.1")
			is.Equal(outcomeName(reply), outcomeName(caller.Resolved{Outcome: c.want}))
			s.mu.Lock()
			defer s.mu.Unlock()
			is.Equal(len(s.sent), c.attempts)
			for i, sent := range s.sent {
				is.Equal(sent.ID, id) // a resend has the id of the first attempt
				is.True(i == 0 || sent.TimeoutMillis <= s.sent[i-1].TimeoutMillis)
			}
		})
	}
}

// outcomeName returns the name of the outcome's type, ignoring its fields.
func outcomeName(r caller.Reply) string {
	switch r.(caller.Resolved).Outcome.(type) {
	case dispatcher.Done:
		return "Done"
	case dispatcher.NotRun:
		return "NotRun"
	default:
		return "Unknown"
	}
}

func TestClientAndServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.freshAt = 10_000
	client := newClient(t, f.mux, f.booking.Plaintext())
	id, reply, err := client.Submit(context.Background(), caller.ClientRequest{Queue: "keyed", Data: []byte("x")})
	is.NoErr(err)
	is.Equal(id, "a.fresh")
	is.Equal(reply, caller.Resolved{Outcome: dispatcher.Done{Answer: []byte("acc-booking/a.fresh")}})
	_, reply, err = client.Submit(context.Background(), caller.ClientRequest{Queue: "keyed", ID: "mine", Async: true})
	is.NoErr(err)
	is.Equal(reply, caller.Accepted{})
	_, reply, err = client.Submit(context.Background(), caller.ClientRequest{Queue: "open", Data: make([]byte, caller.MaxDataBytes)})
	is.NoErr(err)
	is.Equal(outcomeName(reply), "Done") // data of the maximum length is accepted
	_, reply, err = client.Submit(context.Background(), caller.ClientRequest{Queue: "open", Data: make([]byte, caller.MaxBodyBytes)})
	is.NoErr(err)
	is.Equal(outcomeName(reply), "NotRun") // the instance refuses larger data before it has decoded the id
	reply, err = client.Result(context.Background(), "mine")
	is.NoErr(err)
	is.Equal(reply, caller.Resolved{Outcome: dispatcher.Done{Answer: []byte("acc-booking/mine")}})
	reply, err = client.Cancel(context.Background(), "mine")
	is.NoErr(err)
	is.Equal(reply, caller.Pending{})
}

// TestRefusedQueryIsAnError guards against reporting the refusal of a query as
// the outcome of the request.
func TestRefusedQueryIsAnError(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	client := newClient(t, f.mux, "cv1.0000000000000000.AAAA")
	_, err := client.Result(context.Background(), "mine")
	var refused *caller.QueryError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Refusal.Reason, dispatcher.ReasonKeyRefused)
}

// TestEachCallerGetsItsOwnAnswer guards against mixed-up answers: 200 concurrent
// requests, some of them resent after a lost answer, must each get their own.
func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	is := is.New(t)
	var attempts sync.Map
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var sent struct {
			ID   string
			Data []byte
		}
		_ = json.NewDecoder(r.Body).Decode(&sent)
		// The answer to a first attempt is lost if the id has an even length.
		if _, again := attempts.LoadOrStore(sent.ID, true); !again && len(sent.ID)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		caller.WriteJSON(w, http.StatusOK, struct {
			ID, Outcome string
			Answer      []byte
		}{sent.ID, "Done", append([]byte("answer to "), sent.Data...)})
	}), "")
	var g errgroup.Group
	for i := range 200 {
		id := strings.Repeat("x", i%7) + fmt.Sprint(i)
		g.Go(func() error {
			_, reply, err := client.Submit(context.Background(), caller.ClientRequest{Queue: "q", ID: id, Data: []byte(id)})
			if err != nil || !reflect.DeepEqual(reply, caller.Resolved{Outcome: dispatcher.Done{Answer: []byte("answer to " + id)}}) {
				return errors.Newf("%s got %v, %v", id, reply, err)
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
}
