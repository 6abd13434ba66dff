package instance_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/certifier"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/unit"
)

// anonymous presents no certificate and accepts any.
type anonymous struct{}

func (anonymous) ServerTLS() *tls.Config { return &tls.Config{MinVersion: tls.VersionTLS13} }

func (anonymous) ClientTLS(unit.Instance) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true}
}

func (anonymous) Verify(tls.ConnectionState) (unit.Instance, error) { return "b", nil }

func TestUnauthenticatedPeerIsRefused(t *testing.T) {
	ca := authority(t)
	otherAuthority := authority(t)
	tests := map[string]struct {
		self  unit.Instance
		creds instance.Credentials
	}{
		"another authority":             {self: "a", creds: credentials(t, otherAuthority, "a")},
		"instance not in the fleet":     {self: "x", creds: credentials(t, ca, "x")},
		"no certificate":                {self: "a", creds: anonymous{}},
		"another authority, trusts all": {self: "a", creds: trustsAnyServer{credentials(t, otherAuthority, "a")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served := false
			b := start(t, credentials(t, ca, "b"), "b", map[unit.Instance]string{"a": loopback}, map[instance.Method]instance.Handler{
				"Echo": func(context.Context, unit.Instance, []byte) ([]byte, error) {
					served = true
					return nil, nil
				},
			})
			a := start(t, test.creds, test.self, map[unit.Instance]string{"b": b.Addr()}, nil)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			_, err := a.Call(ctx, "b", "Echo", nil)
			is.True(err != nil)
			is.NoErr(ctx.Err())
			is.NoErr(b.Close())
			is.True(!served)
		})
	}
}

// trustsAnyServer accepts any server but presents its own certificate.
type trustsAnyServer struct{ instance.Credentials }

func (t trustsAnyServer) ClientTLS(id unit.Instance) *tls.Config {
	c := t.Credentials.ClientTLS(id)
	c.InsecureSkipVerify = true
	return c
}

func (trustsAnyServer) Verify(tls.ConnectionState) (unit.Instance, error) { return "b", nil }

func TestServerWithAnotherNameIsRefused(t *testing.T) {
	is := is.New(t)
	ca := authority(t)
	c := start(t, credentials(t, ca, "c"), "c", map[unit.Instance]string{"a": loopback}, nil)
	a := start(t, credentials(t, ca, "a"), "a", map[unit.Instance]string{"b": c.Addr()}, nil)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := a.Call(ctx, "b", "Echo", nil)
	is.True(!maybeDelivered(t, err))
}

func maybeDelivered(t testing.TB, err error) bool {
	t.Helper()
	call := (*instance.CallError)(nil)
	if !errors.As(err, &call) {
		t.Fatalf("got %v, want a CallError", err)
	}
	return call.MaybeDelivered
}

// certDir is a directory with the PEM files of instances.
type certDir string

func (d certDir) files(t *testing.T, id string) *certifier.FileCredentials {
	t.Helper()
	files, err := certifier.NewFileCredentials(d.path(certifier.AuthorityFile), d.path(id+".pem"), d.path(id+"-key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func (d certDir) path(name string) string { return filepath.Join(string(d), name) }

func (d certDir) read(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(d.path(name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func (d certDir) write(t *testing.T, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(d.path(name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestAuthorityRotationWithoutRestart replaces the authority and every certificate
// while the instances run. In the end the old certificates must be refused, and
// connections made with them closed.
func TestAuthorityRotationWithoutRestart(t *testing.T) {
	is := is.New(t)
	shared, unrotated := certDir(t.TempDir()), certDir(t.TempDir())
	old, renewed := authority(t), authority(t)
	is.NoErr(old.WriteFiles(string(shared), []unit.Instance{"a", "b"}))
	is.NoErr(old.WriteFiles(string(unrotated), []unit.Instance{"c"}))
	oldRoot := shared.read(t, certifier.AuthorityFile)

	handlers := map[instance.Method]instance.Handler{"Echo": echo}
	b := startRechecking(t, shared.files(t, "b"), "b", map[unit.Instance]string{"a": loopback, "c": loopback}, handlers)
	a := startRechecking(t, shared.files(t, "a"), "a", map[unit.Instance]string{"b": b.Addr()}, handlers)
	c := startRechecking(t, unrotated.files(t, "c"), "c", map[unit.Instance]string{"b": b.Addr()}, handlers)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	call := func(from *instance.Mesh) error {
		_, err := from.Call(ctx, "b", "Echo", nil)
		return err
	}
	is.NoErr(call(a))
	is.NoErr(call(c))

	// WriteFiles keeps the old authority's certificate beside the new one.
	is.NoErr(renewed.WriteFiles(string(shared), []unit.Instance{"a", "b"}))
	newRoot, found := bytes.CutSuffix(shared.read(t, certifier.AuthorityFile), oldRoot)
	is.True(found)
	is.NoErr(call(a))
	is.NoErr(call(c))

	shared.write(t, certifier.AuthorityFile, newRoot)
	eventually(t, func() error {
		if call(c) == nil {
			return errors.New("the old certificate is still accepted")
		}
		return nil
	})
	// The connection of a was made with the old authority's certificate too, and
	// must be replaced with the new one's.
	eventually(t, func() error { return call(a) })
}

func startRechecking(t *testing.T, creds instance.Credentials, self unit.Instance, peers map[unit.Instance]string, handlers map[instance.Method]instance.Handler) *instance.Mesh {
	t.Helper()
	return startWith(t, instance.Config{
		Self:          self,
		ListenAddress: loopback,
		Peers:         peers,
		Credentials:   creds,
		Recheck:       20 * clock.Millisecond,
	}, handlers)
}
