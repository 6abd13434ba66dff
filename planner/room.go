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
	// claimLife is how long a step keeps the room that it was given: a stop and
	// the end that follows it take up to about half of it.
	claimLife = 600 * clock.Millisecond
	// claimTicket is how long the tickets must still be valid when room is
	// made; they are asked for anew otherwise, at the same time.
	claimTicket = 500 * clock.Millisecond
	// claimRetry is the wait after a search for room that found none; it walks
	// over all runs of the upstreams.
	claimRetry = 100 * clock.Millisecond
)

// urgentMemory is the weight of a new job in the usual need of an urgent task.
const urgentMemory = 0.05

// urgent is what was learned of the tasks of the most urgent queue.
type urgent struct {
	known    bool
	priority int
	cpu, mem float64
}

// see takes in the steps of an accepted job.
func (u *urgent) see(j *keeper.Job) {
	if u.known && j.Queue.Priority > u.priority {
		return
	}
	if !u.known || j.Queue.Priority < u.priority {
		*u = urgent{known: true, priority: j.Queue.Priority}
	}
	for _, s := range j.Submission.Steps {
		u.cpu = blend(u.cpu, float64(s.Need.CPU), urgentMemory)
		u.mem = blend(u.mem, float64(s.Need.Memory), urgentMemory)
	}
}

// blend takes a value into a moving average; the first one is the average.
func blend(average, value, weight float64) float64 {
	if average == 0 {
		return value
	}
	return average + weight*(value-average)
}

// keptShare is the share of a domain's processors that is kept for urgent tasks at
// most. More lies idle while others wait, where urgent tasks are large; with less, gangs
// find too little room, since they may take it (docs/design/overload.md).
const keptShare = 1. / 6

// hashOf returns a number from 0 to below 1 for an upstream, the same for each holder.
func hashOf(id unit.Upstream) float64 {
	h := fnv.New32a()
	h.Write([]byte(id))
	return float64(h.Sum32()) / (1 << 32)
}

// reserve is what less urgent tasks leave free on an upstream: room for one urgent task,
// on some of them if that would be too much. Without it each of those has to stop
// something first. Gangs take it, since they rarely find room on many upstreams at once.
//
// The load that it answers: a burst of short urgent jobs on a full fleet.
func (p *Planner) reserve(s *step, h *host) unit.Resources {
	if !p.urgent.known || s.spec.Gang || s.rank.priority <= p.urgent.priority ||
		h.hash*p.urgent.cpu >= keptShare*float64(h.Capacity.CPU) {
		return unit.Resources{}
	}
	return unit.Resources{CPU: unit.MilliCPU(p.urgent.cpu), Memory: unit.Bytes(p.urgent.mem)}
}

// claim is room on upstreams that a step waits for.
type claim struct {
	until clock.Millis
	tasks []claimed
}

type claimed struct {
	host  unit.Upstream
	count int
}

// makeRoom claims room for n tasks of a step by stopping tasks of less urgent
// queues that go on from a checkpoint later. Nothing gives way to an account that is
// over its share. It reports whether there is a claim.
func (p *Planner) makeRoom(s *step, n int) bool {
	if s.rank.tier != inTime || s.rank.over {
		return false
	}
	if s.claim != nil && p.now >= s.claim.until {
		s.claim = nil
	}
	if s.claim == nil && p.now >= s.claimAt {
		s.claim = p.findRoom(s, n)
		s.claimAt = p.now + claimRetry
	}
	if s.claim == nil {
		return false
	}
	for _, c := range s.claim.tasks {
		if h := p.hosts[c.host]; h != nil {
			p.book(s, h, c.count)
		}
	}
	return true
}

func times(r unit.Resources, n int) unit.Resources {
	v := r.Vector()
	for i := range v {
		v[i] *= int64(n)
	}
	return unit.FromVector(v)
}

// site is an upstream that can have room for a step.
type site struct {
	host *host
	// freeing is what runs that are being stopped will give back.
	freeing unit.Resources
	count   int
	// ticketed: the step needs no new ticket until the room is there.
	ticketed bool
}

// findRoom chooses upstreams for n tasks and stops what has to give way. A gang has its
// tickets renewed first: a question about many upstreams takes longer than the stops,
// and whatever is stopped before it leaves room idle until the answer is there.
func (p *Planner) findRoom(s *step, n int) *claim {
	need := p.state.NeedOf(s.spec)
	sites := least(p.sites(s), n, site.compare)
	c := &claim{until: p.now + claimLife}
	var again []*host
	for _, x := range sites {
		k := min(x.count, n)
		if k == 0 {
			continue
		}
		n -= k
		c.tasks = append(c.tasks, claimed{x.host.ID, k})
		if !x.ticketed {
			again = append(again, x.host)
		}
	}
	if n > 0 {
		return nil
	}
	if len(again) > 0 {
		p.askAgain(s, again)
		if s.spec.Gang {
			return nil
		}
	}
	for i, x := range sites[:len(c.tasks)] {
		p.stopVictims(s, x, times(need, c.tasks[i].count))
	}
	return c
}

// compare orders sites: those whose tickets last come first, then those with most free
// processors.
func (x site) compare(o site) int {
	if t := compareTickets(x.ticketed, o.ticketed); t != 0 {
		return t
	}
	return compareRoom(x.host, o.host)
}

// sites returns the upstreams that can have room, in no order.
func (p *Planner) sites(s *step) []site {
	need := p.state.NeedOf(s.spec)
	var list []site
	p.eachHost(s, func(h *host) {
		x := site{host: h, ticketed: !s.job.Queue.RequiresTicket || s.advice.validUntil(h.ID) >= p.now+claimTicket}
		room := h.free()
		for _, r := range h.live {
			switch {
			case r.stopWanted:
				x.freeing = x.freeing.Add(r.need)
			case p.mayGiveWay(r, s):
				room = room.Add(r.need)
			}
		}
		x.count = timesFits(need, room.Add(x.freeing))
		if s.spec.MaxPerUpstream > 0 {
			x.count = min(x.count, s.spec.MaxPerUpstream-s.countOn(h.ID))
		}
		if x.count > 0 {
			list = append(list, x)
		}
	})
	return list
}

// mostYields bounds how often a task gives way: each time costs it a restore and a
// wait for room, and a task that always gave way would never end.
const mostYields = 3

const (
	// yieldWorth is the least remaining time of a task that gives way: one that
	// ends sooner makes the room by itself, about as soon as a stop does.
	yieldWorth = 800 * clock.Millisecond
	// overdueShare is the part of its predicted time that a task is taken to
	// need at least; predictions are off by a factor.
	overdueShare = 4
	// yieldCost is what giving way costs a task: its restore, a question for a new
	// ticket and the wait for room.
	yieldCost = 6 * clock.Second
)

// mayGiveWay reports whether a run may be stopped for a step: it belongs to a
// less urgent queue, wouldn't end soon by itself, and its job can still end in time
// after it. For the largest gangs, which find room in no other way, jobs may be late.
//
// The load that it answers: all room is taken, and large jobs come. If whatever is
// less urgent gives way, the restores take room from everyone, the restarts ask for
// advice again, and the jobs that gave way are late in turn.
func (p *Planner) mayGiveWay(r *run, s *step) bool {
	left := max(r.takes-(p.now-r.at), r.takes/overdueShare)
	if left < yieldWorth || !p.isLarge(s) && p.now+yieldCost+left > r.doneBy {
		return false
	}
	return r.spec != nil && r.spec.Checkpointing && !r.spec.Gang && !r.spec.LongRunning && r.key.Number <= mostYields &&
		r.ackedAt > 0 && r.job.Queue.Priority > s.job.Queue.Priority && !r.job.Phase.IsFinal()
}

// stopVictims stops the runs that began last, until need fits.
func (p *Planner) stopVictims(s *step, x site, need unit.Resources) {
	room := x.host.free().Add(x.freeing)
	var victims []*run
	for _, r := range x.host.live {
		if !r.stopWanted && p.mayGiveWay(r, s) {
			victims = append(victims, r)
		}
	}
	slices.SortFunc(victims, func(a, b *run) int { return cmp.Or(cmp.Compare(b.at, a.at), a.key.Compare(b.key)) })
	for _, r := range victims {
		if need.Fits(room) {
			return
		}
		room = room.Add(r.need)
		p.wantStop(r, p.now)
		p.sweepAt = p.now
	}
}

// bookGang keeps room for a gang on those of its upstreams that have most of
// it, as much as the gang needs there.
func (p *Planner) bookGang(s *step, n int) {
	s.booking = true
	need := p.state.NeedOf(s.spec)
	var list []*host
	p.eachHost(s, func(h *host) { list = append(list, h) })
	for _, h := range least(list, n, compareRoom) {
		if n <= 0 {
			return
		}
		k := min(timesFits(need, h.Capacity), n)
		p.book(s, h, k)
		n -= k
	}
}
