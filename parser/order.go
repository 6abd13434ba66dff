package parser

import (
	"strings"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// edge says that a work comes after another one.
type edge struct {
	from  *unit.Workload
	to    unit.Workload
	place decoder.Value
}

// checkOrder rejects works that come after something missing or, by a chain,
// after themselves.
func (r *reader) checkOrder() {
	after := map[unit.Workload][]edge{}
	var order []unit.Workload
	for _, e := range r.edges {
		if _, ok := r.works[string(e.to)]; !ok {
			r.works.rejectMissing(e.place, "service, batch or job", string(e.to))
			continue
		}
		if len(after[*e.from]) == 0 {
			order = append(order, *e.from)
		}
		after[*e.from] = append(after[*e.from], e)
	}
	s := cycleSearch{after: after, state: map[unit.Workload]visit{}}
	for _, w := range order {
		s.walk(w)
	}
}

// visit is how far the search has come with a work.
type visit int

const (
	unvisited visit = iota
	onPath
	finished
)

// cycleSearch is a depth-first search that rejects each edge that leads back
// into the path to it.
type cycleSearch struct {
	after map[unit.Workload][]edge
	state map[unit.Workload]visit
	path  []unit.Workload
}

func (s *cycleSearch) walk(w unit.Workload) {
	if s.state[w] != unvisited {
		return
	}
	s.state[w] = onPath
	s.path = append(s.path, w)
	for _, e := range s.after[w] {
		if s.state[e.to] == onPath {
			e.place.Reject("a cycle: %s; remove one of these from After", s.cycle(e.to))
			continue
		}
		s.walk(e.to)
	}
	s.path = s.path[:len(s.path)-1]
	s.state[w] = finished
}

// maxCycle bounds how many works of a cycle a finding names.
const maxCycle = 20

// cycle prints the part of the path that begins at a work, and the work again.
func (s *cycleSearch) cycle(begin unit.Workload) string {
	var names []string
	for i := len(s.path) - 1; i >= 0; i-- {
		names = append(names, string(s.path[i]))
		if s.path[i] == begin {
			break
		}
	}
	names = append(names, names[0])
	// The path was followed from a work to what it comes after; reversed, it
	// reads in the order of the starts.
	if len(names) > maxCycle {
		names = append(names[:maxCycle], "...")
	}
	return strings.Join(names, " before ")
}
