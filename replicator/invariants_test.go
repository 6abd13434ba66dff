package replicator

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// checkLeader checks election safety and leader completeness for a leader.
func (s *sim) checkLeader(n *simNode) {
	c := n.core
	if c.role != roleLeader {
		return
	}
	self := c.config.Self
	if other, ok := s.leaders[c.hardState.Term]; ok {
		if other != self {
			panic(invariantViolation{errors.Newf("%v and %v are both leaders in term %d", other, self, c.hardState.Term)})
		}
		return
	}
	s.leaders[c.hardState.Term] = self
	for _, e := range s.committed {
		if e.Index <= c.log.offset {
			continue
		}
		if t, ok := c.log.term(e.Index); !ok || t != e.Term {
			panic(invariantViolation{errors.Newf("%v is the leader in term %d but lacks the committed entry %d of term %d", self, c.hardState.Term, e.Index, e.Term)})
		}
	}
}

// recordCommitted records an entry that a node applies, and checks that all nodes
// apply the same entries.
func (s *sim) recordCommitted(n *simNode, e Entry) {
	i := int(e.Index) - 1
	if i < len(s.committed) {
		if c := s.committed[i]; c.Term != e.Term || !bytes.Equal(c.Data, e.Data) {
			panic(invariantViolation{errors.Newf("%s applies entry %d of term %d, which differs from the one of term %d that another node applied", n.id, e.Index, e.Term, c.Term)})
		}
		return
	}
	if i > len(s.committed) {
		panic(invariantViolation{errors.Newf("%s applies entry %d, but entry %d was never applied", n.id, e.Index, len(s.committed)+1)})
	}
	s.committed = append(s.committed, e)
	s.committedAt = append(s.committedAt, s.now)
}

// checkFreshness checks that the node has applied every entry that was committed
// before its FreshAt.
func (s *sim) checkFreshness(n *simNode) {
	if n.core == nil {
		return
	}
	fresh := n.core.FreshAt()
	if n.core.IsReadable(n.localTime()) {
		fresh = n.localTime()
	}
	if fresh == 0 {
		return
	}
	if fresh > n.localTime() {
		panic(invariantViolation{errors.Newf("%s reports that it is fresh at %d, which is in the future", n.id, fresh)})
	}
	before := n.globalTime(fresh)
	for i := int(n.machine.Applied); i < len(s.committed); i++ {
		if s.committedAt[i] < before {
			panic(invariantViolation{errors.Newf("%s reports that it is fresh at %d but lacks entry %d, committed at %d", n.id, before, i+1, s.committedAt[i])})
		}
	}
}

// checkLeases checks that at most one voter holds a lease at any time, paused
// voters included.
func (s *sim) checkLeases() {
	holder := unit.Instance("")
	for _, n := range s.nodes {
		if n.core == nil || !n.core.hasLease(n.localTime()) {
			continue
		}
		if holder != "" {
			panic(invariantViolation{errors.Newf("%s and %s both hold a lease", holder, n.id)})
		}
		holder = n.id
	}
}

// checkResults replays the committed log and compares the results with those that
// callers got. The order of the log is a linearization: completeOp checks that each
// operation follows all those that were acknowledged before it was called.
func (s *sim) checkResults() {
	results := make([][]byte, len(s.committed)+1)
	var m simMachine
	for _, e := range s.committed {
		results[e.Index] = m.apply(e)
	}
	for _, op := range s.ops {
		if op.result != nil && !bytes.Equal(op.result, results[op.index]) {
			panic(invariantViolation{errors.Newf("the result of op %d differs from that of replaying the log", op.id)})
		}
	}
}

// converge removes all faults, restarts crashed nodes and checks that the group
// recovers with everything that was acknowledged.
func (s *sim) converge() {
	s.partitioned = map[[2]unit.Instance]bool{}
	s.lossy = false
	for _, n := range s.nodes {
		n.pausedUntil = 0
		n.crashIn = 0
		n.start()
	}
	s.run(10 * simElectionTimeout)
	for range 20 {
		s.run(simElectionTimeout)
		if s.isSettled() {
			s.checkResults()
			return
		}
	}
	panic(noConvergence{errors.Newf("the group doesn't converge: %+v", s.describe())})
}

// isSettled reports whether there is a readable leader, all nodes have its state,
// everything acknowledged is applied, and there are as many voters as initially.
func (s *sim) isSettled() bool {
	var leader *simNode
	for _, n := range s.nodes {
		if n.core.IsReadable(n.localTime()) {
			leader = n
		}
	}
	if leader == nil || leader.machine.Applied < s.ackedIndex {
		return false
	}
	if len(leader.core.log.membership().membership.Voters) != len(s.initialVoters) {
		return false
	}
	for _, n := range s.nodes {
		if n.core.applied != leader.core.applied || !bytes.Equal(encoder.Marshal(n.machine), encoder.Marshal(leader.machine)) {
			return false
		}
	}
	return true
}

func (s *sim) describe() []Status {
	var list []Status
	for _, n := range s.nodes {
		list = append(list, n.core.Status())
	}
	return list
}

// canLoseDisk reports whether a node may lose its disk without violating the
// assumption of the algorithm: in every membership that may be in force, a
// majority of the voters keeps its disks.
func (s *sim) canLoseDisk(lost *simNode) bool {
	keepsDisk := map[Member]bool{}
	var newest Index
	for _, n := range s.nodes {
		if n != lost {
			keepsDisk[n.disk.member] = true
		}
	}
	for _, e := range s.committed {
		if e.Kind == KindMembership {
			newest = e.Index
		}
	}
	formed := 0
	for _, n := range s.nodes {
		st := n.disk.synced
		if st.HardState.Group == "" {
			continue
		}
		formed++
		for _, m := range membershipsOf(st, newest) {
			intact := 0
			for _, v := range m.Voters {
				if keepsDisk[v] {
					intact++
				}
			}
			if intact < quorum(len(m.Voters)) {
				return false
			}
		}
	}
	return formed >= len(s.initialVoters)
}

// membershipsOf returns the memberships on a disk that are at least as new as the
// newest committed one, which is at index newest; all of them if newest is 0.
func membershipsOf(st StoredState, newest Index) []Membership {
	base := membershipAt{st.Snapshot.Index, st.Snapshot.Membership}
	if st.Snapshot.Index == 0 {
		base.membership = st.HardState.Base
	}
	list := []membershipAt{base}
	for _, e := range st.Entries {
		if e.Kind == KindMembership && e.Index > st.Snapshot.Index {
			list = append(list, membershipAt{e.Index, mustDecodeMembership(e.Data)})
		}
	}
	var in []Membership
	for i, m := range list {
		if m.index >= newest || i == len(list)-1 && m.index >= newest || newest == 0 {
			in = append(in, m.membership)
		}
	}
	return in
}
