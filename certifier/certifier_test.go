package certifier_test

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/certifier"
	"github.com/chervilvane/chervilvane/unit"
)

func TestIssueValidatesInstanceName(t *testing.T) {
	tests := map[unit.Instance]bool{
		"entry-1":   true,
		"A":         true,
		"":          false,
		"-a":        false,
		"a-":        false,
		"a.b":       false,
		"127.0.0.1": false,
		"*":         false,
		"a b":       false,
	}
	a, err := certifier.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	for name, valid := range tests {
		t.Run(string(name), func(t *testing.T) {
			is := is.New(t)
			_, _, err := a.Issue(name)
			is.Equal(err == nil, valid)
		})
	}
}

func TestWriteFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a, err := certifier.NewAuthority()
	is.NoErr(err)
	is.NoErr(a.WriteFiles(dir, []unit.Instance{"a"}))
	for name, mode := range map[string]os.FileMode{"ca.pem": 0o644, "ca-key.pem": 0o600, "a.pem": 0o644, "a-key.pem": 0o600} {
		info, err := os.Stat(filepath.Join(dir, name))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), mode)
	}
	// Instances of the original authority trust certificates of the loaded one.
	loaded, err := certifier.LoadAuthority(dir)
	is.NoErr(err)
	is.NoErr(loaded.WriteFiles(dir, []unit.Instance{"b"}))
	files, err := certifier.NewFileCredentials(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "b.pem"), filepath.Join(dir, "b-key.pem"))
	is.NoErr(err)
	leaf, err := x509.ParseCertificate(files.ServerTLS().Certificates[0].Certificate[0])
	is.NoErr(err)
	peer, err := a.IssueEphemeral("a")
	is.NoErr(err)
	id, err := peer.Verify(tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}})
	is.NoErr(err)
	is.Equal(id, unit.Instance("b"))
}

// TestMismatchedFilesKeepLastCredentials guards against a rotation that breaks new
// connections. It replaces a certificate without its key, and later removes the
// certificate: the last matching pair must remain in use until the files match.
func TestMismatchedFilesKeepLastCredentials(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	a, err := certifier.NewAuthority()
	is.NoErr(err)
	is.NoErr(a.WriteFiles(dir, []unit.Instance{"a"}))
	cert, key := filepath.Join(dir, "a.pem"), filepath.Join(dir, "a-key.pem")
	files, err := certifier.NewFileCredentials(filepath.Join(dir, "ca.pem"), cert, key)
	is.NoErr(err)
	inUse := func() []byte { return files.ServerTLS().Certificates[0].Certificate[0] }
	before := inUse()
	newCert, newKey, err := a.Issue("a")
	is.NoErr(err)
	is.NoErr(os.WriteFile(cert, append(newCert, '\n'), 0o600))
	is.Equal(inUse(), before)
	is.True(files.Err() != nil)
	is.NoErr(os.WriteFile(key, append(newKey, '\n'), 0o600))
	is.True(string(inUse()) != string(before))
	is.NoErr(files.Err())
	is.NoErr(os.Remove(cert))
	is.True(len(inUse()) > 0)
	is.True(files.Err() != nil)
}
