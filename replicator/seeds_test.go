package replicator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/unit"
)

// TestSeedsDoNotFormGroup starts instances that know one another only as seeds.
// They must not form a group, since an instance that lost its disk may be started
// with the same configuration while the others still belong to a group.
func TestSeedsDoNotFormGroup(t *testing.T) {
	is := is.New(t)
	s := newSim(0, 1, breakage{})
	s.seeds = []unit.Instance{"v0", "v1", "v2"}
	for _, id := range s.seeds {
		s.add(id)
	}
	s.run(20 * simElectionTimeout)
	for _, n := range s.nodes {
		is.Equal(n.core.Role(), RoleForming)
	}
}

// TestInstancesJoinThroughSeedsUpToTargetVoters adds two instances, which know the
// group only through seeds, to a group of three voters with a target of five.
func TestInstancesJoinThroughSeedsUpToTargetVoters(t *testing.T) {
	is := is.New(t)
	s := newSim(3, 1, breakage{})
	s.run(5 * simElectionTimeout)
	s.seeds, s.targetVoters = s.initialVoters, 5
	s.initialVoters = nil
	for _, id := range []unit.Instance{"w0", "w1"} {
		s.add(id)
	}
	for _, n := range s.nodes {
		n.core.config.TargetVoters = 5
	}
	s.run(20 * simElectionTimeout)
	is.Equal(len(s.nodes[0].core.Status().Membership.Voters), 5)
}
