package runner

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/caller"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/listener"
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
	// readTimeout is how long an operator's call may wait; a body may take twice that.
	readTimeout = 30 * clock.Second
	// callerTimeout is the same for callers and upstreams. A request of 1 MB takes 6 s on a link
	// of 1.5 Mbit/s.
	callerTimeout  = 15 * clock.Second
	idleTimeout    = 2 * clock.Minute
	maxHeaderBytes = 16 << 10
)

// httpServer serves callers, operators, upstreams and the balancer.
type httpServer struct {
	server    *http.Server
	listener  net.Listener
	admission *listener.Admission
	// apart is the number of connections of a server that has a bound of its own; 0 for one that
	// shares the bound of all.
	apart int
}

func newHTTPServer(s loader.Settings, c *caller.Server, o *operator.Server, r *router.Router, h *platform.Health, m meterPage, a *listener.Admission) *httpServer {
	routes := mux.NewRouter()
	c.Register(routes)
	o.Register(routes)
	h.Register(routes, m.handler)
	routes.Handle("/v1/upstreams/report", upstream.NewReportHandler(r.Report)).Methods(http.MethodPost)
	server := &http.Server{
		Addr:              s.Listen.API,
		Handler:           routes,
		ReadHeaderTimeout: readHeaderTimeout.Duration(),
		IdleTimeout:       idleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	a.Apply(server, listener.Policy{Refuse: caller.RefuseOverload, Holder: func(r *http.Request) (admitter.Holder, clock.Millis) {
		if name, ok := o.Identify(r); ok {
			return admitter.Holder("operator " + name), readTimeout
		}
		if account, ok := c.Identify(r); ok {
			return admitter.Holder("account " + account), callerTimeout
		}
		if r.URL.Path == upstream.ReportPath {
			return "upstreams", callerTimeout
		}
		return "", callerTimeout
	}})
	return &httpServer{server: server, admission: a}
}

func (h *httpServer) listen() error {
	l, err := net.Listen("tcp", h.server.Addr)
	if err != nil {
		return errors.Wrap(err, "listening for HTTP")
	}
	if h.apart > 0 {
		h.listener = h.admission.WrapApart(l, h.apart)
	} else {
		h.listener = h.admission.Wrap(l)
	}
	return nil
}

func (h *httpServer) serve() error {
	err := h.server.Serve(h.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving HTTP")
}

func (h *httpServer) shutdown(ctx context.Context) error {
	h.admission.Stop()
	return errors.Wrap(h.server.Shutdown(ctx), "ending HTTP requests in progress")
}
