package authenticator

import (
	"bytes"
	"sort"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
)

// KeyID identifies a key. Unlike the key's secret, it is public.
type KeyID string

// Errors returned by Ring.Grant.
var (
	// ErrWithdrawn is returned if the id was ever withdrawn.
	ErrWithdrawn = errors.New("a withdrawn key can't be granted again")
	// ErrTaken is returned if the id belongs to a key with another hash, account
	// or team.
	ErrTaken = errors.New("the key id is taken by another key")
)

// Ring is the set of all keys that were ever granted or withdrawn. It is a
// deterministic state machine: equal sequences of calls yield equal rings. Its
// field is exported only to be encoded in snapshots.
type Ring struct {
	Keys map[KeyID]Key
}

// Grant makes a key valid. It returns ErrWithdrawn or ErrTaken if the id can't be
// granted. A repeated grant of the same key updates only its ChangedAt.
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

// Withdraw withdraws a key permanently. An unknown id is recorded as withdrawn, so
// that a later grant of it fails.
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

// All returns all keys, sorted by id.
func (r *Ring) All() []Key {
	all := make([]Key, 0, len(r.Keys))
	for _, k := range r.Keys {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
