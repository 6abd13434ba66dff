package replicator

import (
	"sort"

	"github.com/chervilvane/chervilvane/encoder"
)

// memoryLog holds the part of the log that isn't compacted: all entries after
// offset. Of the entry at offset it knows only the term.
type memoryLog struct {
	offset     Index
	offsetTerm Term
	entries    []Entry
	// memberships are in index order. Each is in force from its index up to the
	// next one's; the first also covers the indexes before its own.
	memberships []membershipAt
}

type membershipAt struct {
	index      Index
	membership Membership
}

func (l *memoryLog) last() Index { return l.offset + Index(len(l.entries)) }

func (l *memoryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index i; false if the term is unknown.
func (l *memoryLog) term(i Index) (Term, bool) {
	switch {
	case i == l.offset:
		return l.offsetTerm, true
	case i < l.offset || i > l.last():
		return 0, false
	}
	return l.entries[i-l.offset-1].Term, true
}

// slice returns the entries from first to last, up to about maxBytes. It returns
// at least one entry unless first > last.
func (l *memoryLog) slice(first, last Index, maxBytes int) []Entry {
	if first > last {
		return nil
	}
	part := l.entries[first-l.offset-1 : last-l.offset]
	size := 0
	for i, e := range part {
		size += len(e.Data) + entryOverhead
		if size > maxBytes && i > 0 {
			return part[:i:i]
		}
	}
	return part[:len(part):len(part)]
}

// entryOverhead is the approximate encoded size of an entry without its data, in
// bytes.
const entryOverhead = 16

// append appends entries, after dropping those from added[0].Index on. It doesn't
// overwrite the memory of dropped entries, since a caller of slice may still hold
// them.
func (l *memoryLog) append(added []Entry) {
	if len(added) == 0 {
		return
	}
	first := added[0].Index
	if first <= l.last() {
		n := first - l.offset - 1
		l.entries = l.entries[:n:n]
		l.dropMemberships(first)
	}
	l.entries = append(l.entries, added...)
	for _, e := range added {
		if e.Kind == KindMembership {
			l.memberships = append(l.memberships, membershipAt{e.Index, mustDecodeMembership(e.Data)})
		}
	}
}

func (l *memoryLog) dropMemberships(from Index) {
	n := sort.Search(len(l.memberships), func(i int) bool { return l.memberships[i].index >= from })
	l.memberships = l.memberships[:max(n, 1)]
}

// membership returns the latest membership, which may be uncommitted.
func (l *memoryLog) membership() membershipAt { return l.memberships[len(l.memberships)-1] }

// membershipOf returns the membership in force at index i.
func (l *memoryLog) membershipOf(i Index) Membership {
	n := sort.Search(len(l.memberships), func(k int) bool { return l.memberships[k].index > i })
	return l.memberships[max(n, 1)-1].membership
}

// compact drops the entries up to and including index to.
func (l *memoryLog) compact(to Index) {
	if to <= l.offset {
		return
	}
	term, _ := l.term(to)
	l.entries = append([]Entry(nil), l.entries[to-l.offset:]...)
	l.offset, l.offsetTerm = to, term
	n := sort.Search(len(l.memberships), func(k int) bool { return l.memberships[k].index > to })
	l.memberships = l.memberships[max(n, 1)-1:]
}

// reset drops all entries and continues the log after a snapshot.
func (l *memoryLog) reset(s Snapshot) {
	l.offset, l.offsetTerm, l.entries = s.Index, s.Term, nil
	l.memberships = []membershipAt{{s.Index, s.Membership}}
}

func encodeMembership(m Membership) []byte { return encoder.Marshal(m) }

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := encoder.Unmarshal(data, &m)
	return m, err
}

// mustDecodeMembership decodes the membership of an entry of the log, which was
// checked when the entry was received. It panics if the data can't be decoded; that
// takes a damaged disk, and continuing with another membership than the other voters
// would be unsafe.
func mustDecodeMembership(data []byte) Membership {
	m, err := decodeMembership(data)
	if err != nil {
		panic(err)
	}
	return m
}
