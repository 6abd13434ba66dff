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

func TestPageShowsValues(t *testing.T) {
	is := is.New(t)
	scope, page, closer := meter.New()
	scope.Counter("starts").Inc(3)
	scope.SubScope("mesh").Gauge("peers").Update(8)
	// Closing copies the last values to the page.
	is.NoErr(closer.Close())
	w := httptest.NewRecorder()
	page.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	is.True(strings.Contains(w.Body.String(), "chervilvane_starts 3"))
	is.True(strings.Contains(w.Body.String(), "chervilvane_mesh_peers 8"))
}
