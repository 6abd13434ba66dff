package placer

import (
	"github.com/chervilvane/chervilvane/unit"
)

// Scorer chooses among the upstreams on which a task fits. The set is closed:
// FirstFit, BestFit, LeastSum, Aligned.
type Scorer interface{ scorer() }

// FirstFit chooses the upstream with the lowest slot, for tasks of every kind.
// Benchmarks compare the other scorers with it.
type FirstFit struct{}

// BestFit chooses the upstream whose largest free fraction is smallest.
type BestFit struct{}

// LeastSum chooses the upstream whose sum of free fractions is smallest.
type LeastSum struct{}

// Aligned chooses, among the upstreams that LeastSum ranks first, the one whose
// free capacity is proportioned most like the task: the largest cosine between
// the two.
type Aligned struct{}

func (FirstFit) scorer() {}
func (BestFit) scorer()  {}
func (LeastSum) scorer() {}
func (Aligned) scorer()  {}

// fractionScale is the rank of a dimension that is entirely free.
const fractionScale = 1 << 12

// alignedCandidates bounds how many upstreams Aligned compares.
const alignedCandidates = 16

// rank returns an upstream's rank in the indexes. The upstream that the scorer
// prefers has the lowest.
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

func dominantFraction(free, capacity unit.Resources) int64 {
	freeVector, capacityVector := free.Vector(), capacity.Vector()
	var largest int64
	for d := range freeVector {
		if capacityVector[d] > 0 {
			largest = max(largest, fraction(freeVector[d], capacityVector[d]))
		}
	}
	return largest
}

func sumFractions(free, capacity unit.Resources) int64 {
	freeVector, capacityVector := free.Vector(), capacity.Vector()
	var sum int64
	for d := range freeVector {
		if capacityVector[d] > 0 {
			sum += fraction(freeVector[d], capacityVector[d])
		}
	}
	return sum
}

func fraction(part, whole int64) int64 {
	return int64(float64(part) / float64(whole) * fractionScale)
}

// alignment returns the squared cosine between need and free, both as fractions
// of capacity.
func alignment(need, free, capacity unit.Resources) float64 {
	needVector, freeVector, capacityVector := need.Vector(), free.Vector(), capacity.Vector()
	var dot, needNorm, freeNorm float64
	for d := range needVector {
		if capacityVector[d] <= 0 {
			continue
		}
		a := float64(needVector[d]) / float64(capacityVector[d])
		b := float64(freeVector[d]) / float64(capacityVector[d])
		dot += a * b
		needNorm += a * a
		freeNorm += b * b
	}
	if needNorm == 0 || freeNorm == 0 {
		return 0
	}
	return dot * dot / (needNorm * freeNorm)
}
