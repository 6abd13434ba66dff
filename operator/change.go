package operator

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/listener"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

func (s *Server) putConfig(w http.ResponseWriter, r *http.Request, operator string) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, badRequest("the parameter base must be the version that the text replaces"))
		return
	}
	text, err := listener.ReadAll(r.Body, r.ContentLength, MaxConfigBytes)
	if err == nil {
		err = listener.ChargeAtMost(r.Context(), admitter.DecodedBytes(text))
	}
	if errors.Is(err, listener.ErrOverloaded) {
		listener.RefuseHeader(w)
		writeProblem(w, http.StatusServiceUnavailable, memoryExhausted())
		return
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, badRequest("the text can't be read: "+err.Error()))
		return
	}
	if _, findings := parser.Parse("text", text); len(findings) > 0 {
		writeJSON(w, http.StatusUnprocessableEntity, struct{ Findings []decoder.Finding }{findings})
		return
	}
	s.propose(w, r, registrar.PutConfig{
		ID: r.URL.Query().Get("id"), Base: unit.Version(base), Text: text, Operator: operator, At: s.config.Clock.Now(),
	})
}

// memoryExhausted is the refusal of a change for which the instance has no memory left.
func memoryExhausted() dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonNoMemory, Detail: listener.ErrOverloaded.Error(),
		Remedy: "send again, also to another instance", RetryAfter: listener.RetryAfter,
	}
}

// grantBody is the JSON body of a request to grant a key. It holds only the hash
// of the key's secret, so that the secret never leaves the client.
type grantBody struct {
	Key     authenticator.KeyID
	Hash    string
	Account unit.ClientAccount
	Team    unit.Team
}

// maxGrantBodyBytes is the maximum length of an encoded grantBody.
const maxGrantBodyBytes = 4096

func (s *Server) grantKey(w http.ResponseWriter, r *http.Request, operator string) {
	var body grantBody
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGrantBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		writeProblem(w, http.StatusBadRequest, badRequest("the body is not a key: "+err.Error()))
		return
	}
	hash, err := hex.DecodeString(body.Hash)
	if err != nil || len(hash) != 32 || !authenticator.ValidID(body.Key) || body.Account == "" {
		writeProblem(w, http.StatusBadRequest, badRequest("Key must be 16 hexadecimal digits, Hash a SHA-256 in hexadecimal, Account a name"))
		return
	}
	config, _ := s.config.State.Config()
	if !hasTeam(config, body.Team) {
		writeProblem(w, http.StatusBadRequest, badRequest("Team must name a team of the configuration in force"))
		return
	}
	s.propose(w, r, registrar.GrantKey{
		Key: body.Key, Hash: hash, Account: body.Account, Team: body.Team, Operator: operator, At: s.config.Clock.Now(),
	})
}

func hasTeam(config parser.Config, name unit.Team) bool {
	for _, t := range config.Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}

func (s *Server) withdrawKey(w http.ResponseWriter, r *http.Request, operator string) {
	id := authenticator.KeyID(mux.Vars(r)["id"])
	if !authenticator.ValidID(id) {
		writeProblem(w, http.StatusBadRequest, badRequest("a key id is 16 hexadecimal digits"))
		return
	}
	if s.config.Withdrawer.Withdraw(r.Context(), id, operator) {
		writeJSON(w, http.StatusOK, struct{ State string }{"Withdrawn"})
		return
	}
	writeJSON(w, http.StatusAccepted, struct{ State string }{"Pending"})
}

// propose proposes a change to the log and writes the result as the response.
func (s *Server) propose(w http.ResponseWriter, r *http.Request, c registrar.Command) {
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout.Duration())
	defer cancel()
	result, err := s.config.Propose(ctx, c)
	if err != nil {
		s.config.Logger.WithError(err).Warn("the log did not confirm an operator's change")
		writeProblem(w, http.StatusServiceUnavailable, notCommitted(err))
		return
	}
	writeResult(w, result)
}

func writeResult(w http.ResponseWriter, result registrar.Result) {
	switch result := result.(type) {
	case registrar.ConfigAccepted:
		writeJSON(w, http.StatusOK, struct{ Version unit.Version }{result.Version})
	case registrar.ConfigConflict:
		writeJSON(w, http.StatusConflict, result)
	case registrar.KeyGranted:
		writeJSON(w, http.StatusOK, struct{ State string }{"Granted"})
	case registrar.Rejected:
		writeProblem(w, http.StatusConflict, dispatcher.Refusal{
			Reason: result.Reason, Detail: result.Detail, Remedy: "change the request; a resend gets the same answer",
		})
	default:
		panic("operator: unknown type of result")
	}
}

// writeJSON writes a response with a JSON body. It ignores a failed write: the
// client has closed the connection and can't receive an error.
func writeJSON(w http.ResponseWriter, status int, body any) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(body); err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes())
}

func writeProblem(w http.ResponseWriter, status int, r dispatcher.Refusal) {
	writeJSON(w, status, struct {
		Reason           dispatcher.Reason
		Detail           string
		Remedy           string
		RetryAfterMillis clock.Millis
	}{r.Reason, r.Detail, r.Remedy, r.RetryAfter})
}

func badRequest(detail string) dispatcher.Refusal {
	return dispatcher.Refusal{Reason: dispatcher.ReasonBadRequest, Detail: detail, Remedy: "correct the request"}
}

func notAnOperator() dispatcher.Refusal {
	return dispatcher.Refusal{
		Reason: dispatcher.ReasonKeyRefused,
		Detail: "only an operator named in the settings may do this",
		Remedy: "send an operator's key once, as Authorization: Bearer KEY",
	}
}

// notCommitted returns the refusal for a change that the log didn't confirm. Its
// detail states whether the change may have been accepted nevertheless.
func notCommitted(err error) dispatcher.Refusal {
	r := dispatcher.Refusal{
		Reason: dispatcher.ReasonLogUnreachable, Detail: "the change was not accepted: " + err.Error(),
		Remedy: "resend with the same id", RetryAfter: clock.Second,
	}
	var unknown *replicator.UnknownResultError
	if errors.As(err, &unknown) {
		r.Detail = "the change may or may not be accepted: " + err.Error()
	}
	return r
}
