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
	c      *Commander
	format format
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

// print writes v as JSON, or else what text writes.
func (o *output) print(v any, text func(w io.Writer)) error {
	if !o.isJSON() {
		text(o.c.c.Out)
		return nil
	}
	e := json.NewEncoder(o.c.c.Out)
	e.SetEscapeHTML(false)
	return errors.Wrap(e.Encode(v), "printing")
}

// note writes a line for a person.
func (o *output) note(format string, args ...any) {
	fmt.Fprintln(o.c.c.Err, printable(fmt.Sprintf(format, args...)))
}

// printable replaces control characters, which a terminal would act on: details
// of refusals repeat what callers and upstreams sent.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return unicode.ReplacementChar
	}, s)
}

// printFindings prints the findings of a text and returns the error with their
// exit status.
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

// refusalText is one line that says why and what would help.
func refusalText(r dispatcher.Refusal) string {
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

// table writes aligned columns.
func table(w io.Writer, header []any, rows func(row func(cells ...any))) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	row := func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, printable(fmt.Sprint(c)))
		}
		fmt.Fprintln(t)
	}
	row(header...)
	rows(row)
	// The writer's errors are those of the output, which has no other reader.
	_ = t.Flush()
}
