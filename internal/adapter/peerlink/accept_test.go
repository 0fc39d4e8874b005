package peerlink

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/go-logr/logr"
)

// scarceListener fails to accept a number of times, and then accepts.
type scarceListener struct {
	net.Listener
	fail     atomic.Int32
	accepted chan struct{}
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.fail.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
	}
	return c, err
}

// TestServerSurvivesAShortageOfDescriptors guards against a host that ends because it could not accept one link.
func TestServerSurvivesAShortageOfDescriptors(t *testing.T) {
	s, err := NewServer("127.0.0.1:0", Options{}, nil, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ln := &scarceListener{Listener: s.ln, accepted: make(chan struct{})}
	ln.fail.Store(3)
	s.ln = ln
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-ln.accepted:
	case err := <-ended:
		t.Fatalf("the server ended: %v", err)
	}
	_ = conn.Close()
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
