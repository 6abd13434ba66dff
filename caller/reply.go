package caller

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/fetcher"
)

// answerBody has the fields of all JSON bodies that the server sends about a
// request.
type answerBody struct {
	ID               string
	Outcome          string
	Answer           []byte
	Failed           bool
	Reason           dispatcher.Reason
	Detail           string
	Remedy           string
	RetryAfterMillis clock.Millis
}

// ReasonNoAnswer is the reason of an Unknown outcome that a client returns if
// the answer of an instance was lost.
const ReasonNoAnswer dispatcher.Reason = "NoAnswer"

// QueryError is returned by Client.Result and Client.Cancel if an instance
// refused the query. The request itself may have any state.
type QueryError struct{ Refusal dispatcher.Refusal }

// Error implements error.
func (e *QueryError) Error() string {
	return string(e.Refusal.Reason) + ": " + e.Refusal.Detail
}

// parseAnswer decodes the response to the request with an id. It returns an
// error for a response that names another request.
func parseAnswer(resp fetcher.Response, id string) (Reply, error) {
	var b answerBody
	if err := json.Unmarshal(resp.Body, &b); err != nil {
		return nil, errors.Wrapf(err, "the answer of %s (status %d) isn't an outcome", resp.Address, resp.StatusCode)
	}
	// An instance that couldn't decode the body sends a refusal without an id.
	refusedUnread := b.ID == "" && b.Outcome == "NotRun"
	if b.ID != id && !refusedUnread {
		return nil, errors.Newf("%s answered with the id %q, not %q", resp.Address, b.ID, id)
	}
	refusal := dispatcher.Refusal{Reason: b.Reason, Detail: b.Detail, Remedy: b.Remedy, RetryAfter: b.RetryAfterMillis}
	switch b.Outcome {
	case "Done":
		return Resolved{dispatcher.Done{Answer: b.Answer, Failed: b.Failed}}, nil
	case "NotRun":
		return Resolved{dispatcher.NotRun{Refusal: refusal}}, nil
	case "Unknown":
		return Resolved{dispatcher.Unknown{Refusal: refusal}}, nil
	case "Accepted":
		return Accepted{}, nil
	case "Pending":
		return Pending{refusal}, nil
	}
	return nil, errors.Newf("%s answered with the outcome %q", resp.Address, b.Outcome)
}

// classifySubmit returns a function that classifies the response to a
// submission. The request goes to the next instance only if this one can't
// have accepted it, or if its response can't be decoded.
func classifySubmit(id string) func(fetcher.Response) fetcher.ResponseClass {
	return func(resp fetcher.Response) fetcher.ResponseClass {
		reply, err := parseAnswer(resp, id)
		if err != nil {
			return fetcher.UnknownResult
		}
		ended, ok := reply.(Resolved)
		if !ok {
			return fetcher.Final
		}
		// The status 503 means that this instance can't serve the request
		// at present. Other refusals would be the same at every instance, or
		// report an overload, which further attempts would make worse.
		if _, notRun := ended.Outcome.(dispatcher.NotRun); notRun && resp.StatusCode == http.StatusServiceUnavailable {
			return fetcher.NotProcessed
		}
		return fetcher.Final
	}
}

// submitReply converts the last response or error of a submission into the
// results of Submit.
func submitReply(resp fetcher.Response, err error, id string) (Reply, error) {
	var unreachable *fetcher.UnreachableError
	if errors.As(err, &unreachable) && unreachable.MaybeDelivered() {
		return noAnswer(unreachable.Error()), nil
	}
	if err != nil {
		return nil, err
	}
	reply, err := parseAnswer(resp, id)
	if err != nil {
		return noAnswer(err.Error()), nil
	}
	// A refusal applies to its own attempt only. An earlier attempt whose
	// answer was lost may still have been accepted and run.
	if ended, ok := reply.(Resolved); ok && resp.OtherMaybeDelivered {
		if notRun, ok := ended.Outcome.(dispatcher.NotRun); ok {
			return noAnswer("the answer to one attempt was lost, and another one was refused: " + notRun.Detail), nil
		}
	}
	return reply, nil
}

// noAnswer returns the outcome of a request that an instance may have accepted.
func noAnswer(detail string) Resolved {
	return Resolved{dispatcher.Unknown{Refusal: dispatcher.Refusal{
		Reason:     ReasonNoAnswer,
		Detail:     detail,
		Remedy:     "ask for the result of this id, or resend with the same id",
		RetryAfter: retryAfter,
	}}}
}

// classifyState returns a function that classifies the response to a query. The
// query goes to the next instance if this one can't determine the request's state,
// or if its response can't be decoded.
func classifyState(id string) func(fetcher.Response) fetcher.ResponseClass {
	return func(resp fetcher.Response) fetcher.ResponseClass {
		if _, err := parseAnswer(resp, id); err != nil {
			return fetcher.UnknownResult
		}
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusBadGateway {
			return fetcher.NotProcessed
		}
		return fetcher.Final
	}
}

// stateReply converts the last response or error of a query into the results of
// Result and Cancel.
func stateReply(resp fetcher.Response, err error, id string) (Reply, error) {
	if err != nil {
		return nil, err
	}
	reply, err := parseAnswer(resp, id)
	if err != nil {
		return nil, err
	}
	ended, ok := reply.(Resolved)
	if !ok {
		return reply, nil
	}
	if notRun, ok := ended.Outcome.(dispatcher.NotRun); ok && isQueryRefusal(notRun.Reason) {
		return nil, &QueryError{Refusal: notRun.Refusal}
	}
	return reply, nil
}

// isQueryRefusal reports whether a refusal with this reason concerns the query
// and not the request. A submission refused for one of these reasons was never
// accepted, so no request has such an outcome as its state.
func isQueryRefusal(r dispatcher.Reason) bool {
	switch r {
	case dispatcher.ReasonBadRequest, dispatcher.ReasonKeyMissing, dispatcher.ReasonKeyRefused, dispatcher.ReasonNoSuchRequest:
		return true
	}
	return false
}
