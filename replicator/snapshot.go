package replicator

import "github.com/chervilvane/chervilvane/clock"

// chunkState is a snapshot on its way to a member.
type chunkState struct {
	index   Index
	offset  int
	waiting bool
}

// received is a snapshot that arrives in parts.
type received struct {
	snapshot Snapshot
	total    int
	at       clock.Millis
}

func (r received) expired(before clock.Millis) bool {
	return r.total > 0 && r.at < before
}

// startSnapshot switches a member whose entries were dropped to the snapshot.
func (c *Core) startSnapshot(to Member, p *progress) {
	p.snapshot = &chunkState{index: c.snapshot.Index}
	p.inflight = nil
	p.movedAt = c.now
	c.sendChunk(to, p)
}

// sendChunk sends the part that the member asked for, one at a time.
func (c *Core) sendChunk(to Member, p *progress) {
	s := p.snapshot
	if s.waiting {
		return
	}
	if s.index != c.snapshot.Index {
		// A newer snapshot took the place of the one on its way.
		s.index, s.offset = c.snapshot.Index, 0
	}
	s.waiting = true
	data := c.snapshot.Data
	end := min(len(data), s.offset+c.config.MaxMessageBytes)
	c.early = append(c.early, c.addressed(to, SnapshotChunk{
		Index: c.snapshot.Index, Term: c.snapshot.Term, Membership: c.snapshot.Membership,
		Total: len(data), Offset: s.offset, Data: data[s.offset:end], SentAt: c.now,
	}))
}

func (c *Core) onSnapshotAnswer(m Message, a SnapshotAnswer) {
	p := c.heard(m, a.SentAt)
	if p == nil || p.snapshot == nil || p.snapshot.index != a.Index {
		return
	}
	if a.Offset < 0 || a.Offset > len(c.snapshot.Data) || a.Offset == p.snapshot.offset && a.Offset > 0 {
		return
	}
	p.snapshot.offset = a.Offset
	p.snapshot.waiting = false
	p.movedAt = c.now
	c.sendChunk(m.From, p)
}

func (c *Core) onSnapshotChunk(m Message, b SnapshotChunk) {
	if !c.follow(m) {
		return
	}
	if b.Index <= c.commit {
		// Everything in it is here already.
		c.message(m.From, AppendAnswer{Match: c.commit, SentAt: b.SentAt, Stamp: c.stamp()})
		return
	}
	r := &c.received
	if r.snapshot.Index != b.Index || r.snapshot.Term != b.Term || r.total != b.Total || b.Offset == 0 {
		*r = received{snapshot: Snapshot{Index: b.Index, Term: b.Term, Membership: b.Membership}, total: b.Total}
	}
	if b.Offset == len(r.snapshot.Data) {
		r.snapshot.Data = append(r.snapshot.Data, b.Data...)
		r.at = c.now
	}
	if len(r.snapshot.Data) < b.Total {
		c.message(m.From, SnapshotAnswer{Index: b.Index, Offset: len(r.snapshot.Data), SentAt: b.SentAt})
		return
	}
	c.install(r.snapshot)
	*r = received{}
	c.message(m.From, AppendAnswer{Match: b.Index, SentAt: b.SentAt, Stamp: c.stamp()})
}

// install takes a complete snapshot. Entries after it stay if they continue
// it; otherwise the log starts anew behind it.
func (c *Core) install(s Snapshot) {
	c.snapshot = s
	c.installed, c.restore = &s, &s
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.log.compact(s.Index)
	} else {
		c.log.reset(s)
		c.reset = true
		c.saved = s.Index
	}
	c.saved = max(c.saved, s.Index)
	c.commit = s.Index
}
