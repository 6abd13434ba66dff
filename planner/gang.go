package planner

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// maxBookings limits the gangs that book capacity at once. Each of them keeps capacity idle
// that others could use now.
const maxBookings = 4

const (
	// largeGangFactor is the number of tasks of a large gang relative to the mean. Other
	// jobs may be made late for a large gang.
	largeGangFactor = 2
	// gangSizeWeight is the weight of a new gang in meanGangSize.
	gangSizeWeight = 0.05
)

// addGangSizes adds the sizes of an accepted job's gangs to meanGangSize.
func (p *Planner) addGangSizes(j *keeper.Job) {
	for _, s := range j.Submission.Steps {
		if !s.Gang {
			continue
		}
		p.meanGangSize = blend(p.meanGangSize, float64(s.Count), gangSizeWeight)
	}
}

// isLarge reports whether a step is one of the largest gangs.
func (p *Planner) isLarge(s *step) bool {
	return s.mayBook && float64(s.spec.Count) >= largeGangFactor*p.meanGangSize
}

// taskAcquisitionTime is how much longer it takes to get tickets and capacity for each further
// task of a large gang.
const taskAcquisitionTime = 100 * clock.Millisecond

// acquisitionTime returns how much earlier than other gangs a large one has to be served, so
// that it starts as early.
//
// It is meant for large gangs on a domain that is nearly full: by their deadlines alone, they
// come first when it is too late for them.
func (p *Planner) acquisitionTime(s *step) clock.Millis {
	if !s.spec.Gang {
		return 0
	}
	return clock.Millis(max(float64(s.spec.Count)-largeGangFactor*p.meanGangSize, 0) * float64(taskAcquisitionTime))
}

// grantBookings chooses the gangs that may book capacity: the largest of those that can
// still end in time and whose accounts are within their shares. Small gangs find capacity
// by chance; without bookings the largest would never start while anything else waits.
func (p *Planner) grantBookings() {
	var gangs []*step
	for _, s := range p.waiting {
		s.mayBook = false
		if s.spec.Gang && s.rank.tier == inTime && !s.rank.overShare && !s.rank.surplus && !s.closed {
			gangs = append(gangs, s)
		}
	}
	for _, s := range smallest(gangs, maxBookings, func(a, b *step) int {
		return cmp.Or(cmp.Compare(b.spec.Count, a.spec.Count), a.rank.compare(b.rank))
	}) {
		s.mayBook = true
	}
}

// placeGang starts all tasks of a gang, or none.
func (p *Planner) placeGang(s *step, tasks []int) {
	if p.quotaHeadroom(s) < len(tasks) {
		s.quotaLimited = true
		return
	}
	list := p.candidates(s)
	if !s.spec.SameRack {
		list = p.levelCandidates(list, len(tasks))
	} else {
		slices.SortFunc(list, candidate.compare)
	}
	chosen, ok := p.assignGang(s, list, len(tasks))
	if !ok {
		if !p.claimCapacity(s, len(tasks)) && s.mayBook {
			p.bookGang(s, len(tasks))
		}
		return
	}
	if renew := p.ticketsToRenew(s, chosen); len(renew) > 0 {
		for _, u := range chosen {
			p.book(s, u, 1)
		}
		p.renewTickets(s, renew)
		return
	}
	number := s.nextRun(0)
	for i, u := range chosen {
		p.startRun(s, tasks[i], number, u, p.ticketOf(s, u))
	}
}

// ticketsToRenew returns the upstreams whose tickets have to be renewed before the gang can
// start. If there are any, it includes those whose tickets would expire during the renewal.
func (p *Planner) ticketsToRenew(s *step, chosen []*upstream) []*upstream {
	if !slices.ContainsFunc(chosen, func(u *upstream) bool { return !p.hasTicket(s, u) }) {
		return nil
	}
	q := s.job.Queue
	answered := p.now + clock.Millis(q.AdviceBaseMillis+q.AdvicePerUpstreamMillis*float64(len(chosen))) + ticketMargin
	var renew []*upstream
	for _, u := range chosen {
		if s.tickets.validUntil(u.ID) <= answered+ticketMargin && !slices.Contains(renew, u) {
			renew = append(renew, u)
		}
	}
	return renew
}

// assignGang chooses an upstream for each task of a gang. A step with SameRack gets
// upstreams of one rack if one has enough capacity.
func (p *Planner) assignGang(s *step, list []candidate, n int) ([]*upstream, bool) {
	if s.spec.SameRack {
		byRack := map[unit.Rack][]candidate{}
		for _, c := range list {
			byRack[c.upstream.Rack] = append(byRack[c.upstream.Rack], c)
		}
		for _, c := range list {
			if chosen, ok := assign(byRack[c.upstream.Rack], n); ok {
				return chosen, true
			}
		}
	}
	return assign(list, n)
}

func assign(list []candidate, n int) ([]*upstream, bool) {
	var chosen []*upstream
	for _, c := range list {
		for range min(c.count, n-len(chosen)) {
			chosen = append(chosen, c.upstream)
		}
	}
	return chosen, len(chosen) == n
}
