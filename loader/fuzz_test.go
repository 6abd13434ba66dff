package loader

import (
	"reflect"
	"testing"
)

// FuzzLoad checks that Parse doesn't panic and is deterministic, that findings
// have a position, and that valid settings have an instance, peers and a zone
// lease.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, findings := Parse("t", text)
		again, sameFindings := Parse("t", text)
		if !reflect.DeepEqual(settings, again) || !reflect.DeepEqual(findings, sameFindings) {
			t.Fatal("Parse returned different results for the same text")
		}
		for _, finding := range findings {
			if finding.Line < 1 || finding.Column < 1 || finding.Message == "" {
				t.Fatalf("finding without a line, a column or a message: %q", finding)
			}
		}
		if len(findings) == 0 && (settings.Instance == "" || settings.Timing.ZoneLease <= 0 || len(settings.Peers) == 0) {
			t.Fatalf("Parse accepted unusable settings: %v", settings)
		}
	})
}
