package peerlink

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// linkStream is a yamux stream whose reads end soon after its session begins to shut down. yamux ends
// them only when the session's receive loop has returned, which may wait for a write for seconds;
// until then a read spins. On a single processor without preemption, a spinning read still keeps the
// goroutine that ends it from running.
type linkStream struct {
	*yamux.Stream

	closeOnce sync.Once
	closed    chan struct{}
	mu        sync.Mutex
	ended     bool // reads return at once, whatever deadline is set
}

func newLinkStream(mux *yamux.Session, s *yamux.Stream) *linkStream {
	out := &linkStream{Stream: s, closed: make(chan struct{})}
	go func() {
		select {
		case <-mux.CloseChan():
			out.endReads()
		case <-out.closed:
		}
	}()
	return out
}

func (s *linkStream) endReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.Stream.SetReadDeadline(time.Unix(1, 0)) // long past
}

// SetReadDeadline sets the deadline of reads, unless they have ended.
func (s *linkStream) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	return s.Stream.SetReadDeadline(t)
}

// Close closes the stream.
func (s *linkStream) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.Stream.Close()
}
