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

// breakage is a deliberate mistake of the simulated system.
type breakage struct {
	core faults
	// ackUnsynced acknowledges writes that become durable only some time
	// later.
	ackUnsynced bool
	// keepIdentity lets a voter that lost its disk go on as its old self.
	keepIdentity bool
}

// Times of the simulation.
const (
	simStep      = 5 * clock.Millisecond
	simTick      = 25 * clock.Millisecond
	simHeartbeat = 100 * clock.Millisecond
	simElection  = clock.Second
	simDeadAfter = 20 * clock.Second
	simCompact   = 15
	// simCodec is of how many messages one goes through its encoding.
	simCodec = 20
)

// violation is a broken promise of the system.
type violation struct{ error }

// stuck is a group that doesn't come back after everything was healed.
type stuck struct{ error }

// sim is a group of cores on a simulated network with simulated disks and
// clocks that drift.
type sim struct {
	now   clock.Millis
	rng   *rand.Rand
	broke breakage
	first []unit.Instance
	// contacts and voters are those of the cores' configuration.
	contacts []unit.Instance
	voters   int
	nodes    []*simNode
	// flying are messages on their way.
	flying []flight
	cut    map[[2]unit.Instance]bool
	lossy  bool
	lives  uint64

	leaders map[Term]Member
	// committed holds what any node knew to be committed, by index, and when
	// it was first known.
	committed   []Entry
	committedAt []clock.Millis
	ops         []*simOp
	// acked is the highest index that a caller was told of.
	acked Index
}

type flight struct {
	at   clock.Millis
	from unit.Instance
	to   unit.Instance
	msg  Message
}

// simOp is a proposal or a read of a caller.
type simOp struct {
	id uint64
	// after is the highest index that was acknowledged before the call.
	after  Index
	index  Index
	term   Term
	result []byte
	read   uint64
}

// simDisk is a disk: what is synced survives a crash, what is only written
// survives by chance.
type simDisk struct {
	member Member
	synced StoredState
	// durable is what a crash leaves if acknowledgements don't wait for the
	// sync.
	durable   StoredState
	durableAt clock.Millis
}

// simLazySync is how late a disk syncs that doesn't sync before acknowledging.
const simLazySync = 300 * clock.Millisecond

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

// simMachine is a register that is changed by compare-and-set.
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
	// rate and offset make the node's own clock.
	rate        float64
	offset      clock.Millis
	pausedUntil clock.Millis
	queued      []Message
	nextTick    clock.Millis
	machine     simMachine
	compacted   Index
	// crashIn counts down the steps of a flush to a crash; 0 means none.
	crashIn int
	pending map[Index]*simOp
	reads   []*simOp
}

func newSim(voters int, seed uint64, b breakage) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), broke: b, now: 1000,
		cut: map[[2]unit.Instance]bool{}, leaders: map[Term]Member{},
	}
	for i := range voters {
		s.first = append(s.first, unit.Instance(fmt.Sprintf("v%d", i)))
	}
	for _, id := range s.first {
		s.add(id)
	}
	return s
}

// add starts a new instance. The clocks of any two run apart by less than
// driftPercent.
func (s *sim) add(id unit.Instance) {
	n := &simNode{
		sim: s, id: id,
		rate:   0.96 + 0.08*s.rng.Float64(),
		offset: clock.Millis(s.rng.IntN(100000)),
	}
	s.nodes = append(s.nodes, n)
	n.newDisk()
	n.start()
}

func (n *simNode) newDisk() {
	n.sim.lives++
	inc := unit.Incarnation(fmt.Sprintf("%s.%d", n.id, n.sim.lives))
	if n.sim.broke.keepIdentity {
		inc = unit.Incarnation(n.id)
	}
	n.disk = &simDisk{member: Member{n.id, inc}}
}

func (n *simNode) local() clock.Millis {
	return n.offset + clock.Millis(float64(n.sim.now)*n.rate)
}

// global returns the time before which the node's clock showed less than t.
func (n *simNode) global(t clock.Millis) clock.Millis {
	return clock.Millis(float64(t-n.offset) / n.rate)
}

func (n *simNode) start() {
	if n.core != nil {
		return
	}
	n.sim.lives++
	st := n.disk.synced
	st.Entries = slices.Clone(st.Entries)
	n.core = NewCore(CoreConfig{
		Self: n.disk.member, Bootstrap: n.sim.first, Contacts: n.sim.contacts, Voters: n.sim.voters, Heartbeat: simHeartbeat, Election: simElection,
		DeadAfter: simDeadAfter, MaxInflight: 4, MaxMessageBytes: 100, Seed: n.sim.lives, Life: n.sim.lives,
		faults: n.sim.broke.core,
	}, st, n.local())
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
	if n.sim.broke.ackUnsynced {
		n.disk.synced = n.disk.durable
	}
	n.core, n.pending, n.reads, n.queued = nil, nil, nil, nil
	n.pausedUntil = 0
}

// alive counts one step and reports whether the node survives it.
func (n *simNode) alive() bool {
	if n.crashIn > 0 {
		n.crashIn--
		if n.crashIn == 0 {
			n.crash()
		}
	}
	return n.core != nil
}

// flush does what Node.flush does, with a crash possible between any two
// steps.
func (n *simNode) flush() {
	for n.core != nil {
		if !n.sendAll(n.core.Early()) {
			return
		}
		w, ok := n.core.Write()
		if ok && !n.write(w) {
			return
		}
		n.core.Saved()
		n.sim.checkLeader(n)
		if !n.sendAll(n.core.Late()) {
			return
		}
		if more := n.applyAll(); n.core == nil || !ok && !more {
			return
		}
	}
}

func (n *simNode) write(w StorageUpdate) bool {
	disk := n.disk
	if !n.alive() {
		return false
	}
	if n.crashIn == 1 && n.sim.rng.IntN(2) == 0 {
		// Written, not synced, and on the disk all the same.
		disk.sync(w)
	}
	if !n.alive() {
		return false
	}
	disk.sync(w)
	return n.alive()
}

func (n *simNode) sendAll(list []Message) bool {
	for _, m := range list {
		if !n.alive() {
			return false
		}
		n.sim.send(n.id, m)
	}
	return true
}

func (n *simNode) applyAll() bool {
	more := false
	if s := n.core.Restore(); s != nil {
		n.machine.restore(s.Data)
		if n.machine.Applied != s.Index {
			panic(violation{errors.Newf("%s: snapshot at %d holds state at %d", n.id, s.Index, n.machine.Applied)})
		}
		n.core.Applied(s.Index)
		n.compacted = s.Index
		more = true
	}
	for _, e := range n.core.Committed() {
		if !n.alive() {
			return false
		}
		n.sim.noteCommitted(n, e)
		result := n.machine.apply(e)
		n.core.Applied(e.Index)
		n.answer(e, result)
		more = true
	}
	n.settleReads()
	if n.machine.Applied >= n.compacted+simCompact {
		n.compact()
	}
	return more
}

func (n *simNode) answer(e Entry, result []byte) {
	op := n.pending[e.Index]
	if op == nil || op.term != e.Term {
		return
	}
	delete(n.pending, e.Index)
	op.index, op.result = e.Index, result
	if e.Index <= op.after {
		panic(violation{errors.Newf("op %d got index %d though index %d was acknowledged before it", op.id, e.Index, op.after)})
	}
	n.sim.acked = max(n.sim.acked, e.Index)
}

func (n *simNode) settleReads() {
	done := n.core.ReadDone()
	n.reads = slices.DeleteFunc(n.reads, func(op *simOp) bool {
		if done < op.read {
			return false
		}
		if n.machine.Applied < op.after {
			panic(violation{errors.Newf("%s: a read saw index %d, but index %d was acknowledged before it", n.id, n.machine.Applied, op.after)})
		}
		return true
	})
}

func (n *simNode) compact() {
	keep := n.compacted + Index(simCompact/2)
	s := n.core.Compact(encoder.Marshal(n.machine), keep)
	n.disk.compact(s, keep)
	n.compacted = s.Index
}

func (s *sim) send(from unit.Instance, m Message) {
	if s.rng.IntN(simCodec) == 0 {
		var err error
		if m, err = DecodeMessage(EncodeMessage(m)); err != nil {
			panic(violation{err})
		}
	}
	f := flight{from: from, to: m.To.Instance, msg: m}
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
		s.flying = append(s.flying, f)
	}
}

// run lets time pass.
func (s *sim) run(d clock.Millis) {
	for end := s.now + d; s.now < end; s.now += simStep {
		s.deliver()
		for _, n := range s.nodes {
			n.turn()
		}
		s.checkLeases()
	}
}

func (s *sim) deliver() {
	var due []flight
	s.flying = slices.DeleteFunc(s.flying, func(f flight) bool {
		if f.at <= s.now {
			due = append(due, f)
		}
		return f.at <= s.now
	})
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		n := s.node(f.to)
		if n == nil || n.core == nil || s.cut[[2]unit.Instance{f.from, f.to}] {
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

// turn lets a node take in what has arrived, unless it is paused.
func (n *simNode) turn() {
	if n.core == nil || n.pausedUntil > n.sim.now {
		return
	}
	if len(n.queued) == 0 && n.sim.now < n.nextTick {
		return
	}
	queued := n.queued
	n.queued = nil
	for _, m := range queued {
		n.core.Step(n.local(), m)
		for _, x := range n.core.Contradictions() {
			panic(violation{errors.Newf("%v got a message of %v that contradicts its log: %s", n.id, x.From, x.Why)})
		}
	}
	if n.sim.now >= n.nextTick {
		n.nextTick = n.sim.now + simTick
		n.core.Tick(n.local())
	}
	n.flush()
	if d := n.disk; n.core != nil && d.durableAt+simLazySync < n.sim.now {
		d.durable, d.durableAt = d.synced, n.sim.now
	}
	n.sim.checkFresh(n)
}
