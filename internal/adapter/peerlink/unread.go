package peerlink

import "github.com/sesamefork/sesamefork/internal/membudget"

// freeUnreadBytes is the part of a forward's unread data that does not count toward the budget: streams of small
// events whose callers keep up pass when large answers have spent it.
const freeUnreadBytes = 16 << 10

// unreadHold counts the unread data of a forward's answer toward the budget for answers. readGate.mu guards it.
type unreadHold struct {
	held        *membudget.Hold // nil for a stream that does not count
	spent       bool            // the budget did not allow a frame, which was left out
	abandoned   bool            // nothing more is read
	remoteEnded bool            // the other end has closed the stream
}

// count makes the unread data of a stream count toward a budget. abandon must follow.
func (g *readGate) count(s *linkStream, b *membudget.Budget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.held = b.NewHold(freeUnreadBytes)
	g.holds[s.StreamID()] = s
}

// received records that n bytes of a stream's data were received. It reports false if they must be left out: the budget
// does not allow them, which ends the stream's reads, or nobody reads them.
func (g *readGate) received(id uint32, n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.holds[id]; s != nil {
		if s.spent || s.abandoned {
			return false
		}
		if !s.held.Grow(int64(n)) {
			s.spent = true
			_ = s.Stream.SetReadDeadline(passedDeadline)
			return false
		}
	}
	g.unread += n
	return true
}

// isSpent reports whether the budget did not allow a part of the stream's data.
func (g *readGate) isSpent(s *linkStream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.spent
}

// recordRemoteEnd records that the other end has closed a stream.
func (g *readGate) recordRemoteEnd(id uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.holds[id]; s != nil {
		s.remoteEnded = true
		g.releaseIfDone(s)
	}
}

// abandon records that nothing more of a stream is read.
func (g *readGate) abandon(s *linkStream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s.abandoned = true
	g.releaseIfDone(s)
}

// releaseIfDone gives back what an abandoned stream holds once yamux has dropped it, which is when both ends have closed
// it or the link has ended. g.mu must be held.
func (g *readGate) releaseIfDone(s *linkStream) {
	if s.held != nil && s.abandoned && (s.remoteEnded || g.ended) {
		s.held.Release()
		delete(g.holds, s.StreamID())
	}
}
