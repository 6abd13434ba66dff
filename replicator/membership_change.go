package replicator

import (
	"cmp"
	"slices"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// tickJoin asks to join the membership. A member also asks while it knows of no
// leader, since it may have been removed while it was unreachable.
func (c *Core) tickJoin() {
	member := c.log.membership().membership.has(c.config.Self)
	if c.leave.requested || c.now < c.bootstrap.nextJoinAt || member && (c.leader != Member{} || c.now < c.withholdVoteUntil) {
		return
	}
	c.bootstrap.nextJoinAt = c.now + c.config.ElectionTimeout
	for _, id := range c.knownInstances() {
		c.sendAfterSave(Member{Instance: id}, JoinRequest{})
	}
}

// knownInstances returns the other instances that may know the leader.
func (c *Core) knownInstances() []unit.Instance {
	ids := slices.Concat(c.config.InitialVoters, c.config.Seeds)
	for _, m := range slices.Concat(c.hardState.Base.Voters, c.log.membership().membership.Voters) {
		ids = append(ids, m.Instance)
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	return slices.DeleteFunc(ids, func(id unit.Instance) bool { return id == c.config.Self.Instance })
}

func (c *Core) recordJoinRequest(m Member) {
	if c.role != roleLeader || c.log.membership().membership.has(m) || m.Incarnation == "" {
		return
	}
	c.leaderState.joinRequests[m] = c.now
}

// proposeMembershipChange appends the next change of the membership, if one is
// due. It changes one member at a time, after the previous change and an entry of
// the leader's own term are committed, so that any majority of the old membership
// overlaps with any majority of the new one.
func (c *Core) proposeMembershipChange() {
	before := c.leaderState.caughtUpIndex
	c.leaderState.caughtUpIndex = c.commit
	current := c.log.membership()
	if c.commit < c.leaderState.firstIndex || current.index > c.commit || c.leaderState.transferTarget != (Member{}) {
		return
	}
	next, ok := c.nextMembership(current.membership, max(before, c.leaderState.firstIndex))
	if !ok {
		return
	}
	c.appendEntry(KindMembership, encodeMembership(next))
	c.trackMembers()
}

func (c *Core) nextMembership(membership Membership, caughtUp Index) (Membership, bool) {
	if next, ok := c.withoutSurplusVoter(membership); ok {
		return next, true
	}
	for _, l := range membership.Learners {
		p := c.leaderState.members[l]
		if c.isLeaving(l) || c.isSilent(p, c.config.DeadMemberTimeout) {
			return membership.removed(l), true
		}
		if p.match < caughtUp || c.isSilent(p, c.config.ElectionTimeout) {
			continue
		}
		if next, ok := c.nextAdmission(membership, l); ok {
			return next, true
		}
	}
	return c.addJoiningLearner(membership)
}

// nextAdmission returns the next change on the way to make a caught-up learner a
// voter. A voter that is a former incarnation of the same instance is removed first:
// its disk is lost, so it can't acknowledge anything, and keeping it would only
// raise the quorum.
func (c *Core) nextAdmission(membership Membership, l Member) (Membership, bool) {
	if old, ok := membership.voterOf(l.Instance); ok {
		return c.removeIfSilent(membership, old, replaceAfterElectionTimeouts*c.config.ElectionTimeout)
	}
	switch n := len(membership.Voters); {
	case n < c.targetVoters():
		return membership.promoted(l), true
	case n > c.targetVoters():
		return membership, false
	}
	for _, v := range membership.Voters {
		if next, ok := c.replaceVoter(membership, v, l); ok {
			return next, true
		}
	}
	return membership, false
}

// replaceVoter returns the first of the two changes by which learner l replaces a voter. A
// leaving voter that still answers stays until l is a voter, so that the group tolerates as
// many losses meanwhile. It returns false if the voter stays.
func (c *Core) replaceVoter(membership Membership, v, l Member) (Membership, bool) {
	switch next := membership.promoted(l); {
	case !c.isLeaving(v):
		return c.removeIfSilent(membership, v, c.config.DeadMemberTimeout)
	case c.isSilent(c.leaderState.members[v], c.config.ElectionTimeout):
		return c.withoutVoter(membership, v)
	default:
		return next, c.countActive(next.Voters) >= quorum(len(next.Voters))
	}
}

// targetVoters is the number of voters that the group has unless members are lost.
func (c *Core) targetVoters() int { return max(c.config.TargetVoters, len(c.hardState.Base.Voters)) }

// withoutSurplusVoter removes a voter if there is one more than the target, which is so
// once a learner was promoted to replace a leaving voter. It returns false if no voter is to
// be removed.
func (c *Core) withoutSurplusVoter(membership Membership) (Membership, bool) {
	if len(membership.Voters) <= c.targetVoters() {
		return membership, false
	}
	leaving := false
	for _, v := range membership.Voters {
		if c.isLeaving(v) {
			leaving = true
			if next, ok := c.withoutVoter(membership, v); ok {
				return next, true
			}
		}
	}
	for _, v := range membership.Voters {
		if next, ok := c.removeIfSilent(membership, v, replaceAfterElectionTimeouts*c.config.ElectionTimeout); ok {
			return next, true
		}
	}
	if leaving || c.now-c.leaderState.since <= c.config.ElectionTimeout {
		// The voter that leaves may not have reached this leader yet.
		return membership, false
	}
	// The voter that was to leave is back, so the latest one isn't needed.
	others := without(membership.Voters, c.config.Self)
	return c.withoutVoter(membership, others[len(others)-1])
}

// removeIfSilent removes a voter that was silent for longer than the timeout, if
// enough of the remaining voters are active to commit. It returns false if the
// voter stays.
func (c *Core) removeIfSilent(membership Membership, v Member, timeout clock.Millis) (Membership, bool) {
	if v == c.config.Self || !c.isSilent(c.leaderState.members[v], timeout) {
		return membership, false
	}
	return c.withoutVoter(membership, v)
}

// withoutVoter removes a voter if enough of the remaining ones are active, and stay, to
// commit. It returns false if the voter stays.
func (c *Core) withoutVoter(membership Membership, v Member) (Membership, bool) {
	next := membership.removed(v)
	staying := slices.DeleteFunc(slices.Clone(next.Voters), c.isLeaving)
	return next, c.countActive(staying) >= quorum(len(next.Voters))
}

// countActive returns how many of the voters have answered within an election timeout.
func (c *Core) countActive(voters []Member) int {
	n := 0
	for _, v := range voters {
		if v == c.config.Self || !c.isSilent(c.leaderState.members[v], c.config.ElectionTimeout) {
			n++
		}
	}
	return n
}

// isSilent reports whether a member hasn't answered for longer than the timeout.
func (c *Core) isSilent(p *progress, timeout clock.Millis) bool {
	return p == nil || c.now-p.respondedAt > timeout
}

// addJoiningLearner adds as a learner the first, in name order, of the members that
// asked to join within the last two election timeouts. It returns false if there is
// none.
func (c *Core) addJoiningLearner(membership Membership) (Membership, bool) {
	due := make([]Member, 0, len(c.leaderState.joinRequests))
	for m, at := range c.leaderState.joinRequests {
		if at < c.now-2*c.config.ElectionTimeout || membership.has(m) {
			delete(c.leaderState.joinRequests, m)
			continue
		}
		due = append(due, m)
	}
	if len(due) == 0 {
		return membership, false
	}
	first := slices.MinFunc(due, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	delete(c.leaderState.joinRequests, first)
	return membership.withLearner(first), true
}
