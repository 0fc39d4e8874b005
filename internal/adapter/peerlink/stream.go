package peerlink

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// errLinkEnded is the error of reads on a link that is about to shut down.
var errLinkEnded = failure.New(failure.PeerUnreachable, failure.Unknown, "the link ended")

// readGate counts the reads of a link's streams, and ends them. What was received before the end can
// still be read after it.
type readGate struct {
	mu      sync.Mutex
	idle    *sync.Cond // signaled when no read is in progress
	streams map[*linkStream]bool
	reads   int // in progress
	ended   bool
	unread  int // bytes of streams' data that were received and not read
	// holds are the streams whose unread data counts toward a budget, by ID.
	holds map[uint32]*linkStream
}

// unfinished returns the number of streams that were not closed, and of bytes that were received and not read.
func (g *readGate) unfinished() (streams, unread int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.streams {
		if !s.closed {
			streams++
		}
	}
	return streams, g.unread
}

func newReadGate() *readGate {
	g := &readGate{streams: map[*linkStream]bool{}, holds: map[uint32]*linkStream{}}
	g.idle = sync.NewCond(&g.mu)
	return g
}

// passedDeadline makes a read return at once, with what is buffered if there is any.
var passedDeadline = time.Unix(1, 0)

// end makes all reads return, and waits until they have. Nothing that a read needs to return may wait
// for the caller: not the session's receive loop within a frame, and not its send loop.
func (g *readGate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.ended {
		g.ended = true
		for s := range g.streams {
			_ = s.Stream.SetReadDeadline(passedDeadline)
		}
		for _, s := range g.holds {
			g.releaseIfDone(s)
		}
	}
	for g.reads > 0 {
		g.idle.Wait()
	}
}

func (g *readGate) hasEnded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// enter begins a read of a stream. It reports false if reads have ended.
func (g *readGate) enter(s *linkStream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return false
	}
	g.reads++
	s.reads++
	g.streams[s] = true // a stream that was closed may have been forgotten
	return true
}

// countRead records that n bytes of a stream were read after the end.
func (g *readGate) countRead(s *linkStream, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.countReadLocked(s, n)
}

// countReadLocked is countRead with g.mu held.
func (g *readGate) countReadLocked(s *linkStream, n int) {
	g.unread -= n
	if s.held != nil {
		s.held.Shrink(int64(n))
	}
}

// leave ends a read that returned n bytes.
func (g *readGate) leave(s *linkStream, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.countReadLocked(s, n)
	s.reads--
	g.forgetIfDone(s)
	if g.reads--; g.reads == 0 {
		g.idle.Broadcast()
	}
}

// forgetIfDone removes a stream that was closed and has no read in progress. g.mu must be held.
func (g *readGate) forgetIfDone(s *linkStream) {
	if s.closed && s.reads == 0 {
		delete(g.streams, s)
	}
}

func (g *readGate) add(s *yamux.Stream) *linkStream {
	out := &linkStream{Stream: s, gate: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		_ = s.SetReadDeadline(passedDeadline)
	}
	g.streams[out] = true
	return out
}

// linkStream is a stream of a link.
type linkStream struct {
	*yamux.Stream
	gate *readGate
	// Guarded by gate.mu.
	reads  int // in progress; they go on after Close until the other end closes the stream
	closed bool
	unreadHold
	// untilUpdate is the number of bytes that are read until yamux lets the other end send as many again; 0 for
	// windowUpdate. Only reads use it, and a stream has one at a time.
	untilUpdate int
}

// windowUpdate is the number of bytes read after which yamux lets the other end send more.
const windowUpdate = maxStreamWindow / 2

// Read reads from the stream. Once the link has ended, it reads what was received before, and then
// returns errLinkEnded. If the budget did not allow a part of the data, it returns membudget.ErrSpent.
func (s *linkStream) Read(p []byte) (int, error) {
	if s.gate.isSpent(s) {
		return 0, membudget.ErrSpent
	}
	if s.gate.enter(s) {
		n, err := s.readSome(p)
		s.gate.leave(s, n)
		if err != nil && s.gate.isSpent(s) {
			return 0, membudget.ErrSpent
		}
		if err == nil || isNotAccepted(err) || !s.gate.hasEnded() {
			return n, err
		}
	}
	return s.readAfterEnd(p)
}

// readAfterEnd reads what was received before the link ended. It does not block: the stream's read
// deadline has passed.
func (s *linkStream) readAfterEnd(p []byte) (int, error) {
	n, err := s.readSome(p)
	s.gate.countRead(s, n)
	switch {
	case isNotAccepted(err):
		return 0, err
	case err != nil:
		return 0, errLinkEnded
	}
	return n, nil
}

// readSome reads from the stream, at most until the next update of the window: an update for more than half of the
// window would leave less than half to read, for which yamux sends none, so that the other end could send only half a
// window in a round trip. yamux may return bytes with the error of a message that lets the other end
// send more. Later reads then return only what has arrived.
func (s *linkStream) readSome(p []byte) (int, error) {
	if s.untilUpdate == 0 {
		s.untilUpdate = windowUpdate
	}
	n, err := s.Stream.Read(p[:min(len(p), s.untilUpdate)])
	s.untilUpdate -= n
	if n > 0 && err != nil {
		_ = s.SetReadDeadline(passedDeadline)
		return n, nil
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads, unless the link has ended.
func (s *linkStream) SetReadDeadline(t time.Time) error {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if s.gate.ended {
		return nil
	}
	return s.Stream.SetReadDeadline(t)
}

// Close closes the stream.
func (s *linkStream) Close() error {
	s.gate.mu.Lock()
	s.closed = true
	s.gate.forgetIfDone(s)
	s.gate.mu.Unlock()
	return s.Stream.Close()
}
