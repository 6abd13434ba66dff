package parser

import (
	"reflect"
	"testing"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// FuzzParse checks that the parser doesn't panic, that findings have a position,
// and that parsing is deterministic: all instances apply the same log and must
// reach the same state.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		config, findings := Parse("t", text)
		again, sameFindings := Parse("t", text)
		if !reflect.DeepEqual(config, again) || !reflect.DeepEqual(findings, sameFindings) {
			t.Fatal("Parse returned different results for the same text")
		}
		for _, finding := range findings {
			if finding.Line < 1 || finding.Column < 1 || finding.Message == "" {
				t.Fatalf("finding without a line, a column or a message: %q", finding)
			}
		}
		if decoder.HasErrors(Check("t", text)) != (len(findings) > 0) {
			t.Fatal("Check reports an error in a text that Parse accepts, or none in one that it doesn't")
		}
		if len(findings) == 0 && len(config.AvailabilityZones) == 0 {
			t.Fatal("Parse accepted a text without availability zones")
		}
		lenient := ParseLenient(text)
		if len(findings) == 0 && !reflect.DeepEqual(lenient, config) {
			t.Fatal("ParseLenient and Parse differ for a text without findings")
		}
		checkUsable(t, lenient)
	})
}

// checkUsable checks the guarantees of ParseLenient on which the scheduling
// packages rely.
func checkUsable(t *testing.T, c Config) {
	teams := map[unit.Team]bool{}
	for _, team := range c.Teams {
		teams[team.Name] = true
		if team.Share < 1 {
			t.Fatalf("team without a share: %v", team)
		}
	}
	for _, q := range c.Queues {
		if !teams[q.Team] || q.MaxWaiting < 1 || q.Need.IsZero() || q.Class == nil || q.Access == nil {
			t.Fatalf("unusable queue: %v", q)
		}
	}
	for _, j := range c.Jobs {
		if !teams[j.Team] || j.Tasks < 1 || j.Need.IsZero() {
			t.Fatalf("unusable job: %v", j)
		}
	}
}
