package dispatcher

import (
	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/encoder"
)

var outcomeTypes = encoder.NewSet(Done{}, NotRun{}, Unknown{})

// MarshalOutcome encodes an outcome for the log or another instance.
func MarshalOutcome(o Outcome) []byte {
	return outcomeTypes.Marshal(o)
}

// UnmarshalOutcome decodes the encoding of MarshalOutcome.
func UnmarshalOutcome(data []byte) (Outcome, error) {
	decoded, err := outcomeTypes.Unmarshal(data)
	if err != nil {
		return nil, err
	}
	o, ok := decoded.(Outcome)
	if !ok {
		return nil, errors.Newf("decoded %T, want an outcome", decoded)
	}
	return o, nil
}
