package fetcher

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Verdict is what an answer means for the attempts that could follow.
type Verdict int

// The verdicts on an answer.
const (
	// Final answers end the call.
	Final Verdict = iota
	// Declined answers say that this instance took nothing; another may.
	Declined
	// Lost answers don't tell what the instance did, like the error page of a
	// balancer.
	Lost
)

// Call says what is sent and how answers are judged.
type Call struct {
	// Build makes the request of each attempt, so that it can carry the time
	// that is left.
	Build func() Request
	Judge func(Answer) Verdict
	// Rounds replaces the Fetcher's when above zero.
	Rounds int
}

// Fetch tries the addresses in turn, for several rounds, until an answer is
// final. Without a final answer it returns the last one that declined; without
// any of those the error is an *UnreachableError.
func (f *Fetcher) Fetch(ctx context.Context, c Call) (Answer, error) {
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
	declined *Answer
	lost     []Attempt
}

// round tries each address once. It reports whether an answer was final.
func (s *search) round(ctx context.Context) (Answer, bool) {
	first := int(s.f.preferred.Load())
	for i := range s.f.bases {
		if ctx.Err() != nil {
			return Answer{}, false
		}
		at := (first + i) % len(s.f.bases)
		a, attempt := s.f.try(ctx, s.f.bases[at], s.call.Build())
		if attempt != nil {
			s.lost = append(s.lost, *attempt)
			continue
		}
		a.Doubtful = anyDelivered(s.lost)
		switch s.call.Judge(a) {
		case Final:
			s.f.preferred.Store(int64(at))
			return a, true
		case Declined:
			s.declined = &a
		case Lost:
			cause := errors.Newf("the answer with status %d isn't one of an instance", a.Status)
			s.lost = append(s.lost, Attempt{Address: a.Address, Delivered: true, Cause: cause})
		}
	}
	return Answer{}, false
}

// end returns what is known when no answer was final.
func (s *search) end(ctx context.Context) (Answer, error) {
	if s.declined != nil {
		s.declined.Doubtful = anyDelivered(s.lost)
		return *s.declined, nil
	}
	if len(s.lost) == 0 {
		s.lost = []Attempt{{Address: s.f.bases[0], Cause: ctx.Err()}}
	}
	return Answer{}, &UnreachableError{Attempts: s.lost}
}
