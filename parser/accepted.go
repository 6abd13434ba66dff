package parser

import (
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// ParseLenient reads a text that was accepted before, maybe by another version of
// the program with other fields and checks. While versions are mixed, every
// instance must take an accepted text, or their copies of the state would part;
// and a check that is added later must not keep an instance from starting.
//
// So nothing is refused: unknown fields are passed over, and what is left
// without a name, a team or a size is left out. For a text without findings
// the result is that of Parse.
func ParseLenient(text []byte) Config {
	r, _ := read("accepted", text)
	c := r.config
	c.AvailabilityZones = slices.DeleteFunc(c.AvailabilityZones, func(z AvailabilityZone) bool { return z.Name == "" })
	c.Teams = slices.DeleteFunc(c.Teams, func(t Team) bool { return t.Name == "" })
	known := map[unit.Team]bool{}
	for i := range c.Teams {
		// A share of zero would divide by zero.
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
