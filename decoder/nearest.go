package decoder

import "strings"

// maxNearest bounds the length of the names that Nearest compares, since its
// cost grows with the product of the lengths.
const maxNearest = 64

// Nearest returns the candidate that a misspelled name most likely means, or
// an empty text if none is close. Candidates that are equally close are taken
// in the given order.
func Nearest(name string, candidates []string) string {
	if name == "" || len(name) > maxNearest {
		return ""
	}
	nearest, least := "", len(name)/3+1
	for _, c := range candidates {
		if strings.EqualFold(c, name) {
			return c
		}
		if len(c) > maxNearest {
			continue
		}
		if d := distance(strings.ToLower(name), strings.ToLower(c)); d <= least && (nearest == "" || d < least) {
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
