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

// try makes one attempt at one address.
func (f *Fetcher) try(ctx context.Context, base string, r Request) (Response, *Attempt) {
	// A request can have been received only once a connection was there to
	// write it to. The transport's goroutines may call the trace late.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	status, body, err := f.exchange(ctx, base, r)
	if err != nil {
		return Response{}, &Attempt{Address: base, MaybeDelivered: connected.Load(), Cause: err}
	}
	return Response{Address: base, StatusCode: status, Body: body}, nil
}

func (f *Fetcher) exchange(ctx context.Context, base string, r Request) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "making the request")
	}
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if f.c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+f.c.Key)
	}
	resp, err := f.http.Do(req)
	if err != nil {
		// The caller names the address itself.
		var wrapped *url.Error
		if errors.As(err, &wrapped) {
			err = wrapped.Err
		}
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswer+1))
	switch {
	case err != nil:
		return 0, nil, errors.Wrap(err, "the answer was cut off")
	case len(body) > MaxAnswer:
		return 0, nil, errors.Newf("the answer is larger than %d bytes", MaxAnswer)
	}
	return resp.StatusCode, body, nil
}
