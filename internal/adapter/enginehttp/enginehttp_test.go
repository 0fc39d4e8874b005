package enginehttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/port"
)

// TestDemandsOfAnAnswerAreRead guards against a server's Retry-After or leave that no one reads.
func TestDemandsOfAnAnswerAreRead(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "1.5")
		w.Header().Set(HeaderLeaving, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer s.Close()
	c := New()
	defer c.Close()
	a, _, err := c.Do(context.Background(), port.BackendCall{Address: s.Listener.Addr().String(), Method: http.MethodPost, URI: "/"})
	if err != nil {
		t.Fatal(err)
	}
	_ = a.Body.Close()
	if a.Pause != 1500*time.Millisecond || !a.Leaving || http.Header(a.Header).Get(HeaderLeaving) != "" {
		t.Errorf("pause %s, leaving %v, header %v", a.Pause, a.Leaving, a.Header)
	}
}

// TestCallIsNotSentOnceItMayNot guards against a call that waited for its connection and is sent in a pause.
func TestCallIsNotSentOnceItMayNot(t *testing.T) {
	requests := 0
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests++ }))
	defer s.Close()
	c := New()
	defer c.Close()
	_, sent, err := c.Do(context.Background(), port.BackendCall{
		Address: s.Listener.Addr().String(), Method: http.MethodPost, URI: "/", MaySend: func() bool { return false },
	})
	if sent || !errors.Is(err, port.ErrWithheld) {
		t.Errorf("sent %v, ended with %v", sent, err)
	}
	s.Close()
	if requests != 0 {
		t.Errorf("the server got %d requests", requests)
	}
}

// TestHeadCutIsNoAnswer guards against a success that a server did not finish to announce: it closes its connection after
// each byte of a head. With a whole head, the answer says whether only the end of the connection makes it complete.
func TestHeadCutIsNoAnswer(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 0\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "neither": ""} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			head := "HTTP/1.1 200 OK\r\nAny: field\r\n" + framing + "\r\n"
			texts := make(chan string, 1)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.Copy(io.Discard, r.Body)
						_, _ = io.WriteString(conn, <-texts)
					}
					_ = conn.Close()
				}
			}()
			c := New()
			defer c.Close()
			for cut := 1; cut <= len(head); cut++ {
				texts <- head[:cut]
				a, sent, err := c.Do(context.Background(), port.BackendCall{Address: ln.Addr().String(), Method: http.MethodPost, URI: "/", Body: []byte("x")})
				if cut < len(head) && (err == nil || !sent) {
					t.Fatalf("cut after %d bytes: %+v, sent %v, %v", cut, a, sent, err)
				}
				if cut == len(head) && (err != nil || a.OpenEnded != (framing == "")) {
					t.Errorf("whole head: %+v, %v", a, err)
				}
			}
		})
	}
}

// TestWhatIsNoAnswerFails guards against heads that HTTP does not allow and that reach callers as answers.
func TestWhatIsNoAnswerFails(t *testing.T) {
	for _, c := range []struct{ name, answer string }{
		{"status 000", "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok"},
		{"a blank before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok"},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\nok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go func() {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = bufio.NewReader(nc).ReadString('\n')
				_, _ = io.WriteString(nc, c.answer)
				_ = nc.Close()
			}()
			client := New()
			defer client.Close()
			answer, sent, err := client.Do(context.Background(), port.BackendCall{Address: ln.Addr().String(), Method: http.MethodGet, URI: "/"})
			if err == nil || !sent {
				t.Errorf("answered with %+v, sent %t: %v", answer, sent, err)
			}
		})
	}
}
