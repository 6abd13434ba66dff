package replicator

// onAppendEntries handles entries or a heartbeat from the leader of m.Term.
func (c *Core) onAppendEntries(m Message, a AppendEntries) {
	if why := checkEntries(m.Term, a); why != "" {
		c.reportViolation(m, why)
		return
	}
	if !c.acceptLeader(m) {
		c.sendAfterSave(m.From, AppendEntriesResponse{Match: a.Prev, Reject: true, Hint: c.commit, SentAt: a.SentAt})
		return
	}
	response := AppendEntriesResponse{SentAt: a.SentAt, Stamp: c.stamp()}
	if hint, ok := c.matches(a); ok {
		if !c.appendReceived(a.Entries) {
			c.reportViolation(m, "the leader's entries differ from committed ones")
			return
		}
		response.Match = a.Prev + Index(len(a.Entries))
		c.commit = max(c.commit, min(a.Commit, response.Match))
	} else {
		response.Match, response.Reject, response.Hint = a.Prev, true, hint
	}
	c.recordEcho(a)
	c.sendAfterSave(m.From, response)
}

// checkEntries returns why the entries of a message can't come from a leader of
// the term, or "" if they can.
func checkEntries(term Term, a AppendEntries) string {
	for i, e := range a.Entries {
		if e.Index != a.Prev+Index(i)+1 {
			return "the entries don't follow one another"
		}
		if e.Term > term {
			return "an entry is of a later term than its leader"
		}
		if e.Kind == KindMembership {
			if m, err := decodeMembership(e.Data); err != nil || len(m.Voters) == 0 {
				return "a membership can't be decoded or has no voters"
			}
		}
	}
	return ""
}

// acceptLeader makes the sender the leader of the current term and restarts the
// election timer. It returns false if the message has an older term, or if this
// member leads in the same term. Votes are withheld for one election timeout
// from the receipt of the message; the leader counts its lease from the time of
// sending, which is earlier.
func (c *Core) acceptLeader(m Message) bool {
	if m.Term < c.hardState.Term {
		return false
	}
	if m.Term == c.hardState.Term && c.role == roleLeader {
		c.reportViolation(m, "there are two leaders in one term")
		return false
	}
	c.becomeFollower(m.Term, m.From)
	c.withholdVoteUntil = max(c.withholdVoteUntil, c.now+c.config.ElectionTimeout)
	c.resetElectionTimer()
	return true
}

// matches does the log matching check: it reports whether the log holds the
// entry before the sent ones. If it doesn't, the returned index is the Prev that
// the leader should try next.
func (c *Core) matches(a AppendEntries) (Index, bool) {
	if a.Prev <= c.commit && a.Prev <= c.log.offset {
		return 0, true
	}
	term, ok := c.log.term(a.Prev)
	switch {
	case !ok:
		return c.log.last(), false
	case term == a.PrevTerm:
		return 0, true
	}
	// Skip all entries of the conflicting term, to save one round trip for each.
	i := a.Prev
	for i > c.commit+1 {
		if t, ok := c.log.term(i - 1); !ok || t != term {
			break
		}
		i--
	}
	return i - 1, false
}

// appendReceived appends the entries that the log doesn't hold yet. A stored
// entry of another term is replaced, and all entries after it are dropped. If
// that entry is committed, appendReceived changes nothing and returns false.
func (c *Core) appendReceived(entries []Entry) bool {
	for i, e := range entries {
		if e.Index <= c.log.offset {
			continue
		}
		if t, ok := c.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= c.commit {
			return false
		}
		c.saved = min(c.saved, e.Index-1)
		c.log.append(entries[i:])
		return true
	}
	return true
}
