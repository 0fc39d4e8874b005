package daemon

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/port"
)

// TestCallerConn checks what a handler learns of its caller: that it left although the end of its connection is unread,
// and for how long its request has been in the socket.
func TestCallerConn(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*net.TCPConn)
		left bool
	}{
		{"waits", func(*net.TCPConn) {}, false},
		{"sends more", func(c *net.TCPConn) { _, _ = c.Write([]byte("GET / HTTP/1.1\r\n")) }, false},
		{"closes", func(c *net.TCPConn) { _ = c.Close() }, true},
		{"sends more and closes", func(c *net.TCPConn) { _, _ = c.Write([]byte("GET /")); _ = c.CloseWrite() }, true},
		{"resets", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			handling, ended, left := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
			var unread time.Duration
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				conn := port.CallerConnOf(r.Context())
				close(handling)
				<-ended
				for deadline := time.Now().Add(5 * time.Second); conn.HasLeft() != c.left && time.Now().Before(deadline); {
					time.Sleep(time.Millisecond) // the end has to arrive
				}
				for conn.UnreadFor() == 0 {
					time.Sleep(time.Millisecond)
				}
				unread = conn.UnreadFor()
				left <- conn.HasLeft()
			})
			s, err := NewCallerServer("127.0.0.1:0", handler, nil)
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = s.Serve() }()
			defer s.finishWithin(time.Second)
			began := time.Now()
			conn, err := net.Dial("tcp", s.raw.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := conn.Write([]byte("DELETE /order HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
				t.Fatal(err)
			}
			<-handling
			c.end(conn.(*net.TCPConn))
			close(ended)
			if got := <-left; got != c.left {
				t.Errorf("left: %v", got)
			}
			if unread <= 0 || unread > time.Since(began)+10*time.Millisecond {
				t.Errorf("unread for %s, the test runs for %s", unread, time.Since(began))
			}
		})
	}
}

// TestSentWithin guards against an order that its caller gave up long ago and that counts as sent just now: the bytes
// came late on a connection that was there before, or on one that has carried another call.
func TestSentWithin(t *testing.T) {
	type bound struct {
		d     time.Duration
		known bool
	}
	bounds := make(chan bound, 1)
	s, err := NewCallerServer("127.0.0.1:0", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		d, known := port.CallerConnOf(r.Context()).SentWithin()
		bounds <- bound{d, known}
	}), nil)
	if err != nil {
		t.Fatal(err)
	}
	established := time.Now()
	conn, err := net.Dial("tcp", s.raw.Addr().String()) // it waits in the backlog, as while the process is frozen
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const late = 60 * time.Millisecond
	time.Sleep(late)
	send := func() bound {
		if _, err := conn.Write([]byte("DELETE /order HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		return <-bounds
	}
	go func() { _ = s.Serve() }()
	defer s.finishWithin(time.Second)
	const tick = 10 * time.Millisecond // of the kernel's clock
	if first := send(); !first.known || first.d < late-tick || first.d > time.Since(established)+tick {
		t.Errorf("the first call was sent within %s, known: %v", first.d, first.known)
	}
	if second := send(); second.known {
		t.Errorf("a second call on the connection counts as sent within %s", second.d)
	}
}
