package replicator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/unit"
)

// TestContactsGiveNoRightToFormAGroup starts instances that know one another as
// contacts only: an instance whose disk was lost may be told so too.
func TestContactsGiveNoRightToFormAGroup(t *testing.T) {
	is := is.New(t)
	s := newSim(0, 1, breakage{})
	s.contacts = []unit.Instance{"v0", "v1", "v2"}
	for _, id := range s.contacts {
		s.add(id)
	}
	s.run(20 * simElection)
	for _, n := range s.nodes {
		is.Equal(n.core.Role(), RoleForming)
	}
}

// TestNewcomerJoinsByContactsAndGroupGrows lets two instances join a group of
// three that is to have five voters.
func TestNewcomerJoinsByContactsAndGroupGrows(t *testing.T) {
	is := is.New(t)
	s := newSim(3, 1, breakage{})
	s.run(5 * simElection)
	s.contacts, s.voters = s.first, 5
	s.first = nil
	for _, id := range []unit.Instance{"w0", "w1"} {
		s.add(id)
	}
	for _, n := range s.nodes {
		n.core.config.Voters = 5
	}
	s.run(20 * simElection)
	is.Equal(len(s.nodes[0].core.Status().Membership.Voters), 5)
}
