package backendconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
	"weak"
)

// server is a scripted TCP server that counts connections and complete requests.
type server struct {
	ln       net.Listener
	conns    atomic.Int32
	requests atomic.Int32
}

// serve starts a server that runs handle for each connection; n is the connection's number,
// from 1.
func serve(t *testing.T, handle func(s *server, n int, c net.Conn, r *bufio.Reader)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(s.conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				handle(s, n, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return s
}

// read reads a complete request and returns its ID, or "" on error.
func (s *server) read(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return ""
	}
	s.requests.Add(1)
	return req.Header.Get("Id")
}

func write(c net.Conn, format string, args ...any) { _, _ = fmt.Fprintf(c, format, args...) }

func newPool(t *testing.T) *Pool {
	p := New(Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxIdlePerAddr: 4})
	t.Cleanup(p.Close)
	return p
}

// roundTrip sends a request and returns the body of the response.
func roundTrip(p *Pool, s *server, id string, body []byte) (string, error) {
	u := &url.URL{Opaque: "/x"}
	req := &http.Request{Method: http.MethodPost, URL: u, Host: "h", Header: http.Header{"Id": {id}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	resp, err := p.Do(context.Background(), s.ln.Addr().String(), req, body, func(r *http.Response, _ func() bool) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

const okResponseFormat = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok"

// hasIdle reports whether the pool has an idle connection to the address.
func (p *Pool) hasIdle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr]) > 0
}

func TestConnectionIsReused(t *testing.T) {
	s := serve(t, func(s *server, _ int, c net.Conn, r *bufio.Reader) {
		for id := s.read(r); id != ""; id = s.read(r) {
			write(c, okResponseFormat, id)
		}
	})
	p := newPool(t)
	for i := range 5 {
		if got, err := roundTrip(p, s, fmt.Sprint("r", i), []byte("body")); got != "ok" || err != nil {
			t.Fatal(got, err)
		}
		for !p.hasIdle(s.ln.Addr().String()) {
			runtime.Gosched() // the end of the write may be observed after the response
		}
	}
	if n := s.conns.Load(); n != 1 {
		t.Errorf("%d connections for 5 requests", n)
	}
}

// TestRequestIsSentOnce breaks a reused connection at each stage of the response, and
// checks that the request is not sent again.
func TestRequestIsSentOnce(t *testing.T) {
	for name, end := range map[string]func(c net.Conn, id string){
		"closed before the head": func(net.Conn, string) {},
		"closed within the head": func(c net.Conn, id string) { write(c, "HTTP/1.1 200 OK\r\nId: %s", id) },
		"closed within the body": func(c net.Conn, id string) { write(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok", id) },
		"closed within a chunk": func(c net.Conn, id string) {
			write(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", id)
		},
		"not HTTP":                   func(c net.Conn, _ string) { write(c, "\x00\x01garbage\r\n\r\n") },
		"other response, then close": func(c net.Conn, _ string) { write(c, okResponseFormat, "other") },
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+" "+method, func(t *testing.T) {
				s := serve(t, func(s *server, _ int, c net.Conn, r *bufio.Reader) {
					write(c, okResponseFormat, s.read(r))
					end(c, s.read(r))
				})
				p := newPool(t)
				if _, err := roundTrip(p, s, "first", nil); err != nil {
					t.Fatal(err)
				}
				for !p.hasIdle(s.ln.Addr().String()) {
					runtime.Gosched()
				}
				if got, err := roundTrip(p, s, "second", nil); err == nil {
					t.Errorf("succeeded with %q", got)
				} else if e := new(Error); errors.As(err, &e) && !e.Sent {
					t.Errorf("a sent request is reported as not sent: %v", err)
				}
				if n := s.requests.Load(); n != 2 {
					t.Errorf("%d requests arrived, want 2", n)
				}
			})
		}
	}
}

// TestResponsesToOtherRequestsAreSkipped sends a second response to an earlier request
// before the response to the current one.
func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	s := serve(t, func(s *server, _ int, c net.Conn, r *bufio.Reader) {
		write(c, okResponseFormat, s.read(r))
		id := s.read(r)
		write(c, "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 5\r\n\r\nextra"+okResponseFormat, id)
	})
	p := newPool(t)
	for _, id := range []string{"first", "second"} {
		if got, err := roundTrip(p, s, id, nil); got != "ok" || err != nil {
			t.Errorf("%s: %q, %v", id, got, err)
		}
		for id == "first" && !p.hasIdle(s.ln.Addr().String()) {
			runtime.Gosched()
		}
	}
}

// TestUnusableIdleConnections checks that an idle connection is not reused when the server
// has closed it, has sent unsolicited bytes, or has announced the close.
func TestUnusableIdleConnections(t *testing.T) {
	for name, after := range map[string]func(c net.Conn){
		"closed":               func(c net.Conn) { _ = c.Close() },
		"unsolicited response": func(c net.Conn) { write(c, okResponseFormat, "first") },
		"Connection: close":    func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			kept, done := make(chan struct{}), make(chan struct{}, 4)
			s := serve(t, func(s *server, _ int, c net.Conn, r *bufio.Reader) {
				id := s.read(r)
				if strings.HasPrefix(name, "Connection") {
					write(c, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", id)
				} else {
					write(c, okResponseFormat, id)
				}
				if s.requests.Load() == 1 {
					<-kept
				}
				after(c)
				done <- struct{}{}
				s.read(r)
			})
			p := newPool(t)
			if _, err := roundTrip(p, s, "first", nil); err != nil {
				t.Fatal(err)
			}
			for !strings.HasPrefix(name, "Connection") && !p.hasIdle(s.ln.Addr().String()) {
				runtime.Gosched()
			}
			close(kept) // the server acts only once the connection is idle
			<-done
			// The close or the bytes take a moment to arrive over the loopback interface,
			// so repeat the check until they do.
			p.mu.Lock()
			idle := append([]*conn(nil), p.idle[s.ln.Addr().String()]...)
			p.mu.Unlock()
			for _, c := range idle {
				for c.reusable() {
					if name == "Connection: close" {
						t.Fatal("kept a connection with Connection: close")
					}
				}
			}
			if got, err := roundTrip(p, s, "second", nil); got != "ok" || err != nil {
				t.Errorf("%q, %v", got, err)
			}
			if n := s.conns.Load(); n != 2 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// TestEarlyResponse has the server respond before it reads a long body. The connection must
// not be reused: the rest of the body would be read as the next request.
func TestEarlyResponse(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, func(s *server, n int, c net.Conn, r *bufio.Reader) {
		if n == 1 {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			write(c, okResponseFormat, "first")
			<-release
			return
		}
		write(c, okResponseFormat, s.read(r))
	})
	p := newPool(t)
	body := []byte(strings.Repeat("x", 16<<20)) // more than the socket buffers hold
	if got, err := roundTrip(p, s, "first", body); got != "ok" || err != nil {
		t.Fatal(got, err)
	}
	if got, err := roundTrip(p, s, "second", nil); got != "ok" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	close(release)
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections: the one with an incomplete request was reused", n)
	}
}

func TestDialFailure(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr()
	_ = ln.Close()
	_, err = roundTrip(newPool(t), &server{ln: fixedAddr{ln, addr}}, "r", nil)
	var e *Error
	if !errors.As(err, &e) || e.Sent || !e.DialFailed {
		t.Errorf("got %v", err)
	}
}

type fixedAddr struct {
	net.Listener
	addr net.Addr
}

func (f fixedAddr) Addr() net.Addr { return f.addr }

// TestCanceled checks that canceling the context closes the connection.
func TestCanceled(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	s := serve(t, func(s *server, _ int, c net.Conn, r *bufio.Reader) {
		s.read(r)
		close(arrived)
		_, _ = r.ReadByte() // returns when the connection ends
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}}
	done := make(chan error, 1)
	go func() {
		_, err := newPool(t).Do(ctx, s.ln.Addr().String(), req, nil, func(*http.Response, func() bool) bool { return true })
		done <- err
	}()
	<-arrived
	cancel()
	if err := <-done; err == nil {
		t.Error("succeeded")
	}
	<-closed
}

// awaitIdle waits until the pool has a number of idle connections to the address.
func (p *Pool) awaitIdle(addr string, n int) {
	idle := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idle[addr])
	}
	for idle() < n {
		runtime.Gosched()
	}
}

// TestServerLost guards against a restarted server taken for the process before it, and against reset connections of a live one taken for a restart.
func TestServerLost(t *testing.T) {
	const answered, incomplete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
	type exchange struct {
		id, answer string
		closeAfter bool
	}
	cases := []struct {
		name string
		// conns are the exchanges of each connection in turn.
		conns [][]exchange
		// openFirst is the number of requests that are answered at the same time, each on a connection
		// of its own.
		openFirst int
		down      bool // the server does not listen when the last request is sent
		want      bool
		wantSent  bool
	}{
		{"a new connection is closed without an answer", [][]exchange{{{"b", "", true}}}, 0, false, true, true},
		{"a new connection is closed while another one is open", [][]exchange{{{"a", answered, false}, {"c", "", false}}, {{"b", "", true}}}, 1, false, false, true},
		{"a connection that carried an answer is closed during a request", [][]exchange{{{"a", answered, false}, {"b", "", true}}}, 1, false, true, true},
		{"an answer breaks off", [][]exchange{{{"a", answered, false}, {"b", incomplete, true}}}, 1, false, true, true},
		{"an answer breaks off while another connection is open", [][]exchange{{{"a", answered, false}, {"b", incomplete, true}}, {{"a", answered, false}, {"b", incomplete, true}}}, 2, false, false, true},
		{"connections are refused", [][]exchange{{{"a", answered, false}}}, 1, true, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ready := make(chan struct{})
			var arrived atomic.Int32
			s := serve(t, func(s *server, n int, nc net.Conn, r *bufio.Reader) {
				for _, x := range c.conns[n-1] {
					if s.read(r) == "" {
						return
					}
					if x.id == "a" && c.openFirst > 0 {
						if int(arrived.Add(1)) == c.openFirst {
							close(ready)
						}
						<-ready
					}
					write(nc, "%s", x.answer)
					if x.closeAfter {
						return
					}
				}
			})
			p := newPool(t)
			send := func(id string) error {
				req := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {id}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
				resp, err := p.Do(context.Background(), s.ln.Addr().String(), req, nil, func(*http.Response, func() bool) bool { return true })
				if err != nil {
					return err
				}
				_, err = io.ReadAll(resp.Body)
				return err
			}
			first := make(chan error, c.openFirst)
			for range c.openFirst {
				go func() { first <- send("a") }()
			}
			for range c.openFirst {
				if err := <-first; err != nil {
					t.Fatal(err)
				}
			}
			p.awaitIdle(s.ln.Addr().String(), c.openFirst)
			if c.down {
				_ = s.ln.Close()
				p.Close()
			}
			if len(c.conns) > c.openFirst && c.openFirst > 0 {
				held, _ := p.takeIdle(s.ln.Addr().String()) // as if it carried a request
				defer func() { _ = held.Conn.Close() }()
			}
			var e *Error
			if err := send("b"); !errors.As(err, &e) {
				t.Fatalf("error %v, want one of type *Error", err)
			}
			if e.ServerLost != c.want || e.Sent != c.wantSent {
				t.Errorf("server lost %t, sent %t, want %t and %t: %s", e.ServerLost, e.Sent, c.want, c.wantSent, e)
			}
		})
	}
}

// TestIdleConnectionsClosedEarly guards against a request sent to a process that started while the connections were idle.
func TestIdleConnectionsClosedEarly(t *testing.T) {
	for _, c := range []struct {
		name        string
		reusedAfter time.Duration
		want        bool
	}{
		{"earlier than connections stayed open before", time.Hour, true},
		{"idle timeout not known", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan struct{})
			s := serve(t, func(s *server, n int, nc net.Conn, r *bufio.Reader) {
				s.read(r)
				write(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: %d\r\n\r\nok", n)
				if n == 1 {
					_ = nc.Close()
					close(closed)
				}
			})
			p := newPool(t)
			if _, err := roundTrip(p, s, "1", nil); err != nil {
				t.Fatal(err)
			}
			<-closed
			addr := s.ln.Addr().String()
			p.awaitIdle(addr, 1)
			for p.Connected(addr) {
				runtime.Gosched() // until the close has arrived
			}
			p.reusedAfter[addr] = c.reusedAfter
			req := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {"2"}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
			resp, err := p.DoSameProcess(context.Background(), addr, req, nil, func(*http.Response, func() bool) bool { return true })
			if err == nil {
				_ = resp.Body.Close()
			}
			var e *Error
			if lost := errors.As(err, &e) && e.ServerLost && !e.Sent; lost != c.want {
				t.Errorf("server lost %t, want %t: %v", lost, c.want, err)
			}
			if n := s.requests.Load(); c.want && n != 1 {
				t.Errorf("the server received %d requests, want 1", n)
			}
		})
	}
}

// TestHeadIsReadAfterItsCallerLeft guards against a server's demand that is lost with a caller who leaves meanwhile.
func TestHeadIsReadAfterItsCallerLeft(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := serve(t, func(s *server, _ int, c net.Conn, r *bufio.Reader) {
		s.read(r)
		cancel()
		write(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 5\r\n\r\n")
		_, _ = r.ReadByte() // returns when the connection ends
	})
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}}
	resp, err := newPool(t).Do(ctx, s.ln.Addr().String(), req, nil, func(*http.Response, func() bool) bool { return true })
	if err != nil || resp.Header.Get("Retry-After") != "3" {
		t.Fatalf("%v, %v", resp, err)
	}
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("the body was read to its end")
	}
}

// TestNothingIsSentForACallerWhoLeft guards against work for nobody.
func TestNothingIsSentForACallerWhoLeft(t *testing.T) {
	s := serve(t, func(s *server, _ int, _ net.Conn, r *bufio.Reader) { s.read(r) })
	ctx, cancel := context.WithCancel(context.Background())
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}}
	_, err := newPool(t).Do(ctx, s.ln.Addr().String(), req, nil, func(*http.Response, func() bool) bool { return true }, func() bool { cancel(); return true })
	var e *Error
	if !errors.As(err, &e) || e.Sent || s.requests.Load() != 0 {
		t.Errorf("ended with %v, %d requests", err, s.requests.Load())
	}
}

// TestHeadCutIsNoResponse guards against a success that a server did not finish to announce: it closes or resets its
// connection after each byte of a head, on a new and on a kept connection, also behind other responses.
func TestHeadCutIsNoResponse(t *testing.T) {
	framings := map[string]string{"length": "Content-Length: 2\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "neither": ""}
	before := map[string]string{"first": "", "after an interim response": "HTTP/1.1 100 Continue\r\n\r\n", "after a late response": fmt.Sprintf(okResponseFormat, "earlier")}
	for name, framing := range framings {
		for place, prefix := range before {
			for _, resets := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset: %v", name, place, resets), func(t *testing.T) {
					testHeadCuts(t, prefix, "HTTP/1.1 200 OK\r\nId: cut\r\n"+framing+"\r\n", resets)
				})
			}
		}
	}
}

// testHeadCuts has a server end its connection after prefix and each proper part of head.
func testHeadCuts(t *testing.T, prefix, head string, resets bool) {
	var cut atomic.Int32
	s := serve(t, func(s *server, n int, c net.Conn, r *bufio.Reader) {
		if n%2 == 0 {
			write(c, okResponseFormat, s.read(r)) // the next one is on a kept connection
		}
		s.read(r)
		write(c, "%s", prefix+head[:cut.Load()])
		if resets {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	for n := 1; n < len(head); n++ {
		cut.Store(int32(n))
		for _, kept := range []bool{false, true} {
			p := newPool(t)
			if kept {
				if _, err := roundTrip(p, s, "first", nil); err != nil {
					t.Fatal(err)
				}
				p.awaitIdle(s.ln.Addr().String(), 1)
			}
			got, err := roundTrip(p, s, "cut", nil)
			if e := new(Error); !errors.As(err, &e) || !e.Sent {
				t.Fatalf("cut after %d bytes, kept connection: %v: %q, %v", n, kept, got, err)
			}
		}
	}
}

// BenchmarkRoundTrip measures a request and its answer on a kept connection.
func BenchmarkRoundTrip(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				r, line, answer := bufio.NewReader(c), make([]byte, 0, 512), []byte("HTTP/1.1 200 OK\r\nId: r\r\nX-Server-Load: 1,0,8\r\nContent-Length: 2\r\n\r\nok")
				for {
					part, err := r.ReadSlice('\n')
					if err != nil {
						return
					}
					if line = append(line[:0], part...); len(line) <= 2 {
						_, _ = c.Write(answer)
					}
				}
			}()
		}
	}()
	p := New(Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxIdlePerAddr: 4})
	defer p.Close()
	s := &server{ln: ln}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := roundTrip(p, s, "r", nil); err != nil {
			b.Fatal(err)
		}
	}
}

// TestRequestIsFreeWhileItsServerWorks guards against requests whose parsed heads are held until their servers answer: a
// head with many fields takes several times the bytes that a host counts for it.
func TestRequestIsFreeWhileItsServerWorks(t *testing.T) {
	received, answer := make(chan struct{}), make(chan struct{})
	s := serve(t, func(s *server, _ int, nc net.Conn, r *bufio.Reader) {
		id := s.read(r)
		close(received)
		<-answer
		write(nc, okResponseFormat, id)
	})
	p := newPool(t)
	sent, done := make(chan weak.Pointer[http.Request], 1), make(chan error, 1)
	go func() {
		req := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {"r"}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
		sent <- weak.Make(req)
		resp, err := p.Do(context.Background(), s.ln.Addr().String(), req, nil, func(*http.Response, func() bool) bool { return true })
		if err == nil {
			_ = resp.Body.Close()
		}
		done <- err
	}()
	req := <-sent
	<-received
	for began := time.Now(); req.Value() != nil; runtime.GC() {
		if time.Since(began) > 2*time.Second {
			t.Error("the request is held while its server works")
			break
		}
	}
	close(answer)
	if err := <-done; err != nil {
		t.Error(err)
	}
}
