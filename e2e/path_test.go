package e2e

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// sampleText has an open and a keyed queue in two availability zones.
const sampleText = `AvailabilityZones:
  - Name: a
  - Name: b
Teams:
  - Name: booking
    Share: 1
    Limit: {CPU: 64, Slots: 64}
Queues:
  - {Name: open, Team: booking, Access: Open, Class: Interactive, Need: {CPU: 100m, Memory: 64MB}}
  - {Name: holds, Team: booking, Access: Keyed, Class: Interactive, Need: {CPU: 100m, Memory: 64MB}}
`

// TestWholePath takes requests from the command line through an entry
// instance, the scheduler of a zone and an upstream, and back.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a1*", "a2", "b1*", "b2*")
	f.upstream("ua", "a", nil)
	f.upstream("ub", "b", nil)
	f.apply("a2", sampleText)

	granted, err := f.cli("b1", "key", "grant", "-account", "web", "-team", "booking")
	is.NoErr(err)
	key := ""
	for _, word := range strings.Fields(granted) {
		if strings.HasPrefix(word, "cv1.") {
			key = word
		}
	}
	is.True(key != "")

	for _, entry := range f.order {
		f.eventually("an answer through "+entry, func() bool {
			out, err := f.cli(entry, "submit", "-queue", "open", "-data", "hello from "+entry)
			return err == nil && strings.Contains(out, "hello from "+entry)
		})
		f.eventually("an answer with a key through "+entry, func() bool {
			out, err := f.cli(entry, "submit", "-queue", "holds", "-data", "seat", "-key", key)
			return err == nil && strings.Contains(out, "seat")
		})
	}
	out, err := f.cli("a1", "submit", "-queue", "holds", "-data", "seat")
	is.True(err != nil)
	is.True(strings.Contains(out, "KeyMissing"))
}
