package replicator

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
)

// leaderState is the state of a leader.
type leaderState struct {
	since clock.Millis
	// firstIndex is the index of the leader's first entry. Once it is
	// committed, the commit index covers everything that was committed in
	// earlier terms.
	firstIndex      Index
	members         map[Member]*progress
	nextHeartbeatAt clock.Millis
	// transferTarget is set while a leadership transfer is in progress.
	transferTarget   Member
	transferDeadline clock.Millis
	// joinRequests holds when each member last asked to join the group.
	joinRequests map[Member]clock.Millis
	// leaving holds the members that asked to leave, with the Life of the process that
	// asked.
	leaving map[Member]uint64
	// caughtUpIndex is the index up to which a learner must hold the log to be
	// promoted: the commit index at the previous heartbeat.
	caughtUpIndex Index
}

// progress is the leader's view of another member: match is the index up to which
// its log is known to match, next is the index of the next entry to send.
type progress struct {
	match Index
	next  Index
	// probing is set while entries are sent one message at a time, until one is
	// accepted.
	probing bool
	// inflight holds the last index of each unanswered message.
	inflight []Index
	// progressedAt is when match last advanced or sending last started or
	// restarted.
	progressedAt clock.Millis
	respondedAt  clock.Millis
	// ackedSentAt is the sending time of the latest message that was answered.
	ackedSentAt clock.Millis
	stamp       Stamp
	snapshot    *outgoingSnapshot
}

// canSend reports whether the leader may send the member more entries now.
func (p *progress) canSend(maxInflight int) bool {
	if p.snapshot != nil {
		return false
	}
	if p.probing {
		return len(p.inflight) == 0
	}
	return len(p.inflight) < maxInflight
}

// restartProbing returns to probing after a rejection or lost messages.
func (p *progress) restartProbing(now clock.Millis) {
	p.next = p.match + 1
	p.probing = true
	p.inflight = nil
	p.progressedAt = now
}

func (c *Core) becomeLeader() {
	c.role = roleLeader
	c.leader = c.config.Self
	c.votes = nil
	c.leaderState = leaderState{
		since:        c.now,
		firstIndex:   c.log.last() + 1,
		members:      map[Member]*progress{},
		joinRequests: map[Member]clock.Millis{},
		leaving:      map[Member]uint64{},
	}
	c.appendEntry(KindNoop, nil)
	c.trackMembers()
	c.replicate()
}

// trackMembers updates the progress table to the current membership. A new member
// is first sent the last entry.
func (c *Core) trackMembers() {
	others := c.log.membership().membership.others(c.config.Self)
	for m := range c.leaderState.members {
		if !slices.Contains(others, m) {
			delete(c.leaderState.members, m)
			delete(c.leaderState.leaving, m)
		}
	}
	for _, m := range others {
		if c.leaderState.members[m] == nil {
			c.leaderState.members[m] = &progress{next: c.log.last(), probing: true, progressedAt: c.now, respondedAt: c.now}
		}
	}
}

func (c *Core) appendEntry(k Kind, data []byte) Index {
	e := Entry{Index: c.log.last() + 1, Term: c.hardState.Term, Kind: k, Data: data}
	c.log.append([]Entry{e})
	return e.Index
}

// Propose appends commands and returns the index of the first one and their
// term; false if this voter isn't the leader or is transferring the leadership.
func (c *Core) Propose(now clock.Millis, commands ...[]byte) (Index, Term, bool) {
	c.now = max(c.now, now)
	if c.role != roleLeader || c.leaderState.transferTarget != (Member{}) {
		return 0, 0, false
	}
	first := c.log.last() + 1
	added := make([]Entry, len(commands))
	for i, d := range commands {
		added[i] = Entry{Index: first + Index(i), Term: c.hardState.Term, Kind: KindCommand, Data: d}
	}
	c.log.append(added)
	c.replicate()
	return first, c.hardState.Term, true
}

// Uncommitted returns the number of uncommitted entries. The driver stops
// proposing while there are too many.
func (c *Core) Uncommitted() int { return int(c.log.last() - c.commit) }

func (c *Core) tickLeader() {
	if c.leaseStart() < c.now-c.config.ElectionTimeout && c.leaderState.since < c.now-c.config.ElectionTimeout {
		// Check quorum: the leader steps down if it hasn't had answers from a
		// majority for an election timeout, so that callers try another voter.
		c.becomeFollower(c.hardState.Term, Member{})
		return
	}
	c.tickTransfer()
	if c.role != roleLeader || c.now < c.leaderState.nextHeartbeatAt {
		return
	}
	c.leaderState.nextHeartbeatAt = c.now + c.config.HeartbeatInterval
	c.proposeMembershipChange()
	for _, m := range c.otherMembers() {
		p := c.leaderState.members[m]
		if c.now-p.progressedAt > 2*c.config.HeartbeatInterval {
			c.retryUnanswered(p)
		}
		c.heartbeat(m, p)
	}
	c.replicate()
}

// retryUnanswered prepares to resend messages that weren't answered in time.
func (c *Core) retryUnanswered(p *progress) {
	switch {
	case p.snapshot != nil:
		p.snapshot.awaitingResponse = false
		p.progressedAt = c.now
	case len(p.inflight) > 0:
		p.restartProbing(c.now)
	}
}

func (c *Core) otherMembers() []Member {
	return c.log.membership().membership.others(c.config.Self)
}

// heartbeat sends a heartbeat, which renews the lease and carries the commit
// index. Its Prev is an entry that is known to match, so that the member doesn't
// reject it.
func (c *Core) heartbeat(to Member, p *progress) {
	prev := p.match
	term, ok := c.log.term(prev)
	if !ok {
		prev, term = 0, 0
	}
	c.sendAppend(to, p, AppendEntries{Prev: prev, PrevTerm: term, Commit: min(c.commit, prev)})
}

func (c *Core) sendAppend(to Member, p *progress, a AppendEntries) {
	a.SentAt = c.now
	if c.hasLease(c.now) && c.commit >= c.leaderState.firstIndex {
		a.Echo, a.ReadIndex = p.stamp, c.commit
	}
	c.beforeSave = append(c.beforeSave, c.newMessage(to, a))
}

// replicate sends entries to all members to which more may be sent.
func (c *Core) replicate() {
	for _, m := range c.otherMembers() {
		c.replicateTo(m, c.leaderState.members[m])
	}
}

func (c *Core) replicateTo(to Member, p *progress) {
	if p == nil {
		return
	}
	if p.snapshot != nil {
		c.sendChunk(to, p)
		return
	}
	for p.next <= c.log.last() && p.canSend(c.config.MaxInflight) {
		prev := p.next - 1
		term, ok := c.log.term(prev)
		if !ok {
			c.startSnapshot(to, p)
			return
		}
		entries := c.log.slice(p.next, c.log.last(), c.config.MaxMessageBytes)
		if len(p.inflight) == 0 {
			p.progressedAt = c.now
		}
		p.next += Index(len(entries))
		p.inflight = append(p.inflight, p.next-1)
		c.sendAppend(to, p, AppendEntries{Prev: prev, PrevTerm: term, Entries: entries, Commit: c.commit})
	}
}

func (c *Core) onAppendEntriesResponse(m Message, a AppendEntriesResponse) {
	if c.role == roleLeader && m.Term == c.hardState.Term && a.Match > c.log.last() {
		c.reportViolation(m, "the member claims entries that the leader doesn't have")
		return
	}
	p := c.recordResponse(m, a.SentAt)
	if p == nil {
		return
	}
	if a.Stamp.Life != p.stamp.Life || a.Stamp.Read > p.stamp.Read || a.Stamp.At > p.stamp.At {
		p.stamp = a.Stamp
	}
	c.recordLife(m.From, a.Stamp.Life)
	if a.Reject {
		c.onReject(p, a)
	} else {
		c.onMatch(p, a.Match)
	}
	c.replicateTo(m.From, p)
	c.advanceCommit()
	c.tickTransfer()
}

// recordResponse records that a member answered a message of time sentAt and
// returns its progress; nil if the answer is for another term or doesn't come from
// a member.
func (c *Core) recordResponse(m Message, sentAt clock.Millis) *progress {
	if c.role != roleLeader || m.Term != c.hardState.Term {
		return nil
	}
	p := c.leaderState.members[m.From]
	if p == nil {
		return nil
	}
	p.respondedAt = c.now
	p.ackedSentAt = max(p.ackedSentAt, sentAt)
	return p
}

func (c *Core) onReject(p *progress, a AppendEntriesResponse) {
	if a.Match <= p.match {
		return
	}
	p.restartProbing(c.now)
	p.next = max(p.match, min(a.Hint, a.Match-1)) + 1
}

func (c *Core) onMatch(p *progress, match Index) {
	if match <= p.match {
		return
	}
	p.match = match
	p.next = max(p.next, match+1)
	p.probing = false
	p.inflight = slices.DeleteFunc(p.inflight, func(i Index) bool { return i <= match })
	p.progressedAt = c.now
	if p.snapshot != nil && match >= p.snapshot.index {
		p.snapshot = nil
		p.inflight = nil
		p.next = match + 1
	}
}

// advanceCommit advances the commit index to the last entry that is durable on a
// majority of the voters. Only an entry of the leader's own term can be committed
// by counting copies; it also commits the entries before it.
func (c *Core) advanceCommit() {
	if c.role != roleLeader {
		return
	}
	voters := c.log.membership().membership.Voters
	matches := make([]Index, 0, len(voters))
	for _, v := range voters {
		switch p := c.leaderState.members[v]; {
		case v == c.config.Self:
			matches = append(matches, c.saved)
		case p != nil:
			matches = append(matches, p.match)
		}
	}
	slices.Sort(matches)
	i := matches[len(matches)-quorum(len(matches))]
	if term, ok := c.log.term(i); i > c.commit && ok && term == c.hardState.Term {
		c.commit = i
	}
}
