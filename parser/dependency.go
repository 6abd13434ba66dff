package parser

import (
	"strings"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// dependency is an item of a workload's After: the workload starts only after
// its predecessor.
type dependency struct {
	workload    *unit.Workload
	predecessor unit.Workload
	value       decoder.Value
}

// checkDependencies rejects unknown predecessors and dependency cycles.
func (r *reader) checkDependencies() {
	predecessors := map[unit.Workload][]dependency{}
	var dependents []unit.Workload
	for _, d := range r.dependencies {
		if _, ok := r.workloads[string(d.predecessor)]; !ok {
			r.workloads.rejectMissing(d.value, "service, batch or job", string(d.predecessor))
			continue
		}
		if len(predecessors[*d.workload]) == 0 {
			dependents = append(dependents, *d.workload)
		}
		predecessors[*d.workload] = append(predecessors[*d.workload], d)
	}
	search := cycleSearch{predecessors: predecessors, state: map[unit.Workload]visitState{}}
	for _, w := range dependents {
		search.visit(w)
	}
}

// visitState is the state of a workload in the cycle search.
type visitState int

const (
	unvisited visitState = iota
	onPath
	finished
)

// cycleSearch is a depth-first search. It rejects each dependency on a workload
// that is on the current path.
type cycleSearch struct {
	predecessors map[unit.Workload][]dependency
	state        map[unit.Workload]visitState
	path         []unit.Workload
}

func (s *cycleSearch) visit(w unit.Workload) {
	if s.state[w] != unvisited {
		return
	}
	s.state[w] = onPath
	s.path = append(s.path, w)
	for _, d := range s.predecessors[w] {
		if s.state[d.predecessor] == onPath {
			d.value.Reject("a cycle: %s; remove one of these from After", s.formatCycle(d.predecessor))
			continue
		}
		s.visit(d.predecessor)
	}
	s.path = s.path[:len(s.path)-1]
	s.state[w] = finished
}

// maxCycleNames bounds the number of workloads of a cycle that a finding names.
const maxCycleNames = 20

// formatCycle lists the workloads of the cycle that starts and ends at start,
// in the order in which they would have to start.
func (s *cycleSearch) formatCycle(start unit.Workload) string {
	var names []string
	// The path leads from workloads to their predecessors, so the names are
	// collected from its end.
	for i := len(s.path) - 1; i >= 0; i-- {
		names = append(names, string(s.path[i]))
		if s.path[i] == start {
			break
		}
	}
	names = append(names, names[0])
	if len(names) > maxCycleNames {
		names = append(names[:maxCycleNames], "...")
	}
	return strings.Join(names, " before ")
}
