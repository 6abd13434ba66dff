package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/listener"
	"github.com/chervilvane/chervilvane/unit"
)

// serve starts a server that answers each request with the length of its body, and returns its
// address and admission. bounded applies the admission.
func serve(tb testing.TB, limits admitter.Limits, bounded bool) (string, *listener.Admission, *http.Server) {
	a := listener.New(listener.Config{Limits: limits})
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := listener.ReadAll(r.Body, r.ContentLength, 1<<20)
		switch {
		case errors.Is(err, listener.ErrOverloaded):
			listener.RefuseHeader(w)
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, listener.ErrStalled):
			w.WriteHeader(http.StatusRequestTimeout)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		}
		fmt.Fprint(w, len(data))
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	address := ln.Addr().String()
	if bounded {
		a.Apply(server, listener.Policy{Refuse: func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }})
		ln = a.Wrap(ln)
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ln) })
	tb.Cleanup(func() {
		_ = server.Close()
		// Serve returns that the server was closed.
		_ = group.Wait()
	})
	return address, a, server
}

var roomy = admitter.Derive(1000*unit.Megabyte, 1000)

func dial(tb testing.TB, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// TestRequestsPassUnchanged guards against bytes that are lost or mixed up where the connection
// divides headers from bodies: several requests in one write, in pieces, chunked, and kept alive.
func TestRequestsPassUnchanged(t *testing.T) {
	post := func(n int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("\n", n))
	}
	chunked := "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\n\n\r\n", 3000) + "0\r\n\r\n"
	get := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	text := get + post(10) + post(5000) + chunked + get + post(100_000) + chunked + post(1)
	want := []string{"0", "10", "5000", "3000", "0", "100000", "3000", "1"}
	for _, piece := range []int{len(text), 1000, 7} {
		is := is.New(t)
		address, _, _ := serve(t, roomy, true)
		c, r := dial(t, address)
		var group errgroup.Group
		group.Go(func() error {
			for rest := text; rest != ""; {
				n := min(piece, len(rest))
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					return err
				}
				rest = rest[n:]
			}
			return nil
		})
		for _, length := range want {
			response, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(body), length)
		}
		is.NoErr(group.Wait())
	}
}

// TestBodyBeyondTheBudgetIsRefused guards against a refusal without Retry-After, and against
// memory that is not given back when a request ends.
func TestBodyBeyondTheBudgetIsRefused(t *testing.T) {
	is := is.New(t)
	limits := roomy
	limits.RequestBytes = 800_000
	address, _, _ := serve(t, limits, true)
	for _, header := range []string{"Content-Length: 200000", "Transfer-Encoding: chunked"} {
		holding, _ := dial(t, address)
		_, err := io.WriteString(holding, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n"+strings.Repeat("x", 199_999))
		is.NoErr(err)
		send := func() int {
			c, r := dial(t, address)
			text := "POST / HTTP/1.1\r\nHost: x\r\n" + header + "\r\n\r\n"
			body := strings.Repeat("x", 200_000)
			if strings.HasPrefix(header, "Transfer") {
				body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			}
			// The server may stop reading.
			_, _ = io.WriteString(c, text+body)
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				return 0
			}
			if response.StatusCode == http.StatusServiceUnavailable {
				is.Equal(response.Header.Get("Retry-After"), "1")
			}
			return response.StatusCode
		}
		eventually(t, func() bool { return send() != http.StatusOK })
		is.NoErr(holding.Close())
		eventually(t, func() bool { return send() == http.StatusOK })
	}
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the condition doesn't hold")
}

// TestStalledBodyEnds guards against a body that is held although nothing more comes, and against
// a shutdown that waits for it.
func TestStalledBodyEnds(t *testing.T) {
	for name, stop := range map[string]bool{"by itself": false, "on shutdown": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limits := roomy
			limits.BodyStall = clock.Hour
			if !stop {
				limits.BodyStall = 100
			}
			address, a, server := serve(t, limits, true)
			c, r := dial(t, address)
			_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n123456789")
			is.NoErr(err)
			if stop {
				// The handler is reading the body.
				eventually(t, func() bool { return a.Used() > 0 })
				a.Stop()
				is.NoErr(server.Shutdown(context.Background()))
			}
			response, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusRequestTimeout)
		})
	}
}

// BenchmarkRequest measures an ordinary request over a connection that is kept alive, with and
// without the bounds.
func BenchmarkRequest(b *testing.B) {
	text := "POST /q/0011 HTTP/1.1\r\nHost: x\r\nX-Api-Key: abc\r\nDeadline-Ms: 3000\r\nContent-Type: application/json\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000)
	for _, name := range []string{"unbounded", "bounded"} {
		b.Run(name, func(b *testing.B) {
			address, _, _ := serve(b, roomy, name == "bounded")
			c, r := dial(b, address)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, text); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
