package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// maxBookings bounds the gangs that wait for room at once. Each of them keeps
// room free that others could use now.
const maxBookings = 4

// blockedRecheck is after what time a step that found no room is tried again
// although nothing that it waits for was seen to change: room that opens by time
// alone, as at the end of a quarantine, is found then.
const blockedRecheck = 200 * clock.Millisecond

// plan starts what can start, in the order of the waiting steps. A step that
// found no room is not tried again before something changes for it; until then
// the room that it keeps is kept.
func (p *Planner) plan() {
	for _, h := range p.hosts {
		h.booked = unit.Resources{}
	}
	p.order()
	bookings := 0
	kept := p.waiting[:0]
	for _, s := range p.waiting {
		if s.closed || s.job.Phase.IsFinal() {
			s.queued = false
			continue
		}
		switch {
		case p.now < s.retryAt:
			p.keepRoom(s)
		case !s.blocked || p.now >= s.recheckAt || s.capped && p.eased[s.job.Account]:
			s.drop()
			p.placeStep(s, bookings)
		default:
			p.placeFreed(s)
		}
		if s.booking {
			bookings++
		}
		if !s.blocked && p.pendingTasks(s) == 0 {
			s.queued = false
			continue
		}
		kept = append(kept, s)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	for _, h := range p.freed {
		h.freed = false
	}
	p.freed = p.freed[:0]
	clear(p.eased)
	p.sendQuestions()
}

// placeStep starts the tasks of a step as far as it can.
func (p *Planner) placeStep(s *step, bookings int) {
	s.blocked, s.capped = false, false
	tasks := p.pending(s)
	if len(tasks) == 0 {
		return
	}
	if s.advice != nil {
		s.advice.wanted = nil
	}
	if s.isAdvised() {
		if s.spec.Gang {
			p.placeGang(s, tasks, bookings)
		} else {
			p.placeTasks(s, tasks)
		}
	}
	if p.now >= s.retryAt && p.pendingTasks(s) > 0 {
		s.blocked, s.recheckAt = true, p.now+blockedRecheck
	}
}

// placeFreed starts tasks of a blocked step on the upstreams that got room since
// the last pass. A gang needs room on many at once and waits for its recheck.
func (p *Planner) placeFreed(s *step) {
	if !s.spec.Gang && s.isAdvised() {
		if list := p.freedFor(s); len(list) > 0 {
			p.startOn(s, p.pending(s), list, p.headroom(s))
			s.blocked = p.pendingTasks(s) > 0
		}
	}
	p.keepRoom(s)
}

// freedFor returns the upstreams with new room on which tasks of a step fit.
func (p *Planner) freedFor(s *step) []candidate {
	var list []candidate
	var service string
	for _, h := range p.freed {
		if !s.mayRun(h) {
			continue
		}
		if list == nil {
			service = p.serviceOf(s.job)
		}
		if p.suits(s, h, service) {
			list = p.addCandidate(list, s, h)
		}
	}
	slices.SortFunc(list, candidate.compare)
	return list
}

// book keeps room on an upstream for a step, against the steps that come after
// it.
func (p *Planner) book(s *step, h *host, n int) {
	s.held = append(s.held, claimed{h.ID, n})
	h.booked = h.booked.Add(times(p.state.NeedOf(s.spec), n))
}

// keepRoom keeps the room that a step kept before.
func (p *Planner) keepRoom(s *step) {
	need := p.state.NeedOf(s.spec)
	for _, c := range s.held {
		if h := p.hosts[c.host]; h != nil {
			h.booked = h.booked.Add(times(need, c.count))
		}
	}
}

// use takes one task's room that a step keeps on an upstream into use.
func (s *step) use(h *host) {
	for i, c := range s.held {
		if c.host == h.ID && c.count > 0 {
			s.held[i].count--
			return
		}
	}
}

// drop gives up the room that a step keeps.
func (s *step) drop() { s.held, s.booking = s.held[:0], false }

// free notes that an upstream has room that it hadn't before.
func (p *Planner) free(h *host) {
	p.dirty = true
	if !h.freed {
		h.freed = true
		p.freed = append(p.freed, h)
	}
}

// suits reports whether an upstream of a service could ever run a step.
func (p *Planner) suits(s *step, h *host, service string) bool {
	return h.isUsable() && h.Service == service && h.HasLabel(s.spec.Requires) && !h.record.isQuarantined(p.now) &&
		p.state.NeedOf(s.spec).Fits(h.Capacity) && !(s.spec.Fills && p.serves(h))
}

// serves reports whether a task that serves users runs on an upstream. Tasks
// that fill disturb it by an amount that nobody knows beforehand, so they stay
// away.
func (p *Planner) serves(h *host) bool {
	for key := range h.Runs {
		if spec := p.specOf(key); spec != nil && spec.Target > 0 {
			return true
		}
	}
	return false
}

// specOf returns the step of a run; nil if nothing of its job is kept.
func (p *Planner) specOf(key keeper.RunKey) *keeper.Step {
	j := p.state.Jobs[key.Task.Job]
	if j == nil || key.Task.Step >= len(j.Work.Steps) {
		return nil
	}
	return &j.Work.Steps[key.Task.Step]
}

// stopFillers stops the tasks that fill on an upstream where one that serves
// users starts.
func (p *Planner) stopFillers(h *host) {
	for _, key := range h.SortedRuns() {
		r := p.runs[key]
		if spec := p.specOf(key); r != nil && spec != nil && spec.Fills && !r.stopWanted {
			r.stopWanted, r.stopAt = true, p.now
			p.sweepAt = p.now
		}
	}
}

// serviceOf returns the service that a job's queue belongs to now.
func (p *Planner) serviceOf(j *keeper.Job) string {
	if q, ok := p.state.Config.QueueByName(j.Queue.Name); ok {
		return q.Service
	}
	return j.Queue.Service
}

// headroom returns how many tasks of a step the account's maximum allows more.
func (p *Planner) headroom(s *step) int {
	a, ok := p.state.Config.Account(s.job.Account)
	if !ok {
		return math.MaxInt
	}
	limit, used, need := a.Maximum.Vector(), p.state.Used[s.job.Account].Vector(), p.state.NeedOf(s.spec).Vector()
	n := math.MaxInt
	for i := range limit {
		if limit[i] > 0 && need[i] > 0 {
			n = min(n, max(int((limit[i]-used[i])/need[i]), 0))
		}
	}
	return n
}

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
	if c.ticketed != o.ticketed {
		if c.ticketed {
			return -1
		}
		return 1
	}
	if c.score != o.score {
		return cmp.Compare(c.score, o.score)
	}
	return cmp.Compare(c.host.ID, o.host.ID)
}

// eachHost calls f for the upstreams that may run a step, as far as is known.
func (p *Planner) eachHost(s *step, f func(h *host)) {
	service := p.serviceOf(s.job)
	visit := func(h *host) {
		if p.suits(s, h, service) {
			f(h)
		}
	}
	if !s.job.Queue.Advised {
		for _, h := range p.hosts {
			visit(h)
		}
		return
	}
	for id := range s.advice.good {
		if h := p.hosts[id]; h != nil {
			visit(h)
		}
	}
}

// candidates returns the upstreams on which tasks of a step fit now, the best
// first.
func (p *Planner) candidates(s *step) []candidate {
	var list []candidate
	p.eachHost(s, func(h *host) { list = p.addCandidate(list, s, h) })
	slices.SortFunc(list, candidate.compare)
	return list
}

// addCandidate adds an upstream to the list if a task of the step fits there.
func (p *Planner) addCandidate(list []candidate, s *step, h *host) []candidate {
	need := p.state.NeedOf(s.spec)
	n := timesFits(need, h.free().Sub(p.reserve(s)))
	if n > 0 && s.spec.AntiAffinity > 0 {
		n = min(n, s.spec.AntiAffinity-s.countOn(h.ID))
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
		for _, r := range t.Live {
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
	times := maxTasks
	for i := range n {
		if n[i] > 0 {
			times = min(times, int(max(f[i], 0)/n[i]))
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

// placeTasks starts tasks one by one and has room made for the others.
func (p *Planner) placeTasks(s *step, tasks []int) {
	room := p.headroom(s)
	s.capped = room < len(tasks)
	placed := p.startOn(s, tasks, p.candidates(s), room)
	if left := min(len(tasks), room) - placed; left > 0 {
		p.makeRoom(s, left)
	}
}

// startOn starts tasks on upstreams, or keeps the room while their tickets are
// renewed. It returns for how many tasks there was room; most bounds them.
func (p *Planner) startOn(s *step, tasks []int, list []candidate, most int) int {
	var again []*host
	placed := 0
	for _, c := range list {
		for range c.room {
			if placed >= min(len(tasks), most) {
				break
			}
			if p.hasTicket(s, c.host) {
				s.use(c.host)
				p.start(s, tasks[placed], c.host)
			} else {
				again = append(again, c.host)
				p.book(s, c.host, 1)
			}
			placed++
		}
	}
	if len(again) > 0 {
		p.askAgain(s, again)
	}
	return placed
}

func (p *Planner) start(s *step, index int, h *host) {
	p.begin(s, index, s.nextRun(index), h, p.ticketOf(s, h))
}

func (p *Planner) ticketOf(s *step, h *host) string {
	if !s.job.Queue.Advised {
		return ""
	}
	return s.advice.good[h.ID].text
}

// placeGang starts all tasks of a gang, or none.
func (p *Planner) placeGang(s *step, tasks []int, bookings int) {
	if p.headroom(s) < len(tasks) {
		s.capped = true
		return
	}
	list := p.candidates(s)
	chosen, ok := p.fillGang(s, list, len(tasks))
	if !ok {
		if !p.makeRoom(s, len(tasks)) && bookings < maxBookings && s.rank.tier == inTime {
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
	answered := p.now + clock.Millis(q.AdviceBase+q.AdviceEach*float64(len(chosen))) + ticketMargin
	var again []*host
	for _, h := range chosen {
		if s.advice.good[h.ID].until <= answered+ticketMargin && !slices.Contains(again, h) {
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

// stepBackoff holds a step back whose starts were refused.
const stepBackoff = 20 * clock.Millisecond
