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

// RefusedError is a request that an instance refused.
type RefusedError struct {
	Status  int
	Refusal dispatcher.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Refusal.Reason, e.Refusal.Detail, e.Refusal.Remedy)
}

// ConflictError says that another configuration took the place of the base
// version.
type ConflictError struct {
	Version  unit.Version
	Operator string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d of operator %s is in force; nothing was applied", e.Version, e.Operator)
}

// InvalidConfigError says that a text was refused.
type InvalidConfigError struct{ Findings []decoder.Finding }

// Error implements error.
func (e *InvalidConfigError) Error() string {
	return fmt.Sprintf("the text has %d findings; nothing was applied", len(e.Findings))
}

// UnknownResultError says that a change may or may not have been accepted. A resend
// with the same id settles it.
type UnknownResultError struct{ Detail string }

// Error implements error.
func (e *UnknownResultError) Error() string {
	return "the change may or may not be accepted: " + e.Detail
}

// problem is the body of any refusal.
type problem struct {
	Reason           string
	Detail           string
	Remedy           string
	RetryAfterMillis clock.Millis
	Version          unit.Version
	Operator         string
	Findings         []decoder.Finding
}

// toError turns a refusal into its error. After a lost answer, or one that
// says that the log didn't answer, a change may have been accepted.
func toError(a fetcher.Response, changes bool) error {
	var p problem
	if err := json.Unmarshal(a.Body, &p); err != nil {
		p.Detail = fmt.Sprintf("%s answered with status %d", a.Address, a.StatusCode)
	}
	switch {
	case a.StatusCode == http.StatusUnprocessableEntity && len(p.Findings) > 0:
		return &InvalidConfigError{Findings: p.Findings}
	case a.StatusCode == http.StatusConflict && p.Reason == "":
		return &ConflictError{Version: p.Version, Operator: p.Operator}
	case changes && (a.PriorMaybeDelivered || a.StatusCode >= http.StatusInternalServerError):
		return &UnknownResultError{Detail: p.Detail}
	}
	return &RefusedError{Status: a.StatusCode, Refusal: dispatcher.Refusal{
		Reason: dispatcher.Reason(p.Reason), Detail: p.Detail, Remedy: p.Remedy, RetryAfter: p.RetryAfterMillis,
	}}
}
