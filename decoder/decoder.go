// Package decoder reads YAML strictly and keeps the position of every value, so
// that all findings of a file can be reported at once, each with its file, line
// and column. Package loader reads the settings with it, and package parser the
// operator's text.
//
// Read parses a file and returns the root of its tree as a Value. The caller
// descends with Object and List and reads scalars with methods such as Text,
// Integer and Duration. A method that reads an invalid value records a finding
// and returns the zero value, so reading continues after a mistake. The caller
// records findings of its own with Value.Reject, for instance about a name that
// the file doesn't define.
//
// The input isn't trusted: its size, its depth and the number of findings are
// bounded, and anchors, aliases, tags and further documents are rejected.
package decoder

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Bounds of the input and of the findings.
const (
	// MaxFileBytes bounds the size of a file.
	MaxFileBytes = 1 << 20
	// MaxDepth bounds the nesting depth of values.
	MaxDepth = 16
	// MaxFindings bounds the findings of a file, for each severity. Findings.List
	// adds one that gives the number of further ones.
	MaxFindings = 500
)

// Read parses a file and returns the root of its tree. It uses file, the name of
// the file, in findings only. After a syntax error the root is absent: reading
// it returns zero values and records no further findings.
func Read(file string, text []byte) (Value, *Findings) {
	findings := NewFindings(file)
	if len(text) > MaxFileBytes {
		findings.add(1, 1, "", fmt.Sprintf("the file has %d bytes; at most %d are allowed", len(text), MaxFileBytes))
		return Value{findings: findings}, findings
	}
	document, second, err := parse(text)
	if err != nil {
		findings.addSyntax(err)
		return Value{findings: findings}, findings
	}
	if document == nil || len(document.Content) == 0 {
		findings.add(1, 1, "", "the file is empty")
		return Value{findings: findings}, findings
	}
	if second != nil {
		findings.add(second.Line, second.Column, "", "a second document begins; one document is allowed")
	}
	root := Value{findings: findings, node: document.Content[0]}
	if !root.checkShape(0) {
		return Value{findings: findings}, findings
	}
	return root, findings
}

// parse returns the first and the second document of a text, nil for each that
// is missing. It returns an error if the YAML library panics, as it may on
// malicious input.
func parse(text []byte) (document, second *yaml.Node, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("the YAML can't be read: %v", r)
		}
	}()
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	document = new(yaml.Node)
	if err := decoder.Decode(document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, nil, nil
		}
		return nil, nil, err
	}
	second = new(yaml.Node)
	switch err := decoder.Decode(second); {
	case errors.Is(err, io.EOF):
		return document, nil, nil
	case err != nil:
		return nil, nil, err
	}
	return document, second, nil
}

// syntaxErrorPattern splits an error of the YAML library into the line number,
// if any, and the message.
var syntaxErrorPattern = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)

func (f *Findings) addSyntax(err error) {
	line, message := 1, err.Error()
	if m := syntaxErrorPattern.FindStringSubmatch(message); m != nil {
		message = m[2]
		if n, err := strconv.Atoi(m[1]); err == nil && n > 0 {
			line = n
		}
	}
	f.add(line, 1, "", "not valid YAML: "+message)
}

// checkShape rejects aliases, anchors, tags and too deep nesting in the tree
// below v. It reports whether there are none.
func (v Value) checkShape(depth int) bool {
	if depth > MaxDepth {
		v.Reject("nested too deep; at most %d levels are allowed", MaxDepth)
		return false
	}
	ok := true
	switch {
	case v.node.Kind == yaml.AliasNode:
		v.Reject("aliases aren't allowed; write the value out")
		return false
	case v.node.Anchor != "":
		v.Reject("anchors aren't allowed; write the value out where it is needed")
		ok = false
	case v.node.Style&yaml.TaggedStyle != 0:
		v.Reject("tags like %s aren't allowed", quote(v.node.Tag))
		ok = false
	}
	for i, n := range v.node.Content {
		if !v.childValue(n, i).checkShape(depth + 1) {
			ok = false
		}
	}
	return ok
}

// childValue returns the i-th child node of v. The children of an object are its
// keys and values in turn; both get the path of the field.
func (v Value) childValue(n *yaml.Node, i int) Value {
	if v.node.Kind == yaml.SequenceNode {
		return v.itemValue(n, i)
	}
	return v.fieldValue(n, v.node.Content[i&^1].Value)
}
