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
