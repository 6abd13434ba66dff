package replicator

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Role is a voter's part in its group.
type Role string

// Roles.
const (
	RoleForming   Role = "forming"
	RoleLearner   Role = "learner"
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
)

// Status tells an operator how a log stands on this instance.
type Status struct {
	LogID      LogID
	Role       Role
	Leader     unit.Instance
	Term       Term
	Group      GroupID
	Committed  Index
	Applied    Index
	Last       Index
	Snapshot   Index
	Membership Membership
}

// state is what the loop publishes for callers.
type state struct {
	status     Status
	since      clock.Millis
	leaseUntil clock.Millis
	// established: all that was committed before this leadership is applied.
	established bool
	// readable: established, and all that was committed since is applied.
	readable     bool
	transferring bool
	fresh        clock.Millis
	readDone     uint64
}

// Role returns the core's part in its group.
func (c *Core) Role() Role {
	switch {
	case !c.isFormed():
		return RoleForming
	case c.role == roleLeader:
		return RoleLeader
	case !c.log.membership().membership.isVoter(c.config.Self):
		return RoleLearner
	case c.role == roleFollower:
		return RoleFollower
	}
	return RoleCandidate
}

// Leader returns the known leader; empty if none.
func (c *Core) Leader() unit.Instance { return c.leader.Instance }

// Status returns how the log stands.
func (c *Core) Status() Status {
	return Status{
		Role:       c.Role(),
		Leader:     c.Leader(),
		Term:       c.hard.Term,
		Group:      c.hard.Group,
		Committed:  c.commit,
		Applied:    c.applied,
		Last:       c.log.last(),
		Snapshot:   c.snapshot.Index,
		Membership: c.log.membership().membership,
	}
}

// publish makes the core's state visible to callers and wakes those that wait
// for a change.
func (n *Node) publish() {
	c := n.core
	s := state{
		status:       c.Status(),
		leaseUntil:   c.LeaseUntil(),
		established:  c.isEstablished(),
		readable:     c.isEstablished() && c.applied >= c.commit,
		transferring: c.lead.transfer != (Member{}),
		fresh:        c.FreshAt(),
		readDone:     c.ReadDone(),
	}
	s.status.LogID = n.config.LogID
	if c.role == roleLeader {
		s.since = c.lead.since
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.state
	n.state = s
	if old.status.Applied != s.status.Applied || old.readDone != s.readDone || old.status.Role != s.status.Role || old.transferring != s.transferring {
		close(n.change)
		n.change = make(chan struct{})
	}
}

func (n *Node) current() state {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

// Status returns how the log stands on this instance.
func (n *Node) Status() Status { return n.current().status }

// Leader returns the known leader; empty if none.
func (n *Node) Leader() unit.Instance { return n.current().status.Leader }

// Leadership reports whether this voter leads with a valid lease now and has applied
// all that was committed before it led; since is when the leadership began.
func (n *Node) Leadership() (term Term, since clock.Millis, ok bool) {
	s := n.current()
	if s.status.Role != RoleLeader || !s.established || n.config.Clock.Now() >= s.leaseUntil {
		return 0, 0, false
	}
	return s.status.Term, s.since, true
}

// FreshAt implements Log. A leader is fresh now while its lease is valid: no
// other voter can have committed anything. Another voter is as fresh as the
// latest stamp of its own that such a leader echoed. Its own clock counts, and
// a stamp is taken before the leader's state is read, so a message that was
// delayed makes the answer older, never newer.
func (n *Node) FreshAt() clock.Millis {
	now := n.config.Clock.Now()
	s := n.current()
	if s.readable && now < s.leaseUntil {
		return now
	}
	return s.fresh
}
