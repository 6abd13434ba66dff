package decoder

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Value is a place in a file and what stands there. The zero Value is absent:
// reading it gives zero values, and findings about it are dropped.
type Value struct {
	found *Findings
	node  *yaml.Node
	path  string
}

// IsPresent reports whether the file has the value.
func (v Value) IsPresent() bool { return v.node != nil }

// Line returns the line of the value; 0 if it is absent.
func (v Value) Line() int {
	if v.node == nil {
		return 0
	}
	return v.node.Line
}

// Path leads to the value, like Teams[2].Limit.CPU.
func (v Value) Path() string { return v.path }

// Reject records a finding about the value.
func (v Value) Reject(format string, args ...any) {
	if v.node == nil {
		return
	}
	v.found.add(v.node.Line, v.node.Column, v.path, fmt.Sprintf(format, args...))
}

// RejectName records a finding about a name that isn't one of the known ones,
// and adds the one that was probably meant.
func (v Value) RejectName(name string, known iter.Seq[string], format string, args ...any) {
	if v.node == nil {
		return
	}
	message := fmt.Sprintf(format, args...)
	// The search is costly, so it is left out for findings that aren't kept.
	if !v.found.isFull() {
		if near := Nearest(name, known); near != "" {
			message += "; did you mean " + near + "?"
		}
	}
	v.Reject("%s", message)
}

// Fields says how each allowed field of an object is read.
type Fields map[string]func(Value)

func (f Fields) list() string {
	return strings.Join(slices.Sorted(maps.Keys(f)), ", ")
}

// Object reads the fields of an object in the order of the file. Fields that
// aren't allowed, repeated fields and missing required fields are findings.
func (v Value) Object(allowed Fields, required ...string) {
	if !v.isKind(yaml.MappingNode, func() string { return "an object with the fields " + allowed.list() }) {
		return
	}
	lines := map[string]int{}
	for i := 0; i+1 < len(v.node.Content); i += 2 {
		key, value := v.node.Content[i], v.node.Content[i+1]
		place := v.field(key, key.Value)
		read, ok := allowed[key.Value]
		switch {
		case key.Kind != yaml.ScalarNode || !ok:
			place.rejectField(key, allowed)
		case lines[key.Value] > 0:
			place.Reject("repeated field; it stands in line %d already", lines[key.Value])
		default:
			lines[key.Value] = key.Line
			read(v.field(value, key.Value))
		}
	}
	for _, name := range required {
		if lines[name] == 0 {
			v.field(v.node, name).Reject("the field is missing")
		}
	}
}

func (v Value) rejectField(key *yaml.Node, allowed Fields) {
	v.RejectName(key.Value, maps.Keys(allowed), "unknown field; allowed are %s", allowed.list())
}

// List reads the items of a list in order.
func (v Value) List(read func(Value)) {
	if !v.isKind(yaml.SequenceNode, func() string { return "a list" }) {
		return
	}
	for i, n := range v.node.Content {
		read(v.item(n, i))
	}
}

// isKind reports whether v is present and of a kind; the wrong kind is a
// finding. want is called for a finding only.
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

// describe says what the value is, for a finding about a wrong type.
func (v Value) describe() string {
	switch {
	case v.node.Kind == yaml.MappingNode:
		return "an object stands here"
	case v.node.Kind == yaml.SequenceNode:
		return "a list stands here"
	case v.node.ShortTag() == "!!null":
		return "the value is empty"
	default:
		return "the value is " + brief(v.node.Value)
	}
}

func (v Value) field(n *yaml.Node, name string) Value {
	if len(name) > maxBrief {
		name = name[:maxBrief] + "..."
	}
	path := strings.ToValidUTF8(name, "?")
	if v.path != "" {
		path = v.path + "." + path
	}
	return Value{found: v.found, node: n, path: path}
}

func (v Value) item(n *yaml.Node, i int) Value {
	return Value{found: v.found, node: n, path: v.path + "[" + strconv.Itoa(i) + "]"}
}

// maxBrief bounds how much of a file's text a finding repeats, in bytes.
const maxBrief = 40

// brief quotes a text of the file for a finding.
func brief(s string) string {
	if len(s) > maxBrief {
		return strconv.Quote(s[:maxBrief]) + "..."
	}
	return strconv.Quote(s)
}
