package differ

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type entry struct {
	Name string
	Size int `json:"Bytes"`
	Keys []string
}

type config struct {
	Entries *map[string]entry
	Text    string
}

func TestCompare(t *testing.T) {
	list := func(entries ...entry) config {
		named := ByName(entries, func(e entry) string { return e.Name })
		return config{Entries: &named}
	}
	for name, c := range map[string]struct {
		was, is config
		want    string
	}{
		// Guards against differences where only the notation differs.
		"order and empty lists": {list(entry{"a", 1, nil}, entry{"b", 1, []string{"x", "y"}}), list(entry{"b", 1, []string{"y", "x"}}, entry{"a", 1, []string{}}), ""},
		// Guards against an entry that is reported under its index or its Go name.
		"changed":           {list(entry{"a", 1, nil}), list(entry{"b", 1, nil}, entry{"a", 2, nil}), "Entries[a].Bytes: was 1, is 2\nEntries[b]: added"},
		"removed":           {list(entry{"a", 1, nil}), list(), "Entries[a]: removed"},
		"first list":        {config{}, list(), "Entries: added"},
		"list as one value": {list(entry{"a", 1, []string{"x"}}), list(entry{"a", 1, []string{"y"}}), "Entries[a].Keys: was [x], is [y]"},
		// Guards against a second entry of a name that hides a difference.
		"repeated name": {list(entry{"a", 1, nil}, entry{"a", 2, nil}), list(entry{"a", 1, nil}, entry{"a", 3, nil}), "Entries[a 2].Bytes: was 2, is 3"},
		// Guards against control characters on a terminal.
		"odd name":  {list(), list(entry{"\x1b[2J", 1, nil}), `Entries["\x1b[2J"]: added`},
		"long text": {config{Text: "a"}, config{Text: strings.Repeat("b", 99)}, `Text: was "a", is "` + strings.Repeat("b", 60) + `"... (99 bytes)`},
	} {
		t.Run(name, func(t *testing.T) {
			var lines []string
			differences := Compare(c.was, c.is, func(any) string { return "" }, SetOf[[]string]())
			for _, d := range differences {
				lines = append(lines, fmt.Sprint(d))
			}
			is.New(t).Equal(strings.Join(lines, "\n"), c.want)
		})
	}
}
