// Package differ lists the differences between two versions of a configuration.
// It compares decoded values, so the notation and the order of fields don't
// count. Lists of named entries are turned into maps with ByName before.
//
// Package cmp, which does the comparison, panics on types with unexported fields.
// Compare is therefore only for configurations whose types have none.
package differ

import (
	stdcmp "cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"github.com/google/go-cmp/cmp"
)

// Change is the kind of a difference.
type Change string

// The kinds of differences.
const (
	Changed Change = "Changed"
	Added   Change = "Added"
	Removed Change = "Removed"
)

// Difference is a difference between two versions.
type Difference struct {
	// Path is the path of the value, like Teams[booking].Share.
	Path   string
	Change Change
	// Was and Is are the former and the present value if the value has changed.
	Was string `json:",omitempty"`
	Is  string `json:",omitempty"`
}

// String returns the difference as a line of text.
func (d Difference) String() string {
	if d.Change == Changed {
		return fmt.Sprintf("%s: was %s, is %s", d.Path, d.Was, d.Is)
	}
	return d.Path + ": " + strings.ToLower(string(d.Change))
}

// Compare returns the differences between two values of the same type, in the
// order of the fields and the alphabetical order of names. It formats values with
// format, or with Format where format returns "".
func Compare(was, is any, format func(any) string, options ...cmp.Option) []Difference {
	r := &reporter{format: format, differences: []Difference{}}
	cmp.Equal(was, is, append(options, cmp.Reporter(r))...)
	return r.differences
}

// ByName returns the entries of a list by name, so that Compare matches them by name
// and not by position. Further entries with the name of an earlier one get a number.
func ByName[T any](list []T, name func(T) string) map[string]T {
	named := make(map[string]T, len(list))
	seen := make(map[string]int, len(list))
	for _, v := range list {
		key := formatName(name(v))
		seen[key]++
		// A formatted name has no space unless it is quoted.
		if n := seen[key]; n > 1 {
			key += " " + strconv.Itoa(n)
		}
		named[key] = v
	}
	return named
}

// SetOf makes Compare report a list whose elements differ as one value. The order
// of the elements doesn't count.
func SetOf[L ~[]T, T stdcmp.Ordered]() cmp.Option {
	return cmp.Comparer(func(a, b L) bool {
		return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
	})
}

// Whole makes Compare report a value of an interface type that differs as one value.
// Its types must be comparable.
func Whole[T any]() cmp.Option {
	return cmp.Comparer(func(a, b T) bool { return any(a) == any(b) })
}

// maxNameBytes bounds the length of a name that a path contains as it is.
const maxNameBytes = 64

func formatName(name string) string {
	odd := func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune("-_./:", r)
	}
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, odd) {
		return strconv.Quote(name)
	}
	return name
}

// maxTextRunes bounds the part of a text that a difference quotes.
const maxTextRunes = 60

// Format formats a value on one line. It shortens texts and adds their length.
func Format(v any) string {
	value := reflect.ValueOf(v)
	if value.Kind() != reflect.String {
		return fmt.Sprintf("%v", v)
	}
	text := value.String()
	if len(text) <= maxTextRunes {
		return strconv.Quote(text)
	}
	return fmt.Sprintf("%.*q... (%d bytes)", maxTextRunes, text, len(text))
}

// reporter implements the interface of cmp.Reporter.
type reporter struct {
	path        cmp.Path
	format      func(any) string
	differences []Difference
}

// PushStep is called before a value is compared.
func (r *reporter) PushStep(s cmp.PathStep) { r.path = append(r.path, s) }

// PopStep is called after a value was compared.
func (r *reporter) PopStep() { r.path = r.path[:len(r.path)-1] }

// Report is called with the result of the comparison of a leaf.
func (r *reporter) Report(result cmp.Result) {
	if result.Equal() {
		return
	}
	was, is := r.path.Last().Values()
	d := Difference{Path: formatPath(r.path), Change: Changed}
	switch {
	case isAbsent(was):
		d.Change = Added
	case isAbsent(is):
		d.Change = Removed
	default:
		d.Was, d.Is = r.formatValue(was), r.formatValue(is)
	}
	r.differences = append(r.differences, d)
}

func isAbsent(v reflect.Value) bool {
	return !v.IsValid() || v.Kind() == reflect.Pointer && v.IsNil()
}

func (r *reporter) formatValue(v reflect.Value) string {
	if s := r.format(v.Interface()); s != "" {
		return s
	}
	return Format(v.Interface())
}

// formatPath formats a path with the names that the fields have in JSON. Steps
// through pointers aren't visible in the text.
func formatPath(path cmp.Path) string {
	var b strings.Builder
	for i, step := range path {
		switch s := step.(type) {
		case cmp.StructField:
			name := s.Name()
			if tag := path[i-1].Type().Field(s.Index()).Tag.Get("json"); tag != "" {
				name, _, _ = strings.Cut(tag, ",")
			}
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(name)
		case cmp.MapIndex:
			b.WriteString("[" + s.Key().String() + "]")
		case cmp.SliceIndex:
			b.WriteString("[" + strconv.Itoa(s.Key()) + "]")
		}
	}
	return b.String()
}
