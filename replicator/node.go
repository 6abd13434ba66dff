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
	inboxLength    = 4096
	proposalLength = 4096
	callLength     = 256
	// maxUncommitted bounds the entries that wait for a quorum; proposals
	// wait in front of the log beyond it.
	maxUncommitted = 8192
	// MaxCommandBytes bounds one command.
	MaxCommandBytes = 4 << 20

	defaultSnapshotEvery = 10000
	// snapshotBytes takes a snapshot early when commands are large.
	snapshotBytes = 8 << 20
	ticksInBeat   = 4
)

// ErrStopped is the error of calls to a Node whose Run has ended.
var ErrStopped = errors.New("the log has stopped on this instance")

// ErrTooLarge is the error of a proposal of more than MaxCommandBytes.
var ErrTooLarge = errors.New("the command is too large")

// Config configures a Node.
type Config struct {
	ID unit.Instance
	// Incarnation is that of the disk behind Storage.
	Incarnation unit.Incarnation
	LogID       LogID
	// InitialVoters are the first voters of a new group.
	InitialVoters []unit.Instance
	// Seeds, TargetVoters and DeadMemberTimeout are Contacts, Voters and DeadAfter of
	// CoreConfig.
	Seeds             []unit.Instance
	TargetVoters      int
	DeadMemberTimeout clock.Millis
	Storage           Storage
	Transport         Transport
	StateMachine      StateMachine
	Clock             clock.Clock
	// HeartbeatInterval and ElectionTimeout are DefaultHeartbeat and DefaultElection
	// if 0.
	HeartbeatInterval clock.Millis
	ElectionTimeout   clock.Millis
	// SnapshotEvery is after how many entries a snapshot is taken.
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

	// waiting holds the proposals by the index that they were appended at.
	// Only the loop uses it.
	waiting map[Index]*proposal
	// batch is what the loop proposes at once.
	batch         []*proposal
	snapshotIndex Index
	appliedBytes  int

	mu     sync.Mutex
	state  state
	change chan struct{}
}

var _ Log = (*Node)(nil)

// New loads the storage and restores the machine to what was known to be
// committed.
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
		proposals: make(chan *proposal, proposalLength),
		calls:     make(chan func(), callLength),
		stopped:   make(chan struct{}),
		waiting:   map[Index]*proposal{},
		change:    make(chan struct{}),
	}
	n.core = NewCore(CoreConfig{
		Self:      Member{c.ID, c.Incarnation},
		Bootstrap: c.InitialVoters,
		Contacts:  c.Seeds,
		Voters:    c.TargetVoters,
		DeadAfter: c.DeadMemberTimeout,
		Heartbeat: c.HeartbeatInterval,
		Election:  c.ElectionTimeout,
		Seed:      c.RandSeed,
		Life:      rand.Uint64(),
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

// Step takes a message from another voter. It doesn't block: when the inbox is
// full the message is dropped, which the algorithm takes as a loss.
func (n *Node) Step(_ unit.Instance, message []byte) {
	select {
	case n.inbox <- message:
	default:
	}
}

// Run drives the log until ctx ends or the storage fails. A failed write ends
// this voter's part in the group: what is on its disk is unknown, so it must
// not vote or acknowledge any more.
func (n *Node) Run(ctx context.Context) error {
	defer n.stop()
	t := time.NewTicker(n.core.config.Heartbeat.Duration() / ticksInBeat)
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

// drain takes in all that has arrived meanwhile, so that one write serves it
// all.
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
	for _, x := range n.core.Contradictions() {
		n.log.WithFields(logrus.Fields{"Peer": x.From.Instance, "Term": x.Term, "Reason": x.Why}).Error("ignoring a message that contradicts the log")
	}
}

// flush carries out what the core asks for, until it asks for nothing more.
func (n *Node) flush() error {
	for {
		// The lease may be over: readers must learn it before a message that
		// lets another voter lead is sent.
		n.publish()
		n.send(n.core.Early())
		w, ok := n.core.Write()
		if ok {
			if err := n.config.Storage.Save(w); err != nil {
				return errors.Wrap(err, "saving the log")
			}
		}
		n.core.Saved()
		n.send(n.core.Late())
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

func (n *Node) send(list []Message) {
	for _, m := range list {
		n.config.Transport.Send(m.To.Instance, EncodeMessage(m))
	}
}

// saveCommit stores the commit index at a clean end.
func (n *Node) saveCommit() error {
	return errors.Wrap(n.config.Storage.Save(StorageUpdate{Commit: n.core.commit}), "saving the commit index")
}

// stop fails all calls that still wait.
func (n *Node) stop() {
	close(n.stopped)
	n.mu.Lock()
	n.state = state{fresh: n.state.fresh}
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
