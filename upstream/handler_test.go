package upstream_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/upstream"
)

const validReport = `{"Upstream":"u1","Incarnation":"i1","AvailabilityZone":"z1","Address":"127.0.0.1:9","Holds":{"CPU":1000}`

func TestHandler(t *testing.T) {
	tests := map[string]struct {
		method string
		body   string
		status int
	}{
		"valid report":         {body: validReport + `}`, status: http.StatusOK},
		"no scheduler":         {body: validReport + `,"Departing":true}`, status: http.StatusServiceUnavailable},
		"wrong method":         {method: http.MethodGet, body: validReport + `}`, status: http.StatusMethodNotAllowed},
		"empty body":           {status: http.StatusBadRequest},
		"truncated":            {body: validReport, status: http.StatusBadRequest},
		"two values":           {body: validReport + `}{}`, status: http.StatusBadRequest},
		"unknown field":        {body: validReport + `,"Colour":1}`, status: http.StatusBadRequest},
		"no upstream id":       {body: strings.Replace(validReport, "u1", "", 1) + `}`, status: http.StatusBadRequest},
		"negative capacity":    {body: strings.Replace(validReport, "1000", "-1", 1) + `}`, status: http.StatusBadRequest},
		"running without task": {body: validReport + `,"Running":[{}]}`, status: http.StatusBadRequest},
		"ended without task":   {body: validReport + `,"Ended":[{}]}`, status: http.StatusBadRequest},
		"too long":             {body: validReport + strings.Repeat(" ", upstream.MaxReportBytes), status: http.StatusRequestEntityTooLarge},
	}
	h := upstream.NewReportHandler(func(_ context.Context, r dispatcher.Report) (dispatcher.ReportReply, error) {
		if r.Departing {
			return dispatcher.ReportReply{}, errors.New("no scheduler")
		}
		return dispatcher.ReportReply{Epoch: 7}, nil
	})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			method := test.method
			if method == "" {
				method = http.MethodPost
			}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(method, upstream.ReportPath, strings.NewReader(test.body)))
			is.Equal(w.Code, test.status)
			var body struct {
				Epoch  int
				Reason string
				Detail string
			}
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &body))
			is.Equal(body.Epoch == 7, test.status == http.StatusOK)
			is.Equal(body.Detail != "", test.status != http.StatusOK)
		})
	}
}

func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(validReport + `}`))
	f.Add([]byte(validReport + `,"Running":[{"Task":"t","Need":{"Slots":1}}],"Ended":[{"Task":"e","Done":{"Answer":"aGk="}}]}`))
	f.Add([]byte(`{"Holds":{"CPU":1e99}}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := upstream.DecodeReport(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := upstream.DecodeReport(encoded)
		if err != nil {
			t.Fatalf("a decoded report doesn't decode again after encoding: %v", err)
		}
		if reencoded, err := json.Marshal(decoded); err != nil || !bytes.Equal(encoded, reencoded) {
			t.Fatalf("the report changed from %s to %s (%v)", encoded, reencoded, err)
		}
	})
}
