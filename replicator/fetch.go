package replicator

import (
	"context"

	"github.com/chervilvane/chervilvane/clock"
)

// Bounds of a Fetch.
const (
	maxFetchWait  = 10 * clock.Second
	maxFetchBytes = 256 << 10
)

// FetchRequest asks for what was committed from an index on.
type FetchRequest struct {
	// Group is the group that the follower's state is of; empty at first.
	Group GroupID
	// From is the first index that the follower doesn't hold.
	From Index
	// Wait is how long to wait for a new entry before answering with none.
	Wait clock.Millis
	// AnyVoter accepts an answer of a voter that doesn't lead; it is never
	// Fresh.
	AnyVoter bool
}

// FetchResponse is the answer to a FetchRequest.
type FetchResponse struct {
	Group GroupID
	// Snapshot, if it is there, comes before the entries: those before it
	// were dropped.
	Snapshot *Snapshot
	Entries  []Entry
	// Commit is the voter's commit index.
	Commit Index
	// Fresh says that everything that was committed when the request arrived
	// is at most Commit: the voter led with a valid lease.
	Fresh bool
}

// Fetch serves a follower without a disk. A voter that doesn't lead with a
// valid lease returns a *NotLeaderError, unless the request takes any voter.
func (n *Node) Fetch(ctx context.Context, r FetchRequest) (FetchResponse, error) {
	if r.Wait > 0 {
		wait, cancel := context.WithTimeout(ctx, min(r.Wait, maxFetchWait).Duration())
		// Ending without an entry is no error: the follower learns that it is
		// up to date.
		_ = n.await(wait, func(s state) bool {
			return s.status.Applied >= r.From || s.status.Role != RoleLeader && !r.AnyVoter
		})
		cancel()
	}
	var b FetchResponse
	var fresh bool
	err := n.call(ctx, func() { b, fresh = n.core.fetch(n.config.Clock.Now(), r) })
	if err != nil {
		return FetchResponse{}, err
	}
	if !fresh && !r.AnyVoter {
		return FetchResponse{}, &NotLeaderError{Leader: n.Leader()}
	}
	return b, nil
}

func (c *Core) fetch(now clock.Millis, r FetchRequest) (FetchResponse, bool) {
	fresh := c.IsReadable(now)
	b := FetchResponse{Group: c.hard.Group, Commit: c.applied, Fresh: fresh}
	from := max(r.From, 1)
	if r.Group != "" && r.Group != c.hard.Group {
		// The follower's state belongs to another history.
		from = 1
	}
	if from <= c.log.offset {
		s := c.snapshot
		b.Snapshot = &s
		from = s.Index + 1
	}
	b.Entries = c.log.slice(from, c.applied, maxFetchBytes)
	return b, fresh
}
