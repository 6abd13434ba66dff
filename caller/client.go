package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/fetcher"
	"github.com/chervilvane/chervilvane/unit"
)

// MaxDataBytes is the size of the largest Data, in bytes, whose request keeps within
// MaxBody: base64 makes four bytes of three, and the other fields need room.
const MaxDataBytes = (MaxBody - 4096) / 4 * 3

// Client submits requests to the fleet. It resends under the same id after a
// lost answer, also to another instance.
type Client struct{ f *fetcher.Fetcher }

// NewClient returns a Client.
func NewClient(f *fetcher.Fetcher) *Client { return &Client{f: f} }

// ClientRequest is a request as a caller makes it.
type ClientRequest struct {
	Queue unit.Queue
	// ID makes resends harmless; if it is empty, Submit gets one.
	ID         string
	Data       []byte
	Repeatable bool
	// Timeout is the deadline, counted from the call of Submit; 0 means
	// DefaultTimeout.
	Timeout clock.Millis
	// Async asks for acceptance only; the result is fetched later.
	Async bool
}

// Reply is what a client was told of a request. The set is closed: Resolved,
// Accepted, Pending.
type Reply interface{ reply() }

// Resolved is a request with an outcome.
type Resolved struct{ Outcome dispatcher.Outcome }

// Accepted is a request that will run even if its entry instance fails.
type Accepted struct{}

// Pending is a request without an outcome yet, and what it waits for.
type Pending struct{ Cause dispatcher.Refusal }

func (Resolved) reply() {}
func (Accepted) reply() {}
func (Pending) reply()  {}

// graceTimeout is how long a client waits past the deadline of a request, so
// that the instance's own verdict on the deadline arrives.
const graceTimeout = 2 * clock.Second

// Submit sends a request and returns its id and what became of it. The error
// is a *fetcher.UnreachableError if surely no instance received the request;
// if one may have, the reply is an Unknown outcome.
func (c *Client) Submit(ctx context.Context, r ClientRequest) (string, Reply, error) {
	if r.Timeout == 0 {
		r.Timeout = DefaultTimeout
	}
	deadline := time.Now().Add(r.Timeout.Duration())
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(graceTimeout.Duration()))
	defer cancel()
	if r.ID == "" {
		r.ID = c.NewID(ctx)
	}
	build := func() fetcher.Request {
		// The deadline travels with each attempt as the time that is left.
		left := max(clock.FromDuration(time.Until(deadline)), 1)
		return submitRequest(r, left)
	}
	a, err := c.f.Fetch(ctx, fetcher.Call{NewRequest: build, Classify: judgeSubmit(r.ID)})
	reply, err := submitReply(a, err, r.ID)
	return r.ID, reply, err
}

func submitRequest(r ClientRequest, left clock.Millis) fetcher.Request {
	body, err := json.Marshal(submission{
		Queue: r.Queue, ID: r.ID, Data: r.Data, Repeatable: r.Repeatable, TimeoutMillis: left, Async: r.Async,
	})
	if err != nil {
		panic(err)
	}
	return fetcher.Request{Method: http.MethodPost, Path: "/v1/requests", ContentType: "application/json", Body: body}
}

// NewID asks for an id that names the home of a request. If no instance gives
// one, the client makes its own.
func (c *Client) NewID(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, newIDWait.Duration())
	defer cancel()
	var id string
	_, err := c.f.Fetch(ctx, fetcher.Call{
		NewRequest: func() fetcher.Request { return fetcher.Request{Method: http.MethodPost, Path: "/v1/ids"} },
		Classify:   func(a fetcher.Response) (v fetcher.ResponseClass) { id, v = parseNewID(a); return v },
		Rounds:     1,
	})
	if err != nil || id == "" {
		return uuid.NewString()
	}
	return id
}

// newIDWait bounds the wait for an id.
const newIDWait = 5 * clock.Second

func parseNewID(a fetcher.Response) (string, fetcher.ResponseClass) {
	var body struct{ ID string }
	err := json.Unmarshal(a.Body, &body)
	if a.StatusCode != http.StatusOK || err != nil || !validID.MatchString(body.ID) {
		return "", fetcher.NotProcessed
	}
	return body.ID, fetcher.Final
}

// stateWait bounds a call of Result or Cancel.
const stateWait = 30 * clock.Second

// Result asks what became of a request. The error is a
// *fetcher.UnreachableError or a *QuestionError.
func (c *Client) Result(ctx context.Context, id string) (Reply, error) {
	return c.state(ctx, http.MethodGet, id)
}

// Cancel asks for the end of a request. The error is a
// *fetcher.UnreachableError or a *QuestionError.
func (c *Client) Cancel(ctx context.Context, id string) (Reply, error) {
	return c.state(ctx, http.MethodDelete, id)
}

func (c *Client) state(ctx context.Context, method, id string) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, stateWait.Duration())
	defer cancel()
	a, err := c.f.Fetch(ctx, fetcher.Call{
		NewRequest: func() fetcher.Request {
			return fetcher.Request{Method: method, Path: "/v1/requests/" + url.PathEscape(id)}
		},
		Classify: judgeState(id),
	})
	return stateReply(a, err, id)
}
