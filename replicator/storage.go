package replicator

import "github.com/chervilvane/chervilvane/unit"

// Kind is the kind of an entry.
type Kind uint8

// Kinds of entries.
const (
	// KindNoop is the kind of the first entry of each leader; it has no data.
	KindNoop Kind = iota
	// KindCommand entries hold a command for the StateMachine.
	KindCommand
	// KindMembership entries hold an encoded Membership.
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

// GroupID identifies a group of voters. It is the incarnation of the instance
// that formed the group. Members ignore messages of other groups.
type GroupID = unit.Incarnation

// HardState is the state, besides the entries, that a voter must save before it
// answers.
type HardState struct {
	Term Term
	// Vote is the member that this voter voted for in Term; zero if none.
	Vote Member
	// Group is empty until the instance has formed or joined a group.
	Group GroupID
	// Base is the membership before the first entry.
	Base Membership
}

// Snapshot is the state after applying the entry at Index, which has term Term.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
}

// StoredState is the content of a Storage.
type StoredState struct {
	HardState HardState
	// Commit is an index that is known to be committed. It lets a restarted
	// voter apply entries before a leader contacts it.
	Commit   Index
	Snapshot Snapshot
	// Entries are contiguous. The first one's index is at most
	// Snapshot.Index + 1.
	Entries []Entry
}

// StorageUpdate is a change of a Storage; nil or empty fields change nothing. A crash
// during Save may leave all of it, none of it, or only the Snapshot. In the last case
// Load doesn't return entries that end before the Snapshot or conflict with it.
type StorageUpdate struct {
	// Snapshot is a snapshot from the leader that replaces the stored one.
	Snapshot *Snapshot
	// DropEntries drops all stored entries, because they end before Snapshot or
	// conflict with it.
	DropEntries bool
	HardState   *HardState
	// Commit is stored with any other change. A new commit index alone causes no
	// write while the node runs.
	Commit Index
	// Entries are appended after dropping the stored ones from
	// Entries[0].Index on.
	Entries []Entry
}

func (u StorageUpdate) isEmpty() bool {
	return u.Snapshot == nil && u.HardState == nil && len(u.Entries) == 0
}

// Storage stores a log on a disk. Once Save or Compact has returned without an
// error, the change survives a crash. After an error the storage must not be
// used any more: the content of the disk is unknown until it is opened again.
type Storage interface {
	// Load returns the stored state.
	Load() (StoredState, error)
	// Save makes a change durable.
	Save(u StorageUpdate) error
	// Compact durably stores a snapshot that this voter took, and may drop the
	// entries before keep.
	Compact(s Snapshot, keep Index) error
}
