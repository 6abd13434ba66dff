package admitter

import "container/list"

// KeyHash is a hash of a client's key.
type KeyHash uint64

// maxKnownKeys bounds the known keys. Each takes about 150 bytes.
const maxKnownKeys = 4096

// Keys remembers the keys of accounts that were served last. An entry instance has no copy of the
// configuration, so it learns from the leader's replies which keys are valid.
//
// A key that isn't known yet shares the part of unknown clients; its first small request gets
// through beside large ones.
type Keys struct {
	order list.List
	known map[KeyHash]*list.Element
}

// NewKeys returns an empty set of keys.
func NewKeys() *Keys { return &Keys{known: map[KeyHash]*list.Element{}} }

// Known reports whether a key is known.
func (k *Keys) Known(h KeyHash) bool { return k.known[h] != nil }

// Learn adds a key with which a request was served. The key that wasn't served for longest is
// forgotten if there are too many.
func (k *Keys) Learn(h KeyHash) {
	if e := k.known[h]; e != nil {
		k.order.MoveToBack(e)
		return
	}
	if len(k.known) >= maxKnownKeys {
		if oldest, ok := k.order.Remove(k.order.Front()).(KeyHash); ok {
			delete(k.known, oldest)
		}
	}
	k.known[h] = k.order.PushBack(h)
}

// Forget removes a key that was refused.
func (k *Keys) Forget(h KeyHash) {
	if e := k.known[h]; e != nil {
		k.order.Remove(e)
		delete(k.known, h)
	}
}
