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

// fakeLog is the replicated log: a list of commands that every instance that the
// leader can reach applies to its own copy of the state.
type fakeLog struct {
	sim         *simulation
	mu          sync.Mutex
	entries     [][]byte
	leader      unit.Instance
	leaderSince clock.Millis
	votes       map[unit.Instance]bool
	// loseAnswer makes the next proposal for the watched request lose its answer.
	// loseProposal makes it never reach the leader.
	loseAnswer, loseProposal bool
}

func (l *fakeLog) currentLeader() unit.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}

// setLeader makes another instance the leader.
func (l *fakeLog) setLeader(name unit.Instance) {
	l.sim.log.catchUp(l.sim.node(name))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = name
	l.leaderSince = l.sim.node(name).clock.Now()
}

// commitExternal commits a command of an operator.
func (l *fakeLog) commitExternal(c registrar.Command) registrar.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commit(c)
}

// commit appends a command and applies it at the leader. The caller holds the
// lock.
func (l *fakeLog) commit(c registrar.Command) registrar.Result {
	n := l.sim.node(l.leader)
	for n.applied < len(l.entries) {
		n.applyNext(l.entries)
	}
	l.entries = append(l.entries, registrar.EncodeCommand(c))
	result, err := registrar.DecodeResult(n.applyNext(l.entries))
	if err != nil {
		panic(err)
	}
	l.sim.obs.checkCommand(c, result)
	return result
}

// applyNext applies the next entry and returns its encoded result.
func (n *node) applyNext(entries [][]byte) []byte {
	n.applied++
	return n.state.Apply(replicator.Index(n.applied), entries[n.applied-1])
}

// catchUpIfReachable applies the new entries on an instance, if the leader can reach it.
func (l *fakeLog) catchUpIfReachable(n *node) {
	if l.sim.isBlocked(string(l.currentLeader()), string(n.name)) {
		return
	}
	l.catchUp(n)
}

// catchUp applies the new entries on an instance.
func (l *fakeLog) catchUp(n *node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n.applied < len(l.entries) {
		n.applyNext(l.entries)
	}
	n.sim.obs.checkVersion(n.sim.t, n)
}

// leaderSince implements elector.Config.LeaderSince.
func (n *node) leaderSince() (clock.Millis, bool) {
	l := n.sim.log
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaderSince, l.leader == n.name
}

// errUnreachable is the error of a proposal that never reached the leader.
var errUnreachable = errors.New("leader of the log is unreachable")

// proposeLocal commits a command if this instance is the leader.
func (n *node) proposeLocal(_ context.Context, c registrar.Command) (registrar.Result, error) {
	l := n.sim.log
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != n.name {
		return nil, &replicator.NotLeaderError{Leader: l.leader}
	}
	return l.commit(c), nil
}

// propose commits a command at the leader. It retries while the leader can't be
// reached.
func (n *node) propose(ctx context.Context, c registrar.Command) (registrar.Result, error) {
	sim, l := n.sim, n.sim.log
	id := requestOf(c)
	sim.reachCommandStep(c, true)
	for {
		if !n.awaitThaw() {
			return nil, errUnreachable
		}
		leader := l.currentLeader()
		if n.sim.node(leader).isUp() && !sim.isBlocked(string(n.name), string(leader)) && !l.consumeLoss(&l.loseProposal, id) {
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
	result := l.commit(sim.defect.command(c))
	l.mu.Unlock()
	sim.reachCommandStep(c, false)
	time.Sleep(latency)
	if !n.awaitThaw() || sim.isBlocked(string(l.currentLeader()), string(n.name)) || l.consumeLoss(&l.loseAnswer, id) {
		return nil, &replicator.UnknownResultError{Cause: errMessageLost}
	}
	return sim.defect.result(c, result), nil
}

// consumeLoss reports whether an injected loss applies to a request, and clears it
// if so.
func (l *fakeLog) consumeLoss(loss *bool, id unit.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !*loss || id != l.sim.watched {
		return false
	}
	*loss = false
	return true
}

// requestOf returns the request of a command, or "".
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

// reachCommandStep calls reachStep for the step before or after a proposal.
func (sim *simulation) reachCommandStep(c registrar.Command, before bool) {
	switch c := c.(type) {
	case registrar.RecordIntent:
		if before {
			sim.reachStep(intentSent, c.Request.ID)
		} else {
			sim.reachStep(intentRecorded, c.Request.ID)
		}
	case registrar.EndRequest:
		if before {
			sim.reachStep(endSent, c.Request)
		} else {
			sim.reachStep(endRecorded, c.Request)
		}
	case registrar.AcceptRequest:
		if !before {
			sim.reachStep(acceptRecorded, c.Request.ID)
		}
	}
}
