package parser

import (
	"reflect"
	"testing"
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
		for _, q := range config.Queues {
			if _, ok := config.FindQueue(q.Name); !ok || q.MaxWaiting < 1 || q.Need.IsZero() {
				t.Fatalf("a queue that can't work was accepted: %v", q)
			}
		}
	})
}
