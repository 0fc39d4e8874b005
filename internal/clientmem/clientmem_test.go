package clientmem

import (
	"sync"
	"testing"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/core/intake"
	"github.com/sesamefork/sesamefork/internal/port"
)

func newBudget(connections int) *Budget {
	return New(Options{
		Name: "test", Limits: [intake.Parts]int64{int64(connections) * ConnectionCost, 1 << 20, 1 << 20}, Clock: port.SystemClock{}, Log: logr.Discard(),
	})
}

// TestEvictedConnectionsMakeRoom checks with many callers at once that each gets in once another one has been closed, that the
// budget holds, and that nothing is held at the end.
func TestEvictedConnectionsMakeRoom(t *testing.T) {
	const room, callers = 8, 64
	b := newBudget(room)
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			ended := make(chan struct{})
			var c *Conn
			for ok := false; !ok; {
				c, ok = b.Enter(sync.OnceFunc(func() { close(ended) }))
			}
			c.Begin()
			if u := b.Usage()["connections"]; u.Held > u.Limit {
				t.Errorf("%d of %d are held", u.Held, u.Limit)
			}
			all.Go(func() { <-ended; c.Close() })
		})
	}
	entered := make(chan struct{})
	go func() { defer close(entered); all.Wait() }()
	for n := 0; ; n++ { // evicts the last ones
		c, ok := b.Enter(func() {})
		if ok {
			c.Close()
		}
		select {
		case <-entered:
			if held := b.Usage()["connections"].Held; held != 0 {
				t.Errorf("%d bytes are held at the end", held)
			}
			return
		default:
		}
		b.evictOne()
	}
}

// evictOne evicts a connection as if another one needed its place.
func (b *Budget) evictOne() {
	b.mu.Lock()
	var evict func()
	for _, c := range b.conns {
		evict = c.evict
		break
	}
	b.mu.Unlock()
	if evict != nil {
		evict()
	}
}

// TestNilConnIsUnlimited checks that code without a budget needs no checks.
func TestNilConnIsUnlimited(t *testing.T) {
	var b *Budget
	c, ok := b.Enter(nil)
	if !ok || !c.Grow(intake.Bodies, 1<<40) || !c.Execute() || c.IsEvicted() || c.ReserveUnread(1) != MaxUnread {
		t.Error("a connection without a budget is limited")
	}
	c.Begin()
	c.Received(1)
	c.Finish()
	c.Linger()
	c.Shrink(intake.Bodies, 1)
	c.Close()
}
