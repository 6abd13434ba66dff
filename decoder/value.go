package decoder

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"go.yaml.in/yaml/v3"
)

// Value is a node of a file's YAML tree, with its position and path. The zero
// Value is absent: reading it returns zero values, and findings about it are
// dropped.
type Value struct {
	findings *Findings
	node     *yaml.Node
	path     string
}

// IsPresent reports whether the file contains the value.
func (v Value) IsPresent() bool { return v.node != nil }

// Line returns the line of the value, or 0 if it is absent.
func (v Value) Line() int {
	if v.node == nil {
		return 0
	}
	return v.node.Line
}

// Path returns the path of the value, like Teams[2].Limit.CPU.
func (v Value) Path() string { return v.path }

// Reject records a finding about the value.
func (v Value) Reject(format string, args ...any) {
	if v.node == nil {
		return
	}
	v.findings.add(v.node.Line, v.node.Column, v.path, fmt.Sprintf(format, args...))
}

// Warn records a warning about the value.
func (v Value) Warn(format string, args ...any) {
	if v.node == nil {
		return
	}
	v.findings.Add(Warning, v.node.Line, v.node.Column, v.path, fmt.Sprintf(format, args...))
}

// RejectName records a finding about a name that isn't among the known ones. It
// adds the nearest known name, if any, to the message.
func (v Value) RejectName(name string, known iter.Seq[string], format string, args ...any) {
	if v.node == nil {
		return
	}
	message := fmt.Sprintf(format, args...)
	// The search is expensive, so skip it for findings that are dropped.
	if !v.findings.IsFull(Error) {
		if nearest := Nearest(name, known); nearest != "" {
			message += "; did you mean " + nearest + "?"
		}
	}
	v.Reject("%s", message)
}

// Fields maps the name of each allowed field of an object to the function that
// reads its value.
type Fields map[string]func(Value)

func (f Fields) formatNames() string {
	return strings.Join(slices.Sorted(maps.Keys(f)), ", ")
}

// Object reads the fields of an object in the order of the file. It records
// findings about unknown, repeated and missing required fields.
func (v Value) Object(allowed Fields, required ...string) {
	if !v.isKind(yaml.MappingNode, func() string { return "an object with the fields " + allowed.formatNames() }) {
		return
	}
	lines := map[string]int{}
	for i := 0; i+1 < len(v.node.Content); i += 2 {
		key, value := v.node.Content[i], v.node.Content[i+1]
		field := v.fieldValue(key, key.Value)
		read, ok := allowed[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || !ok:
			field.rejectField(key, allowed)
		case lines[key.Value] > 0:
			field.Reject("repeated field; it stands in line %d already", lines[key.Value])
		default:
			lines[key.Value] = key.Line
			read(v.fieldValue(value, key.Value))
		}
	}
	for _, name := range required {
		if lines[name] == 0 {
			v.fieldValue(v.node, name).Reject("the field is missing")
		}
	}
}

func (v Value) rejectField(key *yaml.Node, allowed Fields) {
	v.RejectName(key.Value, maps.Keys(allowed), "unknown field; allowed are %s", allowed.formatNames())
}

// List calls read for each item of a list, in order.
func (v Value) List(read func(Value)) {
	if !v.isKind(yaml.SequenceNode, func() string { return "a list" }) {
		return
	}
	for i, n := range v.node.Content {
		read(v.itemValue(n, i))
	}
}

// isKind reports whether v is present and of the given kind. It records a
// finding if v is of another kind, and calls want only then, for a description
// of the valid values.
func (v Value) isKind(kind yaml.Kind, want func() string) bool {
	if v.node == nil {
		return false
	}
	if v.node.Kind != kind {
		v.Reject("%s; want %s", v.describe(), want())
		return false
	}
	return true
}

// describe describes the value in a finding about a wrong type.
func (v Value) describe() string {
	switch {
	case v.node.Kind == yaml.MappingNode:
		return "an object stands here"
	case v.node.Kind == yaml.SequenceNode:
		return "a list stands here"
	case v.node.ShortTag() == "!!null":
		return "the value is empty"
	default:
		return "the value is " + quote(v.node.Value)
	}
}

// fieldValue returns the node n with the path of the field name of v.
func (v Value) fieldValue(n *yaml.Node, name string) Value {
	path := name
	if !isPrintable(name) {
		path = quote(name)
	}
	if v.path != "" {
		path = v.path + "." + path
	}
	return Value{findings: v.findings, node: n, path: path}
}

// isPrintable reports whether a field's name can be printed without quotes.
// Findings are printed to terminals, which interpret control characters.
func isPrintable(name string) bool {
	return len(name) <= maxQuotedBytes && name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return !unicode.IsPrint(r) || r == unicode.ReplacementChar
	})
}

// itemValue returns the node n with the path of the i-th item of v.
func (v Value) itemValue(n *yaml.Node, i int) Value {
	return Value{findings: v.findings, node: n, path: v.path + "[" + strconv.Itoa(i) + "]"}
}

// maxQuotedBytes bounds the part of a value that a finding quotes.
const maxQuotedBytes = 40

// quote quotes a text of the file for a finding, shortened to maxQuotedBytes.
func quote(s string) string {
	if len(s) > maxQuotedBytes {
		return strconv.Quote(s[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(s)
}
