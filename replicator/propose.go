package replicator

import (
	"context"

	"github.com/cockroachdb/errors"
)

// proposal is a command that a caller of Propose waits for.
type proposal struct {
	command []byte
	term    Term
	result  chan proposalResult
}

type proposalResult struct {
	result []byte
	err    error
}

// finish completes the proposal. It must be called at most once, and doesn't block
// since the channel buffers one result.
func (p *proposal) finish(result []byte, err error) {
	p.result <- proposalResult{result, err}
}

// Propose implements Log. On a voter that isn't the leader it returns a
// *NotLeaderError with the known leader.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p := &proposal{command: command, result: make(chan proposalResult, 1)}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-n.stopped:
		return nil, &NotLeaderError{}
	}
	select {
	case o := <-p.result:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &UnknownResultError{Cause: ctx.Err()}
	case <-n.stopped:
	}
	select {
	case o := <-p.result:
		return o.result, o.err
	default:
		return nil, &UnknownResultError{Cause: ErrStopped}
	}
}

// propose appends the proposals of the batch in one step, so that they share one
// write.
func (n *Node) propose() {
	if len(n.batch) == 0 {
		return
	}
	commands := make([][]byte, len(n.batch))
	for i, p := range n.batch {
		commands[i] = p.command
	}
	first, term, ok := n.core.Propose(n.config.Clock.Now(), commands...)
	for i, p := range n.batch {
		if !ok {
			p.finish(nil, &NotLeaderError{Leader: n.core.Leader()})
			continue
		}
		p.term = term
		at := first + Index(i)
		if old := n.waiting[at]; old != nil {
			// The entry at this index from an earlier term of this leader was
			// replaced.
			old.finish(nil, &NotLeaderError{Leader: n.config.ID})
		}
		n.waiting[at] = p
	}
	clear(n.batch)
	n.batch = n.batch[:0]
}

// call runs f on the goroutine of Run and waits until it returns.
func (n *Node) call(ctx context.Context, f func()) error {
	done := make(chan struct{})
	g := func() {
		f()
		close(done)
	}
	select {
	case n.calls <- g:
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-n.stopped:
		return ErrStopped
	}
}

// Barrier implements Log.
func (n *Node) Barrier(ctx context.Context) error {
	var read uint64
	if err := n.call(ctx, func() { read = n.core.StartRead(n.config.Clock.Now()) }); err != nil {
		return err
	}
	return n.await(ctx, func(s state) bool { return s.completedRead >= read })
}

// await waits until the published state satisfies ok.
func (n *Node) await(ctx context.Context, ok func(state) bool) error {
	for {
		n.mu.Lock()
		s, change := n.state, n.change
		n.mu.Unlock()
		if ok(s) {
			return nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.stopped:
			return ErrStopped
		}
	}
}

// ErrNotReplaced is returned by Leave if no other member can take over from this voter. The
// instance stays a member.
var ErrNotReplaced = errors.New("no other member can take over from this voter")

// Leave makes this instance leave the group, before the process ends: it transfers the
// leadership, and a caught-up learner takes over the vote. It returns nil once this instance
// is no member any more, ErrNotReplaced if there is no such learner, or an error if ctx or
// Run ends before.
func (n *Node) Leave(ctx context.Context) error {
	if err := n.call(ctx, func() { n.core.Leave(n.config.Clock.Now()) }); err != nil {
		return err
	}
	if err := n.await(ctx, func(s state) bool { return s.leave != leavePending }); err != nil {
		return err
	}
	if n.current().leave == leaveRefused {
		return ErrNotReplaced
	}
	return nil
}

// TransferLeadership transfers the leadership to another voter and returns once this
// one isn't the leader any more or the transfer has timed out. On a voter that isn't
// the leader it returns nil at once. It returns an error if no other voter is active,
// if ctx ends before, or if Run ends before.
func (n *Node) TransferLeadership(ctx context.Context) error {
	var isLeader, started bool
	err := n.call(ctx, func() {
		isLeader = n.core.role == roleLeader
		started = isLeader && n.core.TransferLeadership(n.config.Clock.Now())
	})
	if err != nil {
		return err
	}
	if !isLeader {
		return nil
	}
	if !started {
		return errors.New("no other voter is active to take over the leadership")
	}
	return n.await(ctx, func(s state) bool { return s.status.Role != RoleLeader || !s.transferring })
}
