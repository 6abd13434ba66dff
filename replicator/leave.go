package replicator

import "github.com/chervilvane/chervilvane/clock"

// leaveOutcome is what has become of a member's request to leave.
type leaveOutcome int

const (
	leavePending leaveOutcome = iota
	// leaveDone means that the instance belongs to the committed membership no more.
	leaveDone
	// leaveRefused means that no other member can take over, so the instance stays a voter.
	leaveRefused
)

// leaveState is the state of a member that leaves the group before its instance stops. It
// neither campaigns nor asks to join again.
type leaveState struct {
	requested     bool
	nextRequestAt clock.Millis
	outcome       leaveOutcome
}

// Leave starts to leave the group, since the instance is about to stop and may not return.
// Without it, the leader would notice a stopped voter only after DeadMemberTimeout, and the
// group could tolerate one loss less until then. A leader transfers the leadership first. If
// the process starts again it asks to join like a new member, but keeps its entries.
func (c *Core) Leave(now clock.Millis) {
	c.now = max(c.now, now)
	c.leave.requested = true
	if !c.hasGroup() {
		c.leave.outcome = leaveDone
		return
	}
	c.tickLeave()
}

// tickLeave repeats the request to leave, whose messages may be lost.
func (c *Core) tickLeave() {
	if !c.leave.requested || c.leave.outcome != leavePending || c.now < c.leave.nextRequestAt {
		return
	}
	c.leave.nextRequestAt = c.now + c.config.HeartbeatInterval
	switch {
	case c.role == roleLeader:
		if c.leaderState.transferTarget == (Member{}) && !c.TransferLeadership(c.now) {
			c.leave.outcome = leaveRefused
		}
	case c.leader != (Member{}):
		c.sendAfterSave(c.leader, LeaveRequest{Life: c.config.ProcessNonce})
	}
}

// onLeaveRequest marks the sender as leaving. It answers once the outcome is known.
func (c *Core) onLeaveRequest(m Message, r LeaveRequest) {
	if c.role != roleLeader {
		return
	}
	current := c.log.membership()
	switch {
	case !current.membership.has(m.From):
		if current.index <= c.commit {
			c.sendAfterSave(m.From, LeaveResponse{Left: true})
		}
		return
	case !c.mayReplace(current.membership, m.From):
		c.sendAfterSave(m.From, LeaveResponse{})
	}
	c.leaderState.leaving[m.From] = r.Life
}

// mayReplace reports whether the membership can go on without a leaving member. That is
// expected of a learner that hasn't caught up yet, and of an instance that has just asked to
// join.
func (c *Core) mayReplace(membership Membership, leaving Member) bool {
	if membership.isLearner(leaving) || len(membership.Voters) > c.targetVoters() || len(c.leaderState.joinRequests) > 0 {
		return true
	}
	for _, l := range membership.Learners {
		if !c.isLeaving(l) && !c.isSilent(c.leaderState.members[l], c.config.ElectionTimeout) {
			return true
		}
	}
	return false
}

func (c *Core) onLeaveResponse(m Message, r LeaveResponse) {
	switch {
	case !c.leave.requested || m.Term < c.hardState.Term:
	case r.Left:
		c.leave.outcome = leaveDone
	default:
		c.leave.outcome = leaveRefused
	}
}

// isLeaving reports whether a member has asked the leader to leave.
func (c *Core) isLeaving(m Member) bool {
	_, ok := c.leaderState.leaving[m]
	return ok
}

// recordLife clears the mark of a leaving member that answers from another process than the
// one that asked to leave: the instance has started again.
func (c *Core) recordLife(m Member, life uint64) {
	if c.isLeaving(m) && c.leaderState.leaving[m] != life {
		delete(c.leaderState.leaving, m)
	}
}
