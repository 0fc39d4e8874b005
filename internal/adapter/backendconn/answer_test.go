package backendconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	largeUpload = 8 << 20 // beyond what the socket buffers hold
	partBytes   = 4000
)

// TestAnswerThatWasResetIsNotWhole guards against a part of an answer without a length that looks whole, because the write
// of a long request met the reset of the connection.
func TestAnswerThatWasResetIsNotWhole(t *testing.T) {
	for _, c := range []struct {
		name, head string
		after      time.Duration // from the part to the reset
	}{
		{"at once", "HTTP/1.1 200 OK\r\nId: r\r\n\r\n", 0},
		{"after 20 ms", "HTTP/1.1 200 OK\r\nId: r\r\n\r\n", 20 * time.Millisecond},
		{"after 100 ms", "HTTP/1.1 200 OK\r\nId: r\r\n\r\n", 100 * time.Millisecond},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: r\r\n\r\n", 20 * time.Millisecond},
		{"event stream", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n\r\n", 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, func(_ *server, _ int, nc net.Conn, r *bufio.Reader) {
				_, _ = r.ReadString('\n')
				write(nc, "%s%s", c.head, strings.Repeat("x", partBytes))
				time.Sleep(c.after)
				_ = nc.(*net.TCPConn).SetLinger(0)
			})
			p := newPool(t)
			for range 10 {
				got, err := roundTrip(p, s, "r", make([]byte, largeUpload))
				var e *Error
				if !errors.As(err, &e) || !e.Sent {
					t.Fatalf("%d bytes were taken for a whole answer: %v", len(got), err)
				}
			}
		})
	}
}

// TestEarlyAnswerIsWhole guards against a whole answer without a length that is refused, because its server ends it while
// it still receives the request.
func TestEarlyAnswerIsWhole(t *testing.T) {
	s := serve(t, func(_ *server, _ int, nc net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		write(nc, "HTTP/1.1 200 OK\r\nId: r\r\n\r\n%s", strings.Repeat("x", partBytes))
		_ = nc.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	})
	p := newPool(t)
	for range 5 {
		if got, err := roundTrip(p, s, "r", make([]byte, largeUpload)); err != nil || len(got) != partBytes {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
	}
}

// TestHeadThatHTTPDoesNotAllowIsNoAnswer guards against faulty servers whose bytes reach callers as an answer: with a
// status that is none, with a line that is no field, or with a body framed otherwise than the server did.
func TestHeadThatHTTPDoesNotAllowIsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		ok           bool
	}{
		{"plain", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok", true},
		{"lines that end with LF only", "HTTP/1.1 200 OK\nId: r\nContent-Length: 2\n\nok", true},
		{"status 000", "HTTP/1.1 000 None\r\nId: r\r\nContent-Length: 2\r\n\r\nok", false},
		{"a blank before the colon of the length", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length : 2\r\n\r\nok", false},
		{"a blank before the colon of the framing", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nId: r\r\nX Odd: a\r\nContent-Length: 2\r\n\r\nok", false},
		{"a control byte in a name", "HTTP/1.1 200 OK\r\nId: r\r\nX\x01: a\r\nContent-Length: 2\r\n\r\nok", false},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"an interim answer", "HTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok", true},
		{"a blank in a name of an interim answer", "HTTP/1.1 102 Processing\r\nX Odd: b\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok", false},
		{"another protocol, which was not asked for", "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok", false},
		{"a late answer", "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok", true},
		{"a late answer with a blank in a name", "HTTP/1.1 200 OK\r\nId: late\r\nX Odd: b\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok", false},
		{"a trailer", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n", true},
		{"a blank in the name of a trailer field", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: b\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan struct{}, 1)
			s := serve(t, func(s *server, _ int, nc net.Conn, r *bufio.Reader) {
				s.read(r)
				write(nc, "%s", c.answer)
				_, _ = r.ReadByte()
				closed <- struct{}{}
			})
			p := newPool(t)
			got, err := roundTrip(p, s, "r", nil)
			if c.ok {
				if got != "ok" || err != nil {
					t.Errorf("%q, %v", got, err)
				}
				return
			}
			var e *Error
			if !errors.As(err, &e) || !e.Sent {
				t.Errorf("taken as the answer %q: %v", got, err)
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}
