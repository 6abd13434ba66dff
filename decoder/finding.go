package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Finding is one thing that is wrong in a file, with its place.
type Finding struct {
	File   string
	Line   int
	Column int
	// Path leads to the value, like Teams[2].Limit.CPU. Items count from 0.
	Path string
	// Message says what is wrong and what is allowed.
	Message string
}

// String prints the finding as FILE:LINE:COLUMN: PATH: MESSAGE.
func (f Finding) String() string {
	path := f.Path
	if path == "" {
		path = "."
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, path, f.Message)
}

// Findings collects what is wrong in one file.
type Findings struct {
	file  string
	list  []Finding
	extra int
}

func (f *Findings) isFull() bool { return len(f.list) >= MaxFindings }

func (f *Findings) add(line, column int, path, message string) {
	if f.isFull() {
		f.extra++
		return
	}
	f.list = append(f.list, Finding{File: f.file, Line: line, Column: column, Path: path, Message: message})
}

// List returns the findings in the order of their places; nil if there are
// none.
func (f *Findings) List() []Finding {
	list := slices.Clone(f.list)
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if f.extra > 0 {
		last := list[len(list)-1]
		last.Path = ""
		last.Message = "and " + strconv.Itoa(f.extra) + " more findings"
		list = append(list, last)
	}
	return list
}
