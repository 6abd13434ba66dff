// Package authenticator decides whose work a key may submit.
//
// A key is a token "cv1.ID.SECRET". The ID is public and names the key in
// logs and to operators. The secret is 32 random bytes; only its SHA-256 is
// stored, and it is compared in constant time. A plain hash suffices because
// the secret is random, not chosen by a person.
//
// Ring is the replicated part: the granted and withdrawn keys. A withdrawal is
// monotone: a withdrawn id stays withdrawn whatever is granted before or after
// it, so a race of the two ends in the safe state.
//
// Authenticator is the part on each instance. It honours a key only while its
// copy of the ring is fresh, so that a withdrawal that can't reach the
// instance still stops the key after the freshness bound. It also keeps the
// withdrawals that were taken during a cut and aren't in the log yet.
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

// tokenVersion starts every token.
const tokenVersion = "cv1"

// ErrMalformed is returned for text that is not a token.
var ErrMalformed = errors.New("not a key token of the form cv1.ID.SECRET")

// Token is a key as its owner holds it.
type Token struct {
	ID     KeyID
	secret string
}

// NewToken makes a random token.
func NewToken() (Token, error) {
	var raw [idBytes + secretBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return Token{}, errors.Wrap(err, "making a key")
	}
	return Token{
		ID:     KeyID(hex.EncodeToString(raw[:idBytes])),
		secret: base64.RawURLEncoding.EncodeToString(raw[idBytes:]),
	}, nil
}

// ParseToken reads a token.
func ParseToken(text string) (Token, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] != tokenVersion || !validID(parts[1]) || parts[2] == "" {
		return Token{}, ErrMalformed
	}
	return Token{ID: KeyID(parts[1]), secret: parts[2]}, nil
}

// ValidID reports whether id has the form of a key id.
func ValidID(id KeyID) bool { return validID(string(id)) }

func validID(id string) bool {
	raw, err := hex.DecodeString(id)
	return err == nil && len(raw) == idBytes && strings.ToLower(id) == id
}

// Plaintext returns the token with its secret, for its owner only.
func (t Token) Plaintext() string {
	return tokenVersion + "." + string(t.ID) + "." + t.secret
}

// String hides the secret, so that a token in a log line shows its id only.
func (t Token) String() string {
	return tokenVersion + "." + string(t.ID) + ".(secret)"
}

// GoString hides the secret from the format %#v as well.
func (t Token) GoString() string { return t.String() }

// Hash returns the SHA-256 of the secret.
func (t Token) Hash() []byte {
	sum := sha256.Sum256([]byte(t.secret))
	return sum[:]
}

// Matches compares the secret with a stored hash in constant time.
func (t Token) Matches(hash []byte) bool {
	return subtle.ConstantTimeCompare(t.Hash(), hash) == 1
}

// Verdict tells why a token was refused.
type Verdict int

// The refusals of a token. Unknown, withdrawn and wrong keys are one refusal,
// so that a caller can't probe which ids exist.
const (
	Valid Verdict = iota
	Refused
	Stale
)

// Keys looks up keys in a copy of the ring.
type Keys interface {
	Key(KeyID) (Key, bool)
}

// Config of an Authenticator.
type Config struct {
	Keys  Keys
	Clock clock.Clock
	// FreshAt returns the latest moment up to which the copy is known to be
	// complete.
	FreshAt func() clock.Millis
	// Freshness is the age past which the copy is no longer honoured.
	Freshness clock.Millis
}

// Authenticator checks tokens on one instance.
type Authenticator struct {
	c  Config
	mu sync.RWMutex
	// pending holds withdrawals that were taken here or heard of from other
	// instances, until they are in the ring.
	pending map[KeyID]bool
}

// New returns an Authenticator.
func New(c Config) *Authenticator {
	return &Authenticator{c: c, pending: map[KeyID]bool{}}
}

// Check returns whose key a token is, or why it is refused.
func (a *Authenticator) Check(t Token) (Key, Verdict) {
	k, refusal := a.CheckID(t.ID)
	if refusal == Stale {
		return Key{}, Stale
	}
	if !t.Matches(k.Hash) || refusal != Valid {
		return Key{}, Refused
	}
	return k, Valid
}

// CheckID returns whether the key with an id that was checked before is still
// valid. The scheduler's instance asks it again for work that another instance
// admitted, since that instance may have been paused in between.
func (a *Authenticator) CheckID(id KeyID) (Key, Verdict) {
	if a.c.Clock.Now()-a.c.FreshAt() > a.c.Freshness {
		return Key{}, Stale
	}
	k, known := a.c.Keys.Key(id)
	if !known || k.Withdrawn || a.isPending(id) {
		return Key{}, Refused
	}
	return k, Valid
}

// CheckAllowStale returns whose key a token is, also when the copy of the ring is
// stale. It serves what goes on during a cut: results and cancellations.
func (a *Authenticator) CheckAllowStale(t Token) (Key, bool) {
	k, known := a.c.Keys.Key(t.ID)
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

// Withdraw stops keys on this instance at once, before the withdrawal is in
// the ring. The set is a union: it only grows until the ring has taken over.
func (a *Authenticator) Withdraw(ids ...KeyID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		if k, known := a.c.Keys.Key(id); known && k.Withdrawn {
			continue
		}
		a.pending[id] = true
	}
}

// Pending returns the withdrawals that are not in the ring yet, and forgets
// those that are.
func (a *Authenticator) Pending() []KeyID {
	a.mu.Lock()
	defer a.mu.Unlock()
	ids := make([]KeyID, 0, len(a.pending))
	for id := range a.pending {
		if k, known := a.c.Keys.Key(id); known && k.Withdrawn {
			delete(a.pending, id)
			continue
		}
		ids = append(ids, id)
	}
	return ids
}

// Key is a granted or withdrawn key of the ring.
type Key struct {
	ID        KeyID
	Hash      []byte
	Account   unit.ClientAccount
	Team      unit.Team
	Withdrawn bool
	// ChangedAt is when the key was last granted or withdrawn.
	ChangedAt clock.Millis
}
