package commander

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/differ"
	"github.com/chervilvane/chervilvane/fetcher"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/operator"
	"github.com/chervilvane/chervilvane/parser"
	"github.com/chervilvane/chervilvane/unit"
)

// Format is a format of files that the command check reads.
type Format struct {
	// MaxBytes bounds the size of a file. Check gets at most one byte more.
	MaxBytes int
	// Recognizes reports whether a file seems to be of this format. It may be nil
	// in a format that is chosen by a flag only.
	Recognizes func(text []byte) bool
	// Check returns all findings of a file. inForce is the version in force, or nil
	// if that isn't known.
	Check func(file string, text, inForce []byte) []decoder.Finding
	// Compare returns the differences between two versions without errors. It is
	// nil if the format has no version in force.
	Compare func(was, is []byte) ([]differ.Difference, error)
	// Fetch reads the version in force from an instance.
	Fetch func(ctx context.Context, f *fetcher.Fetcher) ([]byte, error)
}

// settingsFormat is the format of an instance's settings.
var settingsFormat = Format{
	MaxBytes: decoder.MaxFileBytes,
	Check: func(file string, text, _ []byte) []decoder.Finding {
		_, findings := loader.Parse(file, text)
		return findings
	},
}

// textFormat is the format of the operator's text.
var textFormat = Format{
	MaxBytes: decoder.MaxFileBytes,
	Check: func(file string, text, _ []byte) []decoder.Finding {
		return parser.Check(file, text)
	},
	Compare: compareTexts,
	Fetch: func(ctx context.Context, f *fetcher.Fetcher) ([]byte, error) {
		_, text, err := operator.NewClient(f).CurrentConfig(ctx)
		return []byte(text), err
	},
}

// compareTexts reads the text in force as instances do: another version of the
// program may have accepted it. It is empty before the first version.
func compareTexts(was, is []byte) ([]differ.Difference, error) {
	former := parser.ParseLenient(was)
	if _, findings := parser.Parse("text", was); len(was) > 0 && len(findings) > 0 && len(former.AvailabilityZones) == 0 {
		return nil, errors.Newf("the text can't be read: %s", findings[0])
	}
	return differ.Compare(newTextView(former), newTextView(parser.ParseLenient(is)), formatTextValue,
		differ.SetOf[[]unit.Workload](), differ.Whole[parser.Access](), differ.Whole[parser.Class]()), nil
}

// textView is a configuration whose lists are matched by name.
type textView struct {
	AvailabilityZones map[string]parser.AvailabilityZone
	Teams             map[string]parser.Team
	Queues            map[string]parser.Queue
	Services          map[string]parser.Service
	Batches           map[string]parser.Batch
	Jobs              map[string]parser.Job
	Weights           parser.Weights
}

func newTextView(c parser.Config) textView {
	return textView{
		AvailabilityZones: differ.ByName(c.AvailabilityZones, func(z parser.AvailabilityZone) string { return string(z.Name) }),
		Teams:             differ.ByName(c.Teams, func(t parser.Team) string { return string(t.Name) }),
		Queues:            differ.ByName(c.Queues, func(q parser.Queue) string { return string(q.Name) }),
		Services:          differ.ByName(c.Services, func(s parser.Service) string { return string(s.Name) }),
		Batches:           differ.ByName(c.Batches, func(b parser.Batch) string { return string(b.Name) }),
		Jobs:              differ.ByName(c.Jobs, func(j parser.Job) string { return string(j.Name) }),
		Weights:           c.Weights,
	}
}

// formatTextValue formats a value in the notation of the operator's text.
func formatTextValue(v any) string {
	switch v := v.(type) {
	case unit.MilliCPU:
		return formatLimit(v, decoder.FormatCPU)
	case unit.Bytes:
		return formatLimit(v, decoder.FormatMemory)
	case unit.Count:
		return formatLimit(v, decoder.FormatCount)
	case clock.Millis:
		if v == 0 {
			return "none"
		}
		return decoder.FormatDuration(v)
	case parser.Open:
		return "Open"
	case parser.Keyed:
		return "Keyed"
	case parser.Interactive:
		return "Interactive"
	case parser.Deferred:
		return fmt.Sprintf("Deferred, Checkpoints: %t", v.Checkpoints)
	case parser.AllAtOnce:
		return fmt.Sprintf("AllAtOnce, Tasks: %d", v.Tasks)
	}
	return ""
}

func formatLimit[T ~int64](amount T, format func(T) string) string {
	if amount >= unit.Unlimited {
		return "no limit"
	}
	return format(amount)
}
