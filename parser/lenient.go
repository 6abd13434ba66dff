package parser

import (
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// ParseLenient parses a text that has been accepted before, possibly by a
// version of the program with other fields and checks. While instances of
// several versions run, all of them must apply an accepted text, or their
// copies of the replicated state would diverge. A check that a later version
// adds must not keep an instance from starting either.
//
// ParseLenient therefore reports no findings: it ignores unknown fields and
// drops entries that lack a name, a known team, a need or a count. For a text
// without findings it returns the same Config as Parse.
func ParseLenient(text []byte) Config {
	r, _ := read("accepted", text)
	c := r.config
	c.AvailabilityZones = slices.DeleteFunc(c.AvailabilityZones, func(z AvailabilityZone) bool { return z.Name == "" })
	c.Teams = slices.DeleteFunc(c.Teams, func(t Team) bool { return t.Name == "" })
	known := map[unit.Team]bool{}
	for i := range c.Teams {
		// A zero share would cause a division by zero.
		c.Teams[i].Share = max(c.Teams[i].Share, 1)
		known[c.Teams[i].Name] = true
	}
	c.Queues = slices.DeleteFunc(c.Queues, func(q Queue) bool {
		return q.Name == "" || !known[q.Team] || q.Need.IsZero() || q.MaxWaiting < 1
	})
	c.Services = slices.DeleteFunc(c.Services, func(s Service) bool {
		return s.Name == "" || !known[s.Team] || s.Need.IsZero() || s.Count < 1
	})
	c.Batches = slices.DeleteFunc(c.Batches, func(b Batch) bool {
		return b.Name == "" || !known[b.Team] || b.Need.IsZero() || b.Count < 1
	})
	c.Jobs = slices.DeleteFunc(c.Jobs, func(j Job) bool {
		return j.Name == "" || !known[j.Team] || j.Need.IsZero() || j.Tasks < 1
	})
	return c
}
