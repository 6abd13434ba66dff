package replicator

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
)

// TestProtocolViolationsAreIgnored sends a member messages that no correct member
// sends. It must report each one and keep its role and its log.
func TestProtocolViolationsAreIgnored(t *testing.T) {
	self, peer, third := Member{Instance: "a"}, Member{Instance: "b"}, Member{Instance: "c"}
	base := Membership{Voters: []Member{self, peer, third}}
	const term = 7
	stored := StoredState{
		HardState: HardState{Term: term, Group: "g", Base: base},
		Commit:    2, Entries: []Entry{{Index: 1, Term: 5}, {Index: 2, Term: 5}, {Index: 3, Term: 6}},
	}
	// becomeLeader makes the core the leader.
	becomeLeader := func(c *Core) {
		c.Tick(3 * clock.Minute)
		c.MarkSaved()
		c.Step(3*clock.Minute, Message{From: peer, To: self, Group: "g", Term: term, Body: VoteResponse{Pre: true, Granted: true, Asked: term + 1}})
		c.MarkSaved()
		c.Step(3*clock.Minute, Message{From: peer, To: self, Group: "g", Term: term + 1, Body: VoteResponse{Granted: true, Asked: term + 1}})
		c.MarkSaved()
	}
	for name, x := range map[string]struct {
		isLeader bool
		term     Term
		body     Body
	}{
		"a match beyond the log":                    {isLeader: true, term: term + 1, body: AppendEntriesResponse{Match: 99}},
		"a rejection beyond the log":                {isLeader: true, term: term + 1, body: AppendEntriesResponse{Match: 1 << 60, Reject: true, Hint: 1 << 60}},
		"two leaders in one term":                   {isLeader: true, term: term + 1, body: AppendEntries{Prev: 3, PrevTerm: 6}},
		"a snapshot of a second leader in one term": {isLeader: true, term: term + 1, body: SnapshotChunk{Index: 90, Term: term + 1, Total: 1, Data: []byte("x")}},
		"a leader replaces a committed entry":       {term: term, body: AppendEntries{Prev: 1, PrevTerm: 5, Entries: []Entry{{Index: 2, Term: 6}}}},
		"entries that don't follow one another":     {term: term, body: AppendEntries{Prev: 3, PrevTerm: 6, Entries: []Entry{{Index: 9, Term: 6}}}},
		"an entry of a later term":                  {term: term, body: AppendEntries{Prev: 3, PrevTerm: 6, Entries: []Entry{{Index: 4, Term: 80}}}},
		"a membership that can't be decoded":        {term: term, body: AppendEntries{Prev: 3, PrevTerm: 6, Entries: []Entry{{Index: 4, Term: 7, Kind: KindMembership, Data: []byte{0xff}}}}},
		"a membership without voters":               {term: term, body: AppendEntries{Prev: 3, PrevTerm: 6, Entries: []Entry{{Index: 4, Term: 7, Kind: KindMembership, Data: encodeMembership(Membership{})}}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := NewCore(CoreConfig{Self: self}, stored, 0)
			if x.isLeader {
				becomeLeader(c)
				is.Equal(c.role, roleLeader)
			}
			role, last := c.role, c.log.last()
			c.Step(4*clock.Minute, Message{From: third, To: self, Group: "g", Term: x.term, Body: x.body})
			is.Equal(c.role, role)
			is.Equal(c.log.last(), last)
			is.Equal(len(c.ProtocolViolations()), 1)
			is.Equal(len(c.ProtocolViolations()), 0)
		})
	}
}
