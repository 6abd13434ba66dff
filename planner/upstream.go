package planner

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/predictor"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// clockSlownessPercent is the platform's bound on how slow an upstream's clock may be.
	clockSlownessPercent = 2
	// leaseMargin covers the rounding of clocks to milliseconds, and an estimate of the
	// upstream's clock that ran ahead while the upstream was silent.
	leaseMargin = 300 * clock.Millisecond
	// maxOrderDelay is the longest time from sending an order that gets no answer to its
	// execution: the platform bounds it by 12 s, and a relay adds up to 1 s.
	maxOrderDelay = 13500 * clock.Millisecond
)

// upstream holds the leader's knowledge of an upstream beyond the state.
type upstream struct {
	*keeper.UpstreamState
	// incarnation is the one that the fields below describe.
	incarnation keeper.Incarnation
	reportSeq   int64
	// tokenAcked is set once the upstream has answered this leader's token. From then on it
	// executes no order of a former leader.
	tokenAcked bool
	// listedAll is set once the upstream has listed all its runs and ends to this leader.
	listedAll bool
	// firstPollClock is the upstream's clock in its first answer to a poll of this leader; 0
	// before it. What the upstream sent before it became known to this leader has an earlier
	// reading.
	firstPollClock clock.Millis
	// inheritedDraining is set while the draining is known from a former leader only, whose
	// reportSeq isn't known.
	inheritedDraining bool
	// failing is set when a poll or an order shows that the upstream has a problem. The
	// next valid answer to a poll clears it.
	failing bool
	// ended is set when the incarnation has ended. The upstream is kept for runs that may
	// have started in its next incarnation. lastEnded is the latest incarnation that is
	// known to have ended.
	ended     bool
	lastEnded keeper.Incarnation
	// restarted is set when a newer incarnation has answered under the same id.
	restarted bool
	// deregistered is set when the upstream has deregistered. The message may be a late one
	// of a former incarnation.
	deregistered bool
	// pollingNow is set while a PollNow is in progress.
	pollingNow bool
	// answeredAt is when this leader received the last answer to a poll.
	answeredAt clock.Millis
	// clockReceivedAt is the leader's time at which lastClock was received. The upstream
	// had read its clock before that.
	clockReceivedAt clock.Millis
	lastClock       clock.Millis
	hasClock        bool
	// leaseExpiry is the latest expiry that was ever ordered, by the upstream's clock.
	leaseExpiry clock.Millis
	// leaseEndsAt is the leader's time by which all runs there must have ended if no longer
	// lease is granted.
	leaseEndsAt clock.Millis
	// freed is set while the upstream is in Planner.freed.
	freed bool
	// booked is the capacity that steps of higher rank wait for, during a pass.
	booked unit.Resources
	// idHash is a hash of the id, in [0, 1). It decides whether the upstream is one of
	// those that keep capacity free for urgent tasks.
	idHash float64
	// hash is a hash of what decides whether the upstream can run a step at all. The sum over
	// upstreams identifies a fleet.
	hash uint64
	// liveRuns are the runs of UpstreamState.Runs, in the order of their starts.
	liveRuns []*run
	health   health
	// slowness and slownessFactor are what the predictor knows of the speed, as of
	// slownessAt.
	slowness       predictor.Slowness
	slownessFactor float64
	slownessAt     clock.Millis
}

func newUpstream(state *keeper.UpstreamState, c Config) *upstream {
	u := &upstream{UpstreamState: state, incarnation: state.Incarnation, idHash: hashID(state.ID), hash: hashDescription(state.Upstream)}
	// A former leader may have granted the longest lease right before it lost its
	// leadership.
	u.leaseEndsAt = c.LeaderSince + maxElapsed(c.MaxLease) + leaseMargin
	return u
}

func hashDescription(u keeper.Upstream) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %d %q %d", u.ID, u.Incarnation, u.Labels, u.Capacity.Vector())
	return h.Sum64()
}

// maxElapsed returns the longest real time that may pass while a slow clock advances by
// span.
func maxElapsed(span clock.Millis) clock.Millis {
	return span*100/(100-clockSlownessPercent) + 1
}

// updateClock records a reading of the upstream's clock. An older reading than the last one
// is ignored.
func (u *upstream) updateClock(now, clockAt clock.Millis) {
	if clockAt <= 0 || u.hasClock && clockAt < u.lastClock {
		// The answer was overtaken by a later one.
		return
	}
	u.clockReceivedAt, u.lastClock, u.hasClock = now, clockAt, true
	u.updateLeaseEnd()
}

// maxAnswerDelay bounds the age of a clock reading in the answer to an order, relative to
// the last reading. It exceeds the time for which the driver waits for an answer.
const maxAnswerDelay = 1 * clock.Second

// isRestart reports whether a clock reading in the answer to an order is from a newer
// incarnation, whose clock starts anew.
func (u *upstream) isRestart(clockAt clock.Millis) bool {
	return u.hasClock && clockAt > 0 && clockAt < u.lastClock-maxAnswerDelay
}

// updateClockFromOrder records the clock reading in the answer to an order. If the clock
// went back, the upstream has restarted, which the next poll finds.
func (p *Planner) updateClockFromOrder(u *upstream, clockAt clock.Millis) {
	if u.isRestart(clockAt) {
		u.failing = true
		p.pollNow(u)
		return
	}
	u.updateClock(p.now, clockAt)
}

func (u *upstream) updateLeaseEnd() {
	if !u.hasClock || u.leaseExpiry == 0 {
		return
	}
	left := max(u.leaseExpiry-u.lastClock, 0)
	u.leaseEndsAt = max(u.clockReceivedAt+maxElapsed(left)+leaseMargin, u.clockReceivedAt)
}

// extendLease grants the longest lease that is possible now and returns its expiry by the
// upstream's clock. It returns 0 if that clock isn't known.
func (u *upstream) extendLease(now, maxLease clock.Millis) clock.Millis {
	if !u.hasClock {
		return 0
	}
	expiry := u.lastClock + (now - u.clockReceivedAt) + maxLease
	if expiry > u.leaseExpiry {
		u.leaseExpiry = expiry
		u.updateLeaseEnd()
	}
	return u.leaseExpiry
}

func (u *upstream) target() Target {
	return Target{ID: u.ID, Zone: u.Zone, Address: u.Address, Incarnation: u.Incarnation}
}

// isSchedulable reports whether the upstream may get new tasks.
func (u *upstream) isSchedulable() bool {
	return u.tokenAcked && !u.ended && !u.failing && !u.deregistered && !u.Draining && u.hasClock
}

// freeCapacity returns the capacity that is neither used nor booked.
func (u *upstream) freeCapacity() unit.Resources { return u.Capacity.Sub(u.Used).Sub(u.booked) }

// Report describes an upstream. The upstream sends it by itself.
type Report struct {
	Upstream keeper.Upstream
	// Clock is the upstream's monotonic clock.
	Clock clock.Millis
	// Seq increases with each report of an incarnation.
	Seq int64
	// DrainRemaining is the time that a draining upstream will serve at least.
	DrainRemaining clock.Millis
}

// isLate reports whether a report may be older than what is known of the upstream: it
// describes an incarnation that has ended, a later report of its incarnation has arrived, or
// it takes back a draining that a former leader recorded and was sent before the upstream
// answered this leader.
func (u *upstream) isLate(r Report) bool {
	incarnation := r.Upstream.Incarnation
	switch {
	case incarnation != u.Incarnation:
		return incarnation < u.Incarnation || incarnation <= u.lastEnded
	case u.inheritedDraining && !r.Upstream.Draining && (u.firstPollClock == 0 || r.Clock < u.firstPollClock):
		return true
	}
	return incarnation <= u.lastEnded || r.Seq <= u.reportSeq && u.reportSeq > 0
}

// describesUpstream reports whether a report describes an upstream that may be used. Other
// writers report too, under any id and for services of their own. If a service is removed from
// the configuration, the reports of its upstreams still count: they may begin to drain.
func (p *Planner) describesUpstream(u *upstream, desc keeper.Upstream) bool {
	tracked := u != nil && u.Service == desc.Service && u.Incarnation == desc.Incarnation
	return tracked || p.state.Config.HasService(desc.Service)
}

// HandleReport handles an upstream's report. It calls done once the report is durable. A
// report of a former incarnation, one that a later report overtook, and one of an unknown
// service change nothing.
func (p *Planner) HandleReport(now clock.Millis, r Report, done func()) {
	p.now = max(p.now, now)
	desc := r.Upstream
	u := p.upstreams[desc.ID]
	if !p.describesUpstream(u, desc) {
		p.ignoredReports++
		p.ignoredService = desc.Service
		p.addEffect(Respond{Send: done})
		return
	}
	if u != nil && u.Service != desc.Service && len(u.Runs) == 0 && !p.state.Config.HasService(u.Service) {
		// A former version has recorded a report of another writer under this id.
		p.removeUpstream(u)
		u = nil
	}
	if u != nil && u.isLate(r) || desc.Incarnation <= p.state.EndedIncarnations[desc.ID] {
		p.addEffect(Respond{Send: done})
		return
	}
	if u == nil || len(p.byAddress[desc.Address]) > 1 || u.Address != desc.Address {
		p.pollOthersAt(desc)
	}
	if u != nil && u.ended {
		p.newUpstreams = append(p.newUpstreams, desc.ID)
	}
	if u != nil && u.Incarnation != desc.Incarnation {
		p.startIncarnation(u, desc.Incarnation)
	}
	if u == nil || !sameDescription(u.Upstream, desc) {
		p.recordDescription(u, desc)
	}
	if u == nil {
		u = newUpstream(p.state.Upstreams[desc.ID], p.cfg)
		p.addUpstream(u)
		if len(u.Runs) == 0 {
			// No leader has sent an order there yet.
			u.tokenAcked = true
		}
	}
	wasSchedulable := u.isSchedulable()
	u.incarnation, u.reportSeq, u.deregistered, u.ended, u.inheritedDraining = desc.Incarnation, r.Seq, false, false, false
	u.updateClock(p.now, r.Clock)
	if !wasSchedulable && u.isSchedulable() {
		p.markFreed(u)
	}
	p.addEffect(Respond{Send: done})
}

// recordDescription records an upstream's new description.
func (p *Planner) recordDescription(u *upstream, desc keeper.Upstream) {
	if u == nil {
		p.record(keeper.SetUpstream{Upstream: desc})
		return
	}
	p.removeFromAddress(u)
	p.record(keeper.SetUpstream{Upstream: desc})
	u.hash = hashDescription(desc)
	p.byAddress[u.Address] = append(p.byAddress[u.Address], u)
}

func (p *Planner) removeFromAddress(u *upstream) {
	list := slices.DeleteFunc(p.byAddress[u.Address], func(o *upstream) bool { return o == u })
	if len(list) == 0 {
		delete(p.byAddress, u.Address)
		return
	}
	p.byAddress[u.Address] = list
}

// addUpstream begins to track an upstream.
func (p *Planner) addUpstream(u *upstream) {
	p.upstreams[u.ID] = u
	p.newUpstreams = append(p.newUpstreams, u.ID)
	p.byAddress[u.Address] = append(p.byAddress[u.Address], u)
	i, _ := slices.BinarySearchFunc(p.byID, u.ID, (*upstream).compareID)
	p.byID = slices.Insert(p.byID, i, u)
}

// dropUpstream stops tracking an upstream.
func (p *Planner) dropUpstream(u *upstream) {
	delete(p.upstreams, u.ID)
	p.removeFromAddress(u)
	if i, found := slices.BinarySearchFunc(p.byID, u.ID, (*upstream).compareID); found {
		p.byID = slices.Delete(p.byID, i, i+1)
	}
	for key := range p.orphans[u.ID] {
		delete(p.runs, key)
		delete(p.stopping, key)
	}
	delete(p.orphans, u.ID)
}

func (u *upstream) compareID(id unit.Upstream) int { return cmp.Compare(u.ID, id) }

func sameDescription(a, b keeper.Upstream) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Service == b.Service && a.Zone == b.Zone &&
		a.Rack == b.Rack && slices.Equal(a.Labels, b.Labels) && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Machine == b.Machine
}

// pollOthersAt polls the other upstreams at the address of a reported one at once. Only one
// of them can serve there, and it rejects the polls of the others. The report doesn't tell
// which: it may be a late one of an upstream that has ended, or come from another writer.
func (p *Planner) pollOthersAt(desc keeper.Upstream) {
	others := slices.Clone(p.byAddress[desc.Address])
	slices.SortFunc(others, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	for _, o := range others {
		if o.ID != desc.ID {
			p.pollNow(o)
		}
	}
}

// startIncarnation resets an upstream to a new incarnation. The first poll of it ends the
// runs that it doesn't list: an order to the former incarnation may have reached the new
// one, since both have the same id. A start that has not been answered may still reach it;
// its run stays live until a stop was executed there.
func (p *Planner) startIncarnation(u *upstream, incarnation keeper.Incarnation) {
	for _, r := range u.liveRuns {
		if r.mayStartLate() {
			p.requestStop(r, p.now)
		}
	}
	u.incarnation = incarnation
	u.reportSeq, u.firstPollClock, u.inheritedDraining, u.answeredAt = 0, 0, false, 0
	u.tokenAcked, u.listedAll, u.failing, u.ended, u.restarted, u.pollingNow = false, false, false, false, false, false
	u.hasClock, u.lastClock, u.leaseExpiry = false, 0, 0
	u.leaseEndsAt = p.now + maxElapsed(p.cfg.MaxLease) + leaseMargin
	u.health = health{}
	p.forgetTickets(u.ID)
}

// expireRuns ends the runs of an upstream whose incarnation has ended or whose lease has
// expired. A start that has not been answered may still be executed by a newer incarnation,
// whose clock starts anew; its run stays live until no order can be that late. If a newer
// incarnation has answered under the same id, this also holds for a start that was answered,
// unless the former incarnation listed the run: the answer may have come from the newer one.
func (p *Planner) expireRuns(u *upstream) {
	for _, r := range slices.Clone(u.liveRuns) {
		definite := r.listed || r.ackedAt > 0 && (!u.restarted || p.now > u.leaseEndsAt)
		if !definite && p.now-r.lastSentAt(p.cfg.LeaderSince) <= maxOrderDelay {
			continue
		}
		outcome := keeper.RunLost
		if r.ackedAt > 0 {
			outcome = keeper.RunExpired
		}
		p.endRun(r, outcome, "", 0)
	}
}

// endIncarnations records that all incarnations of an upstream up to last have ended, and
// removes the upstream.
func (p *Planner) endIncarnations(u *upstream, last keeper.Incarnation) {
	u.lastEnded = max(u.lastEnded, last)
	p.removeUpstream(u)
}

// removeUpstream removes an upstream whose incarnation has ended or whose lease has expired.
// It keeps the upstream while runs of it may still be live.
func (p *Planner) removeUpstream(u *upstream) {
	if !u.ended {
		// This visits all steps, so it isn't repeated for an upstream that is kept.
		p.forgetTickets(u.ID)
	}
	u.ended = true
	p.expireRuns(u)
	p.dirty = true
	if len(u.Runs) > 0 {
		return
	}
	p.record(keeper.RemoveUpstream{ID: u.ID, Incarnation: u.Incarnation, EndedIncarnation: u.lastEnded})
	p.dropUpstream(u)
}

// HandleDeregistration handles the message that an upstream sends when it leaves. It calls
// done once the change is durable. The message doesn't name an incarnation, so only an
// upstream that was draining is known to have ended; any other gets no new tasks until it
// reports again.
func (p *Planner) HandleDeregistration(now clock.Millis, id unit.Upstream, done func()) {
	p.now = max(p.now, now)
	if u := p.upstreams[id]; u != nil {
		if u.Draining {
			p.endIncarnations(u, u.Incarnation)
		} else {
			u.deregistered = true
		}
	}
	p.addEffect(Respond{Send: done})
}

// silenceTimeout is how long an upstream must have sent nothing before it is removed. It
// covers several reports.
const silenceTimeout = 15 * clock.Second

// sweepUpstreams ends the runs of upstreams whose lease has expired, and removes silent
// upstreams.
func (p *Planner) sweepUpstreams() {
	for _, u := range slices.Clone(p.byID) {
		if u.ended {
			p.removeUpstream(u)
			continue
		}
		if p.now <= u.leaseEndsAt {
			continue
		}
		if p.now-max(u.clockReceivedAt, p.cfg.LeaderSince) > silenceTimeout {
			p.removeUpstream(u)
			continue
		}
		p.expireRuns(u)
	}
}

// TakeNewUpstreams returns the upstreams that the planner has begun to track since the last
// call, sorted by id.
func (p *Planner) TakeNewUpstreams() []unit.Upstream {
	list := p.newUpstreams
	p.newUpstreams = nil
	slices.Sort(list)
	return list
}
