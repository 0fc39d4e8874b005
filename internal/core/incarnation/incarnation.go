// Package incarnation tells the starts of a backend server apart that run under one ID. A
// start is the time at which the process began, in Unix ms by the server's own clock; 0
// when it was not told.
//
// Invariants: nothing that is known of one start is used for another, and a start that was
// replaced never comes back.
package incarnation

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Order is how a start that is heard of stands to the one that is known.
type Order int

// Orders.
const (
	Same Order = iota
	Newer
	Older
)

// pastKept bounds the replaced starts that are remembered: a server that restarts every
// few seconds replaces this many within the time for which an announcement can be held up.
const pastKept = 64

// History is the known start of a server with those that it replaced.
type History struct {
	Current int64
	past    []int64
}

// Compare tells how a start stands to the known one. silent says that the known one has
// not been heard for as long as its announcements hold: only then is a lower start that was
// never seen taken for a newer one, whose clock was set back. A start that is not told
// is taken for the known one.
func (h *History) Compare(start int64, silent bool) Order {
	switch {
	case start == h.Current, start == 0, h.Current == 0:
		return Same
	case slices.Contains(h.past, start):
		return Older
	case start > h.Current, silent:
		return Newer
	}
	return Older
}

// Advance makes a start the known one.
func (h *History) Advance(start int64) {
	if start == 0 || start == h.Current {
		return
	}
	if h.Current != 0 {
		h.past = append(h.past, h.Current)
		if over := len(h.past) - pastKept; over > 0 {
			h.past = slices.Clone(h.past[over:])
		}
	}
	h.Current = start
}

// Key returns the key of a server's start in messages between hosts. Four bytes each keep
// the loads and hints of a region small; two starts with one key share their figures, which
// makes a hint wrong. Without a start it is the key of the ID.
func Key(id string, start int64) uint32 {
	if start != 0 {
		id += "\x00" + strconv.FormatInt(start, 10)
	}
	return uint32(xxhash.Sum64String(id))
}
