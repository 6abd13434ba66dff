package decoder

import (
	"iter"
	"strings"
)

// maxComparedBytes bounds the length of the names that Nearest compares. The
// cost of a comparison grows with the product of the lengths.
const maxComparedBytes = 64

// maxEditDistance bounds the edit distance between a name and the candidate that
// Nearest returns for it.
const maxEditDistance = 3

// Nearest returns the candidate with the smallest edit distance to a misspelled
// name, ignoring case, or "" if none is close. Among equally close candidates it
// returns the first in alphabetical order.
func Nearest(name string, candidates iter.Seq[string]) string {
	if name == "" || len(name) > maxComparedBytes {
		return ""
	}
	nearest, bestDistance := "", min(len(name)/2, maxEditDistance)
	for c := range candidates {
		// The edit distance is at least the difference of the lengths.
		if c == "" || len(c) > maxComparedBytes || max(len(c)-len(name), len(name)-len(c)) > bestDistance {
			continue
		}
		d := editDistance(strings.ToLower(name), strings.ToLower(c))
		if d < bestDistance || d == bestDistance && (nearest == "" || c < nearest) {
			nearest, bestDistance = c, d
		}
	}
	return nearest
}

// editDistance returns the number of bytes to insert, remove or replace in order
// to turn a into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
