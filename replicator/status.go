package replicator

import (
	"github.com/sirupsen/logrus"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Role is the role of an instance in its group.
type Role string

// Roles. An instance with RoleForming belongs to no group yet.
const (
	RoleForming   Role = "forming"
	RoleLearner   Role = "learner"
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
)

// Status is the state of a log on this instance, for operators.
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

// state is what Run publishes to callers on other goroutines.
type state struct {
	status Status
	// membershipIndex is the index of the entry with the membership.
	membershipIndex Index
	leaderSince     clock.Millis
	leaseUntil      clock.Millis
	// established is set if this voter is the leader and has applied every entry
	// that was committed in earlier terms.
	established bool
	// readable is set if, in addition, every entry committed since is applied.
	readable      bool
	transferring  bool
	leave         leaveOutcome
	freshAt       clock.Millis
	completedRead uint64
}

// Role returns the role of this instance.
func (c *Core) Role() Role {
	switch {
	case !c.hasGroup():
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

// Leader returns the leader, or "" if it is unknown.
func (c *Core) Leader() unit.Instance { return c.leader.Instance }

// Status returns the state of the log, without its LogID.
func (c *Core) Status() Status {
	return Status{
		Role:       c.Role(),
		Leader:     c.Leader(),
		Term:       c.hardState.Term,
		Group:      c.hardState.Group,
		Committed:  c.commit,
		Applied:    c.applied,
		Last:       c.log.last(),
		Snapshot:   c.snapshot.Index,
		Membership: c.log.membership().membership,
	}
}

// publish publishes the core's state and wakes the callers that wait for a change.
func (n *Node) publish() {
	c := n.core
	s := state{
		status:          c.Status(),
		membershipIndex: c.log.membership().index,
		leaseUntil:      c.LeaseUntil(),
		established:     c.isEstablished(),
		readable:        c.isEstablished() && c.applied >= c.commit,
		transferring:    c.leaderState.transferTarget != (Member{}),
		leave:           c.leave.outcome,
		freshAt:         c.FreshAt(),
		completedRead:   c.CompletedRead(),
	}
	s.status.LogID = n.config.LogID
	if c.role == roleLeader {
		s.leaderSince = c.leaderState.since
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.state
	n.state = s
	if old.membershipIndex != s.membershipIndex {
		m := s.status.Membership
		n.log.WithFields(logrus.Fields{"Voters": m.Voters, "Learners": m.Learners, "Index": s.membershipIndex}).Info("membership changed")
	}
	if old.status.Applied != s.status.Applied || old.completedRead != s.completedRead || old.status.Role != s.status.Role ||
		old.transferring != s.transferring || old.leave != s.leave {
		close(n.change)
		n.change = make(chan struct{})
	}
}

func (n *Node) current() state {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

// Status returns the state of the log on this instance.
func (n *Node) Status() Status { return n.current().status }

// Leader returns the leader, or "" if it is unknown.
func (n *Node) Leader() unit.Instance { return n.current().status.Leader }

// Leadership reports whether this voter is the leader with a valid lease now and has
// applied every entry that was committed in earlier terms. It returns the term and
// when this voter became its leader.
func (n *Node) Leadership() (term Term, since clock.Millis, ok bool) {
	s := n.current()
	if s.status.Role != RoleLeader || !s.established || n.config.Clock.Now() >= s.leaseUntil {
		return 0, 0, false
	}
	return s.status.Term, s.leaderSince, true
}

// FreshAt implements Log. On a leader with a valid lease it returns the current
// time, since no other voter can have committed anything. On another member it
// returns the time of its latest stamp that such a leader echoed and whose
// ReadIndex is applied. The stamp is taken on the member's own clock before the
// leader reads its state, so a delayed message can only make the result older.
func (n *Node) FreshAt() clock.Millis {
	now := n.config.Clock.Now()
	s := n.current()
	if s.readable && now < s.leaseUntil {
		return now
	}
	return s.freshAt
}
