package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/upstream"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testTimeout bounds the waits of tests; it expires only if a test fails.
const testTimeout = 20 * time.Second

func newClient(t *testing.T) (context.Context, *upstream.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	c := upstream.NewClient(upstream.ClientConfig{})
	t.Cleanup(c.Close)
	return ctx, c
}

// listen accepts connections until the test ends, calls serve for each and then
// closes it. It returns the address.
func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				serve(c)
				return c.Close()
			})
		}
	})
	t.Cleanup(func() {
		if err := errors.CombineErrors(l.Close(), group.Wait()); err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

func isNotSent(err error) bool {
	target := (*dispatcher.NotSentError)(nil)
	return errors.As(err, &target)
}

// respondWith returns a function that writes text to a connection after its
// first read.
func respondWith(text string) func(net.Conn) {
	return func(c net.Conn) {
		_, _ = c.Read(make([]byte, 64<<10))
		_, _ = io.WriteString(c, text)
	}
}

// TestMaybeSentAfterFirstByte guards against a NotSentError for an order that
// reached the upstream at least in part.
func TestMaybeSentAfterFirstByte(t *testing.T) {
	tests := map[string]func(net.Conn){
		"closed before the reply": func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) },
		"closed within the reply": respondWith("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"),
		"reply isn't HTTP":        respondWith("hello\r\n\r\n"),
		"reply isn't JSON":        respondWith("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"),
		"unknown kind of reply":   respondWith("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"Reply\":\"x\"}"),
		"status other than 200":   respondWith("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
		"redirect":                respondWith("HTTP/1.1 307 Temporary Redirect\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n"),
	}
	for name, serve := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, c := newClient(t)
			_, err := c.Start(ctx, listen(t, serve), dispatcher.StartOrder{Task: "t1"})
			is.True(err != nil)
			is.True(!isNotSent(err))
		})
	}
}

// TestMaybeSentIfCancelledWhileSending cancels an order after the upstream has
// read its first byte.
func TestMaybeSentIfCancelledWhileSending(t *testing.T) {
	is := is.New(t)
	ctx, c := newClient(t)
	ctx, cancel := context.WithCancel(ctx)
	address := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		cancel()
		_, _ = io.Copy(io.Discard, conn)
	})
	_, err := c.Start(ctx, address, dispatcher.StartOrder{Task: "t1", Data: make([]byte, upstream.MaxOrderBytes/2)})
	is.True(errors.Is(err, context.Canceled))
	is.True(!isNotSent(err))
}

func TestNotSent(t *testing.T) {
	is := is.New(t)
	ctx, c := newClient(t)
	_, err := c.Start(ctx, "127.0.0.1:1", dispatcher.StartOrder{Task: "connection refused"})
	is.True(isNotSent(err))
	_, err = c.Start(ctx, "no address", dispatcher.StartOrder{Task: "malformed address"})
	is.True(isNotSent(err))
	_, err = c.Start(ctx, "127.0.0.1:1", dispatcher.StartOrder{Task: "too long", Data: make([]byte, upstream.MaxOrderBytes)})
	is.True(isNotSent(err))
}

// TestNotSentWhileAllConnectionsAreBusy cancels an order that waits for a
// connection, so none of its bytes are written.
func TestNotSentWhileAllConnectionsAreBusy(t *testing.T) {
	is := is.New(t)
	ctx, c := newClient(t)
	arrived := make(chan struct{})
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(w, `{"Reply":"Started"}`)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	const connections = 64
	var group errgroup.Group
	for range connections {
		group.Go(func() error {
			_, err := c.Start(ctx, address, dispatcher.StartOrder{Task: "busy"})
			return err
		})
	}
	for range connections {
		<-arrived
	}
	waiting, cancel := context.WithCancel(ctx)
	group.Go(func() error {
		cancel()
		return nil
	})
	_, err := c.Start(waiting, address, dispatcher.StartOrder{Task: "waits"})
	is.True(isNotSent(err))
	close(release)
	is.NoErr(group.Wait())
}

func TestStartReplies(t *testing.T) {
	tests := map[string]dispatcher.StartReply{
		"finished": dispatcher.Finished{Done: dispatcher.Done{Answer: []byte("proof")}},
		"failed":   dispatcher.Finished{Done: dispatcher.Done{Answer: []byte("no ink"), Failed: true}},
		"started":  dispatcher.Started{},
		"refused":  dispatcher.Refused{Detail: "no capacity", Epoch: 7},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := upstream.EncodeStartReply(want)
			is.NoErr(err)
			got, err := upstream.DecodeStartReply(data)
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
}
