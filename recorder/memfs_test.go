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
	errCrash = errors.New("simulated crash")
	errSync  = errors.New("input/output error")
)

// sectorBytes is the size of a sector, which the disk writes atomically.
const sectorBytes = 32

// memFS is an FS in memory. Only a part of the unsynced data survives a crash: any
// sectors of the unsynced end of a file, and any number of the oldest unsynced
// changes of names.
type memFS struct {
	rng *rand.Rand
	// visible holds the files as the process sees them, durable those that are
	// certain to survive a crash.
	visible         map[string]*memFile
	durable         map[string]*memFile
	unsyncedChanges []func(map[string]*memFile)
	// crashIn is the number of operations until the crash; 0 means that there is
	// none.
	crashIn int
	crashed bool
	// failNextSync makes the next sync of a file fail.
	failNextSync bool
	syncs        int
}

type memFile struct {
	fs          *memFS
	data        []byte
	syncedBytes int
}

var _ FS = (*memFS)(nil)

func newMemFS(seed uint64) *memFS {
	return &memFS{rng: rand.New(rand.NewPCG(seed, 1)), visible: map[string]*memFile{}, durable: map[string]*memFile{}}
}

// countOperation counts one operation and returns errCrash from the crash on.
func (m *memFS) countOperation() error {
	if m.crashIn > 0 {
		m.crashIn--
		m.crashed = m.crashed || m.crashIn == 0
	}
	if m.crashed {
		return errCrash
	}
	return nil
}

// afterCrash returns the file system as a crash leaves it.
func (m *memFS) afterCrash() *memFS {
	next := newMemFS(m.rng.Uint64())
	left := maps.Clone(m.durable)
	for _, change := range m.unsyncedChanges[:m.rng.IntN(len(m.unsyncedChanges)+1)] {
		change(left)
	}
	for name, f := range left {
		data := f.tornData(m.rng)
		g := &memFile{fs: next, data: data, syncedBytes: len(data)}
		next.visible[name], next.durable[name] = g, g
	}
	return next
}

// tornData returns the synced part of a file and some sectors of the rest, with
// missing sectors zeroed.
func (f *memFile) tornData(rng *rand.Rand) []byte {
	data := append([]byte(nil), f.data...)
	end := f.syncedBytes + rng.IntN(len(data)-f.syncedBytes+1)
	for i := f.syncedBytes; i < end; i += sectorBytes {
		if rng.IntN(4) == 0 {
			clear(data[i:min(i+sectorBytes, end)])
		}
	}
	return data[:end]
}

func (m *memFS) changeNames(f func(map[string]*memFile)) {
	f(m.visible)
	m.unsyncedChanges = append(m.unsyncedChanges, f)
}

func (m *memFS) MkdirAll(string) error { return m.countOperation() }

func (m *memFS) List(dir string) ([]string, error) {
	var names []string
	for name := range m.visible {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, m.countOperation()
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	f, ok := m.visible[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return append([]byte(nil), f.data...), m.countOperation()
}

func (m *memFS) Create(path string) (File, error) {
	if err := m.countOperation(); err != nil {
		return nil, err
	}
	f := &memFile{fs: m}
	m.changeNames(func(names map[string]*memFile) { names[path] = f })
	return f, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	f := m.visible[from]
	m.changeNames(func(names map[string]*memFile) {
		delete(names, from)
		names[to] = f
	})
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.changeNames(func(names map[string]*memFile) { delete(names, path) })
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.countOperation(); err != nil {
		return err
	}
	m.durable, m.unsyncedChanges = maps.Clone(m.visible), nil
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) {
	return io.NopCloser(strings.NewReader("")), m.countOperation()
}

func (f *memFile) Write(data []byte) (int, error) {
	err := f.fs.countOperation()
	if err != nil {
		// A crash during the write may leave a part of the data.
		data = data[:f.fs.rng.IntN(len(data)+1)]
	}
	f.data = append(f.data, data...)
	return len(data), err
}

func (f *memFile) Sync() error {
	if err := f.fs.countOperation(); err != nil {
		return err
	}
	if f.fs.failNextSync {
		f.fs.failNextSync = false
		return errSync
	}
	f.fs.syncs++
	f.syncedBytes = len(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
