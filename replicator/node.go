package replicator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Bounds of a Node's queues.
const (
	inboxLength         = 4096
	proposalQueueLength = 4096
	callQueueLength     = 256
	// maxUncommitted bounds the uncommitted entries; further proposals wait in
	// the queue.
	maxUncommitted = 8192
	// MaxCommandBytes is the maximum size of a command.
	MaxCommandBytes = 4 << 20

	defaultSnapshotEvery = 10000
	// snapshotEveryBytes is the size of the applied commands after which a snapshot
	// is taken even before SnapshotEvery entries.
	snapshotEveryBytes = 8 << 20
	ticksPerHeartbeat  = 4
)

// ErrStopped is returned by calls to a Node or an Observer whose Run has ended.
// Node.Propose instead returns an *UnknownResultError if the command may be applied,
// else a *NotLeaderError.
var ErrStopped = errors.New("the log has stopped on this instance")

// ErrTooLarge is returned for a command of more than MaxCommandBytes.
var ErrTooLarge = errors.New("the command is too large")

// Config configures a Node.
type Config struct {
	ID unit.Instance
	// Incarnation is the incarnation of the disk behind Storage.
	Incarnation unit.Incarnation
	LogID       LogID
	// InitialVoters are the first voters of a new group.
	InitialVoters []unit.Instance
	// Seeds, TargetVoters and DeadMemberTimeout have the same meaning as in
	// CoreConfig.
	Seeds             []unit.Instance
	TargetVoters      int
	DeadMemberTimeout clock.Millis
	Storage           Storage
	Transport         Transport
	StateMachine      StateMachine
	Clock             clock.Clock
	// HeartbeatInterval is DefaultHeartbeatInterval if 0, ElectionTimeout is
	// DefaultElectionTimeout if 0.
	HeartbeatInterval clock.Millis
	ElectionTimeout   clock.Millis
	// SnapshotEvery is the number of applied entries after which a snapshot is
	// taken; 10000 if 0.
	SnapshotEvery int
	RandSeed      uint64
	Logger        logrus.FieldLogger
}

// Node drives a Core with a Storage, a Transport and a StateMachine. It implements
// Log on a voter.
type Node struct {
	config Config
	core   *Core
	log    logrus.FieldLogger

	inbox     chan []byte
	proposals chan *proposal
	calls     chan func()
	stopped   chan struct{}

	// waiting holds the proposals that aren't completed, by the index of their
	// entry. Only Run uses it.
	waiting map[Index]*proposal
	// batch holds the proposals that Run appends next, in one step.
	batch         []*proposal
	snapshotIndex Index
	appliedBytes  int

	mu     sync.Mutex
	state  state
	change chan struct{}
}

var _ Log = (*Node)(nil)

// New loads the storage and brings the state machine up to the stored commit
// index.
func New(c Config) (*Node, error) {
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = defaultSnapshotEvery
	}
	if c.Logger == nil {
		c.Logger = logrus.StandardLogger()
	}
	s, err := c.Storage.Load()
	if err != nil {
		return nil, errors.Wrap(err, "loading the log")
	}
	n := &Node{
		config:    c,
		log:       c.Logger.WithField("Log", string(c.LogID)),
		inbox:     make(chan []byte, inboxLength),
		proposals: make(chan *proposal, proposalQueueLength),
		calls:     make(chan func(), callQueueLength),
		stopped:   make(chan struct{}),
		waiting:   map[Index]*proposal{},
		change:    make(chan struct{}),
	}
	n.core = NewCore(CoreConfig{
		Self:              Member{c.ID, c.Incarnation},
		InitialVoters:     c.InitialVoters,
		Seeds:             c.Seeds,
		TargetVoters:      c.TargetVoters,
		DeadMemberTimeout: c.DeadMemberTimeout,
		HeartbeatInterval: c.HeartbeatInterval,
		ElectionTimeout:   c.ElectionTimeout,
		RandSeed:          c.RandSeed,
		ProcessNonce:      rand.Uint64(),
	}, s, c.Clock.Now())
	if s.Snapshot.Index > 0 {
		if err := c.StateMachine.Restore(s.Snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "restoring the snapshot")
		}
		n.snapshotIndex = s.Snapshot.Index
	}
	n.apply()
	n.publish()
	return n, nil
}

// Step queues a message from another instance. It doesn't block: if the queue is
// full, it drops the message, which is safe since messages may be lost anyway.
func (n *Node) Step(_ unit.Instance, message []byte) {
	select {
	case n.inbox <- message:
	default:
	}
}

// Run drives the log until ctx ends or the storage or the state machine fails.
// After a failed write the content of the disk is unknown, so this voter must not
// vote or acknowledge any more. Run must be called once.
func (n *Node) Run(ctx context.Context) error {
	defer n.stop()
	t := time.NewTicker(n.core.config.HeartbeatInterval.Duration() / ticksPerHeartbeat)
	defer t.Stop()
	for {
		n.core.Tick(n.config.Clock.Now())
		if err := n.flush(); err != nil {
			return err
		}
		proposals := n.proposals
		if n.core.Uncommitted() >= maxUncommitted {
			proposals = nil
		}
		select {
		case <-ctx.Done():
			return n.saveCommit()
		case <-t.C:
		case m := <-n.inbox:
			n.step(m)
		case p := <-proposals:
			n.batch = append(n.batch, p)
		case f := <-n.calls:
			f()
		}
		n.drain()
	}
}

// drain handles everything that has arrived in the meantime, so that it shares one
// write.
func (n *Node) drain() {
	for range inboxLength {
		select {
		case m := <-n.inbox:
			n.step(m)
			continue
		case f := <-n.calls:
			f()
			continue
		default:
		}
		break
	}
	for n.core.Uncommitted()+len(n.batch) < maxUncommitted {
		select {
		case p := <-n.proposals:
			n.batch = append(n.batch, p)
			continue
		default:
		}
		break
	}
	n.propose()
}

func (n *Node) step(data []byte) {
	m, err := DecodeMessage(data)
	if err != nil {
		n.log.WithError(err).Warn("ignoring a message that can't be decoded")
		return
	}
	n.core.Step(n.config.Clock.Now(), m)
	for _, v := range n.core.ProtocolViolations() {
		n.log.WithFields(logrus.Fields{"Peer": v.From.Instance, "Term": v.Term, "Reason": v.Reason}).Error("ignoring a message that contradicts this member's state")
	}
}

// flush sends, saves and applies what the core returns, until there is nothing
// left to save or apply.
func (n *Node) flush() error {
	for {
		// The lease may have ended. Readers must not rely on it once a message
		// is sent that lets another voter become the leader.
		n.publish()
		n.send(n.core.MessagesBeforeSave())
		update, ok := n.core.PendingUpdate()
		if ok {
			if err := n.config.Storage.Save(update); err != nil {
				return errors.Wrap(err, "saving the log")
			}
		}
		n.core.MarkSaved()
		n.send(n.core.MessagesAfterSave())
		if err := n.restore(); err != nil {
			return err
		}
		more := n.apply()
		if err := n.compact(); err != nil {
			return err
		}
		if !ok && !more {
			n.publish()
			return nil
		}
	}
}

func (n *Node) send(messages []Message) {
	for _, m := range messages {
		n.config.Transport.Send(m.To.Instance, EncodeMessage(m))
	}
}

// saveCommit stores the commit index on a clean shutdown.
func (n *Node) saveCommit() error {
	return errors.Wrap(n.config.Storage.Save(StorageUpdate{Commit: n.core.commit}), "saving the commit index")
}

// stop fails all proposals that aren't completed and makes later calls fail.
func (n *Node) stop() {
	close(n.stopped)
	n.mu.Lock()
	n.state = state{freshAt: n.state.freshAt}
	n.mu.Unlock()
	for i, p := range n.waiting {
		delete(n.waiting, i)
		p.finish(nil, &UnknownResultError{Cause: ErrStopped})
	}
	for _, p := range n.batch {
		p.finish(nil, &NotLeaderError{})
	}
	n.batch = nil
}
