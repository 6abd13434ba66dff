package replicator

import (
	"context"

	"github.com/cockroachdb/errors"
)

// proposal is a command on its way through the log.
type proposal struct {
	command []byte
	term    Term
	result  chan outcome
}

type outcome struct {
	result []byte
	err    error
}

// finish is called once; the channel has room for it.
func (p *proposal) finish(result []byte, err error) {
	p.result <- outcome{result, err}
}

// Propose implements Log. On a voter that doesn't lead it returns a
// *NotLeaderError that names the leader.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, ErrTooLarge
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p := &proposal{command: command, result: make(chan outcome, 1)}
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

// propose appends the batch in one step, so that it shares one write.
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
			// An earlier leadership's entry at this index was overwritten.
			old.finish(nil, &NotLeaderError{Leader: n.config.ID})
		}
		n.waiting[at] = p
	}
	clear(n.batch)
	n.batch = n.batch[:0]
}

// call runs f on the loop and waits for it.
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
	if err := n.call(ctx, func() { read = n.core.Read(n.config.Clock.Now()) }); err != nil {
		return err
	}
	return n.await(ctx, func(s state) bool { return s.readDone >= read })
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

// TransferLeadership hands the leadership to another voter and returns once this one no
// longer leads. On a voter that doesn't lead it returns at once.
func (n *Node) TransferLeadership(ctx context.Context) error {
	var leads, started bool
	err := n.call(ctx, func() {
		leads = n.core.role == roleLeader
		started = leads && n.core.Transfer(n.config.Clock.Now())
	})
	if err != nil {
		return err
	}
	if !leads {
		return nil
	}
	if !started {
		return errors.New("no other voter can take the leadership")
	}
	return n.await(ctx, func(s state) bool { return s.status.Role != RoleLeader || !s.transferring })
}
