package replicator

import (
	"math/rand/v2"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Defaults and bounds of a Core.
const (
	DefaultHeartbeatInterval = 100 * clock.Millisecond
	DefaultElectionTimeout   = clock.Second

	defaultMaxInflight     = 64
	defaultMaxMessageBytes = 256 << 10

	// maxClockDriftPercent is the largest allowed difference between the rates
	// of two instances' clocks. The leader's lease is shorter by this percentage
	// than the time for which the voters withhold their votes.
	maxClockDriftPercent = 10

	// defaultDeadMemberTimeout is several times as long as a restart takes.
	defaultDeadMemberTimeout = 5 * clock.Minute
	// ReplaceElectionTimeouts is the number of election timeouts after
	// DeadMemberTimeout within which a caught-up learner has replaced a stopped
	// voter, unless votes are split: two for the election after a stopped leader,
	// and one for the two changes of the membership.
	ReplaceElectionTimeouts = 3
	// replaceAfterElectionTimeouts is the number of election timeouts for which
	// a voter must be silent before a new incarnation of its instance replaces
	// it.
	replaceAfterElectionTimeouts = 3
)

// CoreConfig configures a Core.
type CoreConfig struct {
	Self Member
	// InitialVoters are the first voters of a new group.
	InitialVoters []unit.Instance
	// Seeds are further instances that may know the group. Unlike
	// InitialVoters they take no part in forming a group.
	Seeds []unit.Instance
	// TargetVoters is the number of voters that the group grows to. If it is
	// lower than the number of initial voters, that number is used instead.
	TargetVoters      int
	HeartbeatInterval clock.Millis
	ElectionTimeout   clock.Millis
	// MaxInflight is the maximum number of unanswered messages with entries to
	// one member.
	MaxInflight int
	// MaxMessageBytes is the maximum size of the entries, or of the snapshot
	// chunk, in one message. One entry is always sent, whatever its size.
	MaxMessageBytes int
	// DeadMemberTimeout is how long a voter must be silent before a caught-up
	// learner of another instance replaces it, and a learner before it is
	// removed. A new leader counts from its election; ReplaceElectionTimeouts
	// bounds what that adds.
	DeadMemberTimeout clock.Millis
	RandSeed          uint64
	// ProcessNonce differs between any two processes of an instance.
	ProcessNonce uint64

	// faults breaks the algorithm, to show that the tests detect the faults.
	faults faults
}

// faults are deliberate faults of the algorithm. Only tests set them.
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

// Core implements the Raft algorithm as a deterministic step function. The
// driver calls the inputs (Tick, Step, Propose, StartRead, TransferLeadership)
// and then, in this order, sends the messages of MessagesBeforeSave, saves
// PendingUpdate, calls MarkSaved, sends the messages of MessagesAfterSave, and
// applies SnapshotToRestore and EntriesToApply.
type Core struct {
	config CoreConfig
	rng    *rand.Rand
	now    clock.Millis

	hardState      HardState
	hardStateDirty bool
	log            memoryLog
	snapshot       Snapshot
	// saved is the index of the last entry that is known to be durable.
	saved   Index
	commit  Index
	applied Index

	role   role
	leader Member
	votes  map[Member]bool
	// electionDeadline is when this voter campaigns unless a leader contacts it
	// before.
	electionDeadline clock.Millis
	// withholdVoteUntil is the time before which this voter grants no vote,
	// because a leader's lease may depend on it.
	withholdVoteUntil clock.Millis

	leaderState leaderState
	bootstrap   bootstrapState
	leave       leaveState
	read        readState

	incoming       incomingSnapshot
	snapshotToSave *Snapshot
	// snapshotToRestore is a received snapshot that the state machine hasn't
	// restored yet.
	snapshotToRestore *Snapshot
	dropEntries       bool

	beforeSave []Message
	afterSave  []Message
	// violations are those that ProtocolViolations hasn't returned yet.
	violations []ProtocolViolation
}

// NewCore returns a core that continues from the stored state.
func NewCore(config CoreConfig, s StoredState, now clock.Millis) *Core {
	if config.HeartbeatInterval == 0 {
		config.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if config.ElectionTimeout == 0 {
		config.ElectionTimeout = DefaultElectionTimeout
	}
	if config.DeadMemberTimeout == 0 {
		config.DeadMemberTimeout = defaultDeadMemberTimeout
	}
	if config.MaxInflight == 0 {
		config.MaxInflight = defaultMaxInflight
	}
	if config.MaxMessageBytes == 0 {
		config.MaxMessageBytes = defaultMaxMessageBytes
	}
	c := &Core{config: config, rng: rand.New(rand.NewPCG(config.RandSeed, config.ProcessNonce)), now: now, hardState: s.HardState}
	c.load(s)
	if c.hardState.Term > 0 {
		// The previous process may have answered a leader just before it
		// ended. That leader's lease may still depend on this voter.
		c.withholdVoteUntil = now + config.ElectionTimeout
	}
	c.resetElectionTimer()
	return c
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
	if t := c.log.lastTerm(); t > c.hardState.Term {
		// A crash left a received snapshot without its hard state. This voter
		// granted no vote in that term, since the term would be stored
		// otherwise.
		c.setTerm(t, Member{})
	}
}

// Tick advances the core's time and does what is due. The driver calls it
// several times in each heartbeat interval.
func (c *Core) Tick(now clock.Millis) {
	c.now = max(c.now, now)
	if !c.hasGroup() {
		c.tickBootstrap()
		return
	}
	c.tickLeave()
	switch c.role {
	case roleLeader:
		c.tickLeader()
	default:
		c.tickFollower()
	}
}

// Step handles a message from another member.
func (c *Core) Step(now clock.Millis, m Message) {
	c.now = max(c.now, now)
	if c.stepBootstrap(m) {
		return
	}
	if m.To != c.config.Self || !c.hasGroup() || m.Group != c.hardState.Group {
		return
	}
	c.stepRaft(m)
}

func (c *Core) stepRaft(m Message) {
	switch b := m.Body.(type) {
	case VoteRequest:
		c.onVoteRequest(m, b)
		return
	case VoteResponse:
		c.onVoteResponse(m, b)
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, Member{})
	}
	switch b := m.Body.(type) {
	case AppendEntries:
		c.onAppendEntries(m, b)
	case AppendEntriesResponse:
		c.onAppendEntriesResponse(m, b)
	case SnapshotChunk:
		c.onSnapshotChunk(m, b)
	case SnapshotChunkResponse:
		c.onSnapshotChunkResponse(m, b)
	case TimeoutNow:
		c.onTimeoutNow(m)
	case ReadIndexRequest:
		c.onReadIndexRequest(m, b)
	case LeaveRequest:
		c.onLeaveRequest(m, b)
	case LeaveResponse:
		c.onLeaveResponse(m, b)
	}
}

func (c *Core) tickFollower() {
	if c.incoming.expired(c.now - c.config.ElectionTimeout) {
		c.incoming = incomingSnapshot{}
	}
	c.tickRead()
	c.tickJoin()
	if c.now < c.electionDeadline {
		return
	}
	c.resetElectionTimer()
	c.role = roleFollower
	c.leader = Member{}
	if c.log.membership().membership.isVoter(c.config.Self) && !c.leave.requested {
		c.preCampaign()
	}
}

// resetElectionTimer sets the election deadline to a random time between one
// and two election timeouts, so that voters rarely campaign at the same time.
func (c *Core) resetElectionTimer() {
	c.electionDeadline = c.now + c.config.ElectionTimeout + clock.Millis(c.rng.Int64N(int64(c.config.ElectionTimeout)))
}

func (c *Core) setTerm(t Term, vote Member) {
	c.hardState.Term, c.hardState.Vote = t, vote
	c.hardStateDirty = true
}

func (c *Core) becomeFollower(t Term, leader Member) {
	if t > c.hardState.Term {
		c.setTerm(t, Member{})
	}
	if c.role == roleLeader {
		c.leaderState = leaderState{}
		c.resetElectionTimer()
	}
	c.role = roleFollower
	c.leader = leader
	c.votes = nil
}

// sendAfterSave queues a message to be sent once the pending update is durable.
func (c *Core) sendAfterSave(to Member, b Body) {
	c.afterSave = append(c.afterSave, c.newMessage(to, b))
}

func (c *Core) newMessage(to Member, b Body) Message {
	return Message{From: c.config.Self, To: to, Group: c.hardState.Group, Term: c.hardState.Term, Body: b}
}

// MessagesBeforeSave returns the messages that may be sent before the pending
// update is durable: heartbeats, entries and snapshot chunks of a leader. The
// leader counts itself for a quorum only once its own copy of an entry is
// durable, so the followers may write at the same time.
func (c *Core) MessagesBeforeSave() []Message {
	m := c.beforeSave
	c.beforeSave = nil
	return m
}

// PendingUpdate returns the changes that must be made durable; false if there is nothing.
// The driver calls MarkSaved in both cases.
func (c *Core) PendingUpdate() (StorageUpdate, bool) {
	u := StorageUpdate{Snapshot: c.snapshotToSave, DropEntries: c.dropEntries, Commit: c.commit}
	if c.saved < c.log.last() {
		u.Entries = c.log.slice(c.saved+1, c.log.last(), maxInt)
	}
	if c.hardStateDirty {
		h := c.hardState
		u.HardState = &h
	}
	return u, !u.isEmpty()
}

const maxInt = int(^uint(0) >> 1)

// MarkSaved tells the core that the last PendingUpdate is durable.
func (c *Core) MarkSaved() {
	c.saved = c.log.last()
	c.hardStateDirty = false
	c.snapshotToSave, c.dropEntries = nil, false
	switch c.role {
	case rolePreCandidate, roleCandidate:
		c.countVotes()
	case roleLeader:
		c.advanceCommit()
	}
}

// MessagesAfterSave returns the messages that must not be sent before
// MarkSaved.
func (c *Core) MessagesAfterSave() []Message {
	m := c.afterSave
	c.afterSave = nil
	return m
}

// SnapshotToRestore returns a received snapshot that the state machine must
// restore, or nil. The driver calls it after MarkSaved, and calls MarkApplied
// once the snapshot is restored.
func (c *Core) SnapshotToRestore() *Snapshot {
	s := c.snapshotToRestore
	c.snapshotToRestore = nil
	return s
}

// EntriesToApply returns committed and durable entries that aren't applied yet.
// The driver calls MarkApplied once they are applied.
func (c *Core) EntriesToApply() []Entry {
	return c.log.slice(c.applied+1, min(c.commit, c.saved), maxApplyBytes)
}

// maxApplyBytes bounds what EntriesToApply returns in one call, so that the driver
// reads messages in between.
const maxApplyBytes = 4 << 20

// MarkApplied tells the core that the state machine has applied the log up to
// index i.
func (c *Core) MarkApplied(i Index) { c.applied = max(c.applied, i) }

// Compact makes data, the state machine's snapshot at the applied index, the
// snapshot of the log and drops the entries before keep; if keep is 0, it drops
// none. It returns the snapshot, which the driver must store.
func (c *Core) Compact(data []byte, keep Index) Snapshot {
	i := c.applied
	term, _ := c.log.term(i)
	c.snapshot = Snapshot{Index: i, Term: term, Membership: c.log.membershipOf(i), Data: data}
	if keep > 0 {
		c.log.compact(min(keep-1, i))
	}
	return c.snapshot
}
