package replicator

import "github.com/chervilvane/chervilvane/unit"

// Kind tells what an entry of the log holds.
type Kind uint8

// Kinds of entries.
const (
	// KindNoop is the first entry of a leadership.
	KindNoop Kind = iota
	// KindCommand holds a command for the StateMachine.
	KindCommand
	// KindMembership holds an encoded Membership.
	KindMembership
)

// Entry is one entry of the log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index Index
	Term  Term
	Kind  Kind
	Data  []byte
}

// GroupID names one formation of the voters of a log: the incarnation of the
// instance that formed it. Messages of another group are ignored.
type GroupID = unit.Incarnation

// HardState is what a voter must never forget, beside the entries.
type HardState struct {
	Term Term
	// Vote is who got this voter's vote in Term.
	Vote Member
	// Group is empty until the group was formed or joined.
	Group GroupID
	// Base is the membership before the first entry.
	Base Membership
}

// Snapshot is the state after an index.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
}

// StoredState is what a Storage holds.
type StoredState struct {
	HardState HardState
	// Commit is an index that was known to be committed, so that a restart
	// shows no older state than necessary before it hears from a leader.
	Commit   Index
	Snapshot Snapshot
	// Entries are contiguous and reach at least to Snapshot.Index + 1 from
	// below, if there are any.
	Entries []Entry
}

// StorageUpdate is one change of a Storage; nil or empty parts change nothing. A crash
// during Save may leave all of it, none of it, or the Snapshot alone: then the
// stored entries that don't reach or don't match it count as dropped.
type StorageUpdate struct {
	// Snapshot was received from the leader and replaces the older one.
	Snapshot *Snapshot
	// DropEntries drops all entries: they don't reach or don't match Snapshot.
	DropEntries bool
	HardState   *HardState
	// Commit goes with any other change; it isn't worth a write of its own.
	Commit Index
	// Entries replace all stored entries from Entries[0].Index on.
	Entries []Entry
}

func (w StorageUpdate) isEmpty() bool {
	return w.Snapshot == nil && w.HardState == nil && len(w.Entries) == 0
}

// Storage keeps a log on a disk. When Save or Compact returns without an
// error, the change survives a crash. After an error the storage must not be
// used any more: what is on the disk is unknown until it is opened again.
type Storage interface {
	// Load returns what is stored.
	Load() (StoredState, error)
	// Save makes a change durable.
	Save(w StorageUpdate) error
	// Compact makes a snapshot of this voter's own durable and may drop all
	// entries before keep.
	Compact(s Snapshot, keep Index) error
}
