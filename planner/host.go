package planner

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// slowClock bounds by how much an upstream's clock may be slow, in percent;
	// the platform's pages give it.
	slowClock = 2
	// lapseMargin covers the rounding of clocks to milliseconds and an estimate
	// of the upstream's clock that ran ahead during a silence.
	lapseMargin = 300 * clock.Millisecond
	// lateOrder is how long after it was sent an order without an answer may
	// still be carried out: the platform's pages bound it by 12 s, to which the
	// way over a relay adds up to 1 s.
	lateOrder = 13500 * clock.Millisecond
)

// host is what the holder knows of an upstream beyond the state.
type host struct {
	*keeper.UpstreamState
	// life is the one that the rest of the fields speak of.
	life keeper.Incarnation
	seq  int64
	// claimed: it has answered the holder's token, so no order of a former
	// holder can still be carried out.
	claimed bool
	// failing: its last orders or looks got no sound answer.
	failing bool
	// dead: its life has ended, and it stays for runs that may have started in
	// its next life. over is the latest life that has surely ended.
	dead bool
	over keeper.Incarnation
	// reborn: a new life under the same id has answered in its place.
	reborn bool
	// leaving: it said goodbye, which may be a late message of a former life.
	leaving bool
	// peeking: a look that doesn't wait is under way.
	peeking bool
	// heardAt is when clockAt was heard; clockAt was read before that.
	heardAt clock.Millis
	clockAt clock.Millis
	hasTime bool
	// expires is the latest lease that was ever ordered, on its clock.
	expires clock.Millis
	// lapseAt is when everything on it has surely ended, if nothing more is
	// ordered.
	lapseAt clock.Millis
	// freed: it stands in the planner's list of upstreams with new room.
	freed bool
	// booked is what steps that come first wait to take, during a pass.
	booked unit.Resources
	// hash is the id's, from 0 to below 1. It decides whether the upstream is one of
	// those that keep room for urgent tasks.
	hash float64
	// live are the runs of UpstreamState.Runs, in the order in which they were ordered.
	live   []*run
	record record
}

func newHost(h *keeper.UpstreamState, c Config) *host {
	n := &host{UpstreamState: h, life: h.Incarnation, hash: hashOf(h.ID)}
	// The former holder's orders bound its leases by the most that one may
	// last from when it lost its own.
	n.lapseAt = c.LeaderSince + slowed(c.MaxLease) + lapseMargin
	return n
}

// slowed returns how long a span of a slow clock may last.
func slowed(span clock.Millis) clock.Millis {
	return span*100/(100-slowClock) + 1
}

// hear notes the upstream's clock.
func (h *host) hear(now, clockAt clock.Millis) {
	if clockAt <= 0 || h.hasTime && clockAt < h.clockAt {
		// A late answer says nothing new.
		return
	}
	h.heardAt, h.clockAt, h.hasTime = now, clockAt, true
	h.setLapse()
}

// orderJitter bounds by how much the answer to an order may be older than what
// was heard last: the time for which the driver waits for one.
const orderJitter = 1 * clock.Second

// isReborn reports whether a clock in the answer to an order is that of a new
// life.
func (h *host) isReborn(clockAt clock.Millis) bool {
	return h.hasTime && clockAt > 0 && clockAt < h.clockAt-orderJitter
}

// hearOrder notes the clock in the answer to an order. One that went back tells
// of a new life, which the next look finds.
func (p *Planner) hearOrder(h *host, clockAt clock.Millis) {
	if h.isReborn(clockAt) {
		h.failing = true
		p.peek(h)
		return
	}
	h.hear(p.now, clockAt)
}

func (h *host) setLapse() {
	if !h.hasTime || h.expires == 0 {
		return
	}
	left := max(h.expires-h.clockAt, 0)
	h.lapseAt = max(h.heardAt+slowed(left)+lapseMargin, h.heardAt)
}

// lease returns the longest lease that can be ordered now, on the upstream's
// clock; 0 if its clock isn't known.
func (h *host) lease(now, most clock.Millis) clock.Millis {
	if !h.hasTime {
		return 0
	}
	e := h.clockAt + (now - h.heardAt) + most
	if e > h.expires {
		h.expires = e
		h.setLapse()
	}
	return h.expires
}

func (h *host) target() Target {
	return Target{ID: h.ID, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation}
}

// isUsable reports whether new work may be started there.
func (h *host) isUsable() bool {
	return h.claimed && !h.dead && !h.failing && !h.leaving && !h.Draining && h.hasTime
}

// free returns what is left of the capacity for the steps that come next.
func (h *host) free() unit.Resources { return h.Capacity.Sub(h.Used).Sub(h.booked) }

// Report is an upstream's description of itself.
type Report struct {
	Upstream keeper.Upstream
	// Clock is the upstream's steady clock.
	Clock clock.Millis
	// Seq rises with each report of a life.
	Seq int64
	// Remaining is the least time that a draining upstream has left.
	Remaining clock.Millis
}

// Report takes an upstream's description; done is called once it is durable.
func (p *Planner) Report(now clock.Millis, r Report, done func()) {
	p.now = max(p.now, now)
	u := r.Upstream
	h := p.hosts[u.ID]
	late := h != nil && (u.Incarnation < h.Incarnation || u.Incarnation <= h.over || u.Incarnation == h.Incarnation && r.Seq <= h.seq && h.seq > 0)
	if late || u.Incarnation <= p.state.EndedIncarnations[u.ID] {
		// A late report of a former life, or one that a later one overtook.
		p.effect(Respond{Send: done})
		return
	}
	if h == nil || len(p.byAddress[u.Address]) > 1 || h.Address != u.Address {
		p.endOthersAt(u)
	}
	if h != nil && h.dead {
		p.arrived = append(p.arrived, u.ID)
	}
	if h != nil && h.Incarnation != u.Incarnation {
		p.newLife(h, u.Incarnation)
	}
	if h == nil || !sameDescription(h.Upstream, u) {
		p.describe(h, u)
	}
	if h == nil {
		h = newHost(p.state.Upstreams[u.ID], p.cfg)
		p.addHost(h)
		if len(h.Runs) == 0 {
			// Nothing was ever ordered there.
			h.claimed = true
		}
	}
	usable := h.isUsable()
	h.life, h.seq, h.leaving, h.dead = u.Incarnation, r.Seq, false, false
	h.hear(p.now, r.Clock)
	if !usable && h.isUsable() {
		p.free(h)
	}
	p.effect(Respond{Send: done})
}

// describe records a host's new description.
func (p *Planner) describe(h *host, u keeper.Upstream) {
	if h == nil {
		p.record(keeper.SetUpstream{Upstream: u})
		return
	}
	p.leaveAddress(h)
	p.record(keeper.SetUpstream{Upstream: u})
	p.byAddress[h.Address] = append(p.byAddress[h.Address], h)
}

func (p *Planner) leaveAddress(h *host) {
	list := slices.DeleteFunc(p.byAddress[h.Address], func(o *host) bool { return o == h })
	if len(list) == 0 {
		delete(p.byAddress, h.Address)
		return
	}
	p.byAddress[h.Address] = list
}

// addHost begins to look after an upstream.
func (p *Planner) addHost(h *host) {
	p.hosts[h.ID] = h
	p.arrived = append(p.arrived, h.ID)
	p.byAddress[h.Address] = append(p.byAddress[h.Address], h)
	i, _ := slices.BinarySearchFunc(p.byID, h.ID, (*host).compareID)
	p.byID = slices.Insert(p.byID, i, h)
}

// dropHost ends looking after an upstream.
func (p *Planner) dropHost(h *host) {
	delete(p.hosts, h.ID)
	p.leaveAddress(h)
	if i, found := slices.BinarySearchFunc(p.byID, h.ID, (*host).compareID); found {
		p.byID = slices.Delete(p.byID, i, i+1)
	}
	for key := range p.strays[h.ID] {
		delete(p.runs, key)
		delete(p.stopping, key)
	}
	delete(p.strays, h.ID)
}

func (h *host) compareID(id unit.Upstream) int { return cmp.Compare(h.ID, id) }

func sameDescription(a, b keeper.Upstream) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Service == b.Service && a.Zone == b.Zone &&
		a.Rack == b.Rack && slices.Equal(a.Labels, b.Labels) && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Machine == b.Machine
}

// endOthersAt ends the older lives that had the address of a newer upstream:
// two can't serve there at once.
func (p *Planner) endOthersAt(u keeper.Upstream) {
	var former []*host
	for _, o := range p.byAddress[u.Address] {
		if o.ID != u.ID && o.Incarnation < u.Incarnation {
			former = append(former, o)
		}
	}
	slices.SortFunc(former, func(a, b *host) int { return cmp.Compare(a.ID, b.ID) })
	for _, o := range former {
		p.buryHost(o, o.Incarnation)
	}
}

// newLife turns to a new life of an upstream. The first look at it ends the runs
// that it doesn't list: an order to the former life may have reached this one,
// since both have the same id. A start whose answer is missing may still do so;
// its run stays live until a stop was answered there.
func (p *Planner) newLife(h *host, life keeper.Incarnation) {
	for _, r := range h.live {
		if r.isDoubtful() {
			p.wantStop(r, p.now)
		}
	}
	h.life = life
	h.seq = 0
	h.claimed, h.failing, h.dead, h.reborn, h.peeking = false, false, false, false, false
	h.hasTime, h.clockAt, h.expires = false, 0, 0
	h.lapseAt = p.now + slowed(p.cfg.MaxLease) + lapseMargin
	h.record = record{}
	p.forgetAdvice(h.ID)
}

// lapse ends the runs of an upstream whose life or leases have ended. A start
// without an answer may still be carried out by a new life of the upstream,
// whose clock starts anew; its run stays live until no order can be that late.
// If a new life under the same id has answered, that holds also for a start that
// was answered, unless the former life listed the run: the answer may have been
// the new one's.
func (p *Planner) lapse(h *host) {
	for _, r := range slices.Clone(h.live) {
		sure := r.listed || r.ackedAt > 0 && (!h.reborn || p.now > h.lapseAt)
		if !sure && p.now-r.orderedAt(p.cfg.LeaderSince) <= lateOrder {
			continue
		}
		p.endRun(r, keeper.RunExpired, "", 0)
	}
}

// buryHost ends an upstream of which all lives up to the given one have surely
// ended.
func (p *Planner) buryHost(h *host, over keeper.Incarnation) {
	h.over = max(h.over, over)
	p.removeHost(h)
}

// removeHost ends an upstream whose life or leases have surely ended.
func (p *Planner) removeHost(h *host) {
	h.dead = true
	p.lapse(h)
	p.forgetAdvice(h.ID)
	p.dirty = true
	if len(h.Runs) > 0 {
		return
	}
	p.record(keeper.RemoveUpstream{ID: h.ID, Incarnation: h.Incarnation, EndedIncarnation: h.over})
	p.dropHost(h)
}

// Leave takes an upstream's goodbye. Only one that was known to drain has
// surely ended: the message doesn't tell of which life it speaks.
func (p *Planner) Leave(now clock.Millis, id unit.Upstream, done func()) {
	p.now = max(p.now, now)
	if h := p.hosts[id]; h != nil {
		if h.Draining {
			p.buryHost(h, h.Incarnation)
		} else {
			h.leaving = true
		}
	}
	p.effect(Respond{Send: done})
}

// silentAfter is for how long nothing was heard of an upstream that is
// forgotten, well over several heartbeats.
const silentAfter = 15 * clock.Second

// sweepHosts ends what ran on upstreams whose leases have surely lapsed.
func (p *Planner) sweepHosts() {
	for _, h := range slices.Clone(p.byID) {
		if h.dead {
			p.removeHost(h)
			continue
		}
		if p.now <= h.lapseAt {
			continue
		}
		if p.now-max(h.heardAt, p.cfg.LeaderSince) > silentAfter {
			p.removeHost(h)
			continue
		}
		p.lapse(h)
	}
}

// TakeNewUpstreams returns the upstreams that the holder has begun to look after since
// the last call.
func (p *Planner) TakeNewUpstreams() []unit.Upstream {
	list := p.arrived
	p.arrived = nil
	slices.Sort(list)
	return list
}
