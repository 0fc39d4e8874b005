package peerlink

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// stream is a yamux stream whose reads end as soon as its session begins to shut down. yamux ends
// them only when the session's receive loop has returned, which may wait for a write for seconds;
// until then a read neither blocks nor returns and takes a whole core.
type stream struct {
	*yamux.Stream

	closeOnce sync.Once
	closed    chan struct{}
	mu        sync.Mutex
	ended     bool // reads return at once, whatever deadline is set
}

func newStream(mux *yamux.Session, s *yamux.Stream) *stream {
	out := &stream{Stream: s, closed: make(chan struct{})}
	go func() {
		select {
		case <-mux.CloseChan():
			out.endReads()
		case <-out.closed:
		}
	}()
	return out
}

func (s *stream) endReads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	_ = s.Stream.SetReadDeadline(time.Unix(1, 0)) // long past
}

// SetReadDeadline sets the deadline of reads, unless they have ended.
func (s *stream) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	return s.Stream.SetReadDeadline(t)
}

// Close closes the stream.
func (s *stream) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.Stream.Close()
}
