package operator

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/fetcher"
	"github.com/chervilvane/chervilvane/unit"
)

// RefusedError is returned if an instance refused a request.
type RefusedError struct {
	Status  int
	Refusal dispatcher.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Refusal.Reason, e.Refusal.Detail, e.Refusal.Remedy)
}

// ConflictError is returned if the base version of a change is no longer the
// current one. Version and Operator describe the current configuration.
type ConflictError struct {
	Version  unit.Version
	Operator string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d of operator %s is in force; nothing was applied", e.Version, e.Operator)
}

// InvalidConfigError is returned if the text of a configuration is invalid.
type InvalidConfigError struct{ Findings []decoder.Finding }

// Error implements error.
func (e *InvalidConfigError) Error() string {
	return fmt.Sprintf("the text has %d findings; nothing was applied", len(e.Findings))
}

// UnknownResultError is returned if a change may or may not have been accepted. A
// resend with the same id returns the result.
type UnknownResultError struct{ Detail string }

// Error implements error.
func (e *UnknownResultError) Error() string {
	return "the change may or may not be accepted: " + e.Detail
}

// problem has the fields of all JSON bodies that refuse a request.
type problem struct {
	Reason           string
	Detail           string
	Remedy           string
	RetryAfterMillis clock.Millis
	Version          unit.Version
	Operator         string
	Findings         []decoder.Finding
}

// toError converts a refusal into an error. If an earlier answer was lost, or if
// the instance had no result from the log, a change may have been accepted and
// the error is an *UnknownResultError.
func toError(resp fetcher.Response, isChange bool) error {
	var p problem
	if err := json.Unmarshal(resp.Body, &p); err != nil {
		p.Detail = fmt.Sprintf("%s answered with status %d", resp.Address, resp.StatusCode)
	}
	switch {
	case resp.StatusCode == http.StatusUnprocessableEntity && len(p.Findings) > 0:
		return &InvalidConfigError{Findings: p.Findings}
	case resp.StatusCode == http.StatusConflict && p.Reason == "":
		return &ConflictError{Version: p.Version, Operator: p.Operator}
	case isChange && (resp.OtherMaybeDelivered || resp.StatusCode >= http.StatusInternalServerError):
		return &UnknownResultError{Detail: p.Detail}
	}
	return &RefusedError{Status: resp.StatusCode, Refusal: dispatcher.Refusal{
		Reason: dispatcher.Reason(p.Reason), Detail: p.Detail, Remedy: p.Remedy, RetryAfter: p.RetryAfterMillis,
	}}
}
