package e2e

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// twoQueuesText is an operator's text with an open and a keyed queue in two
// availability zones.
const twoQueuesText = `AvailabilityZones:
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

// TestSubmitThroughEveryInstance checks that requests from the command line reach
// an upstream through each instance, with and without a key, and that the answers
// come back. A keyed queue must refuse a request without a key.
func TestSubmitThroughEveryInstance(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, "a1*", "a2", "b1*", "b2*")
	f.startUpstream("ua", "a", nil)
	f.startUpstream("ub", "b", nil)
	f.apply("a2", twoQueuesText)

	granted, err := f.runCLI("b1", "key", "grant", "-account", "web", "-team", "booking")
	is.NoErr(err)
	key := ""
	for _, field := range strings.Fields(granted) {
		if strings.HasPrefix(field, "cv1.") {
			key = field
		}
	}
	is.True(key != "")

	for _, entry := range f.instanceIDs {
		f.eventually("answer through "+entry, func() bool {
			out, err := f.runCLI(entry, "submit", "-queue", "open", "-data", "hello from "+entry)
			return err == nil && strings.Contains(out, "hello from "+entry)
		})
		f.eventually("answer to a request with a key through "+entry, func() bool {
			out, err := f.runCLI(entry, "submit", "-queue", "holds", "-data", "seat", "-key", key)
			return err == nil && strings.Contains(out, "seat")
		})
	}
	out, err := f.runCLI("a1", "submit", "-queue", "holds", "-data", "seat")
	is.True(err != nil)
	is.True(strings.Contains(out, "KeyMissing"))
}
