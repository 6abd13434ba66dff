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

const goodReport = `{"Upstream":"u1","Incarnation":"i1","AvailabilityZone":"z1","Address":"127.0.0.1:9","Holds":{"CPU":1000}`

func TestHandler(t *testing.T) {
	tests := map[string]struct {
		method string
		body   string
		status int
	}{
		"a report":              {body: goodReport + `}`, status: http.StatusOK},
		"no scheduler":          {body: goodReport + `,"Departing":true}`, status: http.StatusServiceUnavailable},
		"another method":        {method: http.MethodGet, body: goodReport + `}`, status: http.StatusMethodNotAllowed},
		"nothing":               {status: http.StatusBadRequest},
		"cut off":               {body: goodReport, status: http.StatusBadRequest},
		"two values":            {body: goodReport + `}{}`, status: http.StatusBadRequest},
		"an unknown field":      {body: goodReport + `,"Colour":1}`, status: http.StatusBadRequest},
		"no name":               {body: strings.Replace(goodReport, "u1", "", 1) + `}`, status: http.StatusBadRequest},
		"holds less than zero":  {body: strings.Replace(goodReport, "1000", "-1", 1) + `}`, status: http.StatusBadRequest},
		"a task without an id":  {body: goodReport + `,"Running":[{}]}`, status: http.StatusBadRequest},
		"an end without a task": {body: goodReport + `,"Ended":[{}]}`, status: http.StatusBadRequest},
		"too long":              {body: goodReport + strings.Repeat(" ", upstream.MaxReport), status: http.StatusRequestEntityTooLarge},
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
	f.Add([]byte(goodReport + `}`))
	f.Add([]byte(goodReport + `,"Running":[{"Task":"t","Need":{"Slots":1}}],"Ended":[{"Task":"e","Done":{"Answer":"aGk="}}]}`))
	f.Add([]byte(`{"Holds":{"CPU":1e99}}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := upstream.DecodeReport(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		twice, err := upstream.DecodeReport(again)
		if err != nil {
			t.Fatalf("a report that was accepted isn't any more: %v", err)
		}
		if second, err := json.Marshal(twice); err != nil || !bytes.Equal(again, second) {
			t.Fatalf("the report changed: %s, then %s (%v)", again, second, err)
		}
	})
}
