package replicator

import "github.com/chervilvane/chervilvane/clock"

// Transfer starts to hand the leadership to the most advanced voter; false if
// there is nothing to hand over or nobody to take it.
func (c *Core) Transfer(now clock.Millis) bool {
	c.now = max(c.now, now)
	if c.role != roleLeader {
		return false
	}
	var best Member
	for _, v := range c.log.membership().membership.Voters {
		p := c.lead.members[v]
		if p == nil || c.isSilent(p, c.config.Election) {
			continue
		}
		if b := c.lead.members[best]; b == nil || p.match > b.match {
			best = v
		}
	}
	if best == (Member{}) {
		return false
	}
	c.lead.transfer = best
	c.lead.transferUntil = c.now + c.config.Election
	c.tickTransfer()
	return true
}

// tickTransfer asks the target to campaign once it holds the whole log. The
// leader steps down before that, so its lease is over when the election that
// doesn't wait for the lease begins.
func (c *Core) tickTransfer() {
	if c.role != roleLeader || c.lead.transfer == (Member{}) {
		return
	}
	target := c.lead.transfer
	p := c.lead.members[target]
	switch {
	case p == nil || c.now > c.lead.transferUntil:
		c.lead.transfer = Member{}
	case p.match == c.log.last() && c.commit == c.log.last():
		c.message(target, TimeoutNow{})
		c.becomeFollower(c.hard.Term, Member{})
	}
}
