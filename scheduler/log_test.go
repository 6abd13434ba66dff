package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// fakeLog is the replicated log: a list of commands that every instance
// applies to its own copy of the state, if it isn't cut from the leader.
type fakeLog struct {
	w       *world
	mu      sync.Mutex
	entries [][]byte
	leader  unit.Instance
	since   clock.Millis
	votes   map[unit.Instance]bool
	// lose makes the next proposal for the watched request lose its answer, or
	// never arrive.
	loseAnswer, loseProposal bool
}

func (l *fakeLog) leaderNow() unit.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// elect makes another instance lead.
func (l *fakeLog) elect(name unit.Instance) {
	l.w.log.catchUpTo(l.w.node(name))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = name
	l.since = l.w.node(name).clk.Now()
}

// put commits a command from outside, as an operator does.
func (l *fakeLog) put(c registrar.Command) registrar.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commit(c)
}

// commit appends a command and applies it at the leader. The caller holds the
// lock.
func (l *fakeLog) commit(c registrar.Command) registrar.Result {
	n := l.w.node(l.leader)
	for n.applied < len(l.entries) {
		n.applyNext(l.entries)
	}
	l.entries = append(l.entries, registrar.EncodeCommand(c))
	result, err := registrar.DecodeResult(n.applyNext(l.entries))
	if err != nil {
		panic(err)
	}
	l.w.obs.observe(c, result)
	return result
}

func (n *node) applyNext(entries [][]byte) []byte {
	n.applied++
	return n.state.Apply(replicator.Index(n.applied), entries[n.applied-1])
}

// catchUp applies what is new at an instance that reaches the leader.
func (l *fakeLog) catchUp(n *node) {
	if l.w.isCut(string(l.leaderNow()), string(n.name)) {
		return
	}
	l.catchUpTo(n)
}

func (l *fakeLog) catchUpTo(n *node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n.applied < len(l.entries) {
		n.applyNext(l.entries)
	}
	n.w.obs.sawVersion(n.w.t, n)
}

func (n *node) lead() (clock.Millis, bool) {
	l := n.w.log
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since, l.leader == n.name
}

var errUnreachable = errors.New("no voter can be reached")

// proposeHere commits a command at this instance if it leads.
func (n *node) proposeHere(_ context.Context, c registrar.Command) (registrar.Result, error) {
	l := n.w.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != n.name {
		return nil, &replicator.NotLeaderError{Leader: l.leader}
	}
	return l.commit(c), nil
}

// propose commits a command at the leader, wherever it is.
func (n *node) propose(ctx context.Context, c registrar.Command) (registrar.Result, error) {
	w, l := n.w, n.w.log
	id := requestOf(c)
	w.reachedCommand(c, true)
	for {
		if !n.thaw() {
			return nil, errUnreachable
		}
		leader := l.leaderNow()
		if n.w.node(leader).isUp() && !w.isCut(string(n.name), string(leader)) && !l.takes(&l.loseProposal, id) {
			break
		}
		select {
		case <-ctx.Done():
			return nil, errUnreachable
		case <-time.After(50 * time.Millisecond):
		}
	}
	time.Sleep(latency)
	l.mu.Lock()
	result := l.commit(w.flaw.command(c))
	l.mu.Unlock()
	w.reachedCommand(c, false)
	time.Sleep(latency)
	if !n.thaw() || w.isCut(string(l.leaderNow()), string(n.name)) || l.takes(&l.loseAnswer, id) {
		return nil, &replicator.UnknownResultError{Cause: errLost}
	}
	return w.flaw.result(c, result), nil
}

// takes uses up an injected loss for the watched request.
func (l *fakeLog) takes(loss *bool, id unit.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !*loss || id != l.w.watched {
		return false
	}
	*loss = false
	return true
}

func requestOf(c registrar.Command) unit.Request {
	switch c := c.(type) {
	case registrar.RecordIntent:
		return c.Request.ID
	case registrar.AcceptRequest:
		return c.Request.ID
	case registrar.EndRequest:
		return c.Request
	default:
		return ""
	}
}

// reachedCommand reports the steps of a proposal.
func (w *world) reachedCommand(c registrar.Command, before bool) {
	switch c := c.(type) {
	case registrar.RecordIntent:
		if before {
			w.reached(intentSent, c.Request.ID)
		} else {
			w.reached(intentRecorded, c.Request.ID)
		}
	case registrar.EndRequest:
		if before {
			w.reached(endSent, c.Request)
		} else {
			w.reached(endRecorded, c.Request)
		}
	case registrar.AcceptRequest:
		if !before {
			w.reached(acceptRecorded, c.Request.ID)
		}
	}
}
