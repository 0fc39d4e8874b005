package journal

import (
	"io/fs"
	"path/filepath"
	"sort"
	"strings"
	"syscall"
	"time"
)

// memFS is an in-memory file system. It simulates a power loss that discards unsynced
// data, torn writes, and failing writes and syncs.
type memFS struct {
	synced      map[string][]byte // content that is kept after a crash
	live        map[string][]byte // content as written
	syncedNames map[string]bool   // directory entries that are kept after a crash

	failSync  bool
	failWrite error
	failRead  map[string]error // by name
	tornBytes int              // bytes of unsynced data that are kept after a crash
}

func newMemFS() *memFS {
	return &memFS{synced: map[string][]byte{}, live: map[string][]byte{}, syncedNames: map[string]bool{}}
}

// crash returns the state of the file system after a power loss.
func (m *memFS) crash() *memFS {
	out := newMemFS()
	for name := range m.syncedNames {
		data := append([]byte(nil), m.synced[name]...)
		if rest := m.live[name]; len(rest) > len(data) {
			data = append(data, rest[len(data):min(len(rest), len(data)+m.tornBytes)]...)
		}
		out.synced[name], out.live[name], out.syncedNames[name] = data, append([]byte(nil), data...), true
	}
	return out
}

type memFile struct {
	fs   *memFS
	name string
}

func (f *memFile) Write(p []byte) (int, error) {
	if f.fs.failWrite != nil {
		half := len(p) / 2
		f.fs.live[f.name] = append(f.fs.live[f.name], p[:half]...)
		return half, f.fs.failWrite
	}
	f.fs.live[f.name] = append(f.fs.live[f.name], p...)
	return len(p), nil
}

func (f *memFile) Sync() error {
	if f.fs.failSync {
		return syscall.EIO
	}
	f.fs.synced[f.name] = append([]byte(nil), f.fs.live[f.name]...)
	return nil
}

func (f *memFile) Close() error { return nil }

func (m *memFS) Create(name string) (File, error) {
	m.live[name] = nil
	return &memFile{m, name}, nil
}

func (m *memFS) OpenAppend(name string) (File, error) {
	if _, ok := m.live[name]; !ok {
		m.live[name] = nil
	}
	return &memFile{m, name}, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if err := m.failRead[name]; err != nil {
		return nil, err
	}
	if data, ok := m.live[name]; ok {
		return append([]byte(nil), data...), nil
	}
	return nil, fs.ErrNotExist
}

type memEntry struct{ name string }

func (e memEntry) Name() string               { return e.name }
func (e memEntry) IsDir() bool                { return false }
func (e memEntry) Type() fs.FileMode          { return 0 }
func (e memEntry) Info() (fs.FileInfo, error) { return nil, fs.ErrInvalid }
func (e memEntry) ModTime() time.Time         { return time.Time{} }

func (m *memFS) ReadDir(dir string) ([]fs.DirEntry, error) {
	var names []string
	for n := range m.live {
		if filepath.Dir(n) == filepath.Clean(dir) {
			names = append(names, filepath.Base(n))
		}
	}
	sort.Strings(names)
	var out []fs.DirEntry
	for _, n := range names {
		out = append(out, memEntry{n})
	}
	return out, nil
}

func (m *memFS) Truncate(name string, size int64) error {
	m.live[name] = m.live[name][:size]
	m.synced[name] = append([]byte(nil), m.live[name]...)
	return nil
}

func (m *memFS) Rename(from, to string) error {
	m.live[to], m.synced[to] = m.live[from], m.synced[from]
	delete(m.live, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	delete(m.live, name)
	return nil
}

func (m *memFS) MkdirAll(string) error { return nil }

// SyncDir makes the folder's directory entries durable.
func (m *memFS) SyncDir(dir string) error {
	for n := range m.syncedNames {
		if _, ok := m.live[n]; !ok {
			delete(m.syncedNames, n)
		}
	}
	for n := range m.live {
		if strings.HasPrefix(n, dir) {
			m.syncedNames[n] = true
		}
	}
	return nil
}
