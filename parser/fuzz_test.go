package parser

import (
	"reflect"
	"testing"

	"github.com/chervilvane/chervilvane/unit"
)

// FuzzParse holds that no text makes the parser panic, that findings have a
// place, and that all instances judge a text alike: the log is applied on each
// of them.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, text []byte) {
		config, findings := Parse("t", text)
		again, sameFindings := Parse("t", text)
		if !reflect.DeepEqual(config, again) || !reflect.DeepEqual(findings, sameFindings) {
			t.Fatal("two readings of a text differ")
		}
		for _, found := range findings {
			if found.Line < 1 || found.Column < 1 || found.Message == "" {
				t.Fatalf("a finding without a place: %q", found)
			}
		}
		if len(findings) == 0 && len(config.AvailabilityZones) == 0 {
			t.Fatal("a text without availability zones was accepted")
		}
		accepted := ParseLenient(text)
		if len(findings) == 0 && !reflect.DeepEqual(accepted, config) {
			t.Fatal("an accepted text is read in another way than it was checked")
		}
		checkUsable(t, accepted)
	})
}

// checkUsable holds what the deciding packages rely on.
func checkUsable(t *testing.T, c Config) {
	teams := map[unit.Team]bool{}
	for _, team := range c.Teams {
		teams[team.Name] = true
		if team.Share < 1 {
			t.Fatalf("a team without a share: %v", team)
		}
	}
	for _, q := range c.Queues {
		if !teams[q.Team] || q.MaxWaiting < 1 || q.Need.IsZero() || q.Class == nil || q.Access == nil {
			t.Fatalf("a queue that can't work: %v", q)
		}
	}
	for _, j := range c.Jobs {
		if !teams[j.Team] || j.Tasks < 1 || j.Need.IsZero() {
			t.Fatalf("a job that can't work: %v", j)
		}
	}
}
