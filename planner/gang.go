package planner

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// maxBookings bounds the gangs that wait for room at once. Each of them keeps
// room free that others could use now.
const maxBookings = 4

const (
	// largeGang is how many times the usual number of tasks a gang has that other
	// jobs may be late for.
	largeGang = 2
	// gangMemory is the weight of a new gang in the usual number of tasks.
	gangMemory = 0.05
)

// seeGangs takes in the sizes of an accepted job's gangs.
func (p *Planner) seeGangs(j *keeper.Job) {
	for _, s := range j.Submission.Steps {
		if !s.Gang {
			continue
		}
		p.usualGang = blend(p.usualGang, float64(s.Count), gangMemory)
	}
}

// isLarge reports whether a step is one of the largest gangs.
func (p *Planner) isLarge(s *step) bool {
	return s.mayBook && float64(s.spec.Count) >= largeGang*p.usualGang
}

// grantBookings says which gangs may keep room for themselves: the largest that can
// still end in time, of accounts within their share. Small ones find room by chance;
// without a booking the largest never would while anything else waits.
func (p *Planner) grantBookings() {
	var gangs []*step
	for _, s := range p.waiting {
		s.mayBook = false
		if s.spec.Gang && s.rank.tier == inTime && !s.rank.over && !s.closed {
			gangs = append(gangs, s)
		}
	}
	for _, s := range least(gangs, maxBookings, func(a, b *step) int {
		return cmp.Or(cmp.Compare(b.spec.Count, a.spec.Count), a.rank.compare(b.rank))
	}) {
		s.mayBook = true
	}
}

// placeGang starts all tasks of a gang, or none.
func (p *Planner) placeGang(s *step, tasks []int) {
	if p.headroom(s) < len(tasks) {
		s.capped = true
		return
	}
	list := p.candidates(s)
	if !s.spec.SameRack {
		list = least(list, len(tasks), candidate.compare)
	} else {
		slices.SortFunc(list, candidate.compare)
	}
	chosen, ok := p.fillGang(s, list, len(tasks))
	if !ok {
		if !p.makeRoom(s, len(tasks)) && s.mayBook {
			p.bookGang(s, len(tasks))
		}
		return
	}
	if again := p.unticketed(s, chosen); len(again) > 0 {
		for _, h := range chosen {
			p.book(s, h, 1)
		}
		p.askAgain(s, again)
		return
	}
	number := s.nextRun(0)
	for i, h := range chosen {
		p.begin(s, tasks[i], number, h, p.ticketOf(s, h))
	}
}

// unticketed returns the upstreams of a gang whose tickets have to be renewed
// before it can start: if any, also those whose tickets would end meanwhile.
func (p *Planner) unticketed(s *step, chosen []*host) []*host {
	if !slices.ContainsFunc(chosen, func(h *host) bool { return !p.hasTicket(s, h) }) {
		return nil
	}
	q := s.job.Queue
	answered := p.now + clock.Millis(q.AdviceBase+q.AdvicePerUpstream*float64(len(chosen))) + ticketMargin
	var again []*host
	for _, h := range chosen {
		if s.advice.validUntil(h.ID) <= answered+ticketMargin && !slices.Contains(again, h) {
			again = append(again, h)
		}
	}
	return again
}

// fillGang chooses an upstream for each task of a gang. A gang that is fast on
// one rack gets one if one has room.
func (p *Planner) fillGang(s *step, list []candidate, n int) ([]*host, bool) {
	if s.spec.SameRack {
		byRack := map[unit.Rack][]candidate{}
		for _, c := range list {
			byRack[c.host.Rack] = append(byRack[c.host.Rack], c)
		}
		for _, c := range list {
			if chosen, ok := fill(byRack[c.host.Rack], n); ok {
				return chosen, true
			}
		}
	}
	return fill(list, n)
}

func fill(list []candidate, n int) ([]*host, bool) {
	var chosen []*host
	for _, c := range list {
		for range min(c.room, n-len(chosen)) {
			chosen = append(chosen, c.host)
		}
	}
	return chosen, len(chosen) == n
}
