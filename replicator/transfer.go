package replicator

import "github.com/chervilvane/chervilvane/clock"

// TransferLeadership starts to transfer the leadership to the active voter with the
// highest match index that isn't leaving. It returns false if this voter isn't the
// leader or there is no such voter.
func (c *Core) TransferLeadership(now clock.Millis) bool {
	c.now = max(c.now, now)
	if c.role != roleLeader {
		return false
	}
	var best Member
	for _, v := range c.log.membership().membership.Voters {
		p := c.leaderState.members[v]
		if p == nil || c.isLeaving(v) || c.isSilent(p, c.config.ElectionTimeout) {
			continue
		}
		if b := c.leaderState.members[best]; b == nil || p.match > b.match {
			best = v
		}
	}
	if best == (Member{}) {
		return false
	}
	c.leaderState.transferTarget = best
	c.leaderState.transferDeadline = c.now + c.config.ElectionTimeout
	c.tickTransfer()
	return true
}

// tickTransfer makes the target campaign once it holds the whole log, and gives up
// the transfer at its deadline. The leader steps down before TimeoutNow is sent, so
// that it has no lease when the election begins, which doesn't wait for the lease.
func (c *Core) tickTransfer() {
	if c.role != roleLeader || c.leaderState.transferTarget == (Member{}) {
		return
	}
	target := c.leaderState.transferTarget
	p := c.leaderState.members[target]
	switch {
	case p == nil || c.now > c.leaderState.transferDeadline:
		c.leaderState.transferTarget = Member{}
	case p.match == c.log.last() && c.commit == c.log.last():
		c.sendAfterSave(target, TimeoutNow{})
		c.becomeFollower(c.hardState.Term, Member{})
	}
}
