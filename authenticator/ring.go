package authenticator

import (
	"bytes"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
)

// KeyID names a key; it is public, the key's secret is not.
type KeyID string

// The errors of Ring.Grant.
var (
	ErrWithdrawn = errors.New("a withdrawn key can't be granted again")
	ErrTaken     = errors.New("the key id is taken by another key")
)

// Ring is the set of keys that were ever granted or withdrawn. It is a
// deterministic state machine; its field is exported for snapshots only.
type Ring struct {
	Keys map[KeyID]Key
}

// Grant makes a key valid. Granting the same key again changes nothing.
func (r *Ring) Grant(k Key) error {
	old, known := r.Keys[k.ID]
	if known && old.Withdrawn {
		return ErrWithdrawn
	}
	if known && !(bytes.Equal(old.Hash, k.Hash) && old.Account == k.Account && old.Team == k.Team) {
		return ErrTaken
	}
	k.Withdrawn = false
	r.put(k)
	return nil
}

// Withdraw ends a key for good. The id of a key that isn't known is remembered,
// so that a grant that comes later is refused.
func (r *Ring) Withdraw(id KeyID, at clock.Millis) {
	k := r.Keys[id]
	if k.Withdrawn {
		return
	}
	k.ID, k.Withdrawn, k.ChangedAt = id, true, at
	r.put(k)
}

func (r *Ring) put(k Key) {
	if r.Keys == nil {
		r.Keys = map[KeyID]Key{}
	}
	r.Keys[k.ID] = k
}

// Key implements Keys.
func (r *Ring) Key(id KeyID) (Key, bool) {
	k, known := r.Keys[id]
	return k, known
}

// All returns the keys in the order of their ids.
func (r *Ring) All() []Key {
	all := make([]Key, 0, len(r.Keys))
	for _, k := range r.Keys {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
