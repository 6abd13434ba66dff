package replicator

import (
	"slices"

	"github.com/chervilvane/chervilvane/unit"
)

// Member is one life of an instance's disk. An instance whose disk was lost
// comes back as another Member, so that it never counts as its old self.
type Member struct {
	Instance    unit.Instance
	Incarnation unit.Incarnation
}

// Membership says who votes and who only receives the log.
type Membership struct {
	Voters   []Member
	Learners []Member
}

// quorum returns how many of n voters are a majority.
func quorum(n int) int { return n/2 + 1 }

func (m Membership) isVoter(x Member) bool { return slices.Contains(m.Voters, x) }

func (m Membership) isLearner(x Member) bool { return slices.Contains(m.Learners, x) }

func (m Membership) has(x Member) bool { return m.isVoter(x) || m.isLearner(x) }

// others returns all members but self.
func (m Membership) others(self Member) []Member {
	all := slices.Concat(m.Voters, m.Learners)
	return without(all, self)
}

// voterOf returns the voter of an instance, under whatever incarnation.
func (m Membership) voterOf(id unit.Instance) (Member, bool) {
	i := slices.IndexFunc(m.Voters, func(v Member) bool { return v.Instance == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Voters[i], true
}

// withLearner returns a membership with the learner added. Older lives of its
// instance are dropped from the learners.
func (m Membership) withLearner(x Member) Membership {
	kept := slices.DeleteFunc(slices.Clone(m.Learners), func(l Member) bool { return l.Instance == x.Instance })
	return Membership{Voters: m.Voters, Learners: append(kept, x)}
}

// promoted returns a membership in which a learner votes.
func (m Membership) promoted(x Member) Membership {
	return Membership{Voters: append(slices.Clone(m.Voters), x), Learners: without(m.Learners, x)}
}

// removed returns a membership without x.
func (m Membership) removed(x Member) Membership {
	return Membership{Voters: without(m.Voters, x), Learners: without(m.Learners, x)}
}

func without(list []Member, x Member) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m == x })
}
