package replicator

// onAppend handles entries or a heartbeat of the leader of m.Term.
func (c *Core) onAppend(m Message, a Append) {
	if !c.follow(m) {
		c.message(m.From, AppendAnswer{Match: a.Prev, Reject: true, Hint: c.commit, SentAt: a.SentAt})
		return
	}
	answer := AppendAnswer{SentAt: a.SentAt, Stamp: c.stamp()}
	if hint, ok := c.matches(a); ok {
		c.appendReceived(a.Entries)
		answer.Match = a.Prev + Index(len(a.Entries))
		c.commit = max(c.commit, min(a.Commit, answer.Match))
	} else {
		answer.Match, answer.Reject, answer.Hint = a.Prev, true, hint
	}
	c.noteEcho(a)
	c.message(m.From, answer)
}

// follow accepts the sender as the leader of the current term; false if the
// message is of an older term. The promise to withhold votes is counted from
// receiving, which is after the sending that the leader counts from.
func (c *Core) follow(m Message) bool {
	if m.Term < c.hard.Term {
		return false
	}
	if c.role == roleLeader {
		panic("replicator: two leaders in one term")
	}
	c.becomeFollower(m.Term, m.From)
	c.promiseUntil = max(c.promiseUntil, c.now+c.config.Election)
	c.resetElection()
	return true
}

// matches reports whether the log holds the entry before the sent ones; if
// not, it returns where the leader may try next.
func (c *Core) matches(a Append) (Index, bool) {
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
	// All entries of the conflicting term are skipped at once.
	i := a.Prev
	for i > c.commit+1 {
		if t, ok := c.log.term(i - 1); !ok || t != term {
			break
		}
		i--
	}
	return i - 1, false
}

// appendReceived stores the entries that aren't there yet. An entry of another
// term gives way together with all after it; that is never a committed one.
func (c *Core) appendReceived(list []Entry) {
	for i, e := range list {
		if e.Index <= c.log.offset {
			continue
		}
		if t, ok := c.log.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= c.commit {
			panic("replicator: a leader contradicts a committed entry")
		}
		c.saved = min(c.saved, e.Index-1)
		c.log.append(list[i:])
		return
	}
}
