package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/scheduler"
)

// WriteJSON writes a response with a JSON body. It ignores a failed write: the
// caller has closed the connection and can't receive an error.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeNotRun(w http.ResponseWriter, id string, refusal dispatcher.Refusal) {
	writeOutcome(w, id, dispatcher.NotRun{Refusal: refusal})
}

func writeOutcome(w http.ResponseWriter, id string, o dispatcher.Outcome) {
	switch o := o.(type) {
	case dispatcher.Done:
		WriteJSON(w, http.StatusOK, struct {
			ID      string
			Outcome string
			Answer  []byte
			Failed  bool
		}{id, "Done", o.Answer, o.Failed})
	case dispatcher.NotRun:
		writeRefusal(w, id, "NotRun", o.Refusal)
	case dispatcher.Unknown:
		writeRefusal(w, id, "Unknown", o.Refusal)
	default:
		panic("caller: unknown type of outcome")
	}
}

func writeRefusal(w http.ResponseWriter, id, outcome string, r dispatcher.Refusal) {
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + clock.Second - 1) / clock.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	WriteJSON(w, httpStatus(outcome, r.Reason), struct {
		ID               string
		Outcome          string
		Reason           dispatcher.Reason
		Detail           string
		Remedy           string
		RetryAfterMillis clock.Millis
	}{id, outcome, r.Reason, r.Detail, r.Remedy, r.RetryAfter})
}

func writeState(w http.ResponseWriter, id string, s scheduler.RequestState) {
	switch s := s.(type) {
	case scheduler.Ended:
		writeOutcome(w, id, s.Outcome)
	case scheduler.Pending:
		WriteJSON(w, http.StatusOK, struct {
			ID      string
			Outcome string
			Reason  dispatcher.Reason
			Detail  string
			Remedy  string
		}{id, "Pending", s.Refusal.Reason, s.Refusal.Detail, s.Refusal.Remedy})
	case scheduler.NotFound:
		writeRefusal(w, id, "Unknown", noSuchRequest())
	default:
		panic("caller: unknown type of request state")
	}
}

// httpStatus maps a refusal to an HTTP status, for the HTTP libraries of callers
// that act on the status alone.
func httpStatus(outcome string, reason dispatcher.Reason) int {
	switch reason {
	case dispatcher.ReasonBadRequest, dispatcher.ReasonNeverFits:
		return http.StatusBadRequest
	case dispatcher.ReasonKeyMissing:
		return http.StatusUnauthorized
	case dispatcher.ReasonKeyRefused:
		return http.StatusForbidden
	case dispatcher.ReasonNoSuchQueue, dispatcher.ReasonNoSuchRequest:
		return http.StatusNotFound
	case dispatcher.ReasonOverloaded, dispatcher.ReasonTeamLimit:
		return http.StatusTooManyRequests
	case dispatcher.ReasonDeadline:
		return http.StatusGatewayTimeout
	case dispatcher.ReasonCancelled:
		return http.StatusConflict
	case dispatcher.ReasonInternal:
		return http.StatusInternalServerError
	}
	if outcome == "Unknown" {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
