package peerlink

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

const (
	testKeepAlive = 500 * time.Millisecond
	testDeadline  = 20 * time.Second
)

// testConn is a connection whose writes may be held back or fail, and whose reads may break off.
type testConn struct {
	net.Conn
	mu        sync.Mutex
	silent    bool // writes are accepted and lost
	failWrite bool
	readLimit int // bytes after which reads fail; negative for none
	received  int // reads that returned bytes
}

var errTest = errors.New("broken connection")

func (c *testConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.failWrite:
		return 0, errTest
	case c.silent:
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *testConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received++
	if c.readLimit >= 0 && n > c.readLimit {
		_ = c.Conn.Close()
		return c.readLimit, errTest
	}
	return n, err
}

func (c *testConn) set(f func(c *testConn)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

// newBreakableLink returns a link, its connection, and the other end's session, which reads what arrives
// on its streams and sends one message on each.
func newBreakableLink(t *testing.T) (*link, *testConn, *yamux.Session) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{KeepAlive: testKeepAlive}
	o.setDefaults()
	server, err := yamux.Server(far, o.serverConfig())
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			s, err := server.AcceptStream()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, s) }()
			_ = WriteMessage(s, &pb.Response{From: "far"})
		}
	}()
	conn := &testConn{Conn: near, readLimit: -1}
	l, err := newLink(conn, o.yamuxConfig(), o.KeepAlive, yamux.Client)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close(); _ = server.Close() })
	return l, conn, server
}

// TestReadsEndBeforeALinkShutsDown guards against reads that spin, or never return, whatever ends their link.
func TestReadsEndBeforeALinkShutsDown(t *testing.T) {
	cases := []struct {
		name string
		end  func(l *link, s *linkStream, c *testConn, far *yamux.Session)
	}{
		{"the link is closed", func(l *link, _ *linkStream, _ *testConn, _ *yamux.Session) { _ = l.Close() }},
		{"the other end closes the connection", func(_ *link, _ *linkStream, _ *testConn, far *yamux.Session) { _ = far.Close() }},
		{"the other end sends nothing any more", func(_ *link, _ *linkStream, c *testConn, _ *yamux.Session) {
			c.set(func(c *testConn) { c.silent = true })
		}},
		{"a write fails", func(l *link, _ *linkStream, c *testConn, _ *yamux.Session) {
			c.set(func(c *testConn) { c.failWrite = true })
		}},
		{"the connection breaks within a frame", func(_ *link, s *linkStream, c *testConn, _ *yamux.Session) {
			c.set(func(c *testConn) { c.readLimit = headerSize / 2 })
		}},
		{"its stream was closed during the read", func(l *link, s *linkStream, _ *testConn, _ *yamux.Session) {
			_ = s.Close()
			_ = l.Close()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, conn, far := newBreakableLink(t)
			s, err := l.openStream()
			if err != nil {
				t.Fatal(err)
			}
			if err := WriteMessage(s, &pb.Request{}); err != nil {
				t.Fatal(err)
			}
			if err := ReadMessage(s, new(pb.Response)); err != nil {
				t.Fatal(err)
			}
			returned := make(chan error)
			go func() { returned <- ReadMessage(s, new(pb.Response)) }()
			await(func() bool { return readsOf(l) > 0 })
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c.end(l, s, conn, far)
				<-l.CloseChan()
				if n := readsOf(l); n > 0 {
					t.Errorf("%d reads are in progress at the shutdown", n)
				}
			}()
			for _, ch := range []<-chan struct{}{errorReturned(t, returned), ended} {
				select {
				case <-ch:
				case <-time.After(testDeadline):
					t.Fatalf("the read or the link has not ended after %s", testDeadline)
				}
			}
		})
	}
}

// await waits until cond holds.
func await(cond func() bool) {
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !cond() {
		<-tick.C
	}
}

func readsOf(l *link) int {
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	return l.gate.reads
}

func errorReturned(t *testing.T, returned <-chan error) <-chan struct{} {
	out := make(chan struct{})
	go func() {
		defer close(out)
		if err := <-returned; err == nil {
			t.Error("the read returned a message")
		}
	}()
	return out
}

// TestIdleLinkStaysOpen guards against a link that takes the pause between messages for silence.
func TestIdleLinkStaysOpen(t *testing.T) {
	const answers = 4 // to keep-alive messages
	l, conn, _ := newBreakableLink(t)
	await(func() bool {
		if l.IsClosed() {
			t.Fatal("a link whose other end answers was closed")
		}
		received := 0
		conn.set(func(c *testConn) { received = c.received })
		return received >= answers
	})
	s, err := l.openStream()
	if err != nil {
		t.Fatal(err)
	}
	if err := WriteMessage(s, &pb.Request{}); err != nil {
		t.Fatal(err)
	}
	if err := ReadMessage(s, new(pb.Response)); err != nil {
		t.Error(err)
	}
}
