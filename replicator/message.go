package replicator

import (
	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
)

// Message is what voters send one another. From and To name lives of disks,
// so a message to a former life is ignored by the next.
type Message struct {
	From  Member
	To    Member
	Group GroupID
	Term  Term
	Body  Body
}

// Body is the content of a message. The set is closed.
type Body interface{ body() }

// Vote asks for a vote in Message.Term; with Pre, whether the vote would be
// given in the next term.
type Vote struct {
	Pre bool
	// Transfer says that the leader itself gave up its lease for this
	// election, so its lease need not be waited for.
	Transfer  bool
	LastIndex Index
	LastTerm  Term
}

// VoteAnswer answers a Vote.
type VoteAnswer struct {
	Pre     bool
	Granted bool
	// Asked is the term that the vote was asked for.
	Asked Term
}

// Stamp is a moment of a follower, echoed by the leader. Life tells processes
// apart, since the clocks of two lives of a process can't be compared.
type Stamp struct {
	Life uint64
	At   clock.Millis
	Read uint64
}

// Append carries entries of the leader; without entries it is a heartbeat.
type Append struct {
	Prev     Index
	PrevTerm Term
	Entries  []Entry
	Commit   Index
	// SentAt is the leader's time; the answer returns it.
	SentAt clock.Millis
	// Echo is the receiver's latest stamp and is set only if the leader's
	// lease was valid after the stamp had arrived. All that was committed at
	// the stamp is then at most ReadIndex.
	Echo      Stamp
	ReadIndex Index
}

// AppendAnswer answers an Append or a complete SnapshotChunk.
type AppendAnswer struct {
	// Match is the last index known to equal the leader's; on a rejection it
	// is the Prev that didn't match.
	Match  Index
	Reject bool
	// Hint is where the leader may try next after a rejection.
	Hint   Index
	SentAt clock.Millis
	Stamp  Stamp
}

// SnapshotChunk is a part of the leader's snapshot.
type SnapshotChunk struct {
	Index      Index
	Term       Term
	Membership Membership
	Total      int
	Offset     int
	Data       []byte
	SentAt     clock.Millis
}

// SnapshotAnswer asks for the part at Offset.
type SnapshotAnswer struct {
	Index  Index
	Offset int
	SentAt clock.Millis
}

// TimeoutNow makes the receiver campaign at once; the leader has given up its
// lease.
type TimeoutNow struct{}

// Read asks the leader to echo a stamp soon.
type Read struct{ Stamp Stamp }

// Ask is sent by the instance that forms a new group to the first voters.
type Ask struct{}

// Ready answers an Ask: the sender belongs to no group.
type Ready struct{}

// Join asks to be taken into the group. A member that doesn't lead relays it
// once to the leader, since an instance that was away for long may know none
// of those that may lead now.
type Join struct{ Relayed bool }

// Form tells a member or a joining instance which group there is.
type Form struct{ Base Membership }

func (Vote) body()           {}
func (VoteAnswer) body()     {}
func (Append) body()         {}
func (AppendAnswer) body()   {}
func (SnapshotChunk) body()  {}
func (SnapshotAnswer) body() {}
func (TimeoutNow) body()     {}
func (Read) body()           {}
func (Ask) body()            {}
func (Ready) body()          {}
func (Join) body()           {}
func (Form) body()           {}

var bodies = encoder.NewSet(
	Vote{}, VoteAnswer{}, Append{}, AppendAnswer{}, SnapshotChunk{}, SnapshotAnswer{},
	TimeoutNow{}, Read{}, Ask{}, Ready{}, Join{}, Form{},
)

type wireMessage struct {
	_     struct{} `cbor:",toarray"`
	From  Member
	To    Member
	Group GroupID
	Term  Term
	Body  []byte
}

// EncodeMessage encodes a message for a Transport.
func EncodeMessage(m Message) []byte {
	return encoder.Marshal(wireMessage{From: m.From, To: m.To, Group: m.Group, Term: m.Term, Body: bodies.Marshal(m.Body)})
}

// DecodeMessage is the inverse of EncodeMessage.
func DecodeMessage(data []byte) (Message, error) {
	var w wireMessage
	if err := encoder.Unmarshal(data, &w); err != nil {
		return Message{}, err
	}
	v, err := bodies.Unmarshal(w.Body)
	if err != nil {
		return Message{}, err
	}
	b, ok := v.(Body)
	if !ok {
		return Message{}, errors.Newf("decoded %T, want the body of a message", v)
	}
	return Message{From: w.From, To: w.To, Group: w.Group, Term: w.Term, Body: b}, nil
}
