package commander

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/dispatcher"
)

// output prints results as text or JSON.
type output struct {
	commander *Commander
	format    format
}

func (o *output) register(f *flag.FlagSet) {
	f.Var(&o.format, "o", "output format: text or json (default text)")
}

// format is the value of -o.
type format string

// String implements flag.Value.
func (f *format) String() string { return string(*f) }

// Set implements flag.Value.
func (f *format) Set(s string) error {
	if s != "text" && s != "json" {
		return errors.New("want text or json")
	}
	*f = format(s)
	return nil
}

func (o *output) isJSON() bool { return o.format == "json" }

// print writes v with -o json, and calls text to write the result otherwise.
func (o *output) print(v any, text func(w io.Writer)) error {
	if !o.isJSON() {
		text(o.commander.config.Out)
		return nil
	}
	e := json.NewEncoder(o.commander.config.Out)
	e.SetEscapeHTML(false)
	return errors.Wrap(e.Encode(v), "printing")
}

// printNote writes a line for people to standard error.
func (o *output) printNote(format string, args ...any) {
	fmt.Fprintln(o.commander.config.Err, sanitize(fmt.Sprintf(format, args...)))
}

// sanitize replaces characters that aren't printable. Details of refusals contain
// text from callers and upstreams, and a terminal would interpret control
// characters in it.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, s)
}

// printFindings prints findings and returns an exitError with StatusUsage.
func (o *output) printFindings(findings []decoder.Finding) error {
	err := o.print(struct{ Findings []decoder.Finding }{findings}, func(w io.Writer) {
		for _, f := range findings {
			fmt.Fprintln(w, f)
		}
	})
	if err != nil {
		return err
	}
	return &exitError{StatusUsage}
}

// formatRefusal formats a refusal as one line.
func formatRefusal(r dispatcher.Refusal) string {
	s := string(r.Reason)
	if r.Detail != "" {
		s += ": " + r.Detail
	}
	if r.Remedy != "" {
		s += " (remedy: " + r.Remedy + ")"
	}
	if r.RetryAfter > 0 {
		s += " (retry after " + decoder.FormatDuration(r.RetryAfter) + ")"
	}
	return s
}

// writeTable writes a table with aligned columns. rows must call row once for
// each row.
func writeTable(w io.Writer, header []any, rows func(row func(cells ...any))) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	row := func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, sanitize(fmt.Sprint(c)))
		}
		fmt.Fprintln(t)
	}
	row(header...)
	rows(row)
	// Flush only fails if the output fails, and then there is nowhere to report
	// it.
	_ = t.Flush()
}
