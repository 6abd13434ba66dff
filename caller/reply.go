package caller

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/fetcher"
)

// answerBody is any of the server's answers.
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

// ReasonNoAnswer says that the answer of an instance was lost.
const ReasonNoAnswer dispatcher.Reason = "NoAnswer"

// QuestionError says that an instance refused the question after a request. It
// says nothing about the request itself.
type QuestionError struct{ Refusal dispatcher.Refusal }

// Error implements error.
func (e *QuestionError) Error() string {
	return string(e.Refusal.Reason) + ": " + e.Refusal.Detail
}

// parseAnswer reads an answer to the request of an id. An answer of another
// request is no answer.
func parseAnswer(a fetcher.Response, id string) (Reply, error) {
	var b answerBody
	if err := json.Unmarshal(a.Body, &b); err != nil {
		return nil, errors.Wrapf(err, "the answer of %s (status %d) isn't an outcome", a.Address, a.StatusCode)
	}
	// An instance that couldn't read the body refuses it without its id.
	unread := b.ID == "" && b.Outcome == "NotRun"
	if b.ID != id && !unread {
		return nil, errors.Newf("%s answered with the id %q, not %q", a.Address, b.ID, id)
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
	return nil, errors.Newf("%s answered with the outcome %q", a.Address, b.Outcome)
}

// judgeSubmit lets a request go on to the next instance only after one that
// surely took nothing, or whose answer can't be read.
func judgeSubmit(id string) func(fetcher.Response) fetcher.ResponseClass {
	return func(a fetcher.Response) fetcher.ResponseClass {
		reply, err := parseAnswer(a, id)
		if err != nil {
			return fetcher.UnknownResult
		}
		ended, ok := reply.(Resolved)
		if !ok {
			return fetcher.Final
		}
		// With the status 503 an instance says that it can't serve now.
		// Other refusals would be the same elsewhere, or mean overload that
		// further attempts would feed.
		if _, notRun := ended.Outcome.(dispatcher.NotRun); notRun && a.StatusCode == http.StatusServiceUnavailable {
			return fetcher.NotProcessed
		}
		return fetcher.Final
	}
}

// submitReply turns the end of a submission into what the caller may be told.
func submitReply(a fetcher.Response, err error, id string) (Reply, error) {
	var unreachable *fetcher.UnreachableError
	if errors.As(err, &unreachable) && unreachable.MaybeDelivered() {
		return noAnswer(unreachable.Error()), nil
	}
	if err != nil {
		return nil, err
	}
	reply, err := parseAnswer(a, id)
	if err != nil {
		return noAnswer(err.Error()), nil
	}
	// A refusal speaks for its own attempt only. An earlier attempt whose
	// answer was lost may run.
	if ended, ok := reply.(Resolved); ok && a.PriorMaybeDelivered {
		if notRun, ok := ended.Outcome.(dispatcher.NotRun); ok {
			return noAnswer("the answer to one attempt was lost, and another one was refused: " + notRun.Detail), nil
		}
	}
	return reply, nil
}

// noAnswer is the outcome of a request that an instance may have taken.
func noAnswer(detail string) Resolved {
	return Resolved{dispatcher.Unknown{Refusal: dispatcher.Refusal{
		Reason:     ReasonNoAnswer,
		Detail:     detail,
		Remedy:     "ask for the result of this id, or resend with the same id",
		RetryAfter: retryAfter,
	}}}
}

// judgeState goes on to the next instance when one can't tell.
func judgeState(id string) func(fetcher.Response) fetcher.ResponseClass {
	return func(a fetcher.Response) fetcher.ResponseClass {
		if _, err := parseAnswer(a, id); err != nil {
			return fetcher.UnknownResult
		}
		if a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusBadGateway {
			return fetcher.NotProcessed
		}
		return fetcher.Final
	}
}

// stateReply turns the end of a question into what the caller may be told.
func stateReply(a fetcher.Response, err error, id string) (Reply, error) {
	if err != nil {
		return nil, err
	}
	reply, err := parseAnswer(a, id)
	if err != nil {
		return nil, err
	}
	ended, ok := reply.(Resolved)
	if !ok {
		return reply, nil
	}
	if notRun, ok := ended.Outcome.(dispatcher.NotRun); ok && refusesQuestion(notRun.Reason) {
		return nil, &QuestionError{Refusal: notRun.Refusal}
	}
	return reply, nil
}

// refusesQuestion tells the reasons that concern the one who asks. A request
// that met them when it was submitted was never taken, so it has no state.
func refusesQuestion(r dispatcher.Reason) bool {
	switch r {
	case dispatcher.ReasonBadRequest, dispatcher.ReasonKeyMissing, dispatcher.ReasonKeyRefused, dispatcher.ReasonNoSuchRequest:
		return true
	}
	return false
}
