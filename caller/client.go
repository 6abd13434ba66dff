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

// MaxDataBytes is the maximum length of ClientRequest.Data, in bytes. It keeps
// the request's body within MaxBodyBytes: base64 encodes three bytes as four,
// and 4096 bytes are left for the other fields.
const MaxDataBytes = (MaxBodyBytes - 4096) / 4 * 3

// Client submits requests to the instances of the fleet. After a lost answer it
// resends the request with the same id, if necessary to another instance.
type Client struct{ fetcher *fetcher.Fetcher }

// NewClient returns a Client that sends its requests through f.
func NewClient(f *fetcher.Fetcher) *Client { return &Client{fetcher: f} }

// ClientRequest holds the parameters of Client.Submit.
type ClientRequest struct {
	Queue unit.Queue
	// ID identifies the request, so that a resend doesn't run it a second
	// time. If it is empty, Submit calls NewID.
	ID         string
	Data       []byte
	Repeatable bool
	// Timeout is the time from the call of Submit to the request's deadline; 0
	// means DefaultTimeout.
	Timeout clock.Millis
	// Async makes Submit return once the request is accepted; the caller
	// fetches the result later.
	Async bool
}

// Reply is the reply to a request or to a query about it. It is one of
// Resolved, Accepted and Pending.
type Reply interface{ reply() }

// Resolved is the reply for a request that has an outcome.
type Resolved struct{ Outcome dispatcher.Outcome }

// Accepted is the reply for an asynchronous request that will run even if its
// entry instance fails.
type Accepted struct{}

// Pending is the reply for a request that has no outcome yet. Cause says what
// the request waits for.
type Pending struct{ Cause dispatcher.Refusal }

func (Resolved) reply() {}
func (Accepted) reply() {}
func (Pending) reply()  {}

// graceTimeout is how long a client waits past the deadline of a request. The
// instance's own response about the missed deadline can then still arrive.
const graceTimeout = 2 * clock.Second

// Submit sends a request and returns its id and the reply to it. The error is a
// *fetcher.UnreachableError if no instance can have received the request; if
// one may have received it, the reply is an Unknown outcome instead.
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
	newRequest := func() fetcher.Request {
		// Each attempt sends the time that is left until the deadline.
		left := max(clock.FromDuration(time.Until(deadline)), 1)
		return submitRequest(r, left)
	}
	resp, err := c.fetcher.Fetch(ctx, fetcher.Call{NewRequest: newRequest, Classify: classifySubmit(r.ID)})
	reply, err := submitReply(resp, err, r.ID)
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

// NewID requests an id that names the home zone of a request. If no instance
// returns one, the client generates a random UUID.
func (c *Client) NewID(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, newIDTimeout.Duration())
	defer cancel()
	var id string
	_, err := c.fetcher.Fetch(ctx, fetcher.Call{
		NewRequest: func() fetcher.Request { return fetcher.Request{Method: http.MethodPost, Path: "/v1/ids"} },
		Classify:   func(resp fetcher.Response) (class fetcher.ResponseClass) { id, class = parseNewID(resp); return class },
		Rounds:     1,
	})
	if err != nil || id == "" {
		return uuid.NewString()
	}
	return id
}

// newIDTimeout bounds a call of NewID.
const newIDTimeout = 5 * clock.Second

func parseNewID(resp fetcher.Response) (string, fetcher.ResponseClass) {
	var body struct{ ID string }
	err := json.Unmarshal(resp.Body, &body)
	if resp.StatusCode != http.StatusOK || err != nil || !validID.MatchString(body.ID) {
		return "", fetcher.NotProcessed
	}
	return body.ID, fetcher.Final
}

// clientStateTimeout bounds a call of Client.Result or Client.Cancel, retries
// included.
const clientStateTimeout = 30 * clock.Second

// Result returns the current state of a request. The error is a
// *fetcher.UnreachableError or a *QueryError.
func (c *Client) Result(ctx context.Context, id string) (Reply, error) {
	return c.state(ctx, http.MethodGet, id)
}

// Cancel cancels a request and returns its state. The error is a
// *fetcher.UnreachableError or a *QueryError.
func (c *Client) Cancel(ctx context.Context, id string) (Reply, error) {
	return c.state(ctx, http.MethodDelete, id)
}

func (c *Client) state(ctx context.Context, method, id string) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, clientStateTimeout.Duration())
	defer cancel()
	resp, err := c.fetcher.Fetch(ctx, fetcher.Call{
		NewRequest: func() fetcher.Request {
			return fetcher.Request{Method: method, Path: "/v1/requests/" + url.PathEscape(id)}
		},
		Classify: classifyState(id),
	})
	return stateReply(resp, err, id)
}
