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

// order is the body of MethodOrder; one of its pointers is set.
type order struct {
	_     struct{} `cbor:",toarray"`
	Token uint64
	// Until is when the order may leave at the latest, on the relay's steady
	// clock.
	Until clock.Millis
	Start *planner.Start
	Stop  *planner.Stop
	Look  *planner.Poll
}

// answer is what became of an order. An order without an answer of its upstream
// has Failure set.
type answer struct {
	_ struct{} `cbor:",toarray"`
	// Expired: the order came too late to leave; nothing was sent.
	Expired   bool
	OtherLife bool
	Failure   string
	Refusal   planner.RefusalReason
	Clock     clock.Millis
	Seen      *planner.PollResult
}

// planner returns the answer to a start or a stop.
func (a answer) planner() (planner.OrderResult, clock.Millis) {
	switch {
	case a.Expired:
		return planner.Refused{Reason: planner.RefusedExpired}, 0
	case a.Refusal != "":
		return planner.Refused{Reason: a.Refusal}, a.Clock
	case a.Failure != "":
		return planner.Indeterminate{Err: errors.Newf("%s", a.Failure)}, a.Clock
	}
	return planner.Executed{}, a.Clock
}

// seen returns the answer to a look.
func (a answer) seen() (planner.PollResult, error) {
	switch {
	case a.OtherLife:
		return planner.PollResult{}, driver.ErrIncarnationMismatch
	case a.Failure != "":
		return planner.PollResult{}, errors.Newf("%s", a.Failure)
	case a.Seen == nil:
		return planner.PollResult{}, errors.New("the relay's answer to a look lists nothing")
	}
	return *a.Seen, nil
}

// Serve handles MethodOrder on the relay.
func (r *Relayer) Serve(ctx context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	var o order
	if err := encoder.Unmarshal(body, &o); err != nil {
		return nil, err
	}
	// The clock is read last, since everything before may have taken long.
	if r.cfg.BootTime() > o.Until {
		r.expired.Inc(1)
		return encoder.Marshal(answer{Expired: true}), nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-wayBack.Duration()))
		defer cancel()
	}
	return encoder.Marshal(r.carryOut(ctx, o)), nil
}

// carryOut sends an order from this instance.
func (r *Relayer) carryOut(ctx context.Context, o order) answer {
	switch {
	case o.Start != nil:
		return answerOf(r.cfg.Local.Start(ctx, o.Token, *o.Start))
	case o.Stop != nil:
		return answerOf(r.cfg.Local.Stop(ctx, o.Token, *o.Stop))
	case o.Look != nil:
		seen, err := r.cfg.Local.Poll(ctx, o.Token, *o.Look)
		if err != nil {
			return answer{OtherLife: errors.Is(err, driver.ErrIncarnationMismatch), Failure: err.Error()}
		}
		return answer{Seen: &seen}
	}
	return answer{Expired: true}
}

// answerOf returns the answer of a relay to a start or a stop.
func answerOf(a planner.OrderResult, clk clock.Millis) answer {
	switch a := a.(type) {
	case planner.Executed:
		return answer{Clock: clk}
	case planner.Refused:
		return answer{Refusal: a.Reason, Clock: clk}
	case planner.Indeterminate:
		return answer{Failure: a.Err.Error(), Clock: clk}
	}
	return answer{Failure: "an answer of an unknown type", Clock: clk}
}
