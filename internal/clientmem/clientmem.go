// Package clientmem bounds what the callers of a process make it hold, as package intake decides.
package clientmem

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/core/intake"
	"github.com/sesamefork/sesamefork/internal/port"
)

// Bounds of the time for which a request for memory waits until evicted connections have been closed. Their callers have
// no part in that.
const (
	enterWait = 100 * time.Millisecond
	growWait  = time.Second
)

// Costs of a connection, in bytes.
const (
	// ConnectionCost is the cost of an open connection, its goroutine and its buffers, and of the first 4 KiB of a
	// request's head and body: 16 KiB of the process and minUnread of its socket.
	ConnectionCost = 16<<10 + minUnread
	// minUnread and MaxUnread bound what a connection's socket may hold unread.
	minUnread = 8 << 10
	MaxUnread = 128 << 10
	// unreadFraction is the part of what is left of the unread bytes that a new connection may have beyond minUnread.
	unreadFraction = 128
	// FreeBody is the part of a body that the cost of its connection covers.
	FreeBody = 4 << 10
)

// logInterval is the least time between two log lines about one part.
const logInterval = time.Second

// Options configures a Budget.
type Options struct {
	// Name names the connections in logs, such as "callers".
	Name   string
	Limits [intake.Parts]int64
	// MaxConnections is the maximum number of connections; 0 for no limit.
	MaxConnections int
	Clock          port.Clock
	Log            logr.Logger
}

// Budget is the memory that the connections of one address share. It is safe for concurrent use. A nil Budget is
// unlimited.
type Budget struct {
	o Options

	mu       sync.Mutex
	pool     *intake.Pool
	conns    map[*intake.Holder]*Conn
	released chan struct{} // closed and replaced when something was given back that others wait for
	waiting  int           // those that wait for it
	loggedAt [intake.Parts]time.Time

	largeHeads   int64 // refused
	largeHeadsAt time.Time
}

// New returns a budget without connections.
func New(o Options) *Budget {
	return &Budget{
		o: o, pool: intake.New(intake.Options{Limits: o.Limits, MaxHolders: o.MaxConnections}),
		conns: map[*intake.Holder]*Conn{}, released: make(chan struct{}),
	}
}

// Conn is a connection with what it holds. A nil Conn is unlimited.
type Conn struct {
	b     *Budget
	h     *intake.Holder
	evict func()
}

// Enter opens a connection. It returns false if there is no room for it, and calls evict, once at most, if the
// connection gives way to others; evict must not block.
func (b *Budget) Enter(evict func()) (*Conn, bool) {
	if b == nil {
		return nil, true
	}
	var h *intake.Holder
	granted := b.await(intake.Connections, enterWait, func(now time.Time) (d intake.Decision, victims []*intake.Holder) {
		h, d, victims = b.pool.Enter(ConnectionCost, now)
		return d, victims
	}, func() { b.conns[h] = &Conn{b, h, evict} })
	if !granted {
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.conns[h], true
}

// await asks until the answer is not to wait, or a time has passed. granted is called with the lock held.
func (b *Budget) await(part intake.Part, wait time.Duration, ask func(now time.Time) (intake.Decision, []*intake.Holder), granted func()) bool {
	var timeout <-chan time.Time
	for {
		b.mu.Lock()
		d, victims := ask(b.o.Clock.Now())
		if d == intake.Granted {
			granted()
			b.mu.Unlock()
			return true
		}
		b.log(part)
		released := b.released
		if d == intake.Wait {
			b.waiting++
		}
		var evictions []func()
		for _, v := range victims {
			if c := b.conns[v]; c != nil {
				evictions = append(evictions, c.evict)
			}
		}
		b.mu.Unlock()
		for _, evict := range evictions {
			evict()
		}
		if d == intake.Refused {
			return false
		}
		if timeout == nil {
			t := time.NewTimer(wait)
			defer t.Stop()
			timeout = t.C
		}
		timedOut := false
		select {
		case <-released:
		case <-timeout:
			timedOut = true
		}
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
		if timedOut {
			return false
		}
	}
}

// log reports that a part is spent. b.mu must be held.
func (b *Budget) log(part intake.Part) {
	now := b.o.Clock.Now()
	if now.Sub(b.loggedAt[part]) < logInterval {
		return
	}
	b.loggedAt[part] = now
	b.o.Log.Info("memory for callers spent", "address", b.o.Name, "part", part.Name(), "held_bytes", b.pool.Used(part), "limit_bytes", b.pool.Limit(part),
		"connections", b.pool.Holders(), "max_connections", b.o.MaxConnections, "evicted", b.pool.Evictions(part), "refused", b.pool.Refused(part))
}

// RecordLargeHead counts and logs a head that was refused because it is over a limit in bytes.
func (c *Conn) RecordLargeHead(limit int) {
	if c == nil {
		return
	}
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	b.largeHeads++
	if now := b.o.Clock.Now(); now.Sub(b.largeHeadsAt) >= logInterval {
		b.largeHeadsAt = now
		b.o.Log.Info("head over the limit refused", "address", b.o.Name, "limit_bytes", limit, "refused", b.largeHeads)
	}
}

// LargeHeads returns how many heads were refused because they were over the limit.
func (b *Budget) LargeHeads() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.largeHeads
}

// PartUsage is the use of one part.
type PartUsage struct {
	Limit   int64 `json:"limit_bytes"`
	Held    int64 `json:"held_bytes"`
	Peak    int64 `json:"peak_bytes"`
	Evicted int64 `json:"evicted"` // connections evicted for others
	Refused int64 `json:"refused"` // times that memory was refused
}

// Usage returns the use of each part, by its name.
func (b *Budget) Usage() map[string]PartUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]PartUsage{}
	for part := range intake.Parts {
		out[part.Name()] = PartUsage{b.pool.Limit(part), b.pool.Used(part), b.pool.Peak(part), b.pool.Evictions(part), b.pool.Refused(part)}
	}
	return out
}

// Grow asks for n more bytes of a part, and waits while other connections end for it. It returns false if there is no room.
func (c *Conn) Grow(part intake.Part, n int64) bool {
	if c == nil || n <= 0 {
		return true
	}
	return c.b.await(part, growWait, func(now time.Time) (intake.Decision, []*intake.Holder) { return c.b.pool.Grow(c.h, part, n, now) }, func() {})
}

// Shrink gives n bytes of a part back.
func (c *Conn) Shrink(part intake.Part, n int64) {
	if c == nil || n <= 0 {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.b.pool.Shrink(c.h, part, n)
	c.b.release()
}

// release wakes those that wait. b.mu must be held.
func (b *Budget) release() {
	if b.waiting == 0 {
		return
	}
	close(b.released)
	b.released = make(chan struct{})
}

// ReserveUnread records the number of bytes that the connection's socket may hold unread. It returns the number that those
// of further connections should be allowed.
func (c *Conn) ReserveUnread(n int64) (next int64) {
	if c == nil {
		return MaxUnread
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.b.pool.ReserveUnread(c.h, n-minUnread)
	return min(MaxUnread, minUnread+c.b.pool.NextUnread(unreadFraction))
}

// Linger records that the connection has been answered for the last time and waits until its caller has received that.
func (c *Conn) Linger() { c.record((*intake.Pool).Close) }

// Close gives back all that the connection has.
func (c *Conn) Close() {
	if c == nil {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	if c.b.conns[c.h] == nil {
		return
	}
	delete(c.b.conns, c.h)
	c.b.pool.Remove(c.h)
	c.b.release()
}

// Begin records the first bytes of a request.
func (c *Conn) Begin() { c.record((*intake.Pool).Begin) }

// Execute records that a request has been received whole. It reports false if the connection has been evicted, so
// that the request must not run.
func (c *Conn) Execute() bool {
	if c == nil {
		return true
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	return c.b.pool.Execute(c.h, c.b.o.Clock.Now())
}

// Finish records that an answer is complete.
func (c *Conn) Finish() { c.record((*intake.Pool).Finish) }

func (c *Conn) record(change func(*intake.Pool, *intake.Holder, time.Time)) {
	if c == nil {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	change(c.b.pool, c.h, c.b.o.Clock.Now())
}

// Received records n bytes of a request.
func (c *Conn) Received(n int) {
	if c == nil {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.b.pool.Received(c.h, int64(n), c.b.o.Clock.Now())
}

// IsEvicted reports whether the connection has been evicted.
func (c *Conn) IsEvicted() bool {
	if c == nil {
		return false
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	return c.h.IsEvicted()
}

type connKey struct{}

// WithConn returns ctx with the connection of a request.
func WithConn(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of the request that ctx belongs to; nil for none.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
