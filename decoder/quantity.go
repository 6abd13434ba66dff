package decoder

import (
	"maps"
	"math/big"
	"regexp"
	"strconv"
	"strings"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Bounds of quantities. They leave room for sums without overflow.
const (
	MaxCPU    = 10_000_000 * unit.Core
	MaxMemory = 10_000_000 * unit.Gigabyte
	MaxCount  = unit.Count(1_000_000_000)
)

// scale holds the units of a quantity and how many base units each has.
type scale struct {
	units map[string]int64
	want  string
}

var (
	cpuScale = scale{
		units: map[string]int64{"": int64(unit.Core), "m": 1},
		want:  "a number of cores like 2 or 0.5, or thousandths of a core like 500m",
	}
	memoryScale = scale{
		units: map[string]int64{
			"B": 1, "KB": 1e3, "MB": 1e6, "GB": 1e9, "TB": 1e12,
			"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40,
		},
		want: "a size like 64MB; units are B, KB, MB, GB, TB, KiB, MiB, GiB, TiB",
	}
	spanScale = scale{
		units: map[string]int64{
			"ms": 1, "s": int64(clock.Second), "m": int64(clock.Minute), "h": int64(clock.Hour), "d": int64(clock.Day),
		},
		want: "a span of time like 100ms or 3s; units are ms, s, m, h, d",
	}
)

// CPU reads an amount of processor time: cores, or thousandths with an m.
func (v Value) CPU() unit.MilliCPU {
	n, _ := v.quantity(cpuScale, 0, int64(MaxCPU), "0 to 10000000 cores")
	return unit.MilliCPU(n)
}

// Memory reads a size.
func (v Value) Memory() unit.Bytes {
	n, _ := v.quantity(memoryScale, 0, int64(MaxMemory), "0B to 10000TB")
	return unit.Bytes(n)
}

// Count reads a number of whole things.
func (v Value) Count() unit.Count {
	return unit.Count(v.Integer(0, int64(MaxCount)))
}

// Duration reads a span of time from low to high. It reports whether the span
// could be read.
func (v Value) Duration(low, high clock.Millis) (clock.Millis, bool) {
	n, ok := v.quantity(spanScale, int64(low), int64(high), FormatDuration(low)+" to "+FormatDuration(high))
	return clock.Millis(n), ok
}

var quantityPattern = regexp.MustCompile(`^([0-9]{1,18}(?:\.[0-9]{1,9})?)([A-Za-z]*)$`)

func (v Value) quantity(s scale, low, high int64, allowed string) (int64, bool) {
	if !v.isScalar(s.want, "!!str", "!!int", "!!float") {
		return 0, false
	}
	m := quantityPattern.FindStringSubmatch(v.node.Value)
	if m == nil {
		v.Reject("the value is %s; want %s", brief(v.node.Value), s.want)
		return 0, false
	}
	factor, ok := s.units[m[2]]
	if !ok {
		v.rejectUnit(m[2], s)
		return 0, false
	}
	n, whole := multiply(m[1], factor)
	if !whole {
		v.Reject("the value is %s, which is finer than can be counted; want %s", brief(v.node.Value), s.want)
		return 0, false
	}
	if n < low || n > high {
		v.Reject("the value is %s; allowed are %s", brief(v.node.Value), allowed)
		return 0, false
	}
	return n, true
}

func (v Value) rejectUnit(name string, s scale) {
	if name == "" {
		v.Reject("the value is %s, without a unit; want %s", brief(v.node.Value), s.want)
		return
	}
	v.RejectName(name, maps.Keys(s.units), "the value is %s, whose unit is unknown; want %s", brief(v.node.Value), s.want)
}

// multiply returns a decimal number times a factor, and whether the product is
// a whole number. A product that is too large for int64 is given as -1, which
// is below every bound.
func multiply(decimal string, factor int64) (product int64, whole bool) {
	r, ok := new(big.Rat).SetString(decimal)
	if !ok {
		return 0, false
	}
	r.Mul(r, new(big.Rat).SetInt64(factor))
	if !r.IsInt() {
		return 0, false
	}
	if !r.Num().IsInt64() {
		return -1, true
	}
	return r.Num().Int64(), true
}

// FormatDuration prints a span as Duration reads it, in the largest unit that divides
// it.
func FormatDuration(m clock.Millis) string {
	for _, name := range []string{"d", "h", "m", "s"} {
		if n := spanScale.units[name]; m != 0 && int64(m)%n == 0 {
			return strconv.FormatInt(int64(m)/n, 10) + name
		}
	}
	return strconv.FormatInt(int64(m), 10) + "ms"
}

// FormatCPU prints an amount as CPU reads it.
func FormatCPU(c unit.MilliCPU) string {
	if c%unit.Core == 0 {
		return strconv.FormatInt(int64(c/unit.Core), 10)
	}
	return strconv.FormatInt(int64(c), 10) + "m"
}

// FormatMemory prints a size as Memory reads it, in the largest decimal unit
// that divides it.
func FormatMemory(b unit.Bytes) string {
	for _, name := range strings.Fields("TB GB MB KB") {
		if n := memoryScale.units[name]; b != 0 && int64(b)%n == 0 {
			return strconv.FormatInt(int64(b)/n, 10) + name
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

// FormatCount prints a number as Count reads it.
func FormatCount(c unit.Count) string {
	return strconv.FormatInt(int64(c), 10)
}
