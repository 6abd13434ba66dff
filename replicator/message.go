package replicator

import (
	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
)

// Message is a message between instances. From and To include the incarnations, so
// that a member ignores messages to a former incarnation of its instance.
type Message struct {
	From  Member
	To    Member
	Group GroupID
	Term  Term
	Body  Body
}

// Body is the content of a message. Only the types of this package implement it.
type Body interface{ body() }

// VoteRequest requests a vote in Message.Term. With Pre it is a pre-vote request: it
// asks whether the receiver would grant its vote in the next term.
type VoteRequest struct {
	Pre bool
	// Transfer is set if the leader gave up its lease for this election, so
	// that voters must not wait for the lease to expire.
	Transfer  bool
	LastIndex Index
	LastTerm  Term
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	Pre     bool
	Granted bool
	// Asked is the term for which the vote was requested.
	Asked Term
}

// Stamp is a time on a member's clock, which the leader echoes. Life is the
// ProcessNonce of the member, since clocks of different processes can't be compared. Read
// is the number of the member's last read.
type Stamp struct {
	Life uint64
	At   clock.Millis
	Read uint64
}

// AppendEntries carries entries from the leader; without entries it is a heartbeat.
// Prev and PrevTerm are the index and term of the entry before the first one.
type AppendEntries struct {
	Prev     Index
	PrevTerm Term
	Entries  []Entry
	Commit   Index
	// SentAt is the sending time on the leader's clock. The response returns it.
	SentAt clock.Millis
	// Echo is the receiver's latest stamp. It is set only if the leader held a
	// valid lease after the stamp arrived. ReadIndex then covers every entry
	// that was committed at the time of the stamp.
	Echo      Stamp
	ReadIndex Index
}

// AppendEntriesResponse answers an AppendEntries or the last SnapshotChunk.
type AppendEntriesResponse struct {
	// Match is the index up to which the log matches the leader's. In a
	// rejection it is the Prev that didn't match.
	Match  Index
	Reject bool
	// Hint is, in a rejection, the Prev that the leader should try next.
	Hint   Index
	SentAt clock.Millis
	Stamp  Stamp
}

// SnapshotChunk carries the part of the leader's snapshot that starts at Offset.
// Offset and Total, the size of the whole snapshot, are in bytes.
type SnapshotChunk struct {
	Index      Index
	Term       Term
	Membership Membership
	Total      int
	Offset     int
	Data       []byte
	SentAt     clock.Millis
}

// SnapshotChunkResponse answers a SnapshotChunk and requests the one at Offset.
type SnapshotChunkResponse struct {
	Index  Index
	Offset int
	SentAt clock.Millis
}

// TimeoutNow makes the receiver campaign at once. The sender has given up its
// leadership and its lease.
type TimeoutNow struct{}

// ReadIndexRequest asks the leader to echo a stamp, with its ReadIndex, at once.
type ReadIndexRequest struct{ Stamp Stamp }

// BootstrapRequest asks an initial voter for its consent to a new group. The
// coordinator sends it.
type BootstrapRequest struct{}

// BootstrapConsent answers a BootstrapRequest if the sender belongs to no group.
type BootstrapConsent struct{}

// JoinRequest asks to join the group. A member that isn't the leader relays it once
// to the leader, since an instance that was unreachable for a long time may know
// none of the current voters.
type JoinRequest struct{ Relayed bool }

// GroupInfo tells an instance which group exists: Message.Group is its ID, Base its
// membership before the first entry.
type GroupInfo struct{ Base Membership }

// LeaveRequest asks the leader to remove the sender from the membership, since its process
// ends. Life is the sender's ProcessNonce.
type LeaveRequest struct{ Life uint64 }

// LeaveResponse answers a LeaveRequest. Left is set once the membership without the receiver
// is committed; otherwise no other member can take the receiver's place now.
type LeaveResponse struct{ Left bool }

func (VoteRequest) body()           {}
func (VoteResponse) body()          {}
func (AppendEntries) body()         {}
func (AppendEntriesResponse) body() {}
func (SnapshotChunk) body()         {}
func (SnapshotChunkResponse) body() {}
func (TimeoutNow) body()            {}
func (ReadIndexRequest) body()      {}
func (BootstrapRequest) body()      {}
func (BootstrapConsent) body()      {}
func (JoinRequest) body()           {}
func (GroupInfo) body()             {}
func (LeaveRequest) body()          {}
func (LeaveResponse) body()         {}

// bodies encodes each type under its position, so new types go to the end.
var bodies = encoder.NewSet(
	VoteRequest{}, VoteResponse{}, AppendEntries{}, AppendEntriesResponse{}, SnapshotChunk{}, SnapshotChunkResponse{},
	TimeoutNow{}, ReadIndexRequest{}, BootstrapRequest{}, BootstrapConsent{}, JoinRequest{}, GroupInfo{},
	LeaveRequest{}, LeaveResponse{},
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
