package serverpause

import (
	"maps"
	"time"
)

// maxEntries bounds the processes whose pauses are kept, far above the servers of a region. Beyond it,
// the pause that ends first is dropped, and of processes without one the first that said that it leaves.
const maxEntries = 16384

// Table holds the pauses of server processes by their keys (see package incarnation). It is not safe
// for concurrent use.
type Table struct{ pauses map[uint32]State }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{map[uint32]State{}} }

// Get returns the state of a process.
func (t *Table) Get(key uint32) State { return t.pauses[key] }

// Record records what an answer of a process says. random is in [0, 1). It returns the state, and whether
// the answer began a pause.
func (t *Table) Record(key uint32, d Demand, random float64, now time.Time) (p State, began bool) {
	before := t.pauses[key]
	p = before.After(d, random, now)
	if p == before {
		return p, false
	}
	t.set(key, p)
	return p, before.Left(now) == 0
}

// RecordLeaving records that an answer of a process says that it leaves. It reports whether that is new.
func (t *Table) RecordLeaving(key uint32, now time.Time) bool {
	p := t.pauses[key]
	if p.Leaving() {
		return false
	}
	p.LeavingSince = now
	t.set(key, p)
	return true
}

// Succeed passes a pause on to the process that replaces one under its ID; see State.Succeeded.
func (t *Table) Succeed(from, to uint32, heardAfter, now time.Time) {
	if p := t.pauses[from].Succeeded(heardAfter, now); p.Until.After(t.pauses[to].Until) {
		t.set(to, p)
	}
}

// Rekey moves the state of a process to another key.
func (t *Table) Rekey(from, to uint32) {
	if p, ok := t.pauses[from]; ok {
		delete(t.pauses, from)
		t.set(to, p)
	}
}

func (t *Table) set(key uint32, p State) {
	if _, ok := t.pauses[key]; !ok && len(t.pauses) >= maxEntries {
		t.dropFirstToEnd()
	}
	t.pauses[key] = p
}

func (t *Table) dropFirstToEnd() {
	first, found := uint32(0), false
	for key, p := range t.pauses {
		if !found || p.endsBefore(t.pauses[first]) {
			first, found = key, true
		}
	}
	delete(t.pauses, first)
}

func (p State) endsBefore(o State) bool {
	if !p.Until.Equal(o.Until) {
		return p.Until.Before(o.Until)
	}
	return p.LeavingSince.Before(o.LeavingSince)
}

// Len returns the number of processes whose pauses are kept.
func (t *Table) Len() int { return len(t.pauses) }

// Expire drops the states that have no effect any more.
func (t *Table) Expire(now time.Time) {
	maps.DeleteFunc(t.pauses, func(_ uint32, p State) bool { return p.expired(now) })
}
