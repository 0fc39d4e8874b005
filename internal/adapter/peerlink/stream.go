package peerlink

import (
	"time"

	"github.com/hashicorp/yamux"

	"github.com/sesamefork/sesamefork/internal/failure"
)

// errLinkEnded is the error of reads on a link that is about to shut down.
var errLinkEnded = failure.New(failure.PeerUnreachable, failure.Unknown, "the link ended")

// stream is a stream of a link.
type stream struct {
	*yamux.Stream
	gate *readGate
}

// Read reads from the stream, unless the link has ended.
func (s *stream) Read(p []byte) (int, error) {
	if !s.gate.enter() {
		return 0, errLinkEnded
	}
	defer s.gate.leave()
	return s.Stream.Read(p)
}

// SetReadDeadline sets the deadline of reads, unless the link has ended.
func (s *stream) SetReadDeadline(t time.Time) error {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if s.gate.ended {
		return nil
	}
	return s.Stream.SetReadDeadline(t)
}

// Close closes the stream.
func (s *stream) Close() error {
	s.gate.mu.Lock()
	delete(s.gate.streams, s)
	s.gate.mu.Unlock()
	return s.Stream.Close()
}
