package peerlink

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
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
			await(func() bool { _, unread := l.gate.unfinished(); return unread > 0 })
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

// TestWhatHasArrivedIsReadAfterAWriteFailed guards against an answer that is cut although it has arrived, because a
// write on its connection fails first.
func TestWhatHasArrivedIsReadAfterAWriteFailed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		x := &exchange{id: "forward", chunks: 3, chunkSize: 64 << 10}
		h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: historyAlive}, x)
		conn := h.serverConn().other
		time.Sleep(regionDelay)
		conn.freeze(true)
		time.Sleep(regionDelay)
		conn.failWrites()
		l := h.client.peers[fakeAddress].session
		_, _ = l.conn.Write(make([]byte, headerSize))
		if l.isUsable() {
			t.Error("requests may begin on a link whose writes fail")
		}
		synctest.Wait()
		conn.freeze(false)
		h.asked.Wait()
		h.stop()
		h.end()
		for _, f := range h.failures() {
			t.Error(f)
		}
	})
}

// TestLinkWhoseWritesFailEnds guards against requests that wait on a link that is of no use.
func TestLinkWhoseWritesFailEnds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: historyAlive})
		l := h.client.peers[fakeAddress].session
		h.serverConn().other.failWrites()
		began := time.Now()
		_, _ = l.conn.Write(make([]byte, headerSize))
		<-l.CloseChan()
		if took := time.Since(began); took > historyAlive {
			t.Errorf("the link ended after %s, more than the keep-alive interval of %s", took, historyAlive)
		}
		h.stop()
		h.end()
	})
}

// TestReadOfAClosedStreamEndsWithItsLink guards against a link, and a host, that never ends because a read began after
// its stream was closed.
func TestReadOfAClosedStreamEndsWithItsLink(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := startHistory(t, newFakeNet(regionDelay), Options{KeepAlive: historyAlive})
		s, err := h.client.peers[fakeAddress].session.openStream()
		if err != nil {
			t.Fatal(err)
		}
		_ = s.Close()
		h.serverConn().cutOff()
		if n, err := s.Read(make([]byte, 1)); err == nil {
			t.Errorf("%d bytes were read", n)
		}
		h.stop()
		h.end()
	})
}

// TestAnswerThatHasArrivedIsReadWhileWritesWait guards against an answer that is cut although it has arrived, because
// its reader can't tell a frozen host that it has read a part.
func TestAnswerThatHasArrivedIsReadWhileWritesWait(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		n := newFakeNet(regionDelay)
		n.buffer = 32 << 10
		x := &exchange{id: "answer", chunks: 1, chunkSize: maxStreamWindow * 3 / 4, readerPause: 4*regionDelay + historyAlive/4}
		blocked := &exchange{id: "blocked", body: maxStreamWindow / 4, start: 4 * regionDelay}
		h := startHistory(t, n, Options{KeepAlive: historyAlive}, x, blocked)
		time.Sleep(3 * regionDelay)
		h.serverConn().freeze(true)
		h.asked.Wait()
		h.serverConn().freeze(false)
		h.stop()
		h.end()
		if f := x.fault(); f != "" {
			t.Error(f)
		}
	})
}

// refusingHandler refuses a forward as not run when its handling is canceled.
type refusingHandler struct{ began chan struct{} }

func (h refusingHandler) HandleRequest(context.Context, *pb.Request) *pb.Response {
	return &pb.Response{}
}

func (h refusingHandler) HandleForward(ctx context.Context, _ *pb.Request, s port.IncomingStream) {
	close(h.began)
	<-ctx.Done()
	_ = s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_End{End: &pb.ForwardEnd{Outcome: string(failure.NotRun)}}})
}

// TestForwardIsRefusedBeforeTheLeaveTimeout guards against requests whose fate is unknown because their host's time to stop is over.
func TestForwardIsRefusedBeforeTheLeaveTimeout(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		refusing := refusingHandler{make(chan struct{})}
		h, err := newLinkHistory(newFakeNet(refusalTime/4), Options{KeepAlive: historyAlive, LeaveTimeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		h.server.handler = refusing
		f, _, err := h.client.Open(t.Context(), fakeAddress, &pb.Request{Body: &pb.Request_RoutedForward{RoutedForward: &pb.RoutedForward{}}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		<-refusing.began
		h.stop()
		if frame, err := f.Recv(); err != nil || frame.GetEnd().GetOutcome() != string(failure.NotRun) {
			t.Errorf("got %v, %v, want a refusal", frame, err)
		}
		_ = f.Close()
		h.end()
	})
}

// TestRefusedForwardStaysRefusedWhenItsLinkEnds guards against a request of unknown fate though its host has refused it.
func TestRefusedForwardStaysRefusedWhenItsLinkEnds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const leaveTimeout = time.Second
		h, err := newLinkHistory(newFakeNet(refusalTime/4), Options{KeepAlive: historyAlive, LeaveTimeout: leaveTimeout})
		if err != nil {
			t.Fatal(err)
		}
		if err := h.connect(); err != nil {
			t.Fatal(err)
		}
		h.stop()
		synctest.Wait()
		f, _, err := h.client.Open(t.Context(), fakeAddress, &pb.Request{Body: &pb.Request_RoutedForward{RoutedForward: &pb.RoutedForward{}}}, nil)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * leaveTimeout)
		if _, err := f.Recv(); failure.As(err, failure.Unknown).Outcome != failure.NotRun {
			t.Errorf("got %v, want a refusal", err)
		}
		_ = f.Close()
		h.end()
	})
}

// TestLinksAreLeftForLongerThanARoundTrip guards against links that are closed before a call that crosses the go-away message is answered.
func TestLinksAreLeftForLongerThanARoundTrip(t *testing.T) {
	o := Options{KeepAlive: time.Minute}
	o.setDefaults()
	if o.LeaveTimeout <= o.KeepAlive {
		t.Errorf("the leave timeout is %s, the bound of a round trip %s", o.LeaveTimeout, o.KeepAlive)
	}
}
