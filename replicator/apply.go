package replicator

import "github.com/cockroachdb/errors"

// restore restores the state machine from a received snapshot, if there is one.
func (n *Node) restore() error {
	s := n.core.SnapshotToRestore()
	if s == nil {
		return nil
	}
	if err := n.config.StateMachine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "restoring the snapshot at index %d", s.Index)
	}
	n.core.MarkApplied(s.Index)
	n.snapshotIndex = s.Index
	n.appliedBytes = 0
	for i, p := range n.waiting {
		if i <= s.Index {
			delete(n.waiting, i)
			p.finish(nil, &UnknownResultError{Cause: errors.New("the result is covered by a snapshot")})
		}
	}
	return nil
}

// apply applies committed entries and completes their proposals. It reports
// whether there were any.
func (n *Node) apply() bool {
	entries := n.core.EntriesToApply()
	for _, e := range entries {
		var result []byte
		if e.Kind == KindCommand {
			result = n.config.StateMachine.Apply(e.Index, e.Data)
		}
		n.appliedBytes += len(e.Data)
		n.core.MarkApplied(e.Index)
		n.completeProposal(e, result)
	}
	return len(entries) > 0
}

// completeProposal completes the proposal that was appended at the index of an
// applied entry. If the applied entry has another term, it replaced the
// proposal's entry, which can then never be committed.
func (n *Node) completeProposal(e Entry, result []byte) {
	p := n.waiting[e.Index]
	if p == nil {
		return
	}
	delete(n.waiting, e.Index)
	if p.term != e.Term {
		p.finish(nil, &NotLeaderError{Leader: n.core.Leader()})
		return
	}
	p.finish(result, nil)
}

// compact takes a snapshot once enough was applied since the last one. It keeps
// the newer half of the entries in between, so that a member that is slightly
// behind needs no snapshot.
func (n *Node) compact() error {
	applied := n.core.applied
	since := int(applied - n.snapshotIndex)
	if since < n.config.SnapshotEvery && n.appliedBytes < snapshotEveryBytes || since == 0 {
		return nil
	}
	keep := n.snapshotIndex + Index(since/2)
	s := n.core.Compact(n.config.StateMachine.Snapshot(), keep)
	if err := n.config.Storage.Compact(s, keep); err != nil {
		return errors.Wrap(err, "storing a snapshot")
	}
	n.snapshotIndex, n.appliedBytes = applied, 0
	return nil
}
