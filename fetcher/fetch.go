package fetcher

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ResponseClass is what an answer means for the attempts that could follow.
type ResponseClass int

// The verdicts on an answer.
const (
	// Final answers end the call.
	Final ResponseClass = iota
	// NotProcessed answers say that this instance took nothing; another may.
	NotProcessed
	// UnknownResult answers don't tell what the instance did, like the error page of a
	// balancer.
	UnknownResult
)

// Call says what is sent and how answers are judged.
type Call struct {
	// NewRequest makes the request of each attempt, so that it can carry the time
	// that is left.
	NewRequest func() Request
	Classify   func(Response) ResponseClass
	// Rounds replaces the Fetcher's when above zero.
	Rounds int
}

// Fetch tries the addresses in turn, for several rounds, until an answer is
// final. Without a final answer it returns the last one that declined; without
// any of those the error is an *UnreachableError.
func (f *Fetcher) Fetch(ctx context.Context, c Call) (Response, error) {
	rounds := c.Rounds
	if rounds == 0 {
		rounds = f.c.Rounds
	}
	s := &search{f: f, call: c}
	for round := range rounds {
		if round > 0 && !f.wait(ctx, round) {
			break
		}
		if a, ok := s.round(ctx); ok {
			return a, nil
		}
	}
	return s.end(ctx)
}

// search is one call of Fetch.
type search struct {
	f        *Fetcher
	call     Call
	declined *Response
	lost     []Attempt
}

// round tries each address once. It reports whether an answer was final.
func (s *search) round(ctx context.Context) (Response, bool) {
	first := int(s.f.preferred.Load())
	for i := range s.f.bases {
		if ctx.Err() != nil {
			return Response{}, false
		}
		at := (first + i) % len(s.f.bases)
		a, attempt := s.f.try(ctx, s.f.bases[at], s.call.NewRequest())
		if attempt != nil {
			s.lost = append(s.lost, *attempt)
			continue
		}
		a.PriorMaybeDelivered = anyDelivered(s.lost)
		switch s.call.Classify(a) {
		case Final:
			s.f.preferred.Store(int64(at))
			return a, true
		case NotProcessed:
			s.declined = &a
		case UnknownResult:
			cause := errors.Newf("the answer with status %d isn't one of an instance", a.StatusCode)
			s.lost = append(s.lost, Attempt{Address: a.Address, MaybeDelivered: true, Cause: cause})
		}
	}
	return Response{}, false
}

// end returns what is known when no answer was final.
func (s *search) end(ctx context.Context) (Response, error) {
	if s.declined != nil {
		s.declined.PriorMaybeDelivered = anyDelivered(s.lost)
		return *s.declined, nil
	}
	if len(s.lost) == 0 {
		s.lost = []Attempt{{Address: s.f.bases[0], Cause: ctx.Err()}}
	}
	return Response{}, &UnreachableError{Attempts: s.lost}
}
