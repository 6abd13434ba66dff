package upstream

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/listener"
	"github.com/chervilvane/chervilvane/tracer"
	"github.com/chervilvane/chervilvane/unit"
)

// ReportFunc delivers a report to the scheduler of the upstream's availability
// zone and returns the scheduler's reply.
type ReportFunc func(ctx context.Context, r dispatcher.Report) (dispatcher.ReportReply, error)

// NewReportHandler returns an HTTP handler that passes the reports of upstreams
// to a ReportFunc. It answers a malformed report with 400, one longer than
// MaxReportBytes with 413, and one for which the ReportFunc returned an error
// with 503; the upstream then tries another entry instance.
func NewReportHandler(report ReportFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			refuse(w, http.StatusMethodNotAllowed, errors.New("reports are sent with POST"))
			return
		}
		data, err := listener.ReadAll(r.Body, r.ContentLength, MaxReportBytes)
		if err == nil {
			err = listener.Charge(r.Context(), admitter.DecodedBytes(data))
		}
		switch {
		case errors.Is(err, listener.ErrOverloaded):
			listener.RefuseHeader(w)
			refuse(w, http.StatusServiceUnavailable, err)
			return
		case errors.Is(err, listener.ErrTooLong):
			w.Header().Set("Connection", "close")
			refuse(w, http.StatusRequestEntityTooLarge, err)
			return
		case err != nil:
			refuse(w, http.StatusBadRequest, errors.Wrap(err, "reading a body"))
			return
		}
		rep, err := DecodeReport(data)
		if err != nil {
			refuse(w, http.StatusBadRequest, err)
			return
		}
		reply, err := report(tracer.ExtractHTTP(r.Context(), r.Header), rep)
		if err != nil {
			refuse(w, http.StatusServiceUnavailable, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	})
}

// DecodeReport decodes a report from JSON and validates it.
func DecodeReport(data []byte) (dispatcher.Report, error) {
	var r dispatcher.Report
	if err := decodeStrictly(data, &r); err != nil {
		return dispatcher.Report{}, err
	}
	return r, validateReport(r)
}

// validateReport returns an error if the scheduler can't use the report: if a
// required field is missing or an amount is negative.
func validateReport(r dispatcher.Report) error {
	switch {
	case r.Upstream == "":
		return errors.New("Upstream is missing")
	case r.Incarnation == "":
		return errors.New("Incarnation is missing")
	case r.AvailabilityZone == "":
		return errors.New("AvailabilityZone is missing")
	case r.Address == "":
		return errors.New("Address is missing")
	case anyNegative(r.Holds.Vector()):
		return errors.New("Holds has a negative amount")
	}
	for i, t := range r.Running {
		if t.Task == "" {
			return errors.Newf("Running[%d].Task is missing", i)
		}
		if anyNegative(t.Need.Vector()) || anyNegative(t.Usage.Vector()) {
			return errors.Newf("Running[%d] has a negative amount", i)
		}
	}
	for i, t := range r.Ended {
		if t.Task == "" {
			return errors.Newf("Ended[%d].Task is missing", i)
		}
	}
	return nil
}

func anyNegative(v [unit.Dimensions]int64) bool {
	for _, n := range v {
		if n < 0 {
			return true
		}
	}
	return false
}

func refuse(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, struct{ Reason, Detail string }{http.StatusText(status), err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
