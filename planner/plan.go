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

// plan starts what can start, in the order of the waiting steps.
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
		if p.now >= s.retryAt {
			bookings += p.placeStep(s, bookings)
		}
		if len(p.pending(s)) == 0 {
			s.queued = false
			continue
		}
		kept = append(kept, s)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	p.sendQuestions()
}

// placeStep starts the tasks of a step as far as it can. It returns how many
// bookings it made.
func (p *Planner) placeStep(s *step, bookings int) int {
	tasks := p.pending(s)
	if len(tasks) == 0 || !p.askFirst(s) {
		return 0
	}
	if s.spec.Gang {
		return p.placeGang(s, tasks, bookings)
	}
	p.placeTasks(s, tasks)
	return 0
}

// suits reports whether an upstream could ever run a step.
func (p *Planner) suits(s *step, h *host) bool {
	return h.isUsable() && h.Service == p.serviceOf(s.job) && h.HasLabel(s.spec.Requires) && !h.record.isQuarantined(p.now) &&
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
}

// candidates returns the upstreams on which tasks of a step fit now, the best
// first.
func (p *Planner) candidates(s *step) []candidate {
	var list []candidate
	perHost := p.spread(s)
	need, reserve := p.state.NeedOf(s.spec), p.reserve(s)
	for _, h := range p.hosts {
		if !p.suits(s, h) || !s.mayRun(h) {
			continue
		}
		n := timesFits(need, h.free().Sub(reserve))
		if s.spec.AntiAffinity > 0 {
			n = min(n, s.spec.AntiAffinity-perHost[h.ID])
		}
		if n > 0 {
			list = append(list, candidate{h, n, p.score(s, h, need)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.host.ID, b.host.ID))
	})
	return list
}

// spread counts a step's live tasks on each upstream, if that is bounded.
func (p *Planner) spread(s *step) map[unit.Upstream]int {
	st := s.state()
	if s.spec.AntiAffinity == 0 || st == nil {
		return nil
	}
	n := map[unit.Upstream]int{}
	for _, t := range st.Tasks {
		for _, r := range t.Live {
			n[r.Upstream]++
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

// placeTasks starts tasks one by one.
func (p *Planner) placeTasks(s *step, tasks []int) {
	room := p.headroom(s)
	list := p.candidates(s)
	var again []*host
	need := p.state.NeedOf(s.spec)
	i := 0
	for _, c := range list {
		for c.room > 0 && i < len(tasks) && room > 0 {
			if !p.hasTicket(s, c.host) {
				again = append(again, c.host)
				c.host.booked = c.host.booked.Add(need)
			} else {
				p.start(s, tasks[i], c.host)
			}
			c.room--
			room--
			i++
		}
	}
	if len(again) > 0 {
		p.askAgain(s, again)
	}
	if left := min(len(tasks)-i, room); left > 0 {
		p.makeRoom(s, left)
	}
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

// placeGang starts all tasks of a gang, or none. It returns 1 if it keeps room
// free for the gang.
func (p *Planner) placeGang(s *step, tasks []int, bookings int) int {
	if p.headroom(s) < len(tasks) {
		return 0
	}
	list := p.candidates(s)
	chosen, ok := p.fillGang(s, list, len(tasks))
	if !ok {
		if !p.makeRoom(s, len(tasks)) && bookings < maxBookings && s.rank.tier == inTime {
			p.bookGang(s, len(tasks))
			return 1
		}
		return 0
	}
	var again []*host
	for _, h := range chosen {
		if !p.hasTicket(s, h) {
			again = append(again, h)
		}
	}
	if len(again) > 0 {
		need := p.state.NeedOf(s.spec)
		for _, h := range chosen {
			h.booked = h.booked.Add(need)
		}
		p.askAgain(s, again)
		return 0
	}
	number := s.nextRun(0)
	for i, h := range chosen {
		p.begin(s, tasks[i], number, h, p.ticketOf(s, h))
	}
	return 0
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
