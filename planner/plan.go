package planner

import (
	"math"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

// blockedRetry is the time after which a blocked step is tried again without an event. It
// finds capacity that becomes available by time alone, as at the end of a quarantine.
const blockedRetry = 200 * clock.Millisecond

// plan starts the tasks that can start, in the order of the waiting steps. A step for which
// there was no capacity is not tried again before something changes for it; until then its
// bookings stay.
func (p *Planner) plan() {
	for _, u := range p.booked {
		u.booked = unit.Resources{}
	}
	p.booked = p.booked[:0]
	clear(p.reservedQuota)
	p.bookMigrations()
	p.rankWaiting()
	p.grantBookings()
	p.passSearches, p.passTicketSearches = 0, 0
	kept := p.waiting[:0]
	for _, s := range p.waiting {
		if s.closed || s.job.Phase.IsFinal() {
			s.queued = false
			continue
		}
		p.releaseMigrations(s)
		switch {
		case p.now < s.retryAt:
			p.rebook(s)
		case p.isDue(s) && p.passSearches >= maxSearches:
			p.placeFreed(s)
			p.dirty = true
		case p.isDue(s):
			p.passSearches++
			s.dropBookings()
			p.placeStep(s)
		default:
			p.placeFreed(s)
		}
		p.rebookMigrations(s)
		p.reserveQuota(s)
		if !s.blocked && p.pendingTasks(s) == 0 {
			p.timePlacement(s)
			s.queued = false
			continue
		}
		kept = append(kept, s)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	for _, u := range p.freed {
		u.freed = false
	}
	p.freed = p.freed[:0]
	clear(p.quotaFreed)
	p.migrateRuns()
	p.sendTicketRequests()
	p.timing.Searches += p.passSearches + p.passTicketSearches
}

// maxSearches bounds the steps for which one pass searches for capacity, and those for which it
// searches in vain for upstreams to request tickets for. Events wait for the end of a pass, so that
// without a bound urgent steps would wait for all others. A step of lower rank gets its turn in a
// later pass, unless more steps wait before it than are searched for within blockedRetry; until then
// its tasks get what becomes free.
const maxSearches = 16

// isDue reports whether a pass may search for capacity for a step.
func (p *Planner) isDue(s *step) bool {
	return !s.blocked || p.now >= s.blockedUntil || s.quotaLimited && p.quotaFreed[s.job.Account]
}

// placeStep starts as many tasks of a step as it can.
func (p *Planner) placeStep(s *step) {
	s.blocked, s.quotaLimited = false, false
	tasks := p.pending(s)
	if len(tasks) == 0 {
		return
	}
	if s.tickets != nil {
		s.tickets.renewals = nil
	}
	if s.hasAnyGrant() {
		if s.spec.Gang {
			p.placeGang(s, tasks)
		} else {
			p.placeTasks(s, tasks)
		}
	}
	if p.now >= s.retryAt && p.pendingTasks(s) > 0 {
		s.blocked, s.blockedUntil = true, p.now+blockedRetry
	}
}

// placeFreed starts tasks of a blocked step on the upstreams on which capacity was freed
// since the last pass. A gang needs capacity on many upstreams at once and waits for its
// next attempt.
func (p *Planner) placeFreed(s *step) {
	if !s.spec.Gang && s.hasAnyGrant() {
		if list := p.freedFor(s); len(list) > 0 {
			p.startOn(s, p.pending(s), list, p.quotaHeadroom(s))
			s.blocked = p.pendingTasks(s) > 0
		}
	}
	p.rebook(s)
}

// freedFor returns the upstreams with freed capacity on which a task of the step fits.
func (p *Planner) freedFor(s *step) []candidate {
	var list []candidate
	var service string
	for _, u := range p.freed {
		if !s.hasGrant(u) {
			continue
		}
		if list == nil {
			service = p.serviceOf(s.job)
		}
		if p.canRun(s, u, service) {
			list = p.addCandidate(list, s, u)
		}
	}
	return list
}

// book books the capacity for n tasks of a step on an upstream, so that steps of lower rank
// can't use it.
func (p *Planner) book(s *step, u *upstream, n int) {
	s.bookings = append(s.bookings, booking{u.ID, n})
	p.bookCapacity(u, multiply(p.state.NeedOf(s.spec), n))
}

// bookCapacity books capacity on an upstream for the rest of the pass.
func (p *Planner) bookCapacity(u *upstream, amount unit.Resources) {
	if u.booked.IsZero() {
		p.booked = append(p.booked, u)
	}
	u.booked = u.booked.Add(amount)
}

// rebook books again the capacity that the step had booked in an earlier pass.
func (p *Planner) rebook(s *step) {
	need := p.state.NeedOf(s.spec)
	for _, b := range s.bookings {
		if u := p.upstreams[b.upstream]; u != nil {
			p.bookCapacity(u, multiply(need, b.count))
		}
	}
}

// useBooking reduces the step's booking on an upstream by one task, which starts there.
func (s *step) useBooking(u *upstream) {
	for i, b := range s.bookings {
		if b.upstream == u.ID && b.count > 0 {
			s.bookings[i].count--
			return
		}
	}
}

// dropBookings cancels the bookings of a step.
func (s *step) dropBookings() { s.bookings, s.bookingGang = s.bookings[:0], false }

// markFreed records that an upstream may have capacity that it didn't have before.
func (p *Planner) markFreed(u *upstream) {
	p.dirty = true
	if !u.freed {
		u.freed = true
		p.freed = append(p.freed, u)
	}
}

// canRun reports whether tasks of the step may start on an upstream if it has free capacity.
func (p *Planner) canRun(s *step, u *upstream, service string) bool {
	return p.isSuitable(s, u, service) && !p.mustAvoid(s, u, service)
}

// isSuitable reports whether an upstream offers the service and takes tasks like those of the
// step.
func (p *Planner) isSuitable(s *step, u *upstream, service string) bool {
	return p.takesTasks(u) && u.Service == service && u.HasLabel(s.spec.Requires) &&
		p.state.NeedOf(s.spec).Fits(u.Capacity) && !(s.spec.BestEffortCPU && p.hasLatencySensitiveRun(u))
}

// hasLatencySensitiveRun reports whether an upstream runs a task with a target for its tail
// latency. Best-effort tasks disturb such a task by an amount that can't be predicted, so
// they don't run on the same upstream.
func (p *Planner) hasLatencySensitiveRun(u *upstream) bool {
	return slices.ContainsFunc(u.liveRuns, func(r *run) bool { return r.spec != nil && r.spec.TargetTailLatency > 0 })
}

// stepSpec returns the step of a run. It returns nil if the state no longer has the step.
func (p *Planner) stepSpec(key keeper.RunKey) *keeper.Step {
	j := p.state.Jobs[key.Task.Job]
	if j == nil || key.Task.Step >= len(j.Submission.Steps) {
		return nil
	}
	return &j.Submission.Steps[key.Task.Step]
}

// stopBestEffortRuns stops the best-effort runs on an upstream on which a latency-sensitive
// task starts.
func (p *Planner) stopBestEffortRuns(u *upstream) {
	for _, r := range u.liveRuns {
		if r.spec != nil && r.spec.BestEffortCPU && !r.stopRequested {
			p.requestStop(r, p.now)
			p.sweepAt = p.now
		}
	}
}

// serviceOf returns the service of a job's queue in the current configuration, or in the
// configuration at submission if the queue no longer exists.
func (p *Planner) serviceOf(j *keeper.Job) string {
	if q, ok := p.state.Config.QueueByName(j.Queue.Name); ok {
		return q.Service
	}
	return j.Queue.Service
}

// reserveQuota reserves a waiting gang's need in the quota of its account, so that the
// account's steps of lower rank can't use it. Otherwise an account that always has small
// tasks waiting would never have enough quota left for a large gang.
func (p *Planner) reserveQuota(s *step) {
	a, ok := p.state.Config.AccountByName(s.job.Account)
	if !ok || !s.quotaLimited || !s.spec.Gang || s.rank.tier != inTime {
		return
	}
	need := multiply(p.state.NeedOf(s.spec), s.spec.Count)
	limit, wanted := a.Quota.Vector(), need.Vector()
	for i := range limit {
		if limit[i] > 0 && wanted[i] > limit[i] {
			// The gang never fits into the quota.
			return
		}
	}
	p.reservedQuota[s.job.Account] = p.reservedQuota[s.job.Account].Add(need)
}

// quotaHeadroom returns how many more tasks of the step the account's quota allows.
func (p *Planner) quotaHeadroom(s *step) int {
	a, ok := p.state.Config.AccountByName(s.job.Account)
	if !ok {
		return math.MaxInt
	}
	taken := p.state.Used[s.job.Account].Add(p.reservedQuota[s.job.Account])
	limit, used, need := a.Quota.Vector(), taken.Vector(), p.state.NeedOf(s.spec).Vector()
	n := math.MaxInt
	for i := range limit {
		if limit[i] > 0 && need[i] > 0 {
			n = min(n, max(int((limit[i]-used[i])/need[i]), 0))
		}
	}
	return n
}

// placeTasks starts tasks one by one and claims capacity for those that don't fit.
func (p *Planner) placeTasks(s *step, tasks []int) {
	headroom := p.quotaHeadroom(s)
	s.quotaLimited = headroom < len(tasks)
	placed := p.startOn(s, tasks, p.candidates(s), headroom)
	if left := min(len(tasks), headroom) - placed; left > 0 {
		p.claimCapacity(s, left)
	}
}

// startOn starts at most limit tasks on the given upstreams. Where the ticket has expired
// it books the capacity and has the ticket renewed. It returns the number of tasks that
// were started or booked.
func (p *Planner) startOn(s *step, tasks []int, list []candidate, limit int) int {
	var renew []*upstream
	placed := 0
	// Each candidate has capacity for at least one task.
	for _, c := range smallest(list, min(len(tasks), limit), candidate.compare) {
		for range c.count {
			if placed >= min(len(tasks), limit) {
				break
			}
			if p.hasTicket(s, c.upstream) {
				s.useBooking(c.upstream)
				p.start(s, tasks[placed], c.upstream)
			} else {
				renew = append(renew, c.upstream)
				p.book(s, c.upstream, 1)
			}
			placed++
		}
	}
	if len(renew) > 0 {
		p.renewTickets(s, renew)
	}
	return placed
}

func (p *Planner) start(s *step, index int, u *upstream) {
	p.startRun(s, index, s.nextRun(index), u, p.ticketOf(s, u))
}

func (p *Planner) ticketOf(s *step, u *upstream) string {
	if !s.job.Queue.RequiresTicket {
		return ""
	}
	if g := s.tickets.granted[u.ID]; g != nil {
		return g.ticket
	}
	return ""
}

// stepBackoff is how long a step waits after an upstream has refused one of its starts.
const stepBackoff = 20 * clock.Millisecond
