package decoder

import (
	"iter"
	"strings"
)

// maxNearest bounds the length of the names that Nearest compares, since its
// cost grows with the product of the lengths.
const maxNearest = 64

// maxDistance bounds how different a name may be that was meant.
const maxDistance = 3

// Nearest returns the candidate that a misspelled name most likely means, or
// an empty text if none is close. Of equally close ones it is the first in
// the order of the alphabet.
func Nearest(name string, candidates iter.Seq[string]) string {
	if name == "" || len(name) > maxNearest {
		return ""
	}
	nearest, least := "", min(len(name)/2, maxDistance)
	for c := range candidates {
		// The difference of the lengths is a lower bound of the distance.
		if c == "" || len(c) > maxNearest || max(len(c)-len(name), len(name)-len(c)) > least {
			continue
		}
		d := distance(strings.ToLower(name), strings.ToLower(c))
		if d < least || d == least && (nearest == "" || c < nearest) {
			nearest, least = c, d
		}
	}
	return nearest
}

// distance counts the inserted, removed and replaced bytes between two texts.
func distance(a, b string) int {
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
