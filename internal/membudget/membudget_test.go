package membudget

import (
	"sync"
	"testing"
)

// TestBudgetIsShared guards against large answers that do not fit beside each other, and against endless ones that
// leave nothing to others.
func TestBudgetIsShared(t *testing.T) {
	const limit, step, answer = 36 << 20, 64 << 10, 16 << 20
	for _, c := range []struct {
		name           string
		holders        int
		each, room     int64 // what each holder gets at least, and what a further one gets then
		refusedAtLeast int64
	}{
		{"one answer", 1, answer, answer, 0},
		{"two answers", 2, answer, 3 << 20, 0},
		{"a hundred endless answers", 100, 256 << 10, 64 << 10, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(limit)
			fill := func(h *Hold) (n int64) {
				for n < answer && h.Grow(step) {
					n += step
				}
				return n
			}
			var holds []*Hold
			for range c.holders {
				holds = append(holds, b.NewHold(0))
			}
			got := make([]int64, c.holders)
			for range answer / step { // all grow side by side
				for i, h := range holds {
					if h.Grow(step) {
						got[i] += step
					}
				}
			}
			for i, n := range got {
				if n < c.each {
					t.Errorf("holder %d got %d bytes, want %d", i, n, c.each)
				}
			}
			if n := fill(b.NewHold(0)); n < c.room {
				t.Errorf("a further holder got %d bytes, want %d", n, c.room)
			}
			if b.Used() > limit || b.Refused() < c.refusedAtLeast {
				t.Errorf("%d bytes of %d held, %d refused", b.Used(), limit, b.Refused())
			}
		})
	}
}

// TestHoldsGiveBack guards against bytes that stay counted, and against a budget that is exceeded by holders that grow
// at once.
func TestHoldsGiveBack(t *testing.T) {
	b := New(1 << 20)
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			h := b.NewHold(100)
			for range 1000 {
				for h.Grow(4096) {
				}
				h.Shrink(50)
				h.Release()
			}
		})
	}
	wg.Wait()
	if b.Used() != 0 || b.Peak() > b.Limit() || b.Peak() == 0 {
		t.Errorf("%d bytes held at the end, %d at once", b.Used(), b.Peak())
	}
	full := b.NewHold(0)
	for full.Grow(1024) {
	}
	if h := b.NewHold(100); !h.Grow(100) || h.Grow(1<<20) {
		t.Error("the free bytes of a hold were refused, or bytes beyond the budget granted")
	}
}
