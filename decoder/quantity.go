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

// Upper bounds of quantities. They are low enough that sums don't overflow.
const (
	MaxCPU    = 10_000_000 * unit.Core
	MaxMemory = 10_000_000 * unit.Gigabyte
	MaxCount  = unit.Count(1_000_000_000)
)

// unitScale describes the units of a kind of quantity.
type unitScale struct {
	// units maps the name of each unit to its size in base units.
	units map[string]int64
	// want describes a valid quantity, for findings.
	want string
}

var (
	cpuScale = unitScale{
		units: map[string]int64{"": int64(unit.Core), "m": 1},
		want:  "a number of cores like 2 or 0.5, or thousandths of a core like 500m",
	}
	memoryScale = unitScale{
		units: map[string]int64{
			"B": 1, "KB": 1e3, "MB": 1e6, "GB": 1e9, "TB": 1e12,
			"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40,
		},
		want: "a size like 64MB; units are B, KB, MB, GB, TB, KiB, MiB, GiB, TiB",
	}
	durationScale = unitScale{
		units: map[string]int64{
			"ms": 1, "s": int64(clock.Second), "m": int64(clock.Minute), "h": int64(clock.Hour), "d": int64(clock.Day),
		},
		want: "a span of time like 100ms or 3s; units are ms, s, m, h, d",
	}
)

// CPU reads a number of processor cores, or of thousandths of a core with the
// unit m.
func (v Value) CPU() unit.MilliCPU {
	n, _ := v.readQuantity(cpuScale, 0, int64(MaxCPU), "0 to 10000000 cores")
	return unit.MilliCPU(n)
}

// Memory reads a size in bytes, with its unit.
func (v Value) Memory() unit.Bytes {
	n, _ := v.readQuantity(memoryScale, 0, int64(MaxMemory), "0B to 10000TB")
	return unit.Bytes(n)
}

// Count reads a whole number from 0 to MaxCount.
func (v Value) Count() unit.Count {
	return unit.Count(v.Integer(0, int64(MaxCount)))
}

// Duration reads a duration and reports whether it is valid and from low to
// high.
func (v Value) Duration(low, high clock.Millis) (clock.Millis, bool) {
	n, ok := v.readQuantity(durationScale, int64(low), int64(high), FormatDuration(low)+" to "+FormatDuration(high))
	return clock.Millis(n), ok
}

var quantityPattern = regexp.MustCompile(`^([0-9]{1,18}(?:\.[0-9]{1,9})?)([A-Za-z]*)$`)

// readQuantity returns a quantity in base units and reports whether it is valid
// and from low to high. allowed describes that range in a finding.
func (v Value) readQuantity(s unitScale, low, high int64, allowed string) (int64, bool) {
	if !v.isScalar(s.want, "!!str", "!!int", "!!float") {
		return 0, false
	}
	match := quantityPattern.FindStringSubmatch(v.node.Value)
	if match == nil {
		v.Reject("the value is %s; want %s", quote(v.node.Value), s.want)
		return 0, false
	}
	factor, ok := s.units[match[2]]
	if !ok {
		v.rejectUnit(match[2], s)
		return 0, false
	}
	n, isWhole := multiply(match[1], factor)
	if !isWhole {
		v.Reject("the value is %s, which is finer than can be counted; want %s", quote(v.node.Value), s.want)
		return 0, false
	}
	if n < low || n > high {
		v.Reject("the value is %s; allowed are %s", quote(v.node.Value), allowed)
		return 0, false
	}
	return n, true
}

func (v Value) rejectUnit(name string, s unitScale) {
	if name == "" {
		v.Reject("the value is %s, without a unit; want %s", quote(v.node.Value), s.want)
		return
	}
	v.RejectName(name, maps.Keys(s.units), "the value is %s, whose unit is unknown; want %s", quote(v.node.Value), s.want)
}

// multiply returns the product of a decimal number and a factor, and reports
// whether it is a whole number. It returns -1, which every range of quantities
// excludes, for a product that overflows int64.
func multiply(decimal string, factor int64) (product int64, isWhole bool) {
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

// FormatDuration formats a duration as Duration reads it, in the largest unit
// that divides it.
func FormatDuration(m clock.Millis) string {
	for _, name := range []string{"d", "h", "m", "s"} {
		if n := durationScale.units[name]; m != 0 && int64(m)%n == 0 {
			return strconv.FormatInt(int64(m)/n, 10) + name
		}
	}
	return strconv.FormatInt(int64(m), 10) + "ms"
}

// FormatCPU formats an amount as CPU reads it.
func FormatCPU(c unit.MilliCPU) string {
	if c%unit.Core == 0 {
		return strconv.FormatInt(int64(c/unit.Core), 10)
	}
	return strconv.FormatInt(int64(c), 10) + "m"
}

// FormatMemory formats a size as Memory reads it, in the largest decimal unit
// that divides it.
func FormatMemory(b unit.Bytes) string {
	for _, name := range strings.Fields("TB GB MB KB") {
		if n := memoryScale.units[name]; b != 0 && int64(b)%n == 0 {
			return strconv.FormatInt(int64(b)/n, 10) + name
		}
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

// FormatCount formats a number as Count reads it.
func FormatCount(c unit.Count) string {
	return strconv.FormatInt(int64(c), 10)
}
