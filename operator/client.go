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

// Client calls the HTTP interface for operators. After a lost answer it resends a
// change with the same id, if necessary to another instance.
//
// The errors of its methods are a *fetcher.UnreachableError, a *RefusedError, an
// *InvalidConfigError, a *ConflictError or an *UnknownResultError.
type Client struct{ fetcher *fetcher.Fetcher }

// NewClient returns a Client that sends its requests through f.
func NewClient(f *fetcher.Fetcher) *Client { return &Client{fetcher: f} }

// callTimeout bounds a call, resends included. It is several times the time that
// the server waits for the log, so that a resend can succeed after an election of
// the log's leader.
const callTimeout = 3 * proposeTimeout

// ApplyConfig replaces the configuration of version base with text and returns the
// new version. A call with the id and the text of an earlier call gets the result of
// that call.
func (c *Client) ApplyConfig(ctx context.Context, base unit.Version, id string, text []byte) (unit.Version, error) {
	query := url.Values{"base": {strconv.FormatUint(uint64(base), 10)}, "id": {id}}
	var body struct{ Version unit.Version }
	err := c.call(ctx, fetcher.Request{
		Method: http.MethodPut, Path: "/v1/config?" + query.Encode(), ContentType: "application/yaml", Body: text,
	}, &body)
	return body.Version, err
}

// CurrentConfig returns the version and the text of the current configuration.
func (c *Client) CurrentConfig(ctx context.Context) (unit.Version, string, error) {
	var body struct {
		Version unit.Version
		Text    string
	}
	err := c.get(ctx, "/v1/config", &body)
	return body.Version, body.Text, err
}

// HistoryLine describes one accepted configuration.
type HistoryLine = historyLine

// ConfigHistory lists the accepted configurations.
func (c *Client) ConfigHistory(ctx context.Context) ([]HistoryLine, error) {
	var body struct{ History []HistoryLine }
	err := c.get(ctx, "/v1/config/history", &body)
	return body.History, err
}

// RunningVersions returns the configuration version that each instance runs.
func (c *Client) RunningVersions(ctx context.Context) ([]RunningVersion, error) {
	var body struct{ Instances []RunningVersion }
	err := c.get(ctx, "/v1/config/running", &body)
	return body.Instances, err
}

// GrantKey makes a token valid as the key of a client account of a team. It sends
// only the hash of the token's secret.
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

// WithdrawKey withdraws a key permanently and reports whether the withdrawal is in
// the log. Until an instance confirms that, WithdrawKey sends the withdrawal to
// the other instances too, so that the key stops working at once on each side of
// a network partition.
func (c *Client) WithdrawKey(ctx context.Context, id authenticator.KeyID) (logged bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	accepted := map[string]bool{}
	resp, err := c.fetcher.Fetch(ctx, fetcher.Call{
		NewRequest: func() fetcher.Request {
			return fetcher.Request{Method: http.MethodDelete, Path: "/v1/keys/" + url.PathEscape(string(id))}
		},
		Classify: func(resp fetcher.Response) fetcher.ResponseClass {
			if resp.StatusCode == http.StatusAccepted {
				accepted[resp.Address] = true
				if len(accepted) < c.fetcher.NumAddresses() {
					return fetcher.NotProcessed
				}
			}
			return classify(resp)
		},
	})
	var state struct{ State string }
	err = toResult(resp, err, true, &state)
	if len(accepted) > 0 && err != nil {
		return false, nil
	}
	return state.State == "Withdrawn", err
}

// KeyLine describes one key, without its hash.
type KeyLine = keyLine

// Keys lists all keys, both the valid and the withdrawn ones.
func (c *Client) Keys(ctx context.Context) ([]KeyLine, error) {
	var body struct{ Keys []KeyLine }
	err := c.get(ctx, "/v1/keys", &body)
	return body.Keys, err
}

// Status returns the status of an instance as a JSON object.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	var body json.RawMessage
	err := c.get(ctx, "/v1/status", &body)
	return body, err
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	return c.call(ctx, fetcher.Request{Method: http.MethodGet, Path: path}, into)
}

// call sends a request until an instance has served or refused it, and decodes
// the response into a value.
func (c *Client) call(ctx context.Context, r fetcher.Request, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	resp, err := c.fetcher.Fetch(ctx, fetcher.Call{NewRequest: func() fetcher.Request { return r }, Classify: classify})
	return toResult(resp, err, r.Method != http.MethodGet, into)
}

// toResult decodes the final response of a fetch, or converts it into an error.
// isChange is set if the request was to change something; if such a request
// may have been delivered, the error is an *UnknownResultError.
func toResult(resp fetcher.Response, err error, isChange bool, into any) error {
	var unreachable *fetcher.UnreachableError
	switch {
	case isChange && errors.As(err, &unreachable) && unreachable.MaybeDelivered():
		return &UnknownResultError{Detail: unreachable.Error()}
	case err != nil:
		return err
	case resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusAccepted:
		return errors.Wrapf(json.Unmarshal(resp.Body, into), "the answer of %s can't be read", resp.Address)
	}
	return toError(resp, isChange)
}

// classify classifies a response. A request is resent if the instance couldn't
// serve it at present, or if the response isn't JSON, such as the error page of a
// load balancer.
func classify(resp fetcher.Response) fetcher.ResponseClass {
	switch {
	case !json.Valid(resp.Body):
		return fetcher.UnknownResult
	case resp.StatusCode == http.StatusServiceUnavailable:
		return fetcher.NotProcessed
	default:
		return fetcher.Final
	}
}
