package dispatcher

import (
	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/encoder"
)

var outcomes = encoder.NewSet(Done{}, NotRun{}, Unknown{})

// MarshalOutcome encodes an outcome for the log or another instance.
func MarshalOutcome(o Outcome) []byte {
	return outcomes.Marshal(o)
}

// UnmarshalOutcome decodes what MarshalOutcome made.
func UnmarshalOutcome(data []byte) (Outcome, error) {
	v, err := outcomes.Unmarshal(data)
	if err != nil {
		return nil, err
	}
	o, ok := v.(Outcome)
	if !ok {
		return nil, errors.Newf("decoded %T, want an outcome", v)
	}
	return o, nil
}
