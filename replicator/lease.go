package replicator

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
)

// leaseBase returns the latest time at which a majority of the voters is known
// to have not yet received a message that they answered later. Each of them
// gives no vote to others for an election timeout from receiving, so there is
// no other leader for that long from the base.
func (c *Core) leaseBase() clock.Millis {
	voters := c.log.membership().membership.Voters
	acked := make([]clock.Millis, 0, len(voters))
	for _, v := range voters {
		switch p := c.lead.members[v]; {
		case v == c.config.Self:
			acked = append(acked, c.now)
		case p != nil:
			acked = append(acked, p.ackedAt)
		}
	}
	slices.Sort(acked)
	return acked[len(acked)-quorum(len(acked))]
}

// LeaseUntil returns until when no other voter can lead; 0 if this one doesn't
// lead. Handing over ends the leadership first, since the election that it asks
// for doesn't wait for the lease.
func (c *Core) LeaseUntil() clock.Millis {
	if c.role != roleLeader {
		return 0
	}
	if c.config.faults.noLease {
		return c.now + c.config.Election
	}
	return c.leaseBase() + c.config.Election*(100-driftPercent)/100
}

func (c *Core) hasLease(now clock.Millis) bool { return now < c.LeaseUntil() }

// readState is what a voter that doesn't lead knows of its freshness.
type readState struct {
	// next numbers the reads; a read is answered by an echo of its stamp.
	next   uint64
	sentAt clock.Millis
	// waiting are echoes whose ReadIndex isn't applied yet, oldest first.
	waiting []echo
	fresh   clock.Millis
	done    uint64
}

type echo struct {
	stamp Stamp
	index Index
}

// Read starts a read and returns its number. It is done once ReadDone returns
// at least this number: everything that was committed before the call is then
// applied here. Numbers lose their meaning when the core's role changes;
// callers wait for a later number, never for an exact one.
func (c *Core) Read(now clock.Millis) uint64 {
	c.now = max(c.now, now)
	c.read.next++
	c.sendRead()
	return c.read.next
}

func (c *Core) sendRead() {
	c.read.sentAt = c.now
	if c.role != roleLeader && c.leader != (Member{}) {
		c.message(c.leader, Read{Stamp: c.stamp()})
	}
}

// tickRead repeats a read whose messages may be lost.
func (c *Core) tickRead() {
	if c.read.done < c.read.next && c.now-c.read.sentAt >= c.config.Heartbeat {
		c.sendRead()
	}
}

// stamp returns the moment that the leader is to echo. The receiver of the
// echo may take everything that was committed at the stamp to be known: the
// leader that echoes had a lease after the stamp was taken, and its commit
// index covered all that any leader had committed. A delayed message carries
// an old stamp, so it can't make old state look fresh.
func (c *Core) stamp() Stamp {
	return Stamp{Life: c.config.Life, At: c.now, Read: c.read.next}
}

// onRead answers with a heartbeat, which echoes the stamp if there is a lease;
// otherwise a later heartbeat does.
func (c *Core) onRead(m Message, r Read) {
	if c.role != roleLeader || m.Term != c.hard.Term {
		return
	}
	p := c.lead.members[m.From]
	if p == nil {
		return
	}
	p.stamp = r.Stamp
	c.heartbeat(m.From, p)
}

// noteEcho takes an echo of this voter's stamp. An echo is valid in whatever
// term it was sent: it speaks of the time of the stamp.
func (c *Core) noteEcho(a Append) {
	if a.Echo.Life != c.config.Life || a.Echo.At == 0 {
		return
	}
	c.read.waiting = append(c.read.waiting, echo{a.Echo, a.ReadIndex})
	if len(c.read.waiting) > maxWaitingEchoes {
		// The one in the middle is dropped, so that neither the next to
		// finish nor the freshest is lost.
		c.read.waiting = slices.Delete(c.read.waiting, maxWaitingEchoes/2, maxWaitingEchoes/2+1)
	}
}

const maxWaitingEchoes = 64

// settleReads moves on the freshness by the echoes that are applied.
func (c *Core) settleReads() {
	c.read.waiting = slices.DeleteFunc(c.read.waiting, func(e echo) bool {
		if e.index > c.applied {
			return false
		}
		c.read.fresh = max(c.read.fresh, e.stamp.At)
		c.read.done = max(c.read.done, e.stamp.Read)
		return true
	})
	if c.IsReadable(c.now) {
		c.read.done = c.read.next
	}
}

// ReadDone returns the number of the latest read that is done.
func (c *Core) ReadDone() uint64 {
	c.settleReads()
	return c.read.done
}

// FreshAt returns the latest time for which all that was committed then is
// known to be applied, by messages from the leader; 0 if none. A leader with a
// lease is fresher, see IsReadable.
func (c *Core) FreshAt() clock.Millis {
	c.settleReads()
	return c.read.fresh
}

// IsReadable reports whether this voter leads with a valid lease and has
// applied everything that was ever committed.
func (c *Core) IsReadable(now clock.Millis) bool {
	return c.isEstablished() && c.applied >= c.commit && c.hasLease(now)
}

// isEstablished reports whether this voter leads and has applied everything
// that was committed before it led.
func (c *Core) isEstablished() bool {
	return c.role == roleLeader && c.applied >= c.lead.first
}
