package parser

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/decoder"
)

// TestCheckWarns guards against suspicious entries that pass in silence, and against
// warnings that keep a valid text from being applied: Parse has no finding for these.
func TestCheckWarns(t *testing.T) {
	const zone = "AvailabilityZones: [{Name: a}]\n"
	service := func(name string, count int) string {
		return fmt.Sprintf("  - {Name: %s, Team: x, Count: %d, Need: {CPU: 2}}\n", name, count)
	}
	for name, c := range map[string]struct{ text, want string }{
		"a used team":                  {zone + "Teams: [{Name: x, Share: 1}]\nServices:\n" + service("s", 100000), ""},
		"an unused team":               {zone + "Teams: [{Name: x, Share: 1}]", "t:2:16: Teams[0].Name: warning: no queue, service, batch or job names the team x"},
		"services at the limit":        {zone + "Teams: [{Name: x, Share: 1, Limit: {CPU: 6}}]\nServices:\n" + service("s", 1) + service("t", 2), ""},
		"services above the limit":     {zone + "Teams: [{Name: x, Share: 1, Limit: {CPU: 6}}]\nServices:\n" + service("s", 2) + service("t", 2) + service("u", 2), "t:5:12: Services[1].Name: warning: the services of team x up to this one need CPU 8; its limit is CPU 6, so some of their tasks never run"},
		"a sum that doesn't fit in 64": {zone + "Teams: [{Name: x, Share: 1, Limit: {Memory: 10000TB}}]\nServices: [{Name: s, Team: x, Count: 100000, Need: {Memory: 10000TB}}]", "t:3:19: Services[0].Name: warning: the services of team x up to this one need Memory 1152921504606846976B; its limit is Memory 10000TB, so some of their tasks never run"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, errors := Parse("t", []byte(c.text))
			is.Equal(len(errors), 0)
			got := ""
			for _, f := range Check("t", []byte(c.text)) {
				is.Equal(f.Severity, decoder.Warning)
				got += f.String()
			}
			is.Equal(got, c.want)
		})
	}
}
