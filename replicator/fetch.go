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

// FetchRequest is an observer's request for the committed entries from an index on.
type FetchRequest struct {
	// Group is the group of the observer's state; empty before the first response.
	Group GroupID
	// From is the first index that the observer hasn't applied.
	From Index
	// Wait is how long the voter waits for a new entry before it answers
	// without one.
	Wait clock.Millis
	// AnyVoter accepts a response from a voter that isn't the leader. Such a
	// response is never Fresh.
	AnyVoter bool
}

// FetchResponse is the response to a FetchRequest.
type FetchResponse struct {
	Group GroupID
	// Snapshot is set if the requested entries are compacted. Entries then
	// start after it.
	Snapshot *Snapshot
	Entries  []Entry
	// Commit is the index up to which the voter has applied committed entries.
	Commit Index
	// Fresh is true if the voter was the leader with a valid lease. Commit then
	// covers every entry that was committed when the request arrived.
	Fresh bool
}

// Fetch answers the request of an observer. A voter that isn't the leader with a
// valid lease returns a *NotLeaderError, unless r.AnyVoter is set.
func (n *Node) Fetch(ctx context.Context, r FetchRequest) (FetchResponse, error) {
	if r.Wait > 0 {
		wait, cancel := context.WithTimeout(ctx, min(r.Wait, maxFetchWait).Duration())
		// A timeout is no error: the response then has no entries and shows
		// the observer that it is up to date.
		_ = n.await(wait, func(s state) bool {
			return s.status.Applied >= r.From || s.status.Role != RoleLeader && !r.AnyVoter
		})
		cancel()
	}
	var response FetchResponse
	var fresh bool
	err := n.call(ctx, func() { response, fresh = n.core.fetch(n.config.Clock.Now(), r) })
	if err != nil {
		return FetchResponse{}, err
	}
	if !fresh && !r.AnyVoter {
		return FetchResponse{}, &NotLeaderError{Leader: n.Leader()}
	}
	return response, nil
}

func (c *Core) fetch(now clock.Millis, r FetchRequest) (FetchResponse, bool) {
	fresh := c.IsReadable(now)
	response := FetchResponse{Group: c.hardState.Group, Commit: c.applied, Fresh: fresh}
	from := max(r.From, 1)
	if r.Group != "" && r.Group != c.hardState.Group {
		// The observer's state belongs to the log of another group.
		from = 1
	}
	if from <= c.log.offset {
		s := c.snapshot
		response.Snapshot = &s
		from = s.Index + 1
	}
	response.Entries = c.log.slice(from, c.applied, maxFetchBytes)
	return response, fresh
}
