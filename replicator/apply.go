package replicator

import "github.com/cockroachdb/errors"

// restore gives a received snapshot to the machine.
func (n *Node) restore() error {
	s := n.core.Restore()
	if s == nil {
		return nil
	}
	if err := n.config.StateMachine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "restoring the snapshot at index %d", s.Index)
	}
	n.core.Applied(s.Index)
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

// apply applies committed entries and answers their proposals. It reports
// whether there was anything to apply.
func (n *Node) apply() bool {
	list := n.core.Committed()
	for _, e := range list {
		var result []byte
		if e.Kind == KindCommand {
			result = n.config.StateMachine.Apply(e.Index, e.Data)
		}
		n.appliedBytes += len(e.Data)
		n.core.Applied(e.Index)
		n.answer(e, result)
	}
	return len(list) > 0
}

// answer ends the proposal that was appended at the index of an applied entry.
// If the entry is of another term, the proposal's own entry gave way to it and
// can never be committed.
func (n *Node) answer(e Entry, result []byte) {
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

// compact takes a snapshot when enough was applied since the last one. Some
// entries before it stay, so that a voter that is a little behind needs no
// snapshot.
func (n *Node) compact() error {
	applied := n.core.applied
	since := int(applied - n.snapshotIndex)
	if since < n.config.SnapshotEvery && n.appliedBytes < snapshotBytes || since == 0 {
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
