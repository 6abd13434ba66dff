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
	"github.com/chervilvane/chervilvane/dialer"
)

// Bounds and defaults of a Fetcher.
const (
	// MaxResponseBytes is the maximum size of the body of a response.
	MaxResponseBytes = 16 << 20
	// DefaultRounds is the default of Config.Rounds.
	DefaultRounds = 5
	// DefaultBackoff is the default of Config.Backoff.
	DefaultBackoff = 200 * clock.Millisecond

	dialTimeout = 2 * clock.Second
)

// Config configures a Fetcher.
type Config struct {
	// Addresses are tried in this order. Each is IP:PORT, for plain HTTP, or a
	// URL.
	Addresses []string
	// Key is the bearer token of the requests; empty for none.
	Key string
	// Rounds is the number of rounds over all addresses; DefaultRounds if 0.
	Rounds int
	// Backoff is the maximum wait before the second round; it doubles with each
	// further round. DefaultBackoff if 0.
	Backoff clock.Millis
}

// Fetcher sends requests to several addresses. It may be used by several goroutines
// at the same time.
type Fetcher struct {
	config Config
	bases  []string
	client *http.Client
	// preferred is the index of the address that last gave a Final response. Each
	// call starts there, so that only the first one waits for an unreachable
	// address.
	preferred atomic.Int64
}

// New returns a Fetcher. It returns an error if there is no address, or if one is
// invalid.
func New(c Config) (*Fetcher, error) {
	if c.Rounds == 0 {
		c.Rounds = DefaultRounds
	}
	if c.Backoff == 0 {
		c.Backoff = DefaultBackoff
	}
	f := &Fetcher{config: c, client: newHTTPClient()}
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

// parseAddress returns the URL to which the paths of requests are appended.
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

// newHTTPClient returns a client that doesn't follow redirects, so that the key is
// only sent to the configured addresses. It waits for a connection only for a short
// time, so that an unreachable instance leaves time for the others.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: dialer.New(&http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext,
			TLSHandshakeTimeout:    dialTimeout.Duration(),
			MaxIdleConnsPerHost:    16,
			IdleConnTimeout:        30 * time.Second,
			MaxResponseHeaderBytes: 64 << 10,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// NumAddresses returns the number of addresses.
func (f *Fetcher) NumAddresses() int { return len(f.bases) }

// Close closes idle connections.
func (f *Fetcher) Close() { f.client.CloseIdleConnections() }

// Request is the HTTP request of one attempt.
type Request struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Response is the response to an attempt.
type Response struct {
	Address    string
	StatusCode int
	Body       []byte
	// OtherMaybeDelivered reports whether an instance may have received another
	// attempt of the call, whose response was lost.
	OtherMaybeDelivered bool
}

// Attempt is an attempt without a usable response.
type Attempt struct {
	Address string
	// MaybeDelivered is false only if the instance can't have received the
	// request.
	MaybeDelivered bool
	Cause          error
}

// UnreachableError reports that no instance gave a usable response.
type UnreachableError struct{ Attempts []Attempt }

// Error implements error. The text includes the last cause for each address.
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

// MaybeDelivered reports whether an instance may have received any of the attempts.
func (e *UnreachableError) MaybeDelivered() bool { return anyMaybeDelivered(e.Attempts) }

func anyMaybeDelivered(attempts []Attempt) bool {
	for _, a := range attempts {
		if a.MaybeDelivered {
			return true
		}
	}
	return false
}

// sleep waits before a round, with exponential backoff and full jitter. It returns
// false if ctx ended first.
func (f *Fetcher) sleep(ctx context.Context, round int) bool {
	longest := f.config.Backoff << (round - 1)
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(longest.Duration()) + 1)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
