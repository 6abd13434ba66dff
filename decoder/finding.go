package decoder

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Severity is the severity of a finding.
type Severity int

// The severities. A finding whose severity isn't given is an error.
const (
	// Error is a mistake: an instance refuses the file.
	Error Severity = iota
	// Warning is an entry that an instance accepts, but that hardly does what was
	// intended.
	Warning
	numSeverities
)

// String returns the name of the severity.
func (s Severity) String() string {
	if s == Warning {
		return "warning"
	}
	return "error"
}

// MarshalText implements encoding.TextMarshaler.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It reads an unknown name as
// Error, so that a finding of a later version isn't taken too lightly.
func (s *Severity) UnmarshalText(text []byte) error {
	*s = Error
	if string(text) == Warning.String() {
		*s = Warning
	}
	return nil
}

// Finding is a mistake in a file, or a suspicious entry, with its position.
type Finding struct {
	File   string
	Line   int
	Column int
	// Path is the path of the value, like Teams[2].Limit.CPU. It is empty for
	// the whole file. The first item of a list has the index 0.
	Path string
	// Message describes the mistake and what is allowed.
	Message  string
	Severity Severity
}

// String returns the finding as FILE:LINE:COLUMN: PATH: MESSAGE. The path of the
// whole file is a dot. The message of a warning is preceded by "warning: ".
func (f Finding) String() string {
	path := f.Path
	if path == "" {
		path = "."
	}
	prefix := ""
	if f.Severity == Warning {
		prefix = "warning: "
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s%s", f.File, f.Line, f.Column, path, prefix, f.Message)
}

// HasErrors reports whether a finding of the list is an error.
func HasErrors(list []Finding) bool {
	return slices.ContainsFunc(list, func(f Finding) bool { return f.Severity == Error })
}

// Findings collects the findings of one file. It keeps MaxFindings of each
// severity, so that warnings never displace an error.
type Findings struct {
	file string
	list []Finding
	// count is the number of findings of each severity, those beyond
	// MaxFindings included.
	count [numSeverities]int
}

// NewFindings returns Findings of the file with this name.
func NewFindings(file string) *Findings { return &Findings{file: file} }

// IsFull reports whether further findings of a severity are only counted.
func (f *Findings) IsFull(s Severity) bool { return f.count[s] >= MaxFindings }

// Add adds a finding. Line and column count from 1.
func (f *Findings) Add(s Severity, line, column int, path, message string) {
	if !f.IsFull(s) {
		f.list = append(f.list, Finding{File: f.file, Line: line, Column: column, Path: path, Message: message, Severity: s})
	}
	f.count[s]++
}

func (f *Findings) add(line, column int, path, message string) {
	f.Add(Error, line, column, path, message)
}

// List returns the findings sorted by position, or nil if there are none.
func (f *Findings) List() []Finding {
	list := slices.Clone(f.list)
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	for s, noun := range [numSeverities]string{"findings", "warnings"} {
		if dropped := f.count[s] - MaxFindings; dropped > 0 {
			last := list[len(list)-1]
			last.Path, last.Severity = "", Severity(s)
			last.Message = "and " + strconv.Itoa(dropped) + " more " + noun
			list = append(list, last)
		}
	}
	return list
}
