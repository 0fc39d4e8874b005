package peerlink

import (
	"testing"

	"github.com/hashicorp/yamux"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestReceivedFramesAreReadAfterTheLinkEnded guards against answers that are cut although this host has received them.
func TestReceivedFramesAreReadAfterTheLinkEnded(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(l *link, c *testConn, far *yamux.Session)
	}{
		{"the other end closes the link", func(_ *link, _ *testConn, far *yamux.Session) { _ = far.Close() }},
		{"the connection breaks within a frame", func(l *link, c *testConn, _ *yamux.Session) {
			c.set(func(c *testConn) { c.readLimit = headerSize / 2 })
			go func() { _, _ = l.Ping() }()
		}},
		{"the other end sends nothing any more", func(_ *link, c *testConn, _ *yamux.Session) {
			c.set(func(c *testConn) { c.silent = true })
		}},
		{"a write fails", func(l *link, c *testConn, _ *yamux.Session) {
			c.set(func(c *testConn) { c.failWrite = true })
		}},
		{"this end closes the link", func(l *link, _ *testConn, _ *yamux.Session) { _ = l.Close() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, conn, far := newBreakableLink(t)
			s, err := l.openStream()
			if err != nil {
				t.Fatal(err)
			}
			if err := WriteMessage(s, &pb.Request{}); err != nil {
				t.Fatal(err)
			}
			await(func() bool { _, unread := l.gate.left(); return unread > 0 })
			c.end(l, conn, far)
			<-l.CloseChan()
			if err := ReadMessage(s, new(pb.Response)); err != nil {
				t.Errorf("the frame that was received before the link ended: %v", err)
			}
			if err := ReadMessage(s, new(pb.Response)); err == nil {
				t.Error("a frame that was never sent was read")
			}
		})
	}
}
