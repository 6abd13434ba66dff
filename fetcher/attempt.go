package fetcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// attempt sends the request to one address. It returns an Attempt if there is no
// complete response.
func (f *Fetcher) attempt(ctx context.Context, base string, r Request) (Response, *Attempt) {
	// The instance can only have received the request if there was a connection
	// to write it to. The flag is atomic, since goroutines of the transport may
	// call the trace even after the exchange has ended.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	status, body, err := f.roundTrip(ctx, base, r)
	if err != nil {
		return Response{}, &Attempt{Address: base, MaybeDelivered: connected.Load(), Cause: err}
	}
	return Response{Address: base, StatusCode: status, Body: body}, nil
}

func (f *Fetcher) roundTrip(ctx context.Context, base string, r Request) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "making the request")
	}
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if f.config.Key != "" {
		req.Header.Set("Authorization", "Bearer "+f.config.Key)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		// Drop the URL from the text, since UnreachableError adds the address.
		var wrapped *url.Error
		if errors.As(err, &wrapped) {
			err = wrapped.Err
		}
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	switch {
	case err != nil:
		return 0, nil, errors.Wrap(err, "the answer was cut off")
	case len(body) > MaxResponseBytes:
		return 0, nil, errors.Newf("the answer is larger than %d bytes", MaxResponseBytes)
	}
	return resp.StatusCode, body, nil
}
