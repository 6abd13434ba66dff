package replicator

import (
	"math/rand/v2"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Defaults and bounds of a Core.
const (
	DefaultHeartbeat = 100 * clock.Millisecond
	DefaultElection  = clock.Second

	defaultMaxInflight     = 64
	defaultMaxMessageBytes = 256 << 10

	// driftPercent bounds by how much the clocks of two instances may run
	// apart while a lease lasts. The leader's lease is shorter by it than the
	// time for which the voters withhold their votes.
	driftPercent = 10

	// defaultDeadAfter is several times what a restart takes.
	defaultDeadAfter = 5 * clock.Minute
	// goneAfter is for how many election timeouts a voter must be silent
	// before another life of its own instance takes its place.
	goneAfter = 3
)

// CoreConfig configures a Core.
type CoreConfig struct {
	Self Member
	// Bootstrap are the first voters of a new group.
	Bootstrap []unit.Instance
	// Contacts are instances that may know the group. Unlike Bootstrap they
	// give no right to form one.
	Contacts []unit.Instance
	// Voters is how many voters the group grows to; the number of first voters
	// if 0.
	Voters    int
	Heartbeat clock.Millis
	Election  clock.Millis
	// MaxInflight bounds the unanswered messages with entries to a member.
	MaxInflight int
	// MaxMessageBytes bounds a message, except that one entry always fits.
	MaxMessageBytes int
	// DeadAfter is for how long a voter must be silent before a caught-up
	// learner of another instance takes its place.
	DeadAfter clock.Millis
	Seed      uint64
	// Life differs between any two runs of a process.
	Life uint64

	// faults breaks the algorithm, to show that the tests notice.
	faults faults
}

// faults are deliberate mistakes; only tests set them.
type faults struct {
	noPreVote      bool
	noVoteWithhold bool
	noLease        bool
}

type role int

const (
	roleFollower role = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// Core is the Raft algorithm as a deterministic step function. The driver
// calls the inputs (Tick, Step, Propose, Read, Transfer, ...) and then, in
// this order: sends what Early returns, saves what Write returns, calls Saved,
// sends what Late returns, applies what Restore and Committed return.
type Core struct {
	config CoreConfig
	rng    *rand.Rand
	now    clock.Millis

	hard      HardState
	hardDirty bool
	log       entries
	snapshot  Snapshot
	// saved is the last entry that is known to be on the disk.
	saved   Index
	commit  Index
	applied Index

	role   role
	leader Member
	votes  map[Member]bool
	// electionAt is when to campaign.
	electionAt clock.Millis
	// promiseUntil is until when this voter gives no vote away, because a
	// leader may count on it for its lease.
	promiseUntil clock.Millis

	lead leadership
	form formation
	read readState

	received  received
	installed *Snapshot
	// restore is a received snapshot that the machine doesn't hold yet.
	restore *Snapshot
	reset   bool

	early []Message
	late  []Message
	// contradictions wait for Contradictions.
	contradictions []Contradiction
}

// NewCore returns a core that goes on from what was stored.
func NewCore(c CoreConfig, s StoredState, now clock.Millis) *Core {
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.Election == 0 {
		c.Election = DefaultElection
	}
	if c.DeadAfter == 0 {
		c.DeadAfter = defaultDeadAfter
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = defaultMaxInflight
	}
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = defaultMaxMessageBytes
	}
	k := &Core{config: c, rng: rand.New(rand.NewPCG(c.Seed, c.Life)), now: now, hard: s.HardState}
	k.load(s)
	if k.hard.Term > 0 {
		// The former life of this process may have answered a leader just
		// before it ended; that leader's lease may still count on it.
		k.promiseUntil = now + c.Election
	}
	k.resetElection()
	return k
}

func (c *Core) load(s StoredState) {
	snap := s.Snapshot
	if snap.Index == 0 {
		snap.Membership = s.HardState.Base
	}
	c.snapshot = snap
	c.log.reset(snap)
	if len(s.Entries) > 0 && s.Entries[0].Index <= snap.Index {
		s.Entries = s.Entries[snap.Index-s.Entries[0].Index+1:]
	}
	c.log.append(s.Entries)
	c.saved = c.log.last()
	c.commit = max(snap.Index, min(s.Commit, c.saved))
	c.applied = snap.Index
	if t := c.log.lastTerm(); t > c.hard.Term {
		// A crash left a received snapshot without its hard state. This voter
		// gave no vote in that term, or the term would be stored.
		c.setTerm(t, Member{})
	}
}

// Tick tells the core the time; the driver calls it several times in each
// heartbeat interval.
func (c *Core) Tick(now clock.Millis) {
	c.now = max(c.now, now)
	if !c.isFormed() {
		c.tickForm()
		return
	}
	switch c.role {
	case roleLeader:
		c.tickLeader()
	default:
		c.tickFollower()
	}
}

// Step takes a message from another member.
func (c *Core) Step(now clock.Millis, m Message) {
	c.now = max(c.now, now)
	if c.stepForm(m) {
		return
	}
	if m.To != c.config.Self || !c.isFormed() || m.Group != c.hard.Group {
		return
	}
	c.stepRaft(m)
}

func (c *Core) stepRaft(m Message) {
	switch b := m.Body.(type) {
	case Vote:
		c.onVote(m, b)
		return
	case VoteAnswer:
		c.onVoteAnswer(m, b)
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(m.Term, Member{})
	}
	switch b := m.Body.(type) {
	case Append:
		c.onAppend(m, b)
	case AppendAnswer:
		c.onAppendAnswer(m, b)
	case SnapshotChunk:
		c.onSnapshotChunk(m, b)
	case SnapshotAnswer:
		c.onSnapshotAnswer(m, b)
	case TimeoutNow:
		c.onTimeoutNow(m)
	case Read:
		c.onRead(m, b)
	}
}

func (c *Core) tickFollower() {
	if c.received.expired(c.now - c.config.Election) {
		c.received = received{}
	}
	c.tickRead()
	c.tickJoin()
	if c.now < c.electionAt {
		return
	}
	c.resetElection()
	c.role = roleFollower
	c.leader = Member{}
	if c.log.membership().membership.isVoter(c.config.Self) {
		c.preCampaign()
	}
}

// resetElection sets the next campaign to a random time, so that voters seldom
// campaign at once.
func (c *Core) resetElection() {
	c.electionAt = c.now + c.config.Election + clock.Millis(c.rng.Int64N(int64(c.config.Election)))
}

func (c *Core) setTerm(t Term, vote Member) {
	c.hard.Term, c.hard.Vote = t, vote
	c.hardDirty = true
}

func (c *Core) becomeFollower(t Term, leader Member) {
	if t > c.hard.Term {
		c.setTerm(t, Member{})
	}
	if c.role == roleLeader {
		c.lead = leadership{}
		c.resetElection()
	}
	c.role = roleFollower
	c.leader = leader
	c.votes = nil
}

// message queues a message to be sent after the write of this step is durable.
func (c *Core) message(to Member, b Body) {
	c.late = append(c.late, c.addressed(to, b))
}

func (c *Core) addressed(to Member, b Body) Message {
	return Message{From: c.config.Self, To: to, Group: c.hard.Group, Term: c.hard.Term, Body: b}
}

// Early returns the messages that may be sent before the write is durable:
// entries of a leader, which count for its own quorum only once they are on
// its disk, so the followers' disks can write at the same time.
func (c *Core) Early() []Message {
	m := c.early
	c.early = nil
	return m
}

// Write returns what must be made durable; false if there is nothing. The
// driver calls Saved in both cases.
func (c *Core) Write() (StorageUpdate, bool) {
	w := StorageUpdate{Snapshot: c.installed, DropEntries: c.reset, Commit: c.commit}
	if c.saved < c.log.last() {
		w.Entries = c.log.slice(c.saved+1, c.log.last(), maxInt)
	}
	if c.hardDirty {
		h := c.hard
		w.HardState = &h
	}
	return w, !w.isEmpty()
}

const maxInt = int(^uint(0) >> 1)

// Saved says that the last Write is durable.
func (c *Core) Saved() {
	c.saved = c.log.last()
	c.hardDirty = false
	c.installed, c.reset = nil, false
	switch c.role {
	case rolePreCandidate, roleCandidate:
		c.countVotes()
	case roleLeader:
		c.advanceCommit()
	}
}

// Late returns the messages that may be sent only after Saved.
func (c *Core) Late() []Message {
	m := c.late
	c.late = nil
	return m
}

// Restore returns a received snapshot that the machine must take, or nil. The
// driver asks for it after Saved and calls Applied after it.
func (c *Core) Restore() *Snapshot {
	s := c.restore
	c.restore = nil
	return s
}

// Committed returns entries to apply. The driver calls Applied after them.
func (c *Core) Committed() []Entry {
	return c.log.slice(c.applied+1, min(c.commit, c.saved), applyBytes)
}

// applyBytes bounds how much is applied before messages are read again.
const applyBytes = 4 << 20

// Applied says up to where the machine holds the log.
func (c *Core) Applied(i Index) { c.applied = max(c.applied, i) }

// Compact takes a snapshot of the machine at the applied index and drops the
// entries before keep. It returns what the driver must store.
func (c *Core) Compact(data []byte, keep Index) Snapshot {
	i := c.applied
	term, _ := c.log.term(i)
	c.snapshot = Snapshot{Index: i, Term: term, Membership: c.log.membershipOf(i), Data: data}
	if keep > 0 {
		c.log.compact(min(keep-1, i))
	}
	return c.snapshot
}
