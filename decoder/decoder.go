// Package decoder reads YAML strictly and keeps the place of every value, so
// that whoever checks the values can report all findings at once, each with
// its file, line and column. The settings and the operator's text use it.
//
// Read parses a file into a tree and returns its root as a Value. The caller
// walks the tree with Object and List and reads the leaves with Text, Integer,
// Duration and the like. A reader that meets something wrong records a finding and
// returns the zero value, so a walk never stops at the first mistake. Findings
// made later by the caller itself, for instance about a name that is missing
// elsewhere in the file, are recorded with Value.Reject.
//
// Input isn't trusted: size, depth and the number of findings are bounded,
// and aliases, tags and further documents are refused.
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

// Bounds on what is read.
const (
	// MaxBytes bounds the size of a file.
	MaxBytes = 1 << 20
	// MaxDepth bounds how deep values are nested.
	MaxDepth = 16
	// MaxFindings bounds the findings of a file; the last one then says that
	// there are more.
	MaxFindings = 500
)

// Read parses a file and returns the root of its tree. file is used in
// findings only. After a syntax error the root is absent: reading it gives
// zero values and no further findings.
func Read(file string, text []byte) (Value, *Findings) {
	found := &Findings{file: file}
	if len(text) > MaxBytes {
		found.add(1, 1, "", fmt.Sprintf("the file has %d bytes; at most %d are allowed", len(text), MaxBytes))
		return Value{found: found}, found
	}
	document, rest, err := parse(text)
	if err != nil {
		found.addSyntax(err)
		return Value{found: found}, found
	}
	if document == nil || len(document.Content) == 0 {
		found.add(1, 1, "", "the file is empty")
		return Value{found: found}, found
	}
	if rest != nil {
		found.add(rest.Line, rest.Column, "", "a second document begins; one document is allowed")
	}
	root := Value{found: found, node: document.Content[0]}
	if !root.checkShape(0) {
		return Value{found: found}, found
	}
	return root, found
}

// parse returns the first document of a text and the second one, if any. A
// panic of the YAML library on hostile input becomes an error.
func parse(text []byte) (document, rest *yaml.Node, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("the YAML can't be read: %v", r)
		}
	}()
	d := yaml.NewDecoder(bytes.NewReader(text))
	document = new(yaml.Node)
	if err := d.Decode(document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, nil, nil
		}
		return nil, nil, err
	}
	rest = new(yaml.Node)
	switch err := d.Decode(rest); {
	case errors.Is(err, io.EOF):
		return document, nil, nil
	case err != nil:
		return nil, nil, err
	}
	return document, rest, nil
}

// syntaxLine finds the line number in an error of the YAML library.
var syntaxLine = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)

func (f *Findings) addSyntax(err error) {
	line, message := 1, err.Error()
	if m := syntaxLine.FindStringSubmatch(message); m != nil {
		message = m[2]
		if n, err := strconv.Atoi(m[1]); err == nil && n > 0 {
			line = n
		}
	}
	f.add(line, 1, "", "not valid YAML: "+message)
}

// checkShape refuses aliases, anchors, tags and deep nesting anywhere below v.
// It reports whether the tree is safe to walk.
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
		v.Reject("tags like %s aren't allowed", brief(v.node.Tag))
		ok = false
	}
	for i, n := range v.node.Content {
		if !v.child(n, i).checkShape(depth + 1) {
			ok = false
		}
	}
	return ok
}

// child names the i-th node below v for a finding.
func (v Value) child(n *yaml.Node, i int) Value {
	if v.node.Kind == yaml.SequenceNode {
		return v.item(n, i)
	}
	return v.field(n, v.node.Content[i&^1].Value)
}
