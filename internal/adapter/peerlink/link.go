package peerlink

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

// link is a yamux session whose reads end before it shuts down. It sends its own keep-alive messages,
// as yamux would shut down on a missing answer without notice.
type link struct {
	*yamux.Session
	gate *readGate
}

// openSession opens a session over a connection.
type openSession func(conn io.ReadWriteCloser, config *yamux.Config) (*yamux.Session, error)

// newLink returns a link over a connection; open is yamux.Client or yamux.Server.
func newLink(conn net.Conn, config *yamux.Config, open openSession) (*link, error) {
	gate := newReadGate()
	mux, err := open(&gatedConn{conn, gate}, config)
	if err != nil {
		return nil, err
	}
	l := &link{mux, gate}
	go l.keepAlive(config.KeepAliveInterval)
	return l, nil
}

// keepAlive closes the link when the other end does not answer, until the link is closed.
func (l *link) keepAlive(interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-l.CloseChan():
			return
		case <-t.C:
		}
		if _, err := l.Ping(); err != nil {
			_ = l.Close()
			return
		}
	}
}

// Close ends the reads and closes the session.
func (l *link) Close() error {
	l.gate.end()
	return l.Session.Close()
}

// openStream opens a stream.
func (l *link) openStream() (*stream, error) {
	s, err := l.Session.OpenStream()
	if err != nil {
		return nil, err
	}
	return l.track(s), nil
}

// acceptStream waits for a stream of the other end.
func (l *link) acceptStream() (*stream, error) {
	s, err := l.Session.AcceptStream()
	if err != nil {
		return nil, err
	}
	return l.track(s), nil
}

func (l *link) track(s *yamux.Stream) *stream {
	out := &stream{s, l.gate}
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	l.gate.streams[out] = true
	return out
}
