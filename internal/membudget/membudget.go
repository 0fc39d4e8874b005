// Package membudget bounds the bytes that a process holds for answers that it has not passed on.
package membudget

import (
	"io"
	"sync/atomic"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// shareFactor bounds what one holder may have: shareFactor times what is left of the budget. A few large answers can
// use nearly all of it (two of 16 MiB fit into 36 MiB), and many that grow without end always leave some of it to others:
// a hundred leave 1/401, which is 90 KiB of 36 MiB.
const shareFactor = 4

// Budget is a number of bytes that many holders share. It is safe for concurrent use. A nil Budget is unlimited.
type Budget struct {
	limit               int64
	used, peak, refused atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the size of the budget, in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 { return b.used.Load() }

// Peak returns the largest number of bytes that was held at once.
func (b *Budget) Peak() int64 { return b.peak.Load() }

// Refused returns how often bytes were not granted.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// take adds n bytes to those held, if the budget allows a holder that has had bytes of it to have n more.
func (b *Budget) take(had, n int64) bool {
	for {
		used := b.used.Load()
		left := b.limit - used - n
		if left < 0 || had+n > shareFactor*(left+n) {
			b.refused.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			b.recordPeak(used + n)
			return true
		}
	}
}

func (b *Budget) recordPeak(used int64) {
	for {
		peak := b.peak.Load()
		if used <= peak || b.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// Hold is what one holder has. It is not safe for concurrent use.
type Hold struct {
	b     *Budget
	free  int64 // bytes that do not count toward the budget
	bytes int64
}

// NewHold returns an empty hold. Its first free bytes do not count toward the budget, so that small answers pass
// when it is spent.
func (b *Budget) NewHold(free int64) *Hold { return &Hold{b: b, free: free} }

// Bytes returns the number of bytes that are held.
func (h *Hold) Bytes() int64 { return h.bytes }

// Grow adds n bytes. It returns false and adds nothing if the budget does not allow them.
func (h *Hold) Grow(n int64) bool {
	counted := h.counted(h.bytes+n) - h.counted(h.bytes)
	if h.b != nil && counted > 0 && !h.b.take(h.counted(h.bytes), counted) {
		return false
	}
	h.bytes += n
	return true
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int64) {
	n = min(n, h.bytes)
	if h.b != nil {
		h.b.used.Add(h.counted(h.bytes-n) - h.counted(h.bytes))
	}
	h.bytes -= n
}

// Release gives all bytes back. The hold can be used again.
func (h *Hold) Release() { h.Shrink(h.bytes) }

// counted returns how many of a number of bytes count toward the budget.
func (h *Hold) counted(bytes int64) int64 { return max(0, bytes-h.free) }

// ErrSpent is the error of a Reader whose bytes the budget does not allow.
var ErrSpent = failure.New(failure.Truncated, failure.Unknown, "the answer does not fit into the host's memory for answers")

// Reader counts each byte that is read Factor times toward a hold, for a buffer that is copied as it grows.
type Reader struct {
	R      io.Reader
	Hold   *Hold
	Factor int64
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.R.Read(p)
	if n > 0 && !r.Hold.Grow(int64(n)*r.Factor) {
		return 0, ErrSpent
	}
	return n, err
}
