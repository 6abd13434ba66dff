package operator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/fetcher"
	"github.com/chervilvane/chervilvane/unit"
)

// Client does what an operator may do. Every change is resent under the same
// id after a lost answer, also to another instance.
//
// The errors of its methods are a *fetcher.UnreachableError, a *RefusedError,
// an *InvalidConfigError, a *ConflictError or a *UnknownResultError.
type Client struct{ f *fetcher.Fetcher }

// NewClient returns a Client.
func NewClient(f *fetcher.Fetcher) *Client { return &Client{f: f} }

// callTimeout bounds a call, resends included. It is a few times the server's
// own bound on the log, so that a resend can outlast an election.
const callTimeout = 3 * proposeTimeout

// ApplyConfig replaces the version base by a text and returns the new version. A
// resend with the same id gets the first answer.
func (c *Client) ApplyConfig(ctx context.Context, base unit.Version, id string, text []byte) (unit.Version, error) {
	query := url.Values{"base": {strconv.FormatUint(uint64(base), 10)}, "id": {id}}
	var body struct{ Version unit.Version }
	err := c.call(ctx, fetcher.Request{
		Method: http.MethodPut, Path: "/v1/config?" + query.Encode(), ContentType: "application/yaml", Body: text,
	}, &body)
	return body.Version, err
}

// CurrentConfig returns the version in force and its text.
func (c *Client) CurrentConfig(ctx context.Context) (unit.Version, string, error) {
	var body struct {
		Version unit.Version
		Text    string
	}
	err := c.get(ctx, "/v1/config", &body)
	return body.Version, body.Text, err
}

// HistoryLine is one accepted configuration.
type HistoryLine = historyLine

// ConfigHistory returns the accepted configurations.
func (c *Client) ConfigHistory(ctx context.Context) ([]HistoryLine, error) {
	var body struct{ History []HistoryLine }
	err := c.get(ctx, "/v1/config/history", &body)
	return body.History, err
}

// RunningVersions returns the version that each instance runs.
func (c *Client) RunningVersions(ctx context.Context) ([]RunningVersion, error) {
	var body struct{ Instances []RunningVersion }
	err := c.get(ctx, "/v1/config/running", &body)
	return body.Instances, err
}

// GrantKey makes a token valid for a client account of a team. Only the hash
// of its secret is sent.
func (c *Client) GrantKey(ctx context.Context, t authenticator.Token, account unit.ClientAccount, team unit.Team) error {
	body, err := json.Marshal(grantBody{
		Key: t.ID, Hash: hex.EncodeToString(t.Hash()), Account: account, Team: team,
	})
	if err != nil {
		panic(err)
	}
	var state struct{ State string }
	return c.call(ctx, fetcher.Request{
		Method: http.MethodPost, Path: "/v1/keys", ContentType: "application/json", Body: body,
	}, &state)
}

// WithdrawKey ends a key for good. It reports whether the withdrawal is in the
// log. Until one instance says so, the others are told too: on each side of a
// network partition the key then stops at once.
func (c *Client) WithdrawKey(ctx context.Context, id authenticator.KeyID) (logged bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	taken := map[string]bool{}
	a, err := c.f.Fetch(ctx, fetcher.Call{
		NewRequest: func() fetcher.Request {
			return fetcher.Request{Method: http.MethodDelete, Path: "/v1/keys/" + url.PathEscape(string(id))}
		},
		Classify: func(a fetcher.Response) fetcher.ResponseClass {
			if a.StatusCode == http.StatusAccepted {
				taken[a.Address] = true
				if len(taken) < c.f.NumAddresses() {
					return fetcher.NotProcessed
				}
			}
			return judge(a)
		},
	})
	var state struct{ State string }
	err = toResult(a, err, true, &state)
	if len(taken) > 0 && err != nil {
		return false, nil
	}
	return state.State == "Withdrawn", err
}

// KeyLine is one key as operators see it: without its hash.
type KeyLine = keyLine

// Keys returns the granted and withdrawn keys.
func (c *Client) Keys(ctx context.Context) ([]KeyLine, error) {
	var body struct{ Keys []KeyLine }
	err := c.get(ctx, "/v1/keys", &body)
	return body.Keys, err
}

// Status returns the JSON object that an instance tells of itself.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var body json.RawMessage
	err := c.get(ctx, "/v1/status", &body)
	return body, err
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	return c.call(ctx, fetcher.Request{Method: http.MethodGet, Path: path}, into)
}

// call sends one request until an instance has served or refused it.
func (c *Client) call(ctx context.Context, r fetcher.Request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	a, err := c.f.Fetch(ctx, fetcher.Call{NewRequest: func() fetcher.Request { return r }, Classify: judge})
	return toResult(a, err, r.Method != http.MethodGet, into)
}

// toResult reads the answer that a fetch ended with, or turns it into an error.
func toResult(a fetcher.Response, err error, changes bool, into any) error {
	var unreachable *fetcher.UnreachableError
	switch {
	case changes && errors.As(err, &unreachable) && unreachable.MaybeDelivered():
		return &UnknownResultError{Detail: unreachable.Error()}
	case err != nil:
		return err
	case a.StatusCode == http.StatusOK || a.StatusCode == http.StatusAccepted:
		return errors.Wrapf(json.Unmarshal(a.Body, into), "the answer of %s can't be read", a.Address)
	}
	return toError(a, changes)
}

// judge resends what an instance couldn't serve now, and what got an answer
// that isn't JSON, like the error page of a balancer.
func judge(a fetcher.Response) fetcher.ResponseClass {
	switch {
	case !json.Valid(a.Body):
		return fetcher.UnknownResult
	case a.StatusCode == http.StatusServiceUnavailable:
		return fetcher.NotProcessed
	default:
		return fetcher.Final
	}
}
