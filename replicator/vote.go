package replicator

// preCampaign starts a pre-vote: it asks whether a majority would vote for this
// voter. The term is incremented only if it would, so that a voter that was
// partitioned doesn't depose a leader that the others still follow.
func (c *Core) preCampaign() {
	if c.config.faults.noPreVote {
		c.campaign(false)
		return
	}
	c.role = rolePreCandidate
	c.votes = map[Member]bool{c.config.Self: true}
	c.requestVotes(VoteRequest{Pre: true})
	c.countVotes()
}

// campaign starts an election in a new term.
func (c *Core) campaign(transfer bool) {
	c.setTerm(c.hardState.Term+1, c.config.Self)
	c.role = roleCandidate
	c.leader = Member{}
	// This voter's own vote counts only once it is durable, see countVotes.
	c.votes = map[Member]bool{c.config.Self: true}
	c.requestVotes(VoteRequest{Transfer: transfer})
}

func (c *Core) requestVotes(v VoteRequest) {
	v.LastIndex, v.LastTerm = c.log.last(), c.log.lastTerm()
	for _, m := range c.log.membership().membership.Voters {
		if m != c.config.Self {
			c.sendAfterSave(m, v)
		}
	}
}

// withholdsVote reports whether this voter must withhold its vote, because it is the
// leader or a leader's lease may depend on it.
func (c *Core) withholdsVote() bool {
	if c.config.faults.noVoteWithhold {
		return false
	}
	return c.role == roleLeader || c.now < c.withholdVoteUntil
}

func (c *Core) isUpToDate(v VoteRequest) bool {
	last := c.log.lastTerm()
	return v.LastTerm > last || v.LastTerm == last && v.LastIndex >= c.log.last()
}

// onVoteRequest handles a vote request. It doesn't check the candidate against the
// membership, which may be out of date here. That is safe, since the candidate counts
// only votes of members, incarnation included, of its own membership.
func (c *Core) onVoteRequest(m Message, v VoteRequest) {
	if c.role == roleLeader {
		// The candidate may have been removed while it was unreachable.
		c.recordJoinRequest(m.From)
	}
	if c.withholdsVote() && !v.Transfer {
		return
	}
	if v.Pre {
		asked := m.Term + 1
		c.sendAfterSave(m.From, VoteResponse{Pre: true, Granted: asked > c.hardState.Term && c.isUpToDate(v), Asked: asked})
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, Member{})
	}
	canVote := c.hardState.Vote == Member{} || c.hardState.Vote == m.From
	grant := m.Term == c.hardState.Term && canVote && c.role != roleLeader && c.isUpToDate(v)
	if grant {
		c.becomeFollower(m.Term, Member{})
		c.setTerm(m.Term, m.From)
		c.resetElectionTimer()
	}
	c.sendAfterSave(m.From, VoteResponse{Granted: grant, Asked: m.Term})
}

func (c *Core) onVoteResponse(m Message, v VoteResponse) {
	if m.Term > c.hardState.Term && !v.Granted {
		if c.role != roleLeader && c.log.membership().membership.isVoter(m.From) {
			c.becomeFollower(m.Term, Member{})
		}
		return
	}
	switch {
	case !v.Granted:
		return
	case v.Pre && c.role == rolePreCandidate && v.Asked == c.hardState.Term+1:
	case !v.Pre && c.role == roleCandidate && v.Asked == c.hardState.Term:
	default:
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

// countVotes continues with the election, or becomes the leader, once a majority
// of the voters has granted its vote. A candidate must have saved its own vote first.
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
	case c.role == roleCandidate && !c.hardStateDirty:
		c.becomeLeader()
	}
}

func (c *Core) onTimeoutNow(m Message) {
	if m.Term != c.hardState.Term || c.role == roleLeader {
		return
	}
	if c.log.membership().membership.isVoter(c.config.Self) {
		c.resetElectionTimer()
		c.campaign(true)
	}
}
