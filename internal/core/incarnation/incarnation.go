// Package incarnation distinguishes successive processes of a backend server that run under
// one ID. A process is identified by its start: the time at which it began, in Unix ms by
// the server's own clock, or 0 if it was not reported.
//
// Invariants: state recorded for one start is never used for another, and a start that was
// replaced becomes current again only if its process is proved to run.
package incarnation

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Order is how a reported start relates to the current one.
type Order int

// Orders.
const (
	Same Order = iota
	Newer
	Older
)

// maxReplacedStarts bounds the replaced starts in a History: a server that restarts every
// few seconds replaces this many within the longest delay of an announcement.
const maxReplacedStarts = 64

// History holds the current start of a server and the starts that it replaced.
type History struct {
	Current  int64 // 0 if none is recorded
	replaced []int64
}

// Compare returns how a reported start relates to the current one. currentExpired reports
// that the announcements of the current start have expired. Only then does a lower start
// that was never recorded count as newer, because the server's clock may have been set
// back. A start of 0 (not reported) counts as the current one, and so does any
// start while none is recorded.
func (h *History) Compare(start int64, currentExpired bool) Order {
	switch {
	case start == h.Current, start == 0, h.Current == 0:
		return Same
	case slices.Contains(h.replaced, start):
		return Older
	case start > h.Current, currentExpired:
		return Newer
	}
	return Older
}

// Advance makes a start the current one. It ignores a start of 0.
func (h *History) Advance(start int64) {
	if start == 0 || start == h.Current {
		return
	}
	if h.Current != 0 {
		h.replaced = append(h.replaced, h.Current)
		if excess := len(h.replaced) - maxReplacedStarts; excess > 0 {
			h.replaced = slices.Clone(h.replaced[excess:])
		}
	}
	h.Current = start
	h.replaced = slices.DeleteFunc(h.replaced, func(s int64) bool { return s == start })
}

// Key returns the hash that identifies a server's start in messages between hosts. Four
// bytes per server keep the loads and hints of a region small. Two starts whose hashes
// collide share their loads, and a hint may then name the wrong server. For a start of 0,
// it is the hash of the ID alone.
func Key(id string, start int64) uint32 {
	if start != 0 {
		id += "\x00" + strconv.FormatInt(start, 10)
	}
	return uint32(xxhash.Sum64String(id))
}
