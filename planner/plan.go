package planner

import (
	"math"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// blockedRecheck is after what time a step that found no room is tried again
// although nothing that it waits for was seen to change: room that opens by time
// alone, as at the end of a quarantine, is found then.
const blockedRecheck = 200 * clock.Millisecond

// plan starts what can start, in the order of the waiting steps. A step that
// found no room is not tried again before something changes for it; until then
// the room that it keeps is kept.
func (p *Planner) plan() {
	for _, h := range p.booked {
		h.booked = unit.Resources{}
	}
	p.booked = p.booked[:0]
	clear(p.reserved)
	p.order()
	p.grantBookings()
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
			p.placeStep(s)
		default:
			p.placeFreed(s)
		}
		p.reserveMaximum(s)
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
func (p *Planner) placeStep(s *step) {
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
			p.placeGang(s, tasks)
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
	return list
}

// book keeps room on an upstream for a step, against the steps that come after
// it.
func (p *Planner) book(s *step, h *host, n int) {
	s.held = append(s.held, claimed{h.ID, n})
	p.keep(h, times(p.state.NeedOf(s.spec), n))
}

// keep keeps room on an upstream for the rest of the pass.
func (p *Planner) keep(h *host, room unit.Resources) {
	if h.booked.IsZero() {
		p.booked = append(p.booked, h)
	}
	h.booked = h.booked.Add(room)
}

// keepRoom keeps the room that a step kept before.
func (p *Planner) keepRoom(s *step) {
	need := p.state.NeedOf(s.spec)
	for _, c := range s.held {
		if h := p.hosts[c.host]; h != nil {
			p.keep(h, times(need, c.count))
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
		p.state.NeedOf(s.spec).Fits(h.Capacity) && !(s.spec.BestEffortCPU && p.serves(h))
}

// serves reports whether a task that serves users runs on an upstream. Tasks
// that fill disturb it by an amount that nobody knows beforehand, so they stay
// away.
func (p *Planner) serves(h *host) bool {
	return slices.ContainsFunc(h.live, func(r *run) bool { return r.spec != nil && r.spec.TargetTailLatency > 0 })
}

// specOf returns the step of a run; nil if nothing of its job is kept.
func (p *Planner) specOf(key keeper.RunKey) *keeper.Step {
	j := p.state.Jobs[key.Task.Job]
	if j == nil || key.Task.Step >= len(j.Submission.Steps) {
		return nil
	}
	return &j.Submission.Steps[key.Task.Step]
}

// stopFillers stops the tasks that fill on an upstream where one that serves
// users starts.
func (p *Planner) stopFillers(h *host) {
	for _, r := range h.live {
		if r.spec != nil && r.spec.BestEffortCPU && !r.stopWanted {
			p.wantStop(r, p.now)
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

// reserveMaximum keeps for a gang what its account may have running, against the steps of
// the account that come after it. Without it, an account that always has small tasks
// waiting would never have enough left for a large gang.
func (p *Planner) reserveMaximum(s *step) {
	a, ok := p.state.Config.AccountByName(s.job.Account)
	if !ok || !s.capped || !s.spec.Gang || s.rank.tier != inTime {
		return
	}
	need := times(p.state.NeedOf(s.spec), s.spec.Count)
	limit, wanted := a.Quota.Vector(), need.Vector()
	for i := range limit {
		if limit[i] > 0 && wanted[i] > limit[i] {
			// It never fits.
			return
		}
	}
	p.reserved[s.job.Account] = p.reserved[s.job.Account].Add(need)
}

// headroom returns how many tasks of a step the account's maximum allows more.
func (p *Planner) headroom(s *step) int {
	a, ok := p.state.Config.AccountByName(s.job.Account)
	if !ok {
		return math.MaxInt
	}
	taken := p.state.Used[s.job.Account].Add(p.reserved[s.job.Account])
	limit, used, need := a.Quota.Vector(), taken.Vector(), p.state.NeedOf(s.spec).Vector()
	n := math.MaxInt
	for i := range limit {
		if limit[i] > 0 && need[i] > 0 {
			n = min(n, max(int((limit[i]-used[i])/need[i]), 0))
		}
	}
	return n
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
	// Each candidate has room for one task at least.
	for _, c := range least(list, min(len(tasks), most), candidate.compare) {
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
	if !s.job.Queue.RequiresTicket {
		return ""
	}
	if g := s.advice.good[h.ID]; g != nil {
		return g.ticket
	}
	return ""
}

// stepBackoff holds a step back whose starts were refused.
const stepBackoff = 20 * clock.Millisecond
