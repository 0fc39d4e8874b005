package serverlimit

import (
	"maps"
	"time"
)

// renewalInterval is the shortest time between two revisions of an unchanged limit. Each revision is
// sent to all hosts of the region.
const renewalInterval = time.Second

// Table holds the limits of server processes by their keys (see package incarnation). It is not safe
// for concurrent use.
type Table struct {
	entries map[uint32]*entry
	version uint64 // raised by each change
}

type entry struct {
	Limit
	changedAt      time.Time
	changedVersion uint64
	observed       bool // the last change was observed here
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[uint32]*entry{}} }

// Get returns the limit of a process.
func (t *Table) Get(key uint32) Limit {
	if e := t.entries[key]; e != nil {
		return e.Limit
	}
	return Limit{}
}

// ChangedAt returns when the limit of a process last changed or was renewed; zero for never.
func (t *Table) ChangedAt(key uint32) time.Time {
	if e := t.entries[key]; e != nil {
		return e.changedAt
	}
	return time.Time{}
}

// Observe records what an answer of a process says; see Limit.after. It reports whether the limit has
// another rate than before.
func (t *Table) Observe(key uint32, a Advertisement, known uint64, withdraws bool, now time.Time) (changed bool) {
	before := t.Get(key)
	next := before.after(a, known, withdraws)
	renewed := next.PerSecond == before.PerSecond
	if next == before || (renewed && now.Sub(t.ChangedAt(key)) < renewalInterval) {
		return false
	}
	t.set(key, next, now, true)
	return !renewed
}

// Merge records the limit that another host knows. It reports whether the limit has another rate than
// before.
func (t *Table) Merge(key uint32, l Limit, now time.Time) (changed bool) {
	before := t.Get(key)
	next := Merge(before, l)
	if next != before {
		t.set(key, next, now, false)
	}
	return next.PerSecond != before.PerSecond
}

func (t *Table) set(key uint32, l Limit, now time.Time, observed bool) {
	t.version++
	t.entries[key] = &entry{l, now, t.version, observed}
}

// Rekey moves the limit of a process to another key.
func (t *Table) Rekey(from, to uint32) {
	if e := t.entries[from]; e != nil {
		delete(t.entries, from)
		t.Merge(to, e.Limit, e.changedAt)
	}
}

// Len returns the number of processes whose limits are kept.
func (t *Table) Len() int { return len(t.entries) }

// retention is how long the limit of an unknown process is kept: a limit may arrive before the
// announcement of its server.
const retention = time.Minute

// Expire drops the limits of processes that are not known any more.
func (t *Table) Expire(known func(key uint32) bool, now time.Time) {
	maps.DeleteFunc(t.entries, func(key uint32, e *entry) bool { return now.Sub(e.changedAt) > retention && !known(key) })
}
