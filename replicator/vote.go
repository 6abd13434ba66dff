package replicator

// preCampaign asks whether a majority would vote for this voter. Only then is
// the term raised, so a voter that was cut off and comes back doesn't depose a
// leader that the others still follow.
func (c *Core) preCampaign() {
	if c.config.faults.noPreVote {
		c.campaign(false)
		return
	}
	c.role = rolePreCandidate
	c.votes = map[Member]bool{c.config.Self: true}
	c.askVotes(Vote{Pre: true})
	c.countVotes()
}

// campaign starts an election in a new term.
func (c *Core) campaign(transfer bool) {
	c.setTerm(c.hard.Term+1, c.config.Self)
	c.role = roleCandidate
	c.leader = Member{}
	// The own vote is counted in Saved, once it is durable.
	c.votes = map[Member]bool{c.config.Self: true}
	c.askVotes(Vote{Transfer: transfer})
}

func (c *Core) askVotes(v Vote) {
	v.LastIndex, v.LastTerm = c.log.last(), c.log.lastTerm()
	for _, m := range c.log.membership().membership.Voters {
		if m != c.config.Self {
			c.message(m, v)
		}
	}
}

// isWithheld reports whether a leader's lease may count on this voter.
func (c *Core) isWithheld() bool {
	if c.config.faults.noVoteWithhold {
		return false
	}
	return c.role == roleLeader || c.now < c.promiseUntil
}

func (c *Core) isUpToDate(v Vote) bool {
	last := c.log.lastTerm()
	return v.LastTerm > last || v.LastTerm == last && v.LastIndex >= c.log.last()
}

// onVote handles a request for a vote. The candidate counts this voter by its
// incarnation, so the vote is safe also if this voter's own membership is
// behind.
func (c *Core) onVote(m Message, v Vote) {
	if c.role == roleLeader {
		// The candidate may not know that it was removed while it was away.
		c.noteJoin(m.From)
	}
	if c.isWithheld() && !v.Transfer {
		return
	}
	if v.Pre {
		asked := m.Term + 1
		c.message(m.From, VoteAnswer{Pre: true, Granted: asked > c.hard.Term && c.isUpToDate(v), Asked: asked})
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(m.Term, Member{})
	}
	free := c.hard.Vote == Member{} || c.hard.Vote == m.From
	grant := m.Term == c.hard.Term && free && c.role != roleLeader && c.isUpToDate(v)
	if grant {
		c.becomeFollower(m.Term, Member{})
		c.setTerm(m.Term, m.From)
		c.resetElection()
	}
	c.message(m.From, VoteAnswer{Granted: grant, Asked: m.Term})
}

func (c *Core) onVoteAnswer(m Message, v VoteAnswer) {
	if m.Term > c.hard.Term && !v.Granted {
		if c.role != roleLeader && c.log.membership().membership.isVoter(m.From) {
			c.becomeFollower(m.Term, Member{})
		}
		return
	}
	switch {
	case !v.Granted:
		return
	case v.Pre && c.role == rolePreCandidate && v.Asked == c.hard.Term+1:
	case !v.Pre && c.role == roleCandidate && v.Asked == c.hard.Term:
	default:
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

// countVotes goes on to the next stage once a majority of the voters granted.
func (c *Core) countVotes() {
	voters := c.log.membership().membership.Voters
	n := 0
	for _, m := range voters {
		if c.votes[m] {
			n++
		}
	}
	if n < quorum(len(voters)) {
		return
	}
	switch {
	case c.role == rolePreCandidate:
		c.campaign(false)
	case c.role == roleCandidate && !c.hardDirty:
		c.becomeLeader()
	}
}

func (c *Core) onTimeoutNow(m Message) {
	if m.Term != c.hard.Term || c.role == roleLeader {
		return
	}
	if c.log.membership().membership.isVoter(c.config.Self) {
		c.resetElection()
		c.campaign(true)
	}
}
