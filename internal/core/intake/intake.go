// Package intake decides how much memory the callers of a process may make it hold, and which of them give theirs back
// when it is spent.
//
// A Pool has a budget for each Part of that memory. Each connection is a Holder. It is in one of these phases:
//
//	Idle       waits for a request
//	Receiving  has sent a part of a request
//	Executing  has sent a whole request, whose answer is not complete
//	Closing    has been answered for the last time, and receives the rest of the answer
//	Evicted    gives way to others, and holds what it held until it is removed
//
// A holder asks for what it needs before it takes it. If a budget is spent, holders that wait or whose request makes no
// progress are evicted, the one without progress for the longest time first. A holder that is executing is never evicted,
// as its request may have run.
//
// The sum of what is held never exceeds a budget.
package intake

import "time"

// Part is a part of the memory that callers make a process hold.
type Part int

// Parts.
const (
	// Connections are the costs of open connections and of the heads that they send.
	Connections Part = iota
	// Unread are the bytes that sockets may hold before the process reads them.
	Unread
	// Bodies are the bodies of requests, from their first byte until the answer is complete.
	Bodies
	// Parts is the number of parts.
	Parts
)

// Name returns the part's name in logs and metrics.
func (p Part) Name() string { return [Parts]string{"connections", "unread", "bodies"}[p] }

// Phase is what a holder does.
type Phase int

// Phases.
const (
	Idle Phase = iota
	Receiving
	Executing
	Closing
	Evicted
)

// Decision is the answer to a holder that asks for memory.
type Decision int

// Decisions.
const (
	Granted Decision = iota
	// Wait means that other holders have been evicted, and that the holder should ask again once one of them is removed.
	Wait
	// Refused means that nothing can be had now.
	Refused
)

const (
	// progressBytes is what a request must receive to count as making progress, so that a byte now and then does not.
	progressBytes = 1 << 10
	// stallTime is the time without progress from which a body may be evicted for another one.
	stallTime = 250 * time.Millisecond
	// keptWeight divides the time without a request on a connection that has carried one: callers reuse these.
	keptWeight = 4
	// shareFactor bounds what one holder may have of a part to shareFactor times what it leaves of it, so that there is
	// always room for smaller ones.
	shareFactor = 4
	// makeRoomShare is the part of the connections that are evicted at once for new ones, one in this many.
	makeRoomShare = 32
)

// Options configures a Pool.
type Options struct {
	// Limits are the budgets in bytes.
	Limits [Parts]int64
	// MaxHolders is the maximum number of connections; 0 for no limit.
	MaxHolders int
}

// Pool holds the budgets. It is not safe for concurrent use.
type Pool struct {
	o       Options
	used    [Parts]int64
	peak    [Parts]int64
	refused [Parts]int64
	evicted [Parts]int64
	holders map[*Holder]struct{}
}

// Holder is a connection with what it holds.
type Holder struct {
	held       [Parts]int64
	phase      Phase
	progressAt time.Time // when it last made progress, or its phase began
	received   int64     // bytes since then
	kept       bool      // has carried a request
}

// New returns an empty pool.
func New(o Options) *Pool { return &Pool{o: o, holders: map[*Holder]struct{}{}} }

// Used returns what is held of a part, in bytes.
func (p *Pool) Used(part Part) int64 { return p.used[part] }

// Peak returns the most that was held of a part at once, in bytes.
func (p *Pool) Peak(part Part) int64 { return p.peak[part] }

// Limit returns the budget of a part, in bytes.
func (p *Pool) Limit(part Part) int64 { return p.o.Limits[part] }

// Refused returns how often a part was refused.
func (p *Pool) Refused(part Part) int64 { return p.refused[part] }

// Evictions returns how many holders were evicted for a part.
func (p *Pool) Evictions(part Part) int64 { return p.evicted[part] }

// Holders returns the number of connections.
func (p *Pool) Holders() int { return len(p.holders) }

// Enter asks for a new connection that costs a number of bytes. With Wait, the connections of the
// returned holders must be closed.
func (p *Pool) Enter(cost int64, now time.Time) (*Holder, Decision, []*Holder) {
	h := &Holder{progressAt: now}
	full := p.o.MaxHolders > 0 && len(p.holders) >= p.o.MaxHolders
	if !full && p.used[Connections]+cost <= p.o.Limits[Connections] {
		p.holders[h] = struct{}{}
		p.add(h, Connections, cost)
		return h, Granted, nil
	}
	if p.evictedBytes(Connections) > 0 {
		return nil, Wait, nil
	}
	victims := p.makeRoom(now)
	if len(victims) == 0 {
		p.refused[Connections]++
		return nil, Refused, nil
	}
	return nil, Wait, victims
}

// makeRoom evicts the connection without progress for the longest time, and with it those that have stalled, up to a share
// of all, so that not each new connection has to wait for another one.
func (p *Pool) makeRoom(now time.Time) (out []*Holder) {
	for minStall := time.Duration(0); len(out) <= len(p.holders)/makeRoomShare; minStall = stallTime {
		v := p.longestStalled(nil, Connections, minStall, now)
		if v == nil {
			break
		}
		p.evict(v, Connections)
		out = append(out, v)
	}
	return out
}

// Grow asks for n more bytes of a part. With Wait, the connections of the returned holders must be closed; Refused evicts
// none.
func (p *Pool) Grow(h *Holder, part Part, n int64, now time.Time) (Decision, []*Holder) {
	if h.phase == Evicted {
		return Refused, nil
	}
	if p.fits(h, part, n) {
		p.add(h, part, n)
		return Granted, nil
	}
	freed := p.evictedBytes(part)
	if !p.fitsAfter(h, part, n, freed+p.stalledBytes(h, part, now)) {
		p.refused[part]++
		return Refused, nil
	}
	var victims []*Holder
	for !p.fitsAfter(h, part, n, freed) {
		v := p.longestStalled(h, part, stallTime, now)
		p.evict(v, part)
		victims = append(victims, v)
		freed += v.held[part]
	}
	return Wait, victims
}

// fits reports whether a holder may have n more bytes of a part.
func (p *Pool) fits(h *Holder, part Part, n int64) bool { return p.fitsAfter(h, part, n, 0) }

// fitsAfter is fits once others have given bytes back. A holder alone may have the whole part.
func (p *Pool) fitsAfter(h *Holder, part Part, n, freed int64) bool {
	used := p.used[part] - freed
	left := p.o.Limits[part] - used - n
	if left < 0 {
		return false
	}
	return part != Bodies || used == h.held[part] || h.held[part]+n <= shareFactor*left
}

// longestStalled returns the holder of a part that has gone without progress for the longest time, and for at least
// minStall; nil if there is none besides the one that asks.
func (p *Pool) longestStalled(asks *Holder, part Part, minStall time.Duration, now time.Time) (out *Holder) {
	longest := time.Duration(-1)
	for h := range p.holders {
		if s := h.stall(now); h != asks && h.mayBeEvicted(part) && s >= minStall && s > longest {
			out, longest = h, s
		}
	}
	return out
}

// stalledBytes returns what the holders of a part that have stalled hold of it, without the one that asks.
func (p *Pool) stalledBytes(asks *Holder, part Part, now time.Time) (sum int64) {
	for h := range p.holders {
		if h != asks && h.mayBeEvicted(part) && h.stall(now) >= stallTime {
			sum += h.held[part]
		}
	}
	return sum
}

// mayBeEvicted reports whether the eviction of a holder would give bytes of a part back.
func (h *Holder) mayBeEvicted(part Part) bool {
	return h.held[part] > 0 && h.phase != Executing && h.phase != Evicted
}

// stall returns for how long a holder has made no progress.
func (h *Holder) stall(now time.Time) time.Duration {
	d := now.Sub(h.progressAt)
	if h.phase == Idle && h.kept {
		d /= keptWeight
	}
	return d
}

func (p *Pool) evict(h *Holder, part Part) {
	h.phase = Evicted
	p.evicted[part]++
}

// evictedBytes returns what evicted holders still hold of a part.
func (p *Pool) evictedBytes(part Part) (sum int64) {
	for h := range p.holders {
		if h.phase == Evicted {
			sum += h.held[part]
		}
	}
	return sum
}

func (p *Pool) add(h *Holder, part Part, n int64) {
	h.held[part] += n
	p.used[part] += n
	p.peak[part] = max(p.peak[part], p.used[part])
}

// ReserveUnread gives a connection the n bytes that its socket may hold unread beyond what the connection costs, or what is
// left of them.
func (p *Pool) ReserveUnread(h *Holder, n int64) {
	p.add(h, Unread, max(0, min(n, p.o.Limits[Unread]-p.used[Unread])))
}

// NextUnread returns what the socket of the next connection should be allowed to hold unread beyond what the connection
// costs: a fraction of what is left, so that the more connections there are, the less each one may hold.
func (p *Pool) NextUnread(fraction int64) int64 {
	return (p.o.Limits[Unread] - p.used[Unread]) / fraction
}

// Shrink gives n bytes of a part back.
func (p *Pool) Shrink(h *Holder, part Part, n int64) {
	n = min(n, h.held[part])
	h.held[part] -= n
	p.used[part] -= n
}

// Remove gives back all that a holder has. The holder must not be used again.
func (p *Pool) Remove(h *Holder) {
	for part := range Parts {
		p.Shrink(h, part, h.held[part])
	}
	delete(p.holders, h)
}

// Begin records the first bytes of a request.
func (p *Pool) Begin(h *Holder, now time.Time) { p.enterPhase(h, Receiving, now) }

// Received records n bytes of a request.
func (p *Pool) Received(h *Holder, n int64, now time.Time) {
	if h.received += n; h.received >= progressBytes {
		h.received, h.progressAt = 0, now
	}
}

// Execute records that a request has been received whole. It reports false for an evicted holder, whose request must
// not run.
func (p *Pool) Execute(h *Holder, now time.Time) bool {
	p.enterPhase(h, Executing, now)
	return h.phase == Executing
}

// Close records that a holder has been answered for the last time.
func (p *Pool) Close(h *Holder, now time.Time) { p.enterPhase(h, Closing, now) }

// Finish records that an answer is complete.
func (p *Pool) Finish(h *Holder, now time.Time) {
	h.kept = true
	p.enterPhase(h, Idle, now)
}

func (p *Pool) enterPhase(h *Holder, phase Phase, now time.Time) {
	if h.phase != Evicted {
		h.phase, h.progressAt, h.received = phase, now, 0
	}
}

// IsEvicted reports whether a holder has been evicted.
func (h *Holder) IsEvicted() bool { return h.phase == Evicted }
