package runner

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/chervilvane/chervilvane/caller"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/operator"
	"github.com/chervilvane/chervilvane/platform"
	"github.com/chervilvane/chervilvane/router"
	"github.com/chervilvane/chervilvane/upstream"
)

// Limits of the HTTP interface. They keep slow or huge requests from tying up
// connections and memory.
const (
	readHeaderTimeout = 5 * clock.Second
	readTimeout       = 30 * clock.Second
	idleTimeout       = 2 * clock.Minute
	maxHeaderBytes    = 16 << 10
)

// httpServer serves callers, operators, upstreams and the balancer.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func newHTTPServer(s loader.Settings, c *caller.Server, o *operator.Server, r *router.Router, h *platform.Health, m meterPage) *httpServer {
	routes := mux.NewRouter()
	c.Register(routes)
	o.Register(routes)
	h.Register(routes, m.handler)
	routes.Handle("/v1/upstreams/report", upstream.NewReportHandler(r.Report)).Methods(http.MethodPost)
	return &httpServer{server: &http.Server{
		Addr:              s.Listen.API,
		Handler:           routes,
		ReadHeaderTimeout: readHeaderTimeout.Duration(),
		ReadTimeout:       readTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
	}}
}

func (h *httpServer) listen() error {
	l, err := net.Listen("tcp", h.server.Addr)
	h.listener = l
	return errors.Wrap(err, "listening for HTTP")
}

func (h *httpServer) serve() error {
	err := h.server.Serve(h.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving HTTP")
}

func (h *httpServer) shutdown(ctx context.Context) error {
	return errors.Wrap(h.server.Shutdown(ctx), "ending HTTP requests in progress")
}
