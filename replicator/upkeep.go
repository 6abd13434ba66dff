package replicator

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// tickJoin asks to be taken into the membership. A member asks too while it
// knows of no leader: it may have been removed while it was away.
func (c *Core) tickJoin() {
	member := c.log.membership().membership.has(c.config.Self)
	if c.now < c.form.joinAt || member && (c.leader != Member{} || c.now < c.promiseUntil) {
		return
	}
	c.form.joinAt = c.now + c.config.Election
	for _, id := range c.knownInstances() {
		c.message(Member{Instance: id}, Join{})
	}
}

// knownInstances returns everyone who may know the leader.
func (c *Core) knownInstances() []unit.Instance {
	ids := slices.Concat(c.config.Bootstrap, c.config.Contacts)
	for _, m := range slices.Concat(c.hard.Base.Voters, c.log.membership().membership.Voters) {
		ids = append(ids, m.Instance)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	return slices.DeleteFunc(ids, func(id unit.Instance) bool { return id == c.config.Self.Instance })
}

func (c *Core) noteJoin(m Member) {
	if c.role != roleLeader || c.log.membership().membership.has(m) || m.Incarnation == "" {
		return
	}
	c.lead.joins[m] = c.now
}

// upkeepMembers appends the next change of the membership, if one is due. One
// change at a time, by one member, and only after an entry of the leader's own
// term is committed: then any majority of the old membership overlaps with any
// of the new one.
func (c *Core) upkeepMembers() {
	before := c.lead.caughtUp
	c.lead.caughtUp = c.commit
	current := c.log.membership()
	if c.commit < c.lead.first || current.index > c.commit || c.lead.transfer != (Member{}) {
		return
	}
	next, ok := c.nextMembership(current.membership, max(before, c.lead.first))
	if !ok {
		return
	}
	c.appendOwn(KindMembership, encodeMembership(next))
	c.trackMembers()
}

func (c *Core) nextMembership(ms Membership, caughtUp Index) (Membership, bool) {
	for _, l := range ms.Learners {
		p := c.lead.members[l]
		if c.isSilent(p, c.config.DeadAfter) {
			return ms.removed(l), true
		}
		if p.match < caughtUp || c.isSilent(p, c.config.Election) {
			continue
		}
		if next, ok := c.admit(ms, l); ok {
			return next, true
		}
	}
	return c.nextJoin(ms)
}

// admit finds the next step that makes a caught-up learner a voter. The former
// life of its own instance is removed first: its disk is lost, so it can't
// count for anything, and leaving it in would only raise the quorum.
func (c *Core) admit(ms Membership, l Member) (Membership, bool) {
	if old, ok := ms.voterOf(l.Instance); ok {
		return c.removeSilent(ms, old, goneAfter*c.config.Election)
	}
	if len(ms.Voters) < max(c.config.Voters, len(c.hard.Base.Voters)) {
		return ms.promoted(l), true
	}
	for _, v := range ms.Voters {
		if next, ok := c.removeSilent(ms, v, c.config.DeadAfter); ok {
			return next, true
		}
	}
	return ms, false
}

// removeSilent removes a voter that was silent for so long, if the voters that
// are left can still commit.
func (c *Core) removeSilent(ms Membership, v Member, after clock.Millis) (Membership, bool) {
	if v == c.config.Self || !c.isSilent(c.lead.members[v], after) {
		return ms, false
	}
	next := ms.removed(v)
	active := 0
	for _, o := range next.Voters {
		if o == c.config.Self || !c.isSilent(c.lead.members[o], c.config.Election) {
			active++
		}
	}
	return next, active >= quorum(len(next.Voters))
}

func (c *Core) isSilent(p *progress, after clock.Millis) bool {
	return p == nil || c.now-p.seenAt > after
}

// nextJoin takes in an instance that asked lately.
func (c *Core) nextJoin(ms Membership) (Membership, bool) {
	due := make([]Member, 0, len(c.lead.joins))
	for m, at := range c.lead.joins {
		if at < c.now-2*c.config.Election || ms.has(m) {
			delete(c.lead.joins, m)
			continue
		}
		due = append(due, m)
	}
	if len(due) == 0 {
		return ms, false
	}
	first := slices.MinFunc(due, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	delete(c.lead.joins, first)
	return ms.withLearner(first), true
}
