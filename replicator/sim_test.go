package replicator

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/unit"
)

// breakage is a deliberate fault of the simulated system.
type breakage struct {
	core faults
	// ackUnsynced acknowledges writes before they are durable. The disk syncs only
	// every simSyncInterval.
	ackUnsynced bool
	// keepIdentity lets a voter that lost its disk keep its incarnation.
	keepIdentity bool
}

// Times of the simulation.
const (
	simStep              = 5 * clock.Millisecond
	simTickInterval      = 25 * clock.Millisecond
	simHeartbeatInterval = 100 * clock.Millisecond
	simElectionTimeout   = clock.Second
	simDeadMemberTimeout = 20 * clock.Second
	simCompactEvery      = 15
	// One in simEncodeEvery messages is encoded and decoded.
	simEncodeEvery = 20
)

// invariantViolation is a violated invariant of the system.
type invariantViolation struct{ error }

// noConvergence reports that a group doesn't recover after all faults are removed.
type noConvergence struct{ error }

// sim is a group of cores on a simulated network with simulated disks and
// clocks that drift.
type sim struct {
	now           clock.Millis
	rng           *rand.Rand
	breakage      breakage
	initialVoters []unit.Instance
	// seeds and targetVoters configure the cores that start from now on.
	seeds        []unit.Instance
	targetVoters int
	nodes        []*simNode
	// inFlight holds the messages that aren't delivered yet.
	inFlight    []inFlightMessage
	partitioned map[[2]unit.Instance]bool
	lossy       bool
	starts      uint64

	leaders map[Term]Member
	// committed holds the entries that any node has applied, in index order, and
	// committedAt when each was first applied.
	committed   []Entry
	committedAt []clock.Millis
	ops         []*simOp
	// ackedIndex is the highest index of an operation that was acknowledged.
	ackedIndex Index
}

type inFlightMessage struct {
	at   clock.Millis
	from unit.Instance
	to   unit.Instance
	msg  Message
}

// simOp is a proposal or a read of a caller.
type simOp struct {
	id uint64
	// ackedBefore is the highest index that was acknowledged before the call.
	ackedBefore Index
	index       Index
	term        Term
	result      []byte
	read        uint64
}

// simDisk is a simulated disk. Synced writes survive a crash; a write that isn't
// synced yet may or may not survive.
type simDisk struct {
	member Member
	synced StoredState
	// durable is the state after a crash if breakage.ackUnsynced is set.
	durable  StoredState
	syncedAt clock.Millis
}

// simSyncInterval is the interval at which a disk syncs if breakage.ackUnsynced is
// set.
const simSyncInterval = 300 * clock.Millisecond

func (d *simDisk) sync(w StorageUpdate) {
	s := &d.synced
	if w.Snapshot != nil {
		s.Snapshot = *w.Snapshot
	}
	if w.DropEntries {
		s.Entries = nil
	}
	if w.HardState != nil {
		s.HardState = *w.HardState
	}
	s.Commit = max(s.Commit, w.Commit)
	if len(w.Entries) > 0 && len(s.Entries) > 0 {
		n := w.Entries[0].Index - s.Entries[0].Index
		s.Entries = s.Entries[:n:n]
	}
	s.Entries = append(s.Entries, w.Entries...)
}

func (d *simDisk) compact(s Snapshot, keep Index) {
	d.synced.Snapshot = s
	d.synced.Entries = slices.DeleteFunc(slices.Clone(d.synced.Entries), func(e Entry) bool { return e.Index < min(keep, s.Index+1) })
}

// simMachine is a state machine with one register that compare-and-set commands
// change.
type simMachine struct {
	Applied Index
	Version uint64
	Winner  uint64
}

type simCommand struct {
	ID     uint64
	Expect uint64
}

type simResult struct {
	Won     bool
	Version uint64
}

func (m *simMachine) apply(e Entry) []byte {
	m.Applied = e.Index
	if e.Kind != KindCommand {
		return nil
	}
	var c simCommand
	if err := encoder.Unmarshal(e.Data, &c); err != nil {
		panic(err)
	}
	won := c.Expect == m.Version
	if won {
		m.Version++
		m.Winner = c.ID
	}
	return encoder.Marshal(simResult{won, m.Version})
}

type simNode struct {
	sim  *sim
	id   unit.Instance
	disk *simDisk
	core *Core
	// clockRate and clockOffset define the node's clock.
	clockRate   float64
	clockOffset clock.Millis
	pausedUntil clock.Millis
	queued      []Message
	nextTick    clock.Millis
	machine     simMachine
	compacted   Index
	// crashIn is the number of steps of a flush until the node crashes; 0 means
	// that it doesn't.
	crashIn int
	pending map[Index]*simOp
	reads   []*simOp
}

func newSim(voters int, seed uint64, b breakage) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), breakage: b, now: 1000,
		partitioned: map[[2]unit.Instance]bool{}, leaders: map[Term]Member{},
	}
	for i := range voters {
		s.initialVoters = append(s.initialVoters, unit.Instance(fmt.Sprintf("v%d", i)))
	}
	for _, id := range s.initialVoters {
		s.add(id)
	}
	return s
}

// add starts a new instance. The rates of any two clocks differ by less than
// maxClockDriftPercent.
func (s *sim) add(id unit.Instance) {
	n := &simNode{
		sim: s, id: id,
		clockRate:   0.96 + 0.08*s.rng.Float64(),
		clockOffset: clock.Millis(s.rng.IntN(100000)),
	}
	s.nodes = append(s.nodes, n)
	n.newDisk()
	n.start()
}

func (n *simNode) newDisk() {
	n.sim.starts++
	inc := unit.Incarnation(fmt.Sprintf("%s.%d", n.id, n.sim.starts))
	if n.sim.breakage.keepIdentity {
		inc = unit.Incarnation(n.id)
	}
	n.disk = &simDisk{member: Member{n.id, inc}}
}

func (n *simNode) localTime() clock.Millis {
	return n.clockOffset + clock.Millis(float64(n.sim.now)*n.clockRate)
}

// globalTime returns the simulated time at which the node's clock reaches t.
func (n *simNode) globalTime(t clock.Millis) clock.Millis {
	return clock.Millis(float64(t-n.clockOffset) / n.clockRate)
}

func (n *simNode) start() {
	if n.core != nil {
		return
	}
	n.sim.starts++
	st := n.disk.synced
	st.Entries = slices.Clone(st.Entries)
	n.core = NewCore(CoreConfig{
		Self: n.disk.member, InitialVoters: n.sim.initialVoters, Seeds: n.sim.seeds, TargetVoters: n.sim.targetVoters, HeartbeatInterval: simHeartbeatInterval, ElectionTimeout: simElectionTimeout,
		DeadMemberTimeout: simDeadMemberTimeout, MaxInflight: 4, MaxMessageBytes: 100, RandSeed: n.sim.starts, ProcessNonce: n.sim.starts,
		faults: n.sim.breakage.core,
	}, st, n.localTime())
	n.machine = simMachine{}
	if st.Snapshot.Index > 0 {
		n.machine.restore(st.Snapshot.Data)
	}
	n.compacted = st.Snapshot.Index
	n.pending, n.reads, n.queued = map[Index]*simOp{}, nil, nil
	n.crashIn = 0
	n.nextTick = n.sim.now
	n.flush()
}

func (m *simMachine) restore(data []byte) {
	if err := encoder.Unmarshal(data, m); err != nil {
		panic(err)
	}
}

func (n *simNode) crash() {
	if n.sim.breakage.ackUnsynced {
		n.disk.synced = n.disk.durable
	}
	n.core, n.pending, n.reads, n.queued = nil, nil, nil, nil
	n.pausedUntil = 0
}

// survivesStep counts down one step of crashIn and reports whether the node is
// still running.
func (n *simNode) survivesStep() bool {
	if n.crashIn > 0 {
		n.crashIn--
		if n.crashIn == 0 {
			n.crash()
		}
	}
	return n.core != nil
}

// flush does the same as Node.flush, but may crash between any two steps.
func (n *simNode) flush() {
	for n.core != nil {
		if !n.sendAll(n.core.MessagesBeforeSave()) {
			return
		}
		w, ok := n.core.PendingUpdate()
		if ok && !n.write(w) {
			return
		}
		n.core.MarkSaved()
		n.sim.checkLeader(n)
		if !n.sendAll(n.core.MessagesAfterSave()) {
			return
		}
		if more := n.applyAll(); n.core == nil || !ok && !more {
			return
		}
	}
}

func (n *simNode) write(w StorageUpdate) bool {
	disk := n.disk
	if !n.survivesStep() {
		return false
	}
	if n.crashIn == 1 && n.sim.rng.IntN(2) == 0 {
		// The write reaches the disk although the crash precedes the sync.
		disk.sync(w)
	}
	if !n.survivesStep() {
		return false
	}
	disk.sync(w)
	return n.survivesStep()
}

func (n *simNode) sendAll(list []Message) bool {
	for _, m := range list {
		if !n.survivesStep() {
			return false
		}
		n.sim.send(n.id, m)
	}
	return true
}

func (n *simNode) applyAll() bool {
	more := false
	if s := n.core.SnapshotToRestore(); s != nil {
		n.machine.restore(s.Data)
		if n.machine.Applied != s.Index {
			panic(invariantViolation{errors.Newf("%s: the snapshot at index %d holds the state at index %d", n.id, s.Index, n.machine.Applied)})
		}
		n.core.MarkApplied(s.Index)
		n.compacted = s.Index
		more = true
	}
	for _, e := range n.core.EntriesToApply() {
		if !n.survivesStep() {
			return false
		}
		n.sim.recordCommitted(n, e)
		result := n.machine.apply(e)
		n.core.MarkApplied(e.Index)
		n.completeOp(e, result)
		more = true
	}
	n.completeReads()
	if n.machine.Applied >= n.compacted+simCompactEvery {
		n.compact()
	}
	return more
}

func (n *simNode) completeOp(e Entry, result []byte) {
	op := n.pending[e.Index]
	if op == nil || op.term != e.Term {
		return
	}
	delete(n.pending, e.Index)
	op.index, op.result = e.Index, result
	if e.Index <= op.ackedBefore {
		panic(invariantViolation{errors.Newf("op %d got index %d, but index %d was acknowledged before it was called", op.id, e.Index, op.ackedBefore)})
	}
	n.sim.ackedIndex = max(n.sim.ackedIndex, e.Index)
}

func (n *simNode) completeReads() {
	done := n.core.CompletedRead()
	n.reads = slices.DeleteFunc(n.reads, func(op *simOp) bool {
		if done < op.read {
			return false
		}
		if n.machine.Applied < op.ackedBefore {
			panic(invariantViolation{errors.Newf("%s: a read returned the state at index %d, but index %d was acknowledged before it started", n.id, n.machine.Applied, op.ackedBefore)})
		}
		return true
	})
}

func (n *simNode) compact() {
	keep := n.compacted + Index(simCompactEvery/2)
	s := n.core.Compact(encoder.Marshal(n.machine), keep)
	n.disk.compact(s, keep)
	n.compacted = s.Index
}

func (s *sim) send(from unit.Instance, m Message) {
	if s.rng.IntN(simEncodeEvery) == 0 {
		var err error
		if m, err = DecodeMessage(EncodeMessage(m)); err != nil {
			panic(invariantViolation{err})
		}
	}
	f := inFlightMessage{from: from, to: m.To.Instance, msg: m}
	copies := 1
	if s.lossy {
		switch s.rng.IntN(20) {
		case 0, 1:
			copies = 0
		case 2:
			copies = 2
		}
	}
	for range copies {
		f.at = s.now + clock.Millis(s.rng.IntN(15))
		if s.lossy && s.rng.IntN(30) == 0 {
			f.at += clock.Millis(s.rng.IntN(4000))
		}
		s.inFlight = append(s.inFlight, f)
	}
}

// run advances the simulated time by d.
func (s *sim) run(d clock.Millis) {
	for end := s.now + d; s.now < end; s.now += simStep {
		s.deliver()
		for _, n := range s.nodes {
			n.process()
		}
		s.checkLeases()
	}
}

func (s *sim) deliver() {
	var due []inFlightMessage
	s.inFlight = slices.DeleteFunc(s.inFlight, func(f inFlightMessage) bool {
		if f.at <= s.now {
			due = append(due, f)
		}
		return f.at <= s.now
	})
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		n := s.node(f.to)
		if n == nil || n.core == nil || s.partitioned[[2]unit.Instance{f.from, f.to}] {
			continue
		}
		n.queued = append(n.queued, f.msg)
	}
}

func (s *sim) node(id unit.Instance) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// process lets a node handle the messages that have arrived, unless it is paused.
func (n *simNode) process() {
	if n.core == nil || n.pausedUntil > n.sim.now {
		return
	}
	if len(n.queued) == 0 && n.sim.now < n.nextTick {
		return
	}
	queued := n.queued
	n.queued = nil
	for _, m := range queued {
		n.core.Step(n.localTime(), m)
		for _, x := range n.core.ProtocolViolations() {
			panic(invariantViolation{errors.Newf("%v got a message from %v that violates the protocol: %s", n.id, x.From, x.Reason)})
		}
	}
	if n.sim.now >= n.nextTick {
		n.nextTick = n.sim.now + simTickInterval
		n.core.Tick(n.localTime())
	}
	n.flush()
	if d := n.disk; n.core != nil && d.syncedAt+simSyncInterval < n.sim.now {
		d.durable, d.syncedAt = d.synced, n.sim.now
	}
	n.sim.checkFreshness(n)
}
