package registry

import "github.com/sesamefork/sesamefork/internal/core/serverload"

// versionedLoads is a sum of loads with a version, from which readers get the changes since the
// version that they have. Sending only changes keeps the cost low: a region has as many busy
// servers as its hosts have requests in flight, and each of its entry hosts reads the sum several
// times a second.
type versionedLoads struct {
	cells          map[uint32]*versionedLoad
	log            []loadChange
	version        uint64
	trimmedVersion uint64 // version of the newest change dropped from log
}

type versionedLoad struct {
	load    serverload.Load
	version uint64 // of the last change
}

type loadChange struct {
	version uint64
	key     uint32
}

// maxLoadChanges bounds the change log of a versionedLoads, in entries.
const maxLoadChanges = 1 << 15

func newVersionedLoads() *versionedLoads { return &versionedLoads{cells: map[uint32]*versionedLoad{}} }

// replace replaces one part of the sum: before is the part as it was added last.
func (t *versionedLoads) replace(before, after serverload.Loads) {
	for key, load := range after {
		if load != before[key] {
			t.change(key, load.Minus(before[key]))
		}
	}
	for key, load := range before {
		if _, ok := after[key]; !ok {
			t.change(key, serverload.Load{}.Minus(load))
		}
	}
	if over := len(t.log) - maxLoadChanges; over > 0 {
		t.trim(over)
	}
}

func (t *versionedLoads) change(key uint32, by serverload.Load) {
	c := t.cells[key]
	if c == nil {
		c = &versionedLoad{}
		t.cells[key] = c
	}
	t.version++
	c.load, c.version = c.load.Plus(by), t.version
	t.log = append(t.log, loadChange{t.version, key})
}

// trim drops the n oldest changes. A key with a zero load is kept until its last change is
// dropped, so that since can report the zero.
func (t *versionedLoads) trim(n int) {
	for _, e := range t.log[:n] {
		if c := t.cells[e.key]; c != nil && c.version == e.version && c.load == (serverload.Load{}) {
			delete(t.cells, e.key)
		}
	}
	t.trimmedVersion = t.log[n-1].version
	t.log = t.log[n:]
}

// all returns the sum, without keys whose load is zero.
func (t *versionedLoads) all() serverload.Loads {
	out := make(serverload.Loads, len(t.cells))
	for key, c := range t.cells {
		if c.load != (serverload.Load{}) {
			out[key] = c.load
		}
	}
	return out
}

// since returns the sum at the keys that changed after a version, zero where no work remains. It
// reports whether the log still holds all changes since that version.
func (t *versionedLoads) since(version uint64) (changed serverload.Loads, complete bool) {
	if version < t.trimmedVersion || version > t.version {
		return nil, false
	}
	changed = serverload.Loads{}
	for i := len(t.log) - 1; i >= 0 && t.log[i].version > version; i-- {
		if e := t.log[i]; t.cells[e.key].version == e.version {
			changed[e.key] = t.cells[e.key].load
		}
	}
	return changed, true
}
