package fetcher

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ResponseClass is how a call continues after a response.
type ResponseClass int

// The classes of responses.
const (
	// Final means that the response is the result of the call.
	Final ResponseClass = iota
	// NotProcessed means that the instance did not process the request, but
	// another may.
	NotProcessed
	// UnknownResult means that the response doesn't show whether an instance
	// processed the request, like the error page of a load balancer.
	UnknownResult
)

// Call is a request and how its responses are classified.
type Call struct {
	// NewRequest returns the request for one attempt. It is called for each
	// attempt, so that the request can include the remaining time.
	NewRequest func() Request
	// Classify returns the class of a response.
	Classify func(Response) ResponseClass
	// Rounds is the number of rounds over all addresses; that of the Fetcher if 0.
	Rounds int
}

// Fetch tries the addresses in turn, for several rounds, until a response is Final.
// If none is, it returns the last NotProcessed response, or an *UnreachableError if
// there is none of these either.
func (f *Fetcher) Fetch(ctx context.Context, c Call) (Response, error) {
	rounds := c.Rounds
	if rounds == 0 {
		rounds = f.config.Rounds
	}
	fc := &fetchCall{fetcher: f, call: c}
	for round := range rounds {
		if round > 0 && !f.sleep(ctx, round) {
			break
		}
		if response, ok := fc.tryAll(ctx); ok {
			return response, nil
		}
	}
	return fc.result(ctx)
}

// fetchCall is the state of one call of Fetch. The failed attempts include those with
// an UnknownResult.
type fetchCall struct {
	fetcher      *Fetcher
	call         Call
	notProcessed *Response
	failed       []Attempt
}

// tryAll tries each address once, starting with the preferred one. It reports whether
// a response was Final.
func (fc *fetchCall) tryAll(ctx context.Context) (Response, bool) {
	first := int(fc.fetcher.preferred.Load())
	for i := range fc.fetcher.bases {
		if ctx.Err() != nil {
			return Response{}, false
		}
		index := (first + i) % len(fc.fetcher.bases)
		response, attempt := fc.fetcher.attempt(ctx, fc.fetcher.bases[index], fc.call.NewRequest())
		if attempt != nil {
			fc.failed = append(fc.failed, *attempt)
			continue
		}
		response.OtherMaybeDelivered = anyMaybeDelivered(fc.failed)
		switch fc.call.Classify(response) {
		case Final:
			fc.fetcher.preferred.Store(int64(index))
			return response, true
		case NotProcessed:
			fc.notProcessed = &response
		case UnknownResult:
			cause := errors.Newf("the answer with status %d isn't one of an instance", response.StatusCode)
			fc.failed = append(fc.failed, Attempt{Address: response.Address, MaybeDelivered: true, Cause: cause})
		}
	}
	return Response{}, false
}

// result returns the result of Fetch if no response was Final.
func (fc *fetchCall) result(ctx context.Context) (Response, error) {
	if fc.notProcessed != nil {
		fc.notProcessed.OtherMaybeDelivered = anyMaybeDelivered(fc.failed)
		return *fc.notProcessed, nil
	}
	if len(fc.failed) == 0 {
		fc.failed = []Attempt{{Address: fc.fetcher.bases[0], Cause: ctx.Err()}}
	}
	return Response{}, &UnreachableError{Attempts: fc.failed}
}
