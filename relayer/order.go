package relayer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/driver"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// order is the body of MethodOrder. Exactly one of its pointers is set.
type order struct {
	_     struct{} `cbor:",toarray"`
	Token uint64
	// SendBy is the latest time at which the relay may send the order, on the
	// relay's boot time clock.
	SendBy clock.Millis
	Start  *planner.Start
	Stop   *planner.Stop
	Poll   *planner.Poll
}

// response is a relay's response to MethodOrder. Failure is set if the result of the
// order is unknown.
type response struct {
	_ struct{} `cbor:",toarray"`
	// Expired is true if the order arrived after SendBy; nothing was sent.
	Expired             bool
	IncarnationMismatch bool
	Failure             string
	Refusal             planner.RefusalReason
	Clock               clock.Millis
	PollResult          *planner.PollResult
}

// orderResult returns the result of a start or a stop and the upstream's clock.
func (r response) orderResult() (planner.OrderResult, clock.Millis) {
	switch {
	case r.Expired:
		return planner.Refused{Reason: planner.RefusedExpired}, 0
	case r.Refusal != "":
		return planner.Refused{Reason: r.Refusal}, r.Clock
	case r.Failure != "":
		return planner.Indeterminate{Err: errors.Newf("%s", r.Failure)}, r.Clock
	}
	return planner.Executed{}, r.Clock
}

// pollResult returns the result of a poll.
func (r response) pollResult() (planner.PollResult, error) {
	switch {
	case r.IncarnationMismatch:
		return planner.PollResult{}, driver.ErrIncarnationMismatch
	case r.Failure != "":
		return planner.PollResult{}, errors.Newf("%s", r.Failure)
	case r.PollResult == nil:
		return planner.PollResult{}, errors.New("the relay's response to a poll has no result")
	}
	return *r.PollResult, nil
}

// Serve handles MethodOrder on the relay. It returns an error if body can't be
// decoded.
func (r *Relayer) Serve(ctx context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	var o order
	if err := encoder.Unmarshal(body, &o); err != nil {
		return nil, err
	}
	// The clock is read right before sending, since the steps before may have been
	// delayed.
	if r.cfg.BootTime() > o.SendBy {
		r.expired.Inc(1)
		return encoder.Marshal(response{Expired: true}), nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-responseMargin.Duration()))
		defer cancel()
	}
	return encoder.Marshal(r.execute(ctx, o)), nil
}

// execute sends an order to the upstream from this instance.
func (r *Relayer) execute(ctx context.Context, o order) response {
	switch {
	case o.Start != nil:
		return newResponse(r.cfg.Local.Start(ctx, o.Token, *o.Start))
	case o.Stop != nil:
		return newResponse(r.cfg.Local.Stop(ctx, o.Token, *o.Stop))
	case o.Poll != nil:
		result, err := r.cfg.Local.Poll(ctx, o.Token, *o.Poll)
		if err != nil {
			return response{IncarnationMismatch: errors.Is(err, driver.ErrIncarnationMismatch), Failure: err.Error()}
		}
		return response{PollResult: &result}
	}
	return response{Expired: true}
}

// newResponse returns the relay's response for the result of a start or a stop.
func newResponse(result planner.OrderResult, upstreamClock clock.Millis) response {
	switch a := result.(type) {
	case planner.Executed:
		return response{Clock: upstreamClock}
	case planner.Refused:
		return response{Refusal: a.Reason, Clock: upstreamClock}
	case planner.Indeterminate:
		return response{Failure: a.Err.Error(), Clock: upstreamClock}
	}
	return response{Failure: "an answer of an unknown type", Clock: upstreamClock}
}
