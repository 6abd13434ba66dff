package replicator

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// checkLeader checks election safety and leader completeness.
func (s *sim) checkLeader(n *simNode) {
	c := n.core
	if c.role != roleLeader {
		return
	}
	self := c.config.Self
	if other, ok := s.leaders[c.hard.Term]; ok {
		if other != self {
			panic(violation{errors.Newf("%v and %v both lead in term %d", other, self, c.hard.Term)})
		}
		return
	}
	s.leaders[c.hard.Term] = self
	for _, e := range s.committed {
		if e.Index <= c.log.offset {
			continue
		}
		if t, ok := c.log.term(e.Index); !ok || t != e.Term {
			panic(violation{errors.Newf("%v leads in term %d without the committed entry %d of term %d", self, c.hard.Term, e.Index, e.Term)})
		}
	}
}

// noteCommitted checks that all nodes apply the same entries.
func (s *sim) noteCommitted(n *simNode, e Entry) {
	i := int(e.Index) - 1
	if i < len(s.committed) {
		if c := s.committed[i]; c.Term != e.Term || !bytes.Equal(c.Data, e.Data) {
			panic(violation{errors.Newf("%s applies entry %d of term %d, another applied one of term %d", n.id, e.Index, e.Term, c.Term)})
		}
		return
	}
	if i > len(s.committed) {
		panic(violation{errors.Newf("%s applies entry %d, but entry %d was never applied", n.id, e.Index, len(s.committed)+1)})
	}
	s.committed = append(s.committed, e)
	s.committedAt = append(s.committedAt, s.now)
}

// checkFresh checks that everything that was committed before FreshAt is
// applied.
func (s *sim) checkFresh(n *simNode) {
	if n.core == nil {
		return
	}
	fresh := n.core.FreshAt()
	if n.core.IsReadable(n.local()) {
		fresh = n.local()
	}
	if fresh == 0 {
		return
	}
	if fresh > n.local() {
		panic(violation{errors.Newf("%s is fresh at %d, in the future", n.id, fresh)})
	}
	before := n.global(fresh)
	for i := int(n.machine.Applied); i < len(s.committed); i++ {
		if s.committedAt[i] < before {
			panic(violation{errors.Newf("%s claims to be fresh at %d but lacks entry %d, committed at %d", n.id, before, i+1, s.committedAt[i])})
		}
	}
}

// checkLeases checks that at most one voter holds a lease at any time, also
// while one of them is paused.
func (s *sim) checkLeases() {
	holder := unit.Instance("")
	for _, n := range s.nodes {
		if n.core == nil || !n.core.hasLease(n.local()) {
			continue
		}
		if holder != "" {
			panic(violation{errors.Newf("%s and %s both hold a lease", holder, n.id)})
		}
		holder = n.id
	}
}

// checkHistory replays the committed log and compares what callers were told:
// the log's order is a linearization, since each operation also follows all
// that were acknowledged before it was called (checked when it is answered).
func (s *sim) checkHistory() {
	results := make([][]byte, len(s.committed)+1)
	var m simMachine
	for _, e := range s.committed {
		results[e.Index] = m.apply(e)
	}
	for _, op := range s.ops {
		if op.result != nil && !bytes.Equal(op.result, results[op.index]) {
			panic(violation{errors.Newf("op %d was told another result than the log gives", op.id)})
		}
	}
}

// converge heals everything and checks that the group comes back with all that
// was acknowledged.
func (s *sim) converge() {
	s.cut = map[[2]unit.Instance]bool{}
	s.lossy = false
	for _, n := range s.nodes {
		n.pausedUntil = 0
		n.crashIn = 0
		n.start()
	}
	s.run(10 * simElection)
	for range 20 {
		s.run(simElection)
		if s.isSettled() {
			s.checkHistory()
			return
		}
	}
	panic(stuck{errors.Newf("the group doesn't come back: %+v", s.describe())})
}

// isSettled reports whether all nodes agree under one leader, all that was
// acknowledged is there, and as many instances vote as at first.
func (s *sim) isSettled() bool {
	var lead *simNode
	for _, n := range s.nodes {
		if n.core.IsReadable(n.local()) {
			lead = n
		}
	}
	if lead == nil || lead.machine.Applied < s.acked {
		return false
	}
	if len(lead.core.log.membership().membership.Voters) != len(s.first) {
		return false
	}
	for _, n := range s.nodes {
		if n.core.applied != lead.core.applied || !bytes.Equal(encoder.Marshal(n.machine), encoder.Marshal(lead.machine)) {
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

// canLose reports whether the disk of a node may be lost without breaking the
// assumption of the algorithm: in every membership that may be in force, a
// majority of the voters' disks is there.
func (s *sim) canLose(lost *simNode) bool {
	alive := map[Member]bool{}
	var newest Index
	for _, n := range s.nodes {
		if n != lost {
			alive[n.disk.member] = true
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
				if alive[v] {
					intact++
				}
			}
			if intact < quorum(len(m.Voters)) {
				return false
			}
		}
	}
	return formed >= len(s.first)
}

// membershipsOf returns the memberships of a disk that are at least as new as
// the newest committed one.
func membershipsOf(st StoredState, newest Index) []Membership {
	base := membershipAt{st.Snapshot.Index, st.Snapshot.Membership}
	if st.Snapshot.Index == 0 {
		base.membership = st.HardState.Base
	}
	list := []membershipAt{base}
	for _, e := range st.Entries {
		if e.Kind == KindMembership && e.Index > st.Snapshot.Index {
			list = append(list, membershipAt{e.Index, ownMembership(e.Data)})
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
