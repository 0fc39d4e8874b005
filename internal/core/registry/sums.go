package registry

import "github.com/sesamefork/sesamefork/internal/core/serverload"

// sums is a sum of work of which readers learn what changed. A region's busy servers are as
// many as its hosts have requests under way, and each of its entry hosts asks for the sum
// several times a second.
type sums struct {
	cells     map[uint32]*cell
	log       []sumChange
	version   uint64
	forgotten uint64 // version of the newest change that is not remembered any more
}

type cell struct {
	load    serverload.Load
	version uint64 // of the last change
}

type sumChange struct {
	version uint64
	key     uint32
}

// sumChangesKept bounds the log of changes.
const sumChangesKept = 1 << 15

func newSums() *sums { return &sums{cells: map[uint32]*cell{}} }

// replace puts one part of the sum in the place of what it was before.
func (t *sums) replace(before, after serverload.Loads) {
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
	if over := len(t.log) - sumChangesKept; over > 0 {
		t.forget(over)
	}
}

func (t *sums) change(key uint32, by serverload.Load) {
	c := t.cells[key]
	if c == nil {
		c = &cell{}
		t.cells[key] = c
	}
	t.version++
	c.load, c.version = c.load.Plus(by), t.version
	t.log = append(t.log, sumChange{t.version, key})
}

// forget drops the oldest changes. A key without work is kept until its last change is
// forgotten: readers must learn that it has none.
func (t *sums) forget(n int) {
	for _, e := range t.log[:n] {
		if c := t.cells[e.key]; c != nil && c.version == e.version && c.load == (serverload.Load{}) {
			delete(t.cells, e.key)
		}
	}
	t.forgotten = t.log[n-1].version
	t.log = t.log[n:]
}

// all returns the sum.
func (t *sums) all() serverload.Loads {
	out := make(serverload.Loads, len(t.cells))
	for key, c := range t.cells {
		if c.load != (serverload.Load{}) {
			out[key] = c.load
		}
	}
	return out
}

// since returns the sum at the keys that changed after a version, with zeros where there is
// no work any more. It reports whether all changes since then are remembered.
func (t *sums) since(version uint64) (changed serverload.Loads, complete bool) {
	if version < t.forgotten || version > t.version {
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
