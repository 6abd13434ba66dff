package planner

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// candidate is an upstream that has free capacity for count tasks of a step.
type candidate struct {
	upstream *upstream
	count    int
	score    float64
	// ticketed is set if no ticket has to be requested before a start there.
	ticketed bool
}

// compare orders candidates, the best first. Those with a valid ticket precede the others,
// so that the choice stays the same while tickets are renewed.
func (c candidate) compare(o candidate) int {
	if t := compareTickets(c.ticketed, o.ticketed); t != 0 {
		return t
	}
	if c.score != o.score {
		return cmp.Compare(c.score, o.score)
	}
	return cmp.Compare(c.upstream.ID, o.upstream.ID)
}

// compareTickets orders upstreams with a valid ticket before the others.
func compareTickets(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// eachPermitted calls f for each upstream that can run the step and, if the queue requires
// tickets, was granted to it.
func (p *Planner) eachPermitted(s *step, f func(u *upstream)) {
	service := p.serviceOf(s.job)
	visit := func(u *upstream) {
		if p.canRun(s, u, service) {
			f(u)
		}
	}
	if !s.job.Queue.RequiresTicket {
		for _, u := range p.byID {
			visit(u)
		}
		return
	}
	for _, g := range s.tickets.grants {
		visit(g.upstream)
	}
}

// smallest returns the n smallest elements of a list, sorted by compare, without sorting
// the rest. It reorders the list.
func smallest[T any](list []T, n int, compare func(a, b T) int) []T {
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

// candidates returns the upstreams on which tasks of the step fit now, in no particular
// order.
func (p *Planner) candidates(s *step) []candidate {
	var list []candidate
	p.eachPermitted(s, func(u *upstream) { list = p.addCandidate(list, s, u) })
	return list
}

// addCandidate adds an upstream to the list if a task of the step fits there.
func (p *Planner) addCandidate(list []candidate, s *step, u *upstream) []candidate {
	need, free := p.state.NeedOf(s.spec), u.freeCapacity().Sub(p.urgentReserve(s, u))
	n := timesFits(need, free)
	if n > 0 && s.spec.MaxPerUpstream > 0 {
		n = min(n, s.spec.MaxPerUpstream-s.countOn(u.ID))
	}
	if n > 0 {
		list = append(list, candidate{u, n, p.score(s, u, need), p.hasTicket(s, u)})
	}
	return list
}

// countOn returns the number of live runs of the step on an upstream.
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

// timesFits returns how many times need fits into free, at most maxTasks.
func timesFits(need, free unit.Resources) int {
	n, f := need.Vector(), free.Vector()
	for i := range n {
		// On a full domain most calls return here, without a division.
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

// remoteDataFactor is the cost of a task that runs on another rack than its data, relative
// to one on the same rack. The platform's own factor is of this size.
const remoteDataFactor = 1.5

// score rates an upstream for a task of the step; lower is better. It adds the expected
// running time, relative to a usual upstream, and the share of the capacity that would be
// left over. Preferring little leftover keeps large gaps for large tasks.
func (p *Planner) score(s *step, u *upstream, need unit.Resources) float64 {
	time := p.slowness(u)
	if s.spec.DataRack != "" && s.spec.DataRack != u.Rack {
		time *= remoteDataFactor
	}
	left := u.freeCapacity().Sub(need)
	return time + leftoverScore(left.CPU, u.Capacity.CPU) + leftoverScore(left.Memory, u.Capacity.Memory)
}

// levelWeight is the weight of the time by which an upstream is faster than the slowest
// member of a gang. With 2, upstreams rank by how near they are to the slowest one.
const levelWeight = 2

// levelCandidates returns the best candidates for n tasks that end together. Where the best
// ones include a slow upstream, the others needn't be faster: fast upstreams are left to
// steps that gain by them.
func (p *Planner) levelCandidates(list []candidate, n int) []candidate {
	slowest, left := 0.0, n
	for _, c := range smallest(list, n, candidate.compare) {
		if left <= 0 {
			break
		}
		slowest = max(slowest, p.slowness(c.upstream))
		left -= c.count
	}
	for i := range list {
		list[i].score += levelWeight * max(slowest-p.slowness(list[i].upstream), 0)
	}
	return smallest(list, n, candidate.compare)
}

// packingWeight is the weight of an upstream's whole capacity left over, relative to the
// running time of a task on an upstream of usual speed.
const packingWeight = 0.1

func leftoverScore[T unit.MilliCPU | unit.Bytes](left, capacity T) float64 {
	if capacity <= 0 {
		return 0
	}
	return packingWeight * float64(left) / float64(capacity)
}
