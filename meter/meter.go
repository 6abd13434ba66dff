// Package meter sets up metrics: a tally scope whose values are shown on a
// page in the Prometheus text format.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// prefix starts the name of every metric.
const prefix = "chervilvane"

// interval is the time between two copies of the values to the page.
const interval = time.Second

// New returns the root scope, the page and what stops the copying.
func New() (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, interval)
	return scope, reporter.HTTPHandler(), closer
}
