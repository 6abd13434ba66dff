package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/dialer"
	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/tracer"
)

const (
	// maxConnections bounds the connections to one upstream.
	maxConnections = 64
	// maxIdleConnections bounds the idle connections to all upstreams
	// together; each uses about 10 kB.
	maxIdleConnections = 512
	idleTimeout        = 90 * time.Second
	dialTimeout        = 2 * time.Second
	tcpKeepAlive       = 15 * time.Second
	bufferBytes        = 2 << 10
)

// ClientConfig configures a Client. Metrics and Tracer may be nil.
type ClientConfig struct {
	Metrics tally.Scope
	Tracer  trace.Tracer
}

// Client sends start and stop orders to upstreams.
type Client struct {
	cfg       ClientConfig
	transport *dialer.Transport
	http      *http.Client
	orders    tally.Counter
	failures  tally.Counter
	notSent   tally.Counter
}

// NewClient returns a Client. It connects to an upstream at the first order.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	netDialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: tcpKeepAlive}
	transport := dialer.New(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := netDialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		MaxIdleConns:        maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		WriteBufferSize:     bufferBytes,
		ReadBufferSize:      bufferBytes,
	})
	scope := cfg.Metrics.SubScope("upstream")
	return &Client{
		cfg:       cfg,
		transport: transport,
		http: &http.Client{
			Transport: transport,
			// Following a redirect would send the order a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		orders:   scope.Counter("orders"),
		failures: scope.Counter("order_failures"),
		notSent:  scope.Counter("orders_not_sent"),
	}
}

// Start orders the upstream at address to run a task. The error is a
// *dispatcher.NotSentError only if the order can't have reached the upstream.
func (c *Client) Start(ctx context.Context, address string, o dispatcher.StartOrder) (dispatcher.StartReply, error) {
	ctx, span := tracer.StartChild(ctx, c.cfg.Tracer, "upstream start", trace.WithSpanKind(trace.SpanKindClient))
	reply, err := c.start(ctx, address, o)
	tracer.End(span, err)
	return reply, err
}

func (c *Client) start(ctx context.Context, address string, o dispatcher.StartOrder) (dispatcher.StartReply, error) {
	body, maybeSent, err := c.post(ctx, address, StartPath, o)
	if err != nil {
		if !maybeSent {
			c.notSent.Inc(1)
			return nil, &dispatcher.NotSentError{Task: o.Task, Cause: err}
		}
		return nil, errors.Wrapf(err, "starting task %s at %s", o.Task, address)
	}
	reply, err := DecodeStartReply(body)
	return reply, errors.Wrapf(err, "reply of %s", address)
}

// Stop orders the upstream at address to stop a task. It doesn't wait for the
// task's end, which the upstream lists in a later report.
func (c *Client) Stop(ctx context.Context, address string, o dispatcher.StopOrder) error {
	ctx, span := tracer.StartChild(ctx, c.cfg.Tracer, "upstream stop", trace.WithSpanKind(trace.SpanKindClient))
	_, _, err := c.post(ctx, address, StopPath, o)
	tracer.End(span, err)
	return errors.Wrapf(err, "stopping task %s at %s", o.Task, address)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// post sends an order and returns the body of the reply. maybeSent is false only
// if the upstream can't have received any part of the order.
func (c *Client) post(ctx context.Context, address, path string, order any) (reply []byte, maybeSent bool, err error) {
	c.orders.Inc(1)
	defer func() {
		if err != nil {
			c.failures.Inc(1)
		}
	}()
	body, err := json.Marshal(order)
	if err != nil {
		return nil, false, errors.Wrap(err, "encoding an order")
	}
	if len(body) > MaxOrderBytes {
		return nil, false, errors.Newf("an order of %d bytes is too long", len(body))
	}
	var conns requestConns
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: conns.gotConn})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, errors.Wrap(err, "making an order's request")
	}
	req.Header.Set("Content-Type", "application/json")
	tracer.InjectHTTP(ctx, req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, conns.anyWritten(), err
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err = readBounded(resp.Body, MaxReplyBytes)
	if err != nil {
		return nil, true, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, true, errors.Newf("status %s: %.200s", resp.Status, reply)
	}
	return reply, true, nil
}
