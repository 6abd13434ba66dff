package authenticator_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/clock"
)

// fixture is an Authenticator with a ring that contains one granted key.
type fixture struct {
	ring    *authenticator.Ring
	token   authenticator.Token
	clock   clock.Clock
	freshAt clock.Millis
	auth    *authenticator.Authenticator
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	token, err := authenticator.NewToken()
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{ring: &authenticator.Ring{}, token: token, clock: clock.NewManual(1000), freshAt: 1000}
	if err := f.ring.Grant(authenticator.Key{ID: token.ID, Hash: token.Hash(), Account: "web", Team: "booking"}); err != nil {
		t.Fatal(err)
	}
	f.auth = authenticator.New(authenticator.Config{
		Keys: f.ring, Clock: f.clock, Freshness: 3 * clock.Second,
		FreshAt: func() clock.Millis { return f.freshAt },
	})
	return f
}

func TestCheck(t *testing.T) {
	other, err := authenticator.NewToken()
	if err != nil {
		t.Fatal(err)
	}
	forged := strings.Replace(other.Plaintext(), string(other.ID), "", 1)
	cases := map[string]struct {
		change func(f *fixture)
		token  func(f *fixture) string
		want   authenticator.Verdict
	}{
		"granted key":                           {want: authenticator.Valid},
		"unknown key":                           {token: func(*fixture) string { return other.Plaintext() }, want: authenticator.Refused},
		"right id, wrong secret":                {token: func(f *fixture) string { return strings.Replace(forged, "cv1..", "cv1."+string(f.token.ID)+".", 1) }, want: authenticator.Refused},
		"withdrawn in the ring":                 {change: func(f *fixture) { f.ring.Withdraw(f.token.ID, 1) }, want: authenticator.Refused},
		"withdrawn on this instance only":       {change: func(f *fixture) { f.auth.Withdraw(f.token.ID) }, want: authenticator.Refused},
		"ring is exactly as old as allowed":     {change: func(f *fixture) { f.clock.Advance(3 * clock.Second) }, want: authenticator.Valid},
		"stale ring":                            {change: func(f *fixture) { f.clock.Advance(3*clock.Second + 1) }, want: authenticator.Stale},
		"ring is fresh again after a partition": {change: func(f *fixture) { f.clock.Advance(clock.Hour); f.freshAt = f.clock.Now() }, want: authenticator.Valid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			if c.change != nil {
				c.change(f)
			}
			text := f.token.Plaintext()
			if c.token != nil {
				text = c.token(f)
			}
			token, err := authenticator.ParseToken(text)
			is.NoErr(err)
			_, got := f.auth.Check(token)
			is.Equal(got, c.want)
		})
	}
}

func TestWithdrawnKeyStaysWithdrawnInAnyOrder(t *testing.T) {
	is := is.New(t)
	token, err := authenticator.NewToken()
	is.NoErr(err)
	key := authenticator.Key{ID: token.ID, Hash: token.Hash(), Account: "web", Team: "booking"}
	var grantFirst, withdrawFirst authenticator.Ring
	is.NoErr(grantFirst.Grant(key))
	grantFirst.Withdraw(key.ID, 1)
	withdrawFirst.Withdraw(key.ID, 1)
	is.Equal(withdrawFirst.Grant(key), authenticator.ErrWithdrawn)
	for _, ring := range []authenticator.Ring{grantFirst, withdrawFirst} {
		got, known := ring.Key(key.ID)
		is.True(known && got.Withdrawn)
		is.Equal(ring.Grant(key), authenticator.ErrWithdrawn) // a resent grant is refused
	}
}

func TestGrantRefusesTakenID(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	err := f.ring.Grant(authenticator.Key{ID: f.token.ID, Hash: []byte("other"), Account: "web", Team: "booking"})
	is.Equal(err, authenticator.ErrTaken)
}

func TestPendingOmitsWithdrawalsInTheRing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.auth.Withdraw(f.token.ID)
	is.Equal(f.auth.Pending(), []authenticator.KeyID{f.token.ID})
	f.ring.Withdraw(f.token.ID, 2)
	is.Equal(len(f.auth.Pending()), 0)
	_, ok := f.auth.CheckAllowStale(f.token)
	is.True(!ok)
}

func TestTokenHidesItsSecretWhenPrinted(t *testing.T) {
	is := is.New(t)
	token, err := authenticator.NewToken()
	is.NoErr(err)
	secret := strings.Split(token.Plaintext(), ".")[2]
	for _, printed := range []string{fmt.Sprint(token), fmt.Sprintf("%v", token), fmt.Sprintf("%+v", token), fmt.Sprintf("%#v", token)} {
		is.True(!strings.Contains(printed, secret))
	}
}

func TestParseTokenRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"empty":        "",
		"other prefix": "cv2.0123456789abcdef.x",
		"short id":     "cv1.0123.x",
		"upper case":   "cv1.0123456789ABCDEF.x",
		"no secret":    "cv1.0123456789abcdef.",
		"extra part":   "cv1.0123456789abcdef.x.y",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := authenticator.ParseToken(text)
			is.New(t).Equal(err, authenticator.ErrMalformed)
		})
	}
}
