package peerlink

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// stuckConn is a connection whose reads do not return when it is closed, until they are released.
type stuckConn struct {
	net.Conn
	released chan struct{}
}

func (c *stuckConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		<-c.released
	}
	return n, err
}

// TestReadsEndWhileASessionShutsDown guards against reads that spin until their session has closed.
func TestReadsEndWhileASessionShutsDown(t *testing.T) {
	const deadline = 10 * time.Second
	near, far := net.Pipe()
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	o := Options{}
	o.setDefaults()
	server, err := yamux.Server(far, o.serverConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	go func() {
		if stream, err := server.AcceptStream(); err == nil {
			_ = ReadMessage(stream, new(pb.Request))
		}
	}()
	mux, err := yamux.Client(&stuckConn{near, released}, o.yamuxConfig())
	if err != nil {
		t.Fatal(err)
	}
	s := newSession(mux)
	answer, _, err := s.send(&pb.Request{})
	if err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	go func() { defer close(closed); _ = mux.Close() }()
	select {
	case <-answer:
	case <-time.After(deadline):
		t.Errorf("the read has not returned %s after its session began to close", deadline)
	}
	select {
	case <-closed:
		t.Error("the session has closed, so that nothing was tested")
	default:
	}
	release()
	<-closed
}
