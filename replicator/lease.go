package replicator

import (
	"slices"

	"github.com/chervilvane/chervilvane/clock"
)

// leaseStart returns the latest time such that a majority of the voters has
// answered a message sent at that time or later. Each of them withholds its vote
// for an election timeout after it received the message, so no other leader can be
// elected within an election timeout, on their clocks, after leaseStart.
func (c *Core) leaseStart() clock.Millis {
	voters := c.log.membership().membership.Voters
	acked := make([]clock.Millis, 0, len(voters))
	for _, v := range voters {
		switch p := c.leaderState.members[v]; {
		case v == c.config.Self:
			acked = append(acked, c.now)
		case p != nil:
			acked = append(acked, p.ackedSentAt)
		}
	}
	slices.Sort(acked)
	return acked[len(acked)-quorum(len(acked))]
}

// LeaseUntil returns the time before which no other voter can become the leader;
// 0 if this voter isn't the leader. On a leadership transfer this leader steps down
// first, since the election that follows doesn't wait for the lease to expire.
func (c *Core) LeaseUntil() clock.Millis {
	if c.role != roleLeader {
		return 0
	}
	if c.config.faults.noLease {
		return c.now + c.config.ElectionTimeout
	}
	return c.leaseStart() + c.config.ElectionTimeout*(100-maxClockDriftPercent)/100
}

func (c *Core) hasLease(now clock.Millis) bool { return now < c.LeaseUntil() }

// readState holds the reads of a member and, unless it is the leader, how fresh
// its state is.
type readState struct {
	// lastNumber is the number of the last read. The leader answers a read by
	// echoing its stamp.
	lastNumber uint64
	sentAt     clock.Millis
	// pending are the echoes whose ReadIndex isn't applied yet, oldest first.
	pending   []echo
	freshAt   clock.Millis
	completed uint64
}

type echo struct {
	stamp Stamp
	index Index
}

// StartRead starts a linearizable read and returns its number. The read is
// complete once CompletedRead returns this number or a higher one: every entry
// that was committed before the call is then applied here. One answer may complete
// several reads, and a leader with a lease completes all of them, so callers must not
// wait for an exact number.
func (c *Core) StartRead(now clock.Millis) uint64 {
	c.now = max(c.now, now)
	c.read.lastNumber++
	c.sendRead()
	return c.read.lastNumber
}

func (c *Core) sendRead() {
	c.read.sentAt = c.now
	if c.role != roleLeader && c.leader != (Member{}) {
		c.sendAfterSave(c.leader, ReadIndexRequest{Stamp: c.stamp()})
	}
}

// tickRead repeats the request of a read whose messages may be lost.
func (c *Core) tickRead() {
	if c.read.completed < c.read.lastNumber && c.now-c.read.sentAt >= c.config.HeartbeatInterval {
		c.sendRead()
	}
}

// stamp returns the stamp that the leader is to echo. The ReadIndex that comes
// with the echo covers every entry that was committed at the time of the stamp,
// because the leader held a lease after the stamp was taken and its commit index
// covered everything that any leader had committed. A delayed message carries an
// old stamp, so it can't make old state appear fresh.
func (c *Core) stamp() Stamp {
	return Stamp{Life: c.config.ProcessNonce, At: c.now, Read: c.read.lastNumber}
}

// onReadIndexRequest answers with a heartbeat, which echoes the stamp if the leader
// holds a lease; otherwise a later heartbeat echoes it.
func (c *Core) onReadIndexRequest(m Message, r ReadIndexRequest) {
	if c.role != roleLeader || m.Term != c.hardState.Term {
		return
	}
	p := c.leaderState.members[m.From]
	if p == nil {
		return
	}
	p.stamp = r.Stamp
	c.heartbeat(m.From, p)
}

// recordEcho records the echo of a stamp of this member. An echo of any term is
// valid, since it only states what was committed at the time of the stamp.
func (c *Core) recordEcho(a AppendEntries) {
	if a.Echo.Life != c.config.ProcessNonce || a.Echo.At == 0 {
		return
	}
	c.read.pending = append(c.read.pending, echo{a.Echo, a.ReadIndex})
	if len(c.read.pending) > maxPendingEchoes {
		// Drop the one in the middle, to keep both the oldest, which
		// completes next, and the freshest.
		c.read.pending = slices.Delete(c.read.pending, maxPendingEchoes/2, maxPendingEchoes/2+1)
	}
}

const maxPendingEchoes = 64

// completeReads completes the reads whose ReadIndex is applied and updates
// freshAt.
func (c *Core) completeReads() {
	c.read.pending = slices.DeleteFunc(c.read.pending, func(e echo) bool {
		if e.index > c.applied {
			return false
		}
		c.read.freshAt = max(c.read.freshAt, e.stamp.At)
		c.read.completed = max(c.read.completed, e.stamp.Read)
		return true
	})
	if c.IsReadable(c.now) {
		c.read.completed = c.read.lastNumber
	}
}

// CompletedRead returns the number of the latest completed read.
func (c *Core) CompletedRead() uint64 {
	c.completeReads()
	return c.read.completed
}

// FreshAt returns the latest time such that every entry committed by that time is
// known, from messages of a leader, to be applied; 0 if there is none. The state of
// a leader with a lease is current, see IsReadable.
func (c *Core) FreshAt() clock.Millis {
	c.completeReads()
	return c.read.freshAt
}

// IsReadable reports whether this voter is the leader with a valid lease and has
// applied every committed entry.
func (c *Core) IsReadable(now clock.Millis) bool {
	return c.isEstablished() && c.applied >= c.commit && c.hasLease(now)
}

// isEstablished reports whether this voter is the leader and has applied every
// entry that was committed in earlier terms.
func (c *Core) isEstablished() bool {
	return c.role == roleLeader && c.applied >= c.leaderState.firstIndex
}
