package recorder

import (
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

var (
	errCrash = errors.New("the machine has crashed")
	errSync  = errors.New("input/output error")
)

// sector is what a disk writes at once.
const sector = 32

// memFS is a file system in memory. What isn't synced survives a crash in part
// only: of a file any sectors of an unsynced tail, of a folder the first few
// unsynced changes.
type memFS struct {
	rng *rand.Rand
	// names is what a process sees, durable what a crash leaves at least.
	names   map[string]*memFile
	durable map[string]*memFile
	pending []func(map[string]*memFile)
	// crashIn counts operations down to a crash; 0 means none.
	crashIn int
	crashed bool
	// failSync lets the next sync of a file fail.
	failSync bool
	syncs    int
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced int
}

var _ FS = (*memFS)(nil)

func newMemFS(seed uint64) *memFS {
	return &memFS{rng: rand.New(rand.NewPCG(seed, 1)), names: map[string]*memFile{}, durable: map[string]*memFile{}}
}

// step counts one operation.
func (m *memFS) step() error {
	if m.crashIn > 0 {
		m.crashIn--
		m.crashed = m.crashed || m.crashIn == 0
	}
	if m.crashed {
		return errCrash
	}
	return nil
}

// reboot returns what is on the disk after a crash.
func (m *memFS) reboot() *memFS {
	next := newMemFS(m.rng.Uint64())
	left := maps.Clone(m.durable)
	for _, change := range m.pending[:m.rng.IntN(len(m.pending)+1)] {
		change(left)
	}
	for name, f := range left {
		data := f.tear(m.rng)
		g := &memFile{fs: next, data: data, synced: len(data)}
		next.names[name], next.durable[name] = g, g
	}
	return next
}

// tear returns the synced part of a file and some sectors of the rest.
func (f *memFile) tear(rng *rand.Rand) []byte {
	data := append([]byte(nil), f.data...)
	end := f.synced + rng.IntN(len(data)-f.synced+1)
	for i := f.synced; i < end; i += sector {
		if rng.IntN(4) == 0 {
			clear(data[i:min(i+sector, end)])
		}
	}
	return data[:end]
}

func (m *memFS) change(f func(map[string]*memFile)) {
	f(m.names)
	m.pending = append(m.pending, f)
}

func (m *memFS) MkdirAll(string) error { return m.step() }

func (m *memFS) List(dir string) ([]string, error) {
	var names []string
	for name := range m.names {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, m.step()
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	f, ok := m.names[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.data...), m.step()
}

func (m *memFS) Create(path string) (File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	f := &memFile{fs: m}
	m.change(func(names map[string]*memFile) { names[path] = f })
	return f, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	f := m.names[from]
	m.change(func(names map[string]*memFile) {
		delete(names, from)
		names[to] = f
	})
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.change(func(names map[string]*memFile) { delete(names, path) })
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable, m.pending = maps.Clone(m.names), nil
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(strings.NewReader("")), m.step() }

func (f *memFile) Write(data []byte) (int, error) {
	err := f.fs.step()
	if err != nil {
		// A part of it may be on its way to the disk.
		data = data[:f.fs.rng.IntN(len(data)+1)]
	}
	f.data = append(f.data, data...)
	return len(data), err
}

func (f *memFile) Sync() error {
	if err := f.fs.step(); err != nil {
		return err
	}
	if f.fs.failSync {
		f.fs.failSync = false
		return errSync
	}
	f.fs.syncs++
	f.synced = len(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
