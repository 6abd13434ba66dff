package router

import (
	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/dispatcher"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/scheduler"
)

// encodedState is the encoded form of a scheduler.RequestState. Exactly one of
// its fields is set; Unheard means scheduler.NotFound.
type encodedState struct {
	Ended   []byte
	Pending *dispatcher.Refusal
	Unheard bool
}

func marshalState(s scheduler.RequestState) []byte {
	switch s := s.(type) {
	case scheduler.Ended:
		return encoder.Marshal(encodedState{Ended: dispatcher.MarshalOutcome(s.Outcome)})
	case scheduler.Pending:
		return encoder.Marshal(encodedState{Pending: &s.Refusal})
	case scheduler.NotFound:
		return encoder.Marshal(encodedState{Unheard: true})
	default:
		panic("router: unknown type of request state")
	}
}

func unmarshalState(data []byte) (scheduler.RequestState, error) {
	var b encodedState
	if err := encoder.Unmarshal(data, &b); err != nil {
		return nil, err
	}
	switch {
	case b.Unheard:
		return scheduler.NotFound{}, nil
	case b.Pending != nil:
		return scheduler.Pending{Refusal: *b.Pending}, nil
	case len(b.Ended) > 0:
		outcome, err := dispatcher.UnmarshalOutcome(b.Ended)
		return scheduler.Ended{Outcome: outcome}, err
	}
	return nil, errors.New("a standing without a case")
}
