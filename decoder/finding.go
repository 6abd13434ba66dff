package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Finding is a mistake in a file, with its position.
type Finding struct {
	File   string
	Line   int
	Column int
	// Path is the path of the value, like Teams[2].Limit.CPU. It is empty for
	// the whole file. The first item of a list has the index 0.
	Path string
	// Message describes the mistake and what is allowed.
	Message string
}

// String returns the finding as FILE:LINE:COLUMN: PATH: MESSAGE. The path of the
// whole file is a dot.
func (f Finding) String() string {
	path := f.Path
	if path == "" {
		path = "."
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, path, f.Message)
}

// Findings collects the findings of one file.
type Findings struct {
	file string
	list []Finding
	// dropped is the number of findings beyond MaxFindings.
	dropped int
}

func (f *Findings) isFull() bool { return len(f.list) >= MaxFindings }

func (f *Findings) add(line, column int, path, message string) {
	if f.isFull() {
		f.dropped++
		return
	}
	f.list = append(f.list, Finding{File: f.file, Line: line, Column: column, Path: path, Message: message})
}

// List returns the findings sorted by position, or nil if there are none.
func (f *Findings) List() []Finding {
	list := slices.Clone(f.list)
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if f.dropped > 0 {
		last := list[len(list)-1]
		last.Path = ""
		last.Message = "and " + strconv.Itoa(f.dropped) + " more findings"
		list = append(list, last)
	}
	return list
}
