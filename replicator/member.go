package replicator

import (
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// Member is one incarnation of an instance's disk. An instance that lost its disk
// returns as another Member, since it no longer holds the votes and entries of the
// former one.
type Member struct {
	Instance    unit.Instance
	Incarnation unit.Incarnation
}

// Membership is the set of members of a group: voters, and learners, which receive
// the log but don't vote.
type Membership struct {
	Voters   []Member
	Learners []Member
}

// quorum returns the size of a majority of n voters.
func quorum(n int) int { return n/2 + 1 }

func (m Membership) isVoter(x Member) bool { return slices.Contains(m.Voters, x) }

func (m Membership) isLearner(x Member) bool { return slices.Contains(m.Learners, x) }

func (m Membership) has(x Member) bool { return m.isVoter(x) || m.isLearner(x) }

// others returns all members except self.
func (m Membership) others(self Member) []Member {
	all := slices.Concat(m.Voters, m.Learners)
	return without(all, self)
}

// voterOf returns the voter of an instance, whatever its incarnation.
func (m Membership) voterOf(id unit.Instance) (Member, bool) {
	i := slices.IndexFunc(m.Voters, func(v Member) bool { return v.Instance == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Voters[i], true
}

// withLearner returns the membership with learner x added. Learners that are other
// incarnations of its instance are removed.
func (m Membership) withLearner(x Member) Membership {
	kept := slices.DeleteFunc(slices.Clone(m.Learners), func(l Member) bool { return l.Instance == x.Instance })
	return Membership{Voters: m.Voters, Learners: append(kept, x)}
}

// promoted returns the membership with learner x turned into a voter.
func (m Membership) promoted(x Member) Membership {
	return Membership{Voters: append(slices.Clone(m.Voters), x), Learners: without(m.Learners, x)}
}

// removed returns the membership without x.
func (m Membership) removed(x Member) Membership {
	return Membership{Voters: without(m.Voters, x), Learners: without(m.Learners, x)}
}

func without(members []Member, x Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m == x })
}
