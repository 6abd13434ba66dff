package meter_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/chervilvane/chervilvane/meter"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestHandlerServesReportedValues(t *testing.T) {
	is := is.New(t)
	scope, handler, closer := meter.New()
	scope.Counter("starts").Inc(3)
	scope.SubScope("mesh").Gauge("peers").Update(8)
	// Close reports the last values to the handler.
	is.NoErr(closer.Close())
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(w.Body.String(), "chervilvane_starts 3"))
	is.True(strings.Contains(w.Body.String(), "chervilvane_mesh_peers 8"))
}
