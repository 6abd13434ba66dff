// Package decoder reads YAML strictly and keeps the place of every value, so
// that whoever checks the values can report all findings at once, each with
// its file, line and column. The settings and the operator's text use it.
package decoder

import "fmt"

// Finding is one thing that is wrong in a file, with its place.
type Finding struct {
	File   string
	Line   int
	Column int
	// Path leads to the value, like Teams[2].Limit.CPU.
	Path string
	// Message says what is wrong and what is allowed.
	Message string
}

// String prints the finding as FILE:LINE:COLUMN: PATH: MESSAGE.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Message)
}
