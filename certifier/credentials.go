package certifier

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/unit"
)

// FileCredentials are credentials in PEM files. The files are checked for changes
// at the start of each connection, and reloaded if one of them has changed. While the
// certificate and the key don't match, as in the middle of a rotation, the files that
// were last read successfully remain in use. FileCredentials is safe for concurrent
// use.
type FileCredentials struct {
	// paths holds the files of the authority, the certificate and its key.
	paths [3]string

	mu sync.Mutex
	// lastRead holds the state of each file when bundle was read.
	lastRead [3]fileState
	bundle   bundle
	// err is the error of the last refresh.
	err error
}

// fileState identifies the content of a file by its metadata.
type fileState struct {
	modified time.Time
	size     int64
}

// NewFileCredentials reads credentials from the paths of the authority's
// certificates, the instance's certificate and its key.
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

// Err returns the error of reading the current files, or nil if they are in use.
func (f *FileCredentials) Err() error {
	f.current()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// current returns the bundle to use for a new connection.
func (f *FileCredentials) current() bundle {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	return f.bundle
}

// refresh reads the files if one has changed since they were last read. It takes the
// states of the files before it reads them, so that the next refresh detects a change
// in between. The caller must hold f.mu once f is shared.
func (f *FileCredentials) refresh() {
	var states [3]fileState
	for i, p := range f.paths {
		info, err := os.Stat(p)
		if err != nil {
			f.err = errors.Wrap(err, "checking TLS files")
			return
		}
		states[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	if states == f.lastRead {
		return
	}
	loaded, err := readBundle(f.paths)
	f.err = err
	if err != nil {
		return
	}
	f.bundle, f.lastRead = loaded, states
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

// EphemeralCredentials are credentials that are held in memory only.
type EphemeralCredentials struct{ bundle bundle }

// NewEphemeralCredentials returns credentials for id from a new authority that is
// then discarded. They serve an instance without peers.
func NewEphemeralCredentials(id unit.Instance) (*EphemeralCredentials, error) {
	a, err := NewAuthority()
	if err != nil {
		return nil, err
	}
	return a.IssueEphemeral(id)
}

// IssueEphemeral issues credentials to an instance without writing files. It
// returns an error if the name is invalid; see ValidateInstanceName.
func (a *Authority) IssueEphemeral(id unit.Instance) (*EphemeralCredentials, error) {
	certPEM, keyPEM, err := a.Issue(id)
	if err != nil {
		return nil, err
	}
	issued, err := newBundle(a.certPEM, certPEM, keyPEM)
	if err != nil {
		return nil, err
	}
	return &EphemeralCredentials{bundle: issued}, nil
}

// ServerTLS implements instance.Credentials.
func (e *EphemeralCredentials) ServerTLS() *tls.Config { return e.bundle.serverTLS() }

// ClientTLS implements instance.Credentials.
func (e *EphemeralCredentials) ClientTLS(peer unit.Instance) *tls.Config {
	return e.bundle.clientTLS(peer)
}

// Verify implements instance.Credentials.
func (e *EphemeralCredentials) Verify(state tls.ConnectionState) (unit.Instance, error) {
	return e.bundle.verify(state)
}
