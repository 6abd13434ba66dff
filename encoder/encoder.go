// Package encoder encodes and decodes CBOR. It is the only codec of the log, the
// snapshots and the messages between instances.
//
// Encoding is deterministic (RFC 8949, section 4.2.1), so equal states have equal
// bytes. Decoding is strict and bounded: it returns an error for repeated map keys,
// indefinite lengths, deep nesting and large arrays or maps, and never panics.
package encoder

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Limits of decoding.
const (
	// maxNesting is the maximum number of nested levels.
	maxNesting = 32
	// maxElements is the maximum number of elements of an array and of pairs of
	// a map.
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

// Marshal encodes v. It panics if CBOR can't represent the type of v, which is a
// programming error.
func Marshal(v any) []byte {
	return must(plainEncoder.Marshal(v))
}

// Unmarshal decodes data into v, which must be a pointer.
func Unmarshal(data []byte, v any) error {
	return errors.Wrapf(plainDecoder.Unmarshal(data, v), "decoding %T", v)
}

// Set is the codec of a closed set of types. It encodes each value with a tag that
// identifies its type, so that the value decodes to the same type. The tag numbers are
// part of the format, so a type's number must never change.
type Set struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// firstTag is the first tag number of a Set. It is in the range of tags that RFC 8949
// assigns first come, first served.
const firstTag = 70000

// NewSet returns the codec of the types of the given values. The tag of a type is
// firstTag plus the value's index, so new types must be added at the end.
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

// Marshal encodes v. It panics if CBOR can't represent the type of v.
func (s *Set) Marshal(v any) []byte {
	return must(s.enc.Marshal(v))
}

// Unmarshal decodes a value of the set. The result has the type that was encoded.
func (s *Set) Unmarshal(data []byte) (any, error) {
	var v any
	if err := s.dec.Unmarshal(data, &v); err != nil {
		return nil, errors.Wrap(err, "decoding a value of a closed set")
	}
	return v, nil
}
