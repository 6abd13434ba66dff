package replicator

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// stopAsPlanned stops a node like an instance that shuts down: it leaves the group, waits at
// most for the limit and ends.
func (s *sim) stopAsPlanned(n *simNode, limit clock.Millis) leaveOutcome {
	if n.core == nil {
		return leavePending
	}
	n.core.Leave(n.localTime())
	n.flush()
	for end := s.now + limit; s.now < end && n.core != nil && n.core.leave.outcome == leavePending; {
		s.run(simStep)
	}
	outcome := leavePending
	if n.core != nil {
		outcome = n.core.leave.outcome
	}
	n.crash()
	return outcome
}

// leader returns the node that leads, or nil.
func (s *sim) leader() *simNode {
	for _, n := range s.nodes {
		if n.core != nil && n.core.IsReadable(n.localTime()) {
			return n
		}
	}
	return nil
}

// follower returns a voter that doesn't lead.
func (s *sim) follower() *simNode {
	for _, n := range s.nodes {
		if n.core != nil && n.core.Role() == RoleFollower {
			return n
		}
	}
	return nil
}

// voters returns the instances with a vote, as the leader knows them.
func (s *sim) voters() []unit.Instance {
	var ids []unit.Instance
	if l := s.leader(); l != nil {
		for _, v := range l.core.Status().Membership.Voters {
			ids = append(ids, v.Instance)
		}
	}
	return ids
}

// newSimWithStandbys returns a settled group of three voters, and learners that have caught up.
func newSimWithStandbys(ids ...unit.Instance) *sim {
	s := newSim(3, 1, breakage{})
	s.run(5 * simElectionTimeout)
	for _, id := range ids {
		s.add(id)
		s.run(3 * simElectionTimeout)
	}
	return s
}

// TestGroupSurvivesLostDiskRightAfterPlannedStop guards against a group that loses its
// majority for good: a voter is stopped as planned and never returns, and right after its
// end, long before its silence would have removed it, another voter loses its disk.
func TestGroupSurvivesLostDiskRightAfterPlannedStop(t *testing.T) {
	for name, pick := range map[string]func(*sim) *simNode{
		"a follower stops": (*sim).follower,
		"the leader stops": (*sim).leader,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimWithStandbys("x3", "x4")
			s.propose(s.leader(), 0)
			s.run(simElectionTimeout)
			stopped := pick(s)
			s.stopAsPlanned(stopped, 2*simElectionTimeout)
			lost := s.follower()
			lost.crash()
			lost.newDisk()
			lost.start()
			s.run(12 * simElectionTimeout)
			is.True(s.leader() != nil)                          // the group must have a leader
			is.True(s.leader().machine.Applied >= s.ackedIndex) // what was acknowledged must be kept
			is.Equal(len(s.voters()), 3)
		})
	}
}

// TestStoppedVoterIsReplacedInTime guards the bound on how long a voter that stops without
// notice keeps its vote: the silence of a stopped leader is counted only from the election of
// its successor.
func TestStoppedVoterIsReplacedInTime(t *testing.T) {
	for name, pick := range map[string]func(*sim) *simNode{
		"a follower": (*sim).follower,
		"the leader": (*sim).leader,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(20) {
				s := newSim(3, seed, breakage{})
				s.run(5 * simElectionTimeout)
				s.add("x3")
				s.run(3 * simElectionTimeout)
				stopped := pick(s)
				stopped.crash()
				// The instances' clocks may be 4 % slow.
				s.run((simDeadMemberTimeout + ReplaceElectionTimeouts*simElectionTimeout) * 104 / 100)
				is.Equal(len(s.voters()), 3)
				is.True(!slices.Contains(s.voters(), stopped.id))
			}
		})
	}
}

// TestLeavingMemberIsReplacedOrStays guards the outcomes of leaving: a stopping instance
// must not wait where nobody can take over, and the group must not lose a vote by it.
func TestLeavingMemberIsReplacedOrStays(t *testing.T) {
	for name, c := range map[string]struct {
		standbys []unit.Instance
		pick     func(*sim) *simNode
		disturb  func(*sim)
		outcome  leaveOutcome
		// stays is set if the instance still has, or gets again, its vote.
		stays bool
	}{
		"a voter with a standby":        {standbys: []unit.Instance{"x3"}, pick: (*sim).follower, outcome: leaveDone},
		"the leader with a standby":     {standbys: []unit.Instance{"x3"}, pick: (*sim).leader, outcome: leaveDone},
		"a voter without a standby":     {pick: (*sim).follower, outcome: leaveRefused, stays: true},
		"the leader without a standby":  {pick: (*sim).leader, outcome: leaveRefused, stays: true},
		"a learner":                     {standbys: []unit.Instance{"x3"}, pick: func(s *sim) *simNode { return s.node("x3") }, outcome: leaveDone},
		"a voter with a silent standby": {standbys: []unit.Instance{"x3"}, pick: (*sim).follower, disturb: func(s *sim) { s.isolate(s.node("x3")) }, outcome: leaveRefused, stays: true},
		"a voter without a leader": {standbys: []unit.Instance{"x3"}, pick: (*sim).follower, disturb: func(s *sim) {
			for _, n := range s.nodes {
				s.isolate(n)
			}
		}, outcome: leavePending, stays: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimWithStandbys(c.standbys...)
			n := c.pick(s)
			if c.disturb != nil {
				c.disturb(s)
				s.run(2 * simElectionTimeout)
			}
			began := s.now
			is.Equal(s.stopAsPlanned(n, 5*simElectionTimeout), c.outcome)
			if c.outcome != leavePending {
				is.True(s.now-began <= 2*simElectionTimeout) // the outcome must be known soon
			}
			s.partitioned = map[[2]unit.Instance]bool{}
			n.start()
			s.run(10 * simElectionTimeout)
			is.Equal(len(s.voters()), 3)
			is.Equal(n.core.Role() != RoleLearner, c.stays)
		})
	}
}

// TestOneStandbyReplacesOneOfTwoLeavingVoters guards against a vote that goes to an instance
// which is leaving too.
func TestOneStandbyReplacesOneOfTwoLeavingVoters(t *testing.T) {
	is := is.New(t)
	s := newSimWithStandbys("x3")
	first, second := s.leader(), s.follower()
	first.core.Leave(first.localTime())
	second.core.Leave(second.localTime())
	s.run(5 * simElectionTimeout)
	outcomes := map[leaveOutcome]int{}
	for _, n := range []*simNode{first, second} {
		outcomes[n.core.leave.outcome]++
	}
	is.Equal(outcomes, map[leaveOutcome]int{leaveDone: 1, leaveRefused: 1})
	first.crash()
	second.crash()
	s.run(5 * simElectionTimeout)
	is.True(s.leader() != nil) // the remaining voter and the standby are a majority
	first.start()
	second.start()
	s.run(10 * simElectionTimeout)
	is.Equal(len(s.voters()), 3)
}

// TestVoterThatReturnsKeepsItsVote guards against a vote that moves although its instance is
// back: nobody could take over when it left, and a standby joins after its restart.
func TestVoterThatReturnsKeepsItsVote(t *testing.T) {
	is := is.New(t)
	s := newSimWithStandbys()
	n := s.follower()
	is.Equal(s.stopAsPlanned(n, 2*simElectionTimeout), leaveRefused)
	n.start()
	s.run(2 * simElectionTimeout)
	s.add("x3")
	s.run(10 * simElectionTimeout)
	is.Equal(n.core.Role() != RoleLearner, true)
	is.Equal(s.node("x3").core.Role(), RoleLearner)
}

// TestPropertySafetyWithPlannedStops guards the invariants of the group while voters leave
// and return in series, beside lost disks, partitions and crashes between two changes.
func TestPropertySafetyWithPlannedStops(t *testing.T) {
	weights := actionWeights
	weights[actionLeave] = 4
	weights[actionAddInstance] = 3
	weights[actionLoseDisk] = 3
	for name, voters := range map[string]int{"3 voters": 3, "5 voters": 5} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				seed := rapid.Uint64().Draw(t, "seed")
				list := scenarios(weights).Draw(t, "acts")
				if err := simulate(voters, seed, list, breakage{}); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}
