package fetcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
)

// Bounds and defaults of a Fetcher.
const (
	// MaxAnswer bounds the body of an answer, in bytes.
	MaxAnswer = 16 << 20
	// DefaultRounds is how often all addresses are tried.
	DefaultRounds = 5
	// DefaultBackoff is the longest wait before the second round; it doubles
	// with each further one.
	DefaultBackoff = 200 * clock.Millisecond

	dialTimeout = 2 * clock.Second
)

// Config of a Fetcher.
type Config struct {
	// Addresses are tried in their order: IP:PORT for plain HTTP, or a URL.
	Addresses []string
	// Key is the token that authorizes the requests; empty for none.
	Key string
	// Rounds and Backoff are the defaults when zero.
	Rounds  int
	Backoff clock.Millis
}

// Fetcher sends requests to several addresses.
type Fetcher struct {
	c     Config
	bases []string
	http  *http.Client
	// preferred is the index of the address that answered last, so that one
	// that is cut off costs its wait once.
	preferred atomic.Int64
}

// New returns a Fetcher. The error names an address that can't be used.
func New(c Config) (*Fetcher, error) {
	if c.Rounds == 0 {
		c.Rounds = DefaultRounds
	}
	if c.Backoff == 0 {
		c.Backoff = DefaultBackoff
	}
	f := &Fetcher{c: c, http: newHTTP()}
	for _, a := range c.Addresses {
		base, err := parseAddress(a)
		if err != nil {
			return nil, err
		}
		f.bases = append(f.bases, base)
	}
	if len(f.bases) == 0 {
		return nil, errors.New("no address is given; want IP:PORT, several separated by commas")
	}
	return f, nil
}

// parseAddress returns the URL that paths are appended to.
func parseAddress(a string) (string, error) {
	base := a
	if !strings.Contains(a, "://") {
		base = "http://" + a
	}
	u, err := url.Parse(base)
	if err != nil || u.Hostname() == "" || (u.Scheme != "http" && u.Scheme != "https") || strings.Trim(u.Path, "/") != "" {
		return "", errors.Newf("%q isn't an address; want IP:PORT or a URL like https://10.0.0.1:7400", a)
	}
	return strings.TrimRight(base, "/"), nil
}

// newHTTP returns a client that follows no redirect, so that a key goes only
// to the given addresses, and that has a short wait for connections, so that
// an instance that is cut off leaves time for the others.
func newHTTP() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext,
			TLSHandshakeTimeout:    dialTimeout.Duration(),
			MaxIdleConnsPerHost:    16,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: 64 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NumAddresses returns the number of addresses.
func (f *Fetcher) NumAddresses() int { return len(f.bases) }

// Close closes idle connections.
func (f *Fetcher) Close() { f.http.CloseIdleConnections() }

// Request is what is sent in one attempt.
type Request struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Response is an instance's answer.
type Response struct {
	Address    string
	StatusCode int
	Body       []byte
	// PriorMaybeDelivered is set when an instance may have received an earlier attempt
	// whose answer was lost.
	PriorMaybeDelivered bool
}

// Attempt is one that got no answer.
type Attempt struct {
	Address string
	// MaybeDelivered is false only if the instance surely didn't get the request.
	MaybeDelivered bool
	Cause          error
}

// UnreachableError says that no instance answered.
type UnreachableError struct{ Attempts []Attempt }

// Error implements error. It gives the last cause of each address.
func (e *UnreachableError) Error() string {
	var addresses []string
	causes := map[string]error{}
	for _, a := range e.Attempts {
		if causes[a.Address] == nil {
			addresses = append(addresses, a.Address)
		}
		causes[a.Address] = a.Cause
	}
	texts := make([]string, 0, len(addresses))
	for _, a := range addresses {
		texts = append(texts, fmt.Sprintf("%s: %v", a, causes[a]))
	}
	return "no instance answered: " + strings.Join(texts, "; ")
}

// MaybeDelivered reports whether an instance may have received the request.
func (e *UnreachableError) MaybeDelivered() bool { return anyDelivered(e.Attempts) }

func anyDelivered(attempts []Attempt) bool {
	for _, a := range attempts {
		if a.MaybeDelivered {
			return true
		}
	}
	return false
}

// wait sleeps between rounds: exponential backoff with full jitter. It reports
// false if the context ended.
func (f *Fetcher) wait(ctx context.Context, round int) bool {
	longest := f.c.Backoff << (round - 1)
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(longest.Duration()) + 1)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
