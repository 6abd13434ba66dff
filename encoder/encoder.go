// Package encoder is the project's one binding of CBOR: the codec of the log,
// the snapshots and the messages between instances.
//
// Encoding is deterministic (RFC 8949, section 4.2.1), so equal states have
// equal bytes. Decoding is strict and bounded: repeated map keys, indefinite
// lengths and deep nesting are errors, never a panic.
package encoder

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Bounds of what Unmarshal accepts.
const (
	maxNesting  = 32
	maxElements = 1 << 20
)

var encodeOptions = cbor.CoreDetEncOptions()

var decodeOptions = cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	IndefLength:      cbor.IndefLengthForbidden,
	MaxNestedLevels:  maxNesting,
	MaxArrayElements: maxElements,
	MaxMapPairs:      maxElements,
}

var (
	plainEncoder = must(encodeOptions.EncMode())
	plainDecoder = must(decodeOptions.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes a plain struct. It panics on a type that CBOR can't hold,
// which is a mistake in the program.
func Marshal(v any) []byte {
	return must(plainEncoder.Marshal(v))
}

// Unmarshal decodes data into v.
func Unmarshal(data []byte, v any) error {
	return errors.Wrapf(plainDecoder.Unmarshal(data, v), "decoding %T", v)
}

// Set encodes the types of one closed set, so that a value decodes into the
// type it had. The tag numbers are part of the format: a type keeps its number
// for ever.
type Set struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// firstTag starts the project's range in the space of tags that RFC 8949
// leaves to first come, first served.
const firstTag = 70000

// NewSet returns the codec of the given values' types; the place of a value in
// the list is its tag, so new types are added at the end.
func NewSet(values ...any) *Set {
	tags := cbor.NewTagSet()
	opts := cbor.TagOptions{DecTag: cbor.DecTagRequired, EncTag: cbor.EncTagRequired}
	for i, v := range values {
		if err := tags.Add(opts, reflect.TypeOf(v), firstTag+uint64(i)); err != nil {
			panic(err)
		}
	}
	return &Set{
		enc: must(encodeOptions.EncModeWithTags(tags)),
		dec: must(decodeOptions.DecModeWithTags(tags)),
	}
}

// Marshal encodes a value of the set.
func (s *Set) Marshal(v any) []byte {
	return must(s.enc.Marshal(v))
}

// Unmarshal decodes a value of the set.
func (s *Set) Unmarshal(data []byte) (any, error) {
	var v any
	if err := s.dec.Unmarshal(data, &v); err != nil {
		return nil, errors.Wrap(err, "decoding a value of a closed set")
	}
	return v, nil
}
