// Package authenticator authenticates API keys: it returns the client account and
// the team that a key belongs to.
//
// A key's owner holds a token of the form "cv1.ID.SECRET". The ID is public and
// identifies the key in logs and to operators. The secret consists of 32 random
// bytes. Only its SHA-256 is stored, and hashes are compared in constant time. A
// plain hash suffices because the secret is random, not chosen by a person.
//
// Ring is the replicated set of granted and withdrawn keys. A withdrawn id stays
// withdrawn, whether it is granted before or after, so a grant that races with a
// withdrawal can't leave the key valid.
//
// Authenticator checks tokens on one instance. It accepts a key only while its
// copy of the ring is fresh, so that a withdrawal that can't reach the instance
// still stops the key once the copy is older than the configured freshness. It
// also keeps the withdrawals that were received during a partition and are not
// committed to the log yet.
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Sizes of a token's parts, in bytes.
const (
	idBytes     = 8
	secretBytes = 32
)

// tokenVersion is the first part of every token.
const tokenVersion = "cv1"

// ErrMalformed is returned by ParseToken if the text is not a token.
var ErrMalformed = errors.New("not a key token of the form cv1.ID.SECRET")

// Token is a key with its secret, as its owner holds it.
type Token struct {
	// ID is the key's public id.
	ID     KeyID
	secret string
}

// NewToken returns a token with a random id and a random secret.
func NewToken() (Token, error) {
	var raw [idBytes + secretBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return Token{}, errors.Wrap(err, "generating a key")
	}
	return Token{
		ID:     KeyID(hex.EncodeToString(raw[:idBytes])),
		secret: base64.RawURLEncoding.EncodeToString(raw[idBytes:]),
	}, nil
}

// ParseToken parses the text form that Plaintext returns. It returns ErrMalformed
// if the text is not a token.
func ParseToken(text string) (Token, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] != tokenVersion || !validID(parts[1]) || parts[2] == "" {
		return Token{}, ErrMalformed
	}
	return Token{ID: KeyID(parts[1]), secret: parts[2]}, nil
}

// ValidID reports whether id is 8 bytes in lower-case hexadecimal, the form of a
// key id.
func ValidID(id KeyID) bool { return validID(string(id)) }

func validID(id string) bool {
	raw, err := hex.DecodeString(id)
	return err == nil && len(raw) == idBytes && strings.ToLower(id) == id
}

// Plaintext returns the text form of the token including its secret. It must be
// shown to the owner only.
func (t Token) Plaintext() string {
	return tokenVersion + "." + string(t.ID) + "." + t.secret
}

// String returns the token without its secret, so that a logged token shows only
// its id.
func (t Token) String() string {
	return tokenVersion + "." + string(t.ID) + ".(secret)"
}

// GoString returns the token without its secret for the format %#v.
func (t Token) GoString() string { return t.String() }

// Hash returns the SHA-256 of the secret.
func (t Token) Hash() []byte {
	sum := sha256.Sum256([]byte(t.secret))
	return sum[:]
}

// Matches reports whether hash is the SHA-256 of the secret. It compares in
// constant time.
func (t Token) Matches(hash []byte) bool {
	return subtle.ConstantTimeCompare(t.Hash(), hash) == 1
}

// Verdict is the result of checking a token.
type Verdict int

// The values of Verdict.
const (
	// Valid means that the key is granted and not withdrawn.
	Valid Verdict = iota
	// Refused means that the key is unknown or withdrawn, or that the secret is
	// wrong. These cases share one value, so that a caller can't probe which ids
	// exist.
	Refused
	// Stale means that the copy of the ring is too old to decide.
	Stale
)

// Keys looks up keys in a copy of the ring.
type Keys interface {
	// Key returns the key with the given id and reports whether it is known.
	Key(KeyID) (Key, bool)
}

// Config configures an Authenticator.
type Config struct {
	Keys  Keys
	Clock clock.Clock
	// FreshAt returns the latest time up to which the copy of the ring is known
	// to be complete.
	FreshAt func() clock.Millis
	// Freshness is the maximum age of the copy. Check and CheckID return Stale
	// if it is older.
	Freshness clock.Millis
}

// Authenticator checks tokens on one instance. It is safe for concurrent use if
// its Config.Keys is.
type Authenticator struct {
	config Config
	mu     sync.RWMutex
	// pending holds the ids that were withdrawn on this or another instance and
	// are not withdrawn in the ring yet.
	pending map[KeyID]bool
}

// New returns an Authenticator with the given configuration.
func New(c Config) *Authenticator {
	return &Authenticator{config: c, pending: map[KeyID]bool{}}
}

// Check returns the key of a token if the verdict is Valid, else an empty Key.
func (a *Authenticator) Check(t Token) (Key, Verdict) {
	k, verdict := a.CheckID(t.ID)
	if verdict == Stale {
		return Key{}, Stale
	}
	if !t.Matches(k.Hash) || verdict != Valid {
		return Key{}, Refused
	}
	return k, Valid
}

// CheckID checks a key by its id alone, after its secret was checked elsewhere. The
// scheduler's instance calls it for submissions that another instance admitted,
// since that instance may have been paused after its check.
func (a *Authenticator) CheckID(id KeyID) (Key, Verdict) {
	if a.config.Clock.Now()-a.config.FreshAt() > a.config.Freshness {
		return Key{}, Stale
	}
	k, known := a.config.Keys.Key(id)
	if !known || k.Withdrawn || a.isPending(id) {
		return Key{}, Refused
	}
	return k, Valid
}

// CheckAllowStale returns the key of a token and reports whether it is valid, even
// if the copy of the ring is stale. It is for operations that stay available
// during a partition: fetching results and cancelling.
func (a *Authenticator) CheckAllowStale(t Token) (Key, bool) {
	k, known := a.config.Keys.Key(t.ID)
	if !known || !t.Matches(k.Hash) || k.Withdrawn || a.isPending(t.ID) {
		return Key{}, false
	}
	return k, true
}

func (a *Authenticator) isPending(id KeyID) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.pending[id]
}

// Withdraw makes this instance refuse keys at once, before the withdrawal is in
// the ring. An id is refused from then on: it stays pending until the ring contains
// its withdrawal.
func (a *Authenticator) Withdraw(ids ...KeyID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		if k, known := a.config.Keys.Key(id); known && k.Withdrawn {
			continue
		}
		a.pending[id] = true
	}
}

// Pending returns the ids whose withdrawal is not in the ring yet, and removes the
// others from the set of pending ids.
func (a *Authenticator) Pending() []KeyID {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := make([]KeyID, 0, len(a.pending))
	for id := range a.pending {
		if k, known := a.config.Keys.Key(id); known && k.Withdrawn {
			delete(a.pending, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// Key is a granted or withdrawn key of the ring.
type Key struct {
	ID KeyID
	// Hash is the SHA-256 of the secret. It is nil if the key was withdrawn
	// before it was granted.
	Hash      []byte
	Account   unit.ClientAccount
	Team      unit.Team
	Withdrawn bool
	// ChangedAt is the time when the key was last granted or withdrawn.
	ChangedAt clock.Millis
}
