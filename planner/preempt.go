package planner

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// claimTTL is how long a step keeps the capacity that it claimed. A stop and the end
	// that follows it take up to about half of it.
	claimTTL = 600 * clock.Millisecond
	// claimTicketTTL is how long a ticket must still be valid when capacity is claimed. A
	// ticket with less is renewed at the same time.
	claimTicketTTL = 500 * clock.Millisecond
	// claimRetryInterval is the wait after a search that found too little capacity. The
	// search visits all runs of the upstreams.
	claimRetryInterval = 100 * clock.Millisecond
)

// urgentNeedWeight is the weight of a new step in the moving averages of urgentNeed.
const urgentNeedWeight = 0.05

// urgentNeed is the average need of a task of the most urgent queue.
type urgentNeed struct {
	known    bool
	priority int
	cpu, mem float64
}

// add adds the steps of an accepted job, if its queue is the most urgent one.
func (n *urgentNeed) add(j *keeper.Job) {
	if n.known && j.Queue.Priority > n.priority {
		return
	}
	if !n.known || j.Queue.Priority < n.priority {
		*n = urgentNeed{known: true, priority: j.Queue.Priority}
	}
	for _, s := range j.Submission.Steps {
		n.cpu = blend(n.cpu, float64(s.Need.CPU), urgentNeedWeight)
		n.mem = blend(n.mem, float64(s.Need.Memory), urgentNeedWeight)
	}
}

// blend adds a value to a moving average. The first value becomes the average.
func blend(average, value, weight float64) float64 {
	if average == 0 {
		return value
	}
	return average + weight*(value-average)
}

// urgentReserveShare is the largest share of a domain's CPU that is kept free for urgent
// tasks. With more, capacity stays unused while other tasks wait, where urgent tasks are
// large; with less, gangs find too little capacity, since they may use the reserve
// (docs/design/overload.md).
const urgentReserveShare = 1. / 6

// hashID returns a hash of an upstream's id in [0, 1). It is the same on each leader.
func hashID(id unit.Upstream) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}

// urgentReserve returns the capacity that a step must leave free on an upstream: the need
// of one urgent task, or nothing on some upstreams if reserves on all of them would exceed
// urgentReserveShare. Without the reserve each urgent task would first have to preempt
// another one. Gangs may use it, since they rarely find capacity on many upstreams at once.
//
// It is meant for bursts of short urgent jobs on a full domain.
func (p *Planner) urgentReserve(s *step, u *upstream) unit.Resources {
	if !p.urgent.known || s.spec.Gang || s.rank.priority <= p.urgent.priority ||
		u.idHash*p.urgent.cpu >= urgentReserveShare*float64(u.Capacity.CPU) {
		return unit.Resources{}
	}
	return unit.Resources{CPU: unit.MilliCPU(p.urgent.cpu), Memory: unit.Bytes(p.urgent.mem)}
}

// claim is capacity that a step waits for while the runs that use it are stopped.
type claim struct {
	until    clock.Millis
	bookings []booking
}

// booking is capacity for count tasks of a step on an upstream.
type booking struct {
	upstream unit.Upstream
	count    int
}

// claimCapacity claims capacity for n tasks of a step by preempting tasks of less urgent
// queues that can resume from a checkpoint. It reports whether the step has a claim.
func (p *Planner) claimCapacity(s *step, n int) bool {
	if !p.mayPreempt(s) {
		return false
	}
	if s.claim != nil && p.now >= s.claim.until {
		s.claim = nil
	}
	if s.claim == nil && p.now >= s.nextClaimAt {
		s.claim = p.findCapacity(s, n)
		s.nextClaimAt = p.now + claimRetryInterval
	}
	if s.claim == nil {
		return false
	}
	for _, b := range s.claim.bookings {
		if u := p.upstreams[b.upstream]; u != nil {
			p.book(s, u, b.count)
		}
	}
	return true
}

// mayPreempt reports whether runs may be stopped for a step: not for one that can't end in
// time, nor for what its account has beyond its share or its entitlement.
func (p *Planner) mayPreempt(s *step) bool {
	return s.rank.tier == inTime && !s.rank.overShare && !s.rank.surplus
}

func multiply(r unit.Resources, n int) unit.Resources {
	v := r.Vector()
	for i := range v {
		v[i] *= int64(n)
	}
	return unit.FromVector(v)
}

// preemptionSite is an upstream that has capacity for count tasks of a step once
// preemptible runs there are stopped.
type preemptionSite struct {
	upstream *upstream
	// freeing is the capacity of runs that are being stopped.
	freeing unit.Resources
	count   int
	// ticketed is set if the step's ticket stays valid until the capacity is free.
	ticketed bool
}

// findCapacity chooses upstreams for n tasks and stops the victims there. It returns nil if
// there is too little capacity. A gang has its tickets renewed first: a request for many
// upstreams takes longer than the stops, and capacity that is freed before the answer
// arrives stays unused.
func (p *Planner) findCapacity(s *step, n int) *claim {
	need := p.state.NeedOf(s.spec)
	sites := smallest(p.preemptionSites(s), n, preemptionSite.compare)
	c := &claim{until: p.now + claimTTL}
	var renew []*upstream
	for _, site := range sites {
		k := min(site.count, n)
		if k == 0 {
			continue
		}
		n -= k
		c.bookings = append(c.bookings, booking{site.upstream.ID, k})
		if !site.ticketed {
			renew = append(renew, site.upstream)
		}
	}
	if n > 0 {
		return nil
	}
	if len(renew) > 0 {
		p.renewTickets(s, renew)
		if s.spec.Gang {
			return nil
		}
	}
	for i, site := range sites[:len(c.bookings)] {
		p.stopVictims(s, site, multiply(need, c.bookings[i].count))
	}
	return c
}

// compare orders sites: those with a lasting ticket first, then those with the most free
// CPU.
func (site preemptionSite) compare(o preemptionSite) int {
	if t := compareTickets(site.ticketed, o.ticketed); t != 0 {
		return t
	}
	return compareFreeCPU(site.upstream, o.upstream)
}

// preemptionSites returns the upstreams that can get capacity for the step, in no
// particular order.
func (p *Planner) preemptionSites(s *step) []preemptionSite {
	need := p.state.NeedOf(s.spec)
	var list []preemptionSite
	p.eachPermitted(s, func(u *upstream) {
		site := preemptionSite{upstream: u, ticketed: !s.job.Queue.RequiresTicket || s.tickets.validUntil(u.ID) >= p.now+claimTicketTTL}
		available := u.freeCapacity()
		for _, r := range u.liveRuns {
			switch {
			case r.stopRequested:
				site.freeing = site.freeing.Add(r.need)
			case p.isPreemptible(r, s):
				available = available.Add(r.need)
			}
		}
		site.count = timesFits(need, available.Add(site.freeing))
		if s.spec.MaxPerUpstream > 0 {
			site.count = min(site.count, s.spec.MaxPerUpstream-s.countOn(u.ID))
		}
		if site.count > 0 {
			list = append(list, site)
		}
	})
	return list
}

// maxPreemptions limits how often a task is preempted: each time costs it a restore and a
// wait for capacity, and a task that was preempted without limit might never end.
const maxPreemptions = 3

const (
	// minPreemptibleTime is the shortest remaining time of a preemptible run: one that ends
	// sooner frees its capacity by itself, about as soon as a stop would.
	minPreemptibleTime = 800 * clock.Millisecond
	// preemptionCost is the time that a preemption costs a task: its restore, a request for
	// a new ticket and the wait for capacity.
	preemptionCost = 6 * clock.Second
)

// isPreemptible reports whether a run may be stopped for a step: it belongs to a less
// urgent queue, wouldn't end soon by itself, and its job can still end in time afterwards.
// For the largest gangs, which get capacity in no other way, the job may be late.
//
// It is meant for large jobs that arrive while all capacity is used. If every less urgent
// run were preempted, the restores would use capacity, the restarts would request tickets
// again, and the preempted jobs would be late in turn.
func (p *Planner) isPreemptible(r *run, s *step) bool {
	if r.spec == nil || !r.spec.Checkpointing || r.spec.Gang || r.spec.LongRunning || r.key.Number > maxPreemptions ||
		r.ackedAt == 0 || r.inherited || r.job.Queue.Priority <= s.job.Queue.Priority || r.job.Phase.IsFinal() {
		return false
	}
	left := p.remaining(r)
	return left >= minPreemptibleTime && (p.isLarge(s) || p.now+preemptionCost+left <= r.latestEnd)
}

// stopVictims stops preemptible runs, the latest started first, until need fits on the
// upstream.
func (p *Planner) stopVictims(s *step, site preemptionSite, need unit.Resources) {
	available := site.upstream.freeCapacity().Add(site.freeing)
	var victims []*run
	for _, r := range site.upstream.liveRuns {
		if !r.stopRequested && p.isPreemptible(r, s) {
			victims = append(victims, r)
		}
	}
	slices.SortFunc(victims, func(a, b *run) int { return cmp.Or(cmp.Compare(b.recordedAt, a.recordedAt), a.key.Compare(b.key)) })
	for _, r := range victims {
		if need.Fits(available) {
			return
		}
		available = available.Add(r.need)
		p.requestStop(r, p.now)
		p.sweepAt = p.now
	}
}

// bookGang books capacity for a gang on its upstreams with the most free CPU, on each as
// much as the gang needs there.
func (p *Planner) bookGang(s *step, n int) {
	s.bookingGang = true
	need := p.state.NeedOf(s.spec)
	var list []*upstream
	p.eachPermitted(s, func(u *upstream) { list = append(list, u) })
	for _, u := range smallest(list, n, compareFreeCPU) {
		if n <= 0 {
			return
		}
		k := min(timesFits(need, u.Capacity), n)
		p.book(s, u, k)
		n -= k
	}
}
