// Package meter sets up metrics: a tally scope whose values are served over HTTP in
// the Prometheus text format.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// prefix is the first part of every metric's name.
const prefix = "chervilvane"

// reportInterval is the time between two updates of the served values from the scope.
const reportInterval = time.Second

// New returns the root scope, the handler that serves the metrics, and a closer that
// reports the last values and stops reporting.
func New() (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
