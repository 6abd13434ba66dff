package planner

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// candidate is an upstream with room for some tasks of a step.
type candidate struct {
	host  *host
	room  int
	score float64
	// ticketed: a start there needs no question first.
	ticketed bool
}

// compare orders candidates, the best first. Those with a ticket come before
// the others: what is chosen then stays the same while tickets are renewed.
func (c candidate) compare(o candidate) int {
	if t := compareTickets(c.ticketed, o.ticketed); t != 0 {
		return t
	}
	if c.score != o.score {
		return cmp.Compare(c.score, o.score)
	}
	return cmp.Compare(c.host.ID, o.host.ID)
}

// compareTickets orders upstreams with a ticket before the others.
func compareTickets(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// eachHost calls f for the upstreams that may run a step, as far as is known.
func (p *Planner) eachHost(s *step, f func(h *host)) {
	service := p.serviceOf(s.job)
	visit := func(h *host) {
		if p.suits(s, h, service) {
			f(h)
		}
	}
	if !s.job.Queue.RequiresTicket {
		for _, h := range p.byID {
			visit(h)
		}
		return
	}
	for _, g := range s.advice.grants {
		visit(g.host)
	}
}

// least returns the first n of a list in the order of compare, without sorting
// the rest. The list's order changes.
func least[T any](list []T, n int, compare func(a, b T) int) []T {
	if n >= len(list) {
		slices.SortFunc(list, compare)
		return list
	}
	n = max(n, 0)
	first := list[:n]
	slices.SortFunc(first, compare)
	for i := n; i < len(list) && n > 0; i++ {
		x := list[i]
		if compare(x, first[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, x, compare)
		list[i] = first[n-1]
		copy(first[at+1:], first[at:n-1])
		first[at] = x
	}
	return first
}

// candidates returns the upstreams on which tasks of a step fit now, in no order.
func (p *Planner) candidates(s *step) []candidate {
	var list []candidate
	p.eachHost(s, func(h *host) { list = p.addCandidate(list, s, h) })
	return list
}

// addCandidate adds an upstream to the list if a task of the step fits there.
func (p *Planner) addCandidate(list []candidate, s *step, h *host) []candidate {
	need, free := p.state.NeedOf(s.spec), h.free().Sub(p.reserve(s, h))
	n := timesFits(need, free)
	if n > 0 && s.spec.MaxPerUpstream > 0 {
		n = min(n, s.spec.MaxPerUpstream-s.countOn(h.ID))
	}
	if n > 0 {
		list = append(list, candidate{h, n, p.score(s, h, need), p.hasTicket(s, h)})
	}
	return list
}

// countOn counts a step's live tasks on an upstream.
func (s *step) countOn(id unit.Upstream) int {
	st := s.state()
	if st == nil {
		return 0
	}
	n := 0
	for _, t := range st.Tasks {
		for _, r := range t.LiveRuns {
			if r.Upstream == id {
				n++
			}
		}
	}
	return n
}

// timesFits returns how often need fits into free.
func timesFits(need, free unit.Resources) int {
	n, f := need.Vector(), free.Vector()
	for i := range n {
		// Most upstreams of a full domain end here, without a division.
		if n[i] > 0 && f[i] < n[i] {
			return 0
		}
	}
	times := maxTasks
	for i := range n {
		if n[i] > 0 {
			times = min(times, int(f[i]/n[i]))
		}
	}
	return times
}

// farFactor is what a task away from its data costs against one near it, in
// the score. The platform's own factor is of this size.
const farFactor = 1.5

// score rates an upstream for a task, lower is better: the time that it takes
// there, then how little room is left over, which keeps large gaps for large
// tasks.
func (p *Planner) score(s *step, h *host, need unit.Resources) float64 {
	time := h.record.slowness(p.now)
	if s.spec.DataRack != "" && s.spec.DataRack != h.Rack {
		time *= farFactor
	}
	left := h.free().Sub(need)
	return time + leftOver(left.CPU, h.Capacity.CPU) + leftOver(left.Memory, h.Capacity.Memory)
}

// packWeight weighs a whole upstream's free room against the time that a task
// takes on one of usual speed.
const packWeight = 0.1

func leftOver[T unit.MilliCPU | unit.Bytes](left, of T) float64 {
	if of <= 0 {
		return 0
	}
	return packWeight * float64(left) / float64(of)
}
