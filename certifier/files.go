package certifier

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/unit"
)

// FileCredentials are credentials kept in PEM files. The files are looked at when a
// connection starts, and read again when one of them has changed. While the
// changed files don't fit together, as in the middle of a rotation, the last
// ones that did stay in use.
type FileCredentials struct {
	paths [3]string

	mu     sync.Mutex
	stamps [3]stamp
	now    bundle
	err    error
}

// stamp tells two states of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// NewFileCredentials reads credentials from the files of the authority, the
// instance's certificate and its key.
func NewFileCredentials(authority, certificate, key string) (*FileCredentials, error) {
	f := &FileCredentials{paths: [3]string{authority, certificate, key}}
	f.refresh()
	if f.err != nil {
		return nil, f.err
	}
	return f, nil
}

// ServerTLS implements instance.Credentials.
func (f *FileCredentials) ServerTLS() *tls.Config {
	return f.current().serverTLS()
}

// ClientTLS implements instance.Credentials.
func (f *FileCredentials) ClientTLS(peer unit.Instance) *tls.Config {
	return f.current().clientTLS(peer)
}

// Verify implements instance.Credentials.
func (f *FileCredentials) Verify(state tls.ConnectionState) (unit.Instance, error) {
	return f.current().verify(state)
}

// Err returns why the files as they are now can't be used, or nil.
func (f *FileCredentials) Err() error {
	f.current()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

func (f *FileCredentials) current() bundle {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.now
}

// refresh reads the files if one has changed since they were last read. The
// stamps are taken before the files are read: a change in between is seen by
// the next refresh.
func (f *FileCredentials) refresh() {
	var stamps [3]stamp
	for i, p := range f.paths {
		info, err := os.Stat(p)
		if err != nil {
			f.err = errors.Wrap(err, "looking at TLS files")
			return
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	if stamps == f.stamps {
		return
	}
	now, err := readBundle(f.paths)
	f.err = err
	if err != nil {
		return
	}
	f.now, f.stamps = now, stamps
}

func readBundle(paths [3]string) (bundle, error) {
	var pems [3][]byte
	for i, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return bundle{}, errors.Wrap(err, "reading TLS files")
		}
		pems[i] = data
	}
	return newBundle(pems[0], pems[1], pems[2])
}

// EphemeralCredentials are credentials that live as long as the process.
type EphemeralCredentials struct{ now bundle }

// NewEphemeralCredentials returns credentials of a fresh authority that issues to id
// alone, for an instance without peers.
func NewEphemeralCredentials(id unit.Instance) (*EphemeralCredentials, error) {
	a, err := NewAuthority()
	if err != nil {
		return nil, err
	}
	return a.IssueEphemeral(id)
}

// IssueEphemeral issues credentials to an instance without writing files.
func (a *Authority) IssueEphemeral(id unit.Instance) (*EphemeralCredentials, error) {
	certPEM, keyPEM, err := a.Issue(id)
	if err != nil {
		return nil, err
	}
	now, err := newBundle(a.certPEM, certPEM, keyPEM)
	if err != nil {
		return nil, err
	}
	return &EphemeralCredentials{now: now}, nil
}

// ServerTLS implements instance.Credentials.
func (e *EphemeralCredentials) ServerTLS() *tls.Config { return e.now.serverTLS() }

// ClientTLS implements instance.Credentials.
func (e *EphemeralCredentials) ClientTLS(peer unit.Instance) *tls.Config {
	return e.now.clientTLS(peer)
}

// Verify implements instance.Credentials.
func (e *EphemeralCredentials) Verify(state tls.ConnectionState) (unit.Instance, error) {
	return e.now.verify(state)
}
