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

// step is what an instance does with one attempt; an empty body drops the
// connection after the request was received. $ID stands for the sent id.
type step struct {
	status int
	body   string
}

var (
	dropped  = step{}
	done     = step{200, `{"ID":"$ID","Outcome":"Done","Answer":"b2s="}`}
	notNow   = step{503, `{"ID":"$ID","Outcome":"NotRun","Reason":"KeysStale"}`}
	overload = step{429, `{"ID":"$ID","Outcome":"NotRun","Reason":"Overloaded"}`}
	unknown  = step{502, `{"ID":"$ID","Outcome":"Unknown","Reason":"UpstreamLost"}`}
)

// script is an instance that goes through steps, one for each submission, and
// keeps the bodies it got.
type script struct {
	steps []step
	mu    sync.Mutex
	sent  []struct {
		ID            string
		TimeoutMillis int64
	}
}

func (s *script) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	next := s.steps[min(n, len(s.steps)-1)]
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

func TestClientTellsTheTruthAfterLostAnswers(t *testing.T) {
	cases := map[string]struct {
		steps    []step
		attempts int
		want     dispatcher.Outcome
	}{
		"done":                       {[]step{done}, 1, dispatcher.Done{}},
		"done at the resend":         {[]step{dropped, done}, 2, dispatcher.Done{}},
		"not now, then done":         {[]step{notNow, done}, 2, dispatcher.Done{}},
		"never now":                  {[]step{notNow}, 3, dispatcher.NotRun{}},
		"overload isn't fed":         {[]step{overload}, 1, dispatcher.NotRun{}},
		"unknown stands":             {[]step{unknown, notNow}, 1, dispatcher.Unknown{}},
		"lost, then refused":         {[]step{dropped, overload}, 2, dispatcher.Unknown{}},
		"lost, then not now":         {[]step{dropped, notNow}, 3, dispatcher.Unknown{}},
		"not now, then lost":         {[]step{notNow, dropped}, 3, dispatcher.Unknown{}},
		"always lost":                {[]step{dropped}, 3, dispatcher.Unknown{}},
		"a page of the balancer":     {[]step{{503, "<html>"}, notNow}, 3, dispatcher.Unknown{}},
		"the answer of another id":   {[]step{{200, `{"ID":"x","Outcome":"Done"}`}, overload}, 2, dispatcher.Unknown{}},
		"refused unread":             {[]step{{400, `{"Outcome":"NotRun","Reason":"BadRequest"}`}}, 1, dispatcher.NotRun{}},
		"an outcome without a name":  {[]step{{200, `{"ID":"$ID"}`}, overload}, 2, dispatcher.Unknown{}},
		"half an answer, then whole": {[]step{{200, `{"ID":"$ID","Outc`}, done}, 2, dispatcher.Done{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &script{steps: c.steps}
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

// outcomeName tells the outcomes apart without what they carry.
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

func TestClientSpeaksToTheServer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.fresh = 10_000
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
	is.Equal(outcomeName(reply), "Done") // the largest data is taken
	_, reply, err = client.Submit(context.Background(), caller.ClientRequest{Queue: "open", Data: make([]byte, caller.MaxBody)})
	is.NoErr(err)
	is.Equal(outcomeName(reply), "NotRun") // larger data is refused before its id is read
	reply, err = client.Result(context.Background(), "mine")
	is.NoErr(err)
	is.Equal(reply, caller.Resolved{Outcome: dispatcher.Done{Answer: []byte("acc-booking/mine")}})
	reply, err = client.Cancel(context.Background(), "mine")
	is.NoErr(err)
	is.Equal(reply, caller.Pending{})
}

func TestRefusedQuestionSaysNothingOfTheRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	client := newClient(t, f.mux, "cv1.0000000000000000.AAAA")
	_, err := client.Result(context.Background(), "mine")
	var refused *caller.QuestionError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Refusal.Reason, dispatcher.ReasonKeyRefused)
}

func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	is := is.New(t)
	var attempts sync.Map
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var sent struct {
			ID   string
			Data []byte
		}
		_ = json.NewDecoder(r.Body).Decode(&sent)
		// Every other answer to a first attempt is lost.
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
