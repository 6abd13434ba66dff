package placer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// Scorer chooses among the upstreams that a batch task fits on. The set is
// closed: FirstFit, BestFit, LeastSum, Aligned.
type Scorer interface{ scorer() }

// FirstFit takes the first in the order of announcement, for each kind of
// work; it is the baseline of the measurements.
type FirstFit struct{}

// BestFit takes the upstream whose largest free fraction is smallest.
type BestFit struct{}

// LeastSum takes the upstream whose sum of free fractions is smallest.
type LeastSum struct{}

// Aligned takes, among the first by LeastSum, the upstream whose free room is
// shaped most like the task: the largest dot product of unit length.
type Aligned struct{}

func (FirstFit) scorer() {}
func (BestFit) scorer()  {}
func (LeastSum) scorer() {}
func (Aligned) scorer()  {}

// fractionUnit is the whole of an upstream's dimension in rank arithmetic.
const fractionUnit = 1 << 12

// alignedCandidates bounds the upstreams that Aligned compares.
const alignedCandidates = 16

// rank orders the upstreams for a scorer: tightest first.
func (c *Cell) rank(u *upstream) int64 {
	switch c.scorer.(type) {
	case FirstFit:
		return int64(u.slot)
	case BestFit:
		return dominantFraction(u.free(), u.Capacity)
	case LeastSum, Aligned:
		return sumFractions(u.free(), u.Capacity)
	default:
		panic("placer: unknown scorer")
	}
}

func dominantFraction(free, holds unit.Resources) int64 {
	f, h := free.Vector(), holds.Vector()
	var most int64
	for d := range f {
		if h[d] > 0 {
			most = max(most, fraction(f[d], h[d]))
		}
	}
	return most
}

func sumFractions(free, holds unit.Resources) int64 {
	f, h := free.Vector(), holds.Vector()
	var sum int64
	for d := range f {
		if h[d] > 0 {
			sum += fraction(f[d], h[d])
		}
	}
	return sum
}

func fraction(part, whole int64) int64 {
	return int64(float64(part) / float64(whole) * fractionUnit)
}

// alignment is the squared cosine between need and the free room, by
// fractions of what the upstream holds.
func alignment(need, free, holds unit.Resources) float64 {
	n, f, h := need.Vector(), free.Vector(), holds.Vector()
	var dot, nn, ff float64
	for d := range n {
		if h[d] <= 0 {
			continue
		}
		a := float64(n[d]) / float64(h[d])
		b := float64(f[d]) / float64(h[d])
		dot += a * b
		nn += a * a
		ff += b * b
	}
	if nn == 0 || ff == 0 {
		return 0
	}
	return dot * dot / (nn * ff)
}
