package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/listener"
	"github.com/chervilvane/chervilvane/unit"
)

// singleHeaders lists the headers that a request must not repeat: with two
// values it would be ambiguous which one applies.
var singleHeaders = []string{"Authorization", "Content-Length", "Content-Type"}

// readBody decodes a JSON body of at most MaxBodyBytes into a value. It rejects
// unknown fields and data after the first JSON value; the result is then a
// refusal and true.
func readBody(w http.ResponseWriter, r *http.Request, into any) (dispatcher.Refusal, bool) {
	for _, h := range singleHeaders {
		if len(r.Header.Values(h)) > 1 {
			return badRequest("the header " + h + " came more than once"), true
		}
	}
	data, err := listener.ReadAll(r.Body, r.ContentLength, MaxBodyBytes)
	if err == nil {
		err = listener.Charge(r.Context(), admitter.DecodedBytes(data))
	}
	switch {
	case errors.Is(err, listener.ErrOverloaded):
		listener.RefuseHeader(w)
		return memoryExhausted(), true
	case errors.Is(err, listener.ErrTooLong):
		w.Header().Set("Connection", "close")
		return badRequest(fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes)), true
	case err != nil:
		return badRequest("the body was cut off: " + err.Error()), true
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return badRequest("the body is not the JSON object of a submission: " + err.Error()), true
	}
	if d.More() {
		return badRequest("the body holds more than one JSON value"), true
	}
	return dispatcher.Refusal{}, false
}

// memoryExhausted is the refusal of a request for which the instance has no memory left. In
// contrast to ReasonOverloaded, another instance may take it.
func memoryExhausted() dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonNoMemory, Detail: listener.ErrOverloaded.Error(),
		Remedy: "send again, also to another instance", RetryAfter: listener.RetryAfter,
	}
}

// RefuseOverload answers a request that was refused before it was read.
func RefuseOverload(w http.ResponseWriter) { writeNotRun(w, "", memoryExhausted()) }

// Identify returns the client account of the key in a request, also if the copy of the keys is
// stale. It returns false for a request without a valid key.
func (s *Server) Identify(r *http.Request) (unit.ClientAccount, bool) {
	if r.Header.Get("Authorization") == "" {
		return "", false
	}
	token, _, ok := bearerToken(r)
	if !ok {
		return "", false
	}
	key, ok := s.config.Authenticator.CheckAllowStale(token)
	return key.Account, ok
}

func checkSubmission(body submission) (dispatcher.Refusal, bool) {
	switch {
	case !validID.MatchString(body.ID):
		return badRequest("ID must match " + validID.String()), true
	case body.Queue == "":
		return badRequest("Queue is missing"), true
	case body.TimeoutMillis < 0 || body.TimeoutMillis > MaxTimeout:
		return badRequest(fmt.Sprintf("TimeoutMillis must be from 0 to %d", int64(MaxTimeout))), true
	}
	return dispatcher.Refusal{}, false
}

// bearerToken returns the key token of a request's Authorization header. If it
// returns false, the refusal holds the reason.
func bearerToken(r *http.Request) (authenticator.Token, dispatcher.Refusal, bool) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return authenticator.Token{}, keyMissing(), false
	}
	text, isBearer := strings.CutPrefix(values[0], "Bearer ")
	if !isBearer || len(values) > 1 {
		return authenticator.Token{}, keyMissing(), false
	}
	token, err := authenticator.ParseToken(text)
	if err != nil {
		return authenticator.Token{}, keyRefused(err.Error()), false
	}
	return token, dispatcher.Refusal{}, true
}

// retryAfter is the delay before a retry that a refusal recommends if its
// cause is temporary.
const retryAfter = 1 * clock.Second

func badRequest(detail string) dispatcher.Refusal {
	return dispatcher.Refusal{Reason: dispatcher.ReasonBadRequest, Detail: detail, Remedy: "correct the request"}
}

func keyMissing() dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonKeyMissing,
		Detail: "the queue takes work only with one key of its team",
		Remedy: "send the header Authorization: Bearer KEY once",
	}
}

func keyRefused(detail string) dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonKeyRefused, Detail: detail,
		Remedy: "ask an operator for a key of the queue's team",
	}
}

func keysStale() dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason:     dispatcher.ReasonKeysStale,
		Detail:     "this instance can't tell whether the key was withdrawn, since it is cut off from the log",
		Remedy:     "resend to an instance of another availability zone, or when the cut has healed",
		RetryAfter: retryAfter,
	}
}

func noConfiguration() dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason:     dispatcher.ReasonNoConfiguration,
		Detail:     "no configuration was accepted yet, or this instance hasn't received it",
		Remedy:     "an operator must apply a configuration",
		RetryAfter: retryAfter,
	}
}

func noSuchQueue(q unit.Queue) dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonNoSuchQueue,
		Detail: fmt.Sprintf("the configuration has no queue %q", string(q)),
		Remedy: "name a queue of the configuration in force",
	}
}

func noSuchRequest() dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonNoSuchRequest,
		Detail: "the scheduler of the id's home holds no such request of this client account",
		Remedy: "check the id and the key; outcomes are kept for an hour",
	}
}

func schedulerUnreachable(err error) dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonNoScheduler, Detail: err.Error(),
		Remedy: "ask again, also at another instance", RetryAfter: retryAfter,
	}
}
