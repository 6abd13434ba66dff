package loader

import (
	"reflect"
	"testing"
)

// FuzzLoad holds that no settings make the loader panic, that findings have a
// place, and that accepted settings name their own instance and a lease time.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(whole))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, findings := Parse("t", text)
		again, sameFindings := Parse("t", text)
		if !reflect.DeepEqual(settings, again) || !reflect.DeepEqual(findings, sameFindings) {
			t.Fatal("two readings of the settings differ")
		}
		for _, found := range findings {
			if found.Line < 1 || found.Column < 1 || found.Message == "" {
				t.Fatalf("a finding without a place: %q", found)
			}
		}
		if len(findings) == 0 && (settings.Instance == "" || settings.Timing.ZoneLease <= 0 || len(settings.Peers) == 0) {
			t.Fatalf("settings that can't work were accepted: %v", settings)
		}
	})
}
