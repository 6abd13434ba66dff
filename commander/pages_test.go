package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/parser"
)

// page is a reference page and the parser that it documents. sections maps a
// heading of the page to a file in which %s is replaced by fields of that
// section.
type page struct {
	file     string
	parse    func(file string, text []byte) []decoder.Finding
	sections map[string]string
	defaults map[string]string
	bounds   []string
}

var pages = map[string]page{
	"text": {
		file: "../docs/TEXT.md",
		parse: func(file string, text []byte) []decoder.Finding {
			_, findings := parser.Parse(file, text)
			return findings
		},
		sections: map[string]string{
			"Fields of the text": "{%s}", "AvailabilityZones": "AvailabilityZones: [{%s}]",
			"Teams": "Teams: [{%s}]", "Limit": "Teams: [{Limit: {%s}}]", "Need": "Jobs: [{Need: {%s}}]",
			"Queues": "Queues: [{%s}]", "Services": "Services: [{%s}]", "Batches": "Batches: [{%s}]",
			"Jobs": "Jobs: [{%s}]", "Weights": "Weights: {%s}",
		},
		defaults: map[string]string{"MaxWaiting": fmt.Sprint(parser.DefaultMaxWaiting)},
		bounds: []string{
			fmt.Sprintf("%d bytes", decoder.MaxFileBytes), fmt.Sprintf("%d levels", decoder.MaxDepth),
			fmt.Sprintf("%d findings", decoder.MaxFindings), fmt.Sprintf("at most %d bytes", parser.MaxDataBytes),
			fmt.Sprintf("at most %d characters", decoder.MaxNameBytes),
		},
	},
	"settings": {
		file: "../docs/SETTINGS.md",
		parse: func(file string, text []byte) []decoder.Finding {
			_, findings := loader.Parse(file, text)
			return findings
		},
		sections: map[string]string{
			"Fields of the settings": "{%s}", "Listen": "Listen: {%s}", "Peers": "Peers: [{%s}]", "TLS": "TLS: {%s}",
			"Operators": "Operators: [{%s}]", "Log": "Log: {%s}", "Trace": "Trace: {%s}", "Timing": "Timing: {%s}",
			"Limits": "Limits: {%s}",
		},
		defaults: map[string]string{
			"Level":        loader.DefaultLevel,
			"Heartbeat":    decoder.FormatDuration(loader.DefaultTiming.Heartbeat),
			"Election":     decoder.FormatDuration(loader.DefaultTiming.Election),
			"ZoneLease":    decoder.FormatDuration(loader.DefaultTiming.ZoneLease),
			"TaskLease":    decoder.FormatDuration(loader.DefaultTiming.TaskLease),
			"KeyFreshness": decoder.FormatDuration(loader.DefaultTiming.KeyFreshness),
			"Drain":        decoder.FormatDuration(loader.DefaultTiming.Drain),
		},
		bounds: []string{
			fmt.Sprintf("at least %d times `Heartbeat`", loader.HeartbeatsPerElection),
			fmt.Sprintf("odd number from 1 to %d", loader.MaxVoters),
		},
	},
}

// findingAt parses the section's file with these fields and returns the message
// of the finding at a path; empty if there is none.
func (p page) findingAt(section, fields, path string) string {
	for _, f := range p.parse("f", fmt.Appendf(nil, p.sections[section], fields)) {
		if f.Path == path || strings.HasSuffix(f.Path, "."+path) {
			return f.Message
		}
	}
	return ""
}

// row is a row of a table on a page.
type row struct{ allowed, defaultValue string }

var rowPattern = regexp.MustCompile("(?m)^\\| `([A-Za-z]+)` \\| (.*?) \\| (.*?) \\| .* \\|$")

// readSections returns the tables of a page by heading and field.
func readSections(text string) map[string]map[string]row {
	sections := map[string]map[string]row{}
	for part := range strings.SplitSeq(text, "\n## ") {
		for part := range strings.SplitSeq(part, "\n### ") {
			heading, body, _ := strings.Cut(part, "\n")
			for _, m := range rowPattern.FindAllStringSubmatch(body, -1) {
				if sections[heading] == nil {
					sections[heading] = map[string]row{}
				}
				sections[heading][m[1]] = row{m[2], m[3]}
			}
		}
	}
	return sections
}

func TestPagesListTheFieldsOfTheCode(t *testing.T) {
	for name, p := range pages {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			text, err := os.ReadFile(p.file)
			is.NoErr(err)
			for _, bound := range p.bounds {
				is.True(strings.Contains(string(text), bound)) // the bounds that no field has
			}
			sections := readSections(string(text))
			is.Equal(len(sections), len(p.sections))
			for section := range p.sections {
				_, allowed, _ := strings.Cut(p.findingAt(section, "Qqqqqqq: 1", "Qqqqqqq"), "allowed are ")
				var listed []string
				for field, r := range sections[section] {
					listed = append(listed, field)
					p.checkRow(is, section, field, r)
				}
				slices.Sort(listed)
				is.Equal(strings.Join(listed, ", "), allowed) // the page lists the fields of the section
			}
		})
	}
}

// checkRow compares a row of a page with the parser's findings about invalid
// values of the field.
func (p page) checkRow(is *is.I, section, field string, r row) {
	_, want, _ := strings.Cut(p.findingAt(section, field+": [[]]", field), "; want ")
	want, _, _ = strings.Cut(want, " (put a number")
	want, _, _ = strings.Cut(want, " with the fields")
	if want != "" {
		is.Equal(r.allowed[:min(len(want), len(r.allowed))], want) // the allowed values
	}
	if _, bounds, ok := strings.Cut(p.findingAt(section, field+": 99999999999d", field), "allowed are "); ok {
		is.True(strings.HasSuffix(r.allowed, "; "+bounds)) // the bounds of a duration
	}
	missing := p.findingAt(section, "", field) == "the field is missing"
	is.Equal(missing, r.defaultValue == "required") // required fields
	if want, ok := p.defaults[field]; ok {
		is.Equal(r.defaultValue, want) // the default
	}
}

func TestExamplesOfPagesHaveNoFindings(t *testing.T) {
	block := regexp.MustCompile("(?s)```yaml\n(.*?)```")
	for name, p := range pages {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(p.file)
			is.NoErr(err)
			examples := block.FindAllSubmatch(text, -1)
			is.True(len(examples) > 0)
			for _, m := range examples {
				is.Equal(p.parse(p.file, m[1]), nil)
			}
		})
	}
	nine, err := os.ReadFile("../docs/examples/nine.yaml")
	is.New(t).NoErr(err)
	is.New(t).Equal(pages["settings"].parse("nine.yaml", nine), nil)
}

// commandPattern matches command lines in the code blocks and code spans of the
// pages.
var commandPattern = regexp.MustCompile("(?:`|^    )(?:[A-Z_]+=\\S+ )?(?:go run \\./cmd/|bin/)?chervilvane ([^`\n]+)")

// TestCommandsOfPagesExist parses the command lines of the pages, without
// running them.
func TestCommandsOfPagesExist(t *testing.T) {
	files, err := filepath.Glob("../docs/*.md")
	is.New(t).NoErr(err)
	found := 0
	for _, file := range append(files, "../README.md", "../docs/design/text.md") {
		text, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		for line := range strings.SplitSeq(string(text), "\n") {
			for _, m := range commandPattern.FindAllStringSubmatch(line, -1) {
				found++
				checkCommand(t, file, strings.Fields(m[1]))
			}
		}
	}
	is.New(t).True(found > 10) // the pattern finds the command lines
}

func checkCommand(t *testing.T, file string, args []string) {
	c := New(Config{Err: io.Discard, Platform: &Format{}, Certs: func(f *flag.FlagSet) func(context.Context, []string) error {
		f.String("dir", "", "")
		f.String("instances", "", "")
		return func(context.Context, []string) error { return nil }
	}})
	err := c.rootCommand().Parse(args)
	if err != nil {
		t.Errorf("%s: chervilvane %s: %v", file, strings.Join(args, " "), err)
	}
}
