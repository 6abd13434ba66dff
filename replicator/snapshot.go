package replicator

import "github.com/chervilvane/chervilvane/clock"

// outgoingSnapshot is the state of a snapshot that is sent to a member; offset is
// that of the chunk being sent, in bytes.
type outgoingSnapshot struct {
	index            Index
	offset           int
	awaitingResponse bool
}

// incomingSnapshot is a snapshot that is received in chunks.
type incomingSnapshot struct {
	snapshot   Snapshot
	totalBytes int
	receivedAt clock.Millis
}

func (r incomingSnapshot) expired(before clock.Millis) bool {
	return r.totalBytes > 0 && r.receivedAt < before
}

// startSnapshot starts to send the snapshot to a member whose next entries are
// compacted.
func (c *Core) startSnapshot(to Member, p *progress) {
	p.snapshot = &outgoingSnapshot{index: c.snapshot.Index}
	p.inflight = nil
	p.progressedAt = c.now
	c.sendChunk(to, p)
}

// sendChunk sends the chunk that the member requested, unless one is unanswered.
func (c *Core) sendChunk(to Member, p *progress) {
	s := p.snapshot
	if s.awaitingResponse {
		return
	}
	if s.index != c.snapshot.Index {
		// A newer snapshot replaced the one being sent.
		s.index, s.offset = c.snapshot.Index, 0
	}
	s.awaitingResponse = true
	data := c.snapshot.Data
	end := min(len(data), s.offset+c.config.MaxMessageBytes)
	c.beforeSave = append(c.beforeSave, c.newMessage(to, SnapshotChunk{
		Index: c.snapshot.Index, Term: c.snapshot.Term, Membership: c.snapshot.Membership,
		Total: len(data), Offset: s.offset, Data: data[s.offset:end], SentAt: c.now,
	}))
}

func (c *Core) onSnapshotChunkResponse(m Message, a SnapshotChunkResponse) {
	p := c.recordResponse(m, a.SentAt)
	if p == nil || p.snapshot == nil || p.snapshot.index != a.Index {
		return
	}
	if a.Offset < 0 || a.Offset > len(c.snapshot.Data) || a.Offset == p.snapshot.offset && a.Offset > 0 {
		return
	}
	p.snapshot.offset = a.Offset
	p.snapshot.awaitingResponse = false
	p.progressedAt = c.now
	c.sendChunk(m.From, p)
}

func (c *Core) onSnapshotChunk(m Message, chunk SnapshotChunk) {
	if !c.acceptLeader(m) {
		return
	}
	if chunk.Index <= c.commit {
		// The log already covers the snapshot.
		c.sendAfterSave(m.From, AppendEntriesResponse{Match: c.commit, SentAt: chunk.SentAt, Stamp: c.stamp()})
		return
	}
	r := &c.incoming
	if r.snapshot.Index != chunk.Index || r.snapshot.Term != chunk.Term || r.totalBytes != chunk.Total || chunk.Offset == 0 {
		*r = incomingSnapshot{snapshot: Snapshot{Index: chunk.Index, Term: chunk.Term, Membership: chunk.Membership}, totalBytes: chunk.Total}
	}
	if chunk.Offset == len(r.snapshot.Data) {
		r.snapshot.Data = append(r.snapshot.Data, chunk.Data...)
		r.receivedAt = c.now
	}
	if len(r.snapshot.Data) < chunk.Total {
		c.sendAfterSave(m.From, SnapshotChunkResponse{Index: chunk.Index, Offset: len(r.snapshot.Data), SentAt: chunk.SentAt})
		return
	}
	c.install(r.snapshot)
	*r = incomingSnapshot{}
	c.sendAfterSave(m.From, AppendEntriesResponse{Match: chunk.Index, SentAt: chunk.SentAt, Stamp: c.stamp()})
}

// install installs a complete snapshot. It keeps the entries after the snapshot if
// they continue it, and otherwise drops all entries.
func (c *Core) install(s Snapshot) {
	c.snapshot = s
	c.snapshotToSave, c.snapshotToRestore = &s, &s
	if t, ok := c.log.term(s.Index); ok && t == s.Term {
		c.log.compact(s.Index)
	} else {
		c.log.reset(s)
		c.dropEntries = true
		c.saved = s.Index
	}
	c.saved = max(c.saved, s.Index)
	c.commit = s.Index
}
