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
	"testing"
	"time"
)

// roundTripTo sends a request to a process, for whose proof it waits.
func roundTripTo(p *Pool, addr, process, id string, wait time.Duration) error {
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Id": {id}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	resp, err := p.DoProcess(context.Background(), addr, process, wait, req, nil, func(r *http.Response, _ func() bool) bool { return r.Header.Get("Id") == id })
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

// serveOK answers each request with its ID.
func serveOK(s *server, _ int, c net.Conn, r *bufio.Reader) {
	for id := s.read(r); id != ""; id = s.read(r) {
		write(c, okResponseFormat, id)
	}
}

// connect opens an idle connection that has carried a request.
func connect(t *testing.T, p *Pool, s *server) {
	t.Helper()
	if _, err := roundTrip(p, s, "first", nil); err != nil {
		t.Fatal(err)
	}
	for !p.hasIdle(s.ln.Addr().String()) {
		runtime.Gosched()
	}
}

const (
	noWait   = time.Nanosecond
	longWait = time.Minute
)

// TestRequestReachesTheProvedProcess guards against requests that reach a process that took over an address, and
// against ones that are refused though the process is proved.
func TestRequestReachesTheProvedProcess(t *testing.T) {
	later := func() time.Time { return time.Now() }
	for _, c := range []struct {
		name string
		// prepare runs before the request, and meanwhile beside it.
		prepare   func(t *testing.T, p *Pool, s *server)
		meanwhile func(p *Pool, addr string)
		wait      time.Duration
		sent      bool
		conns     int32 // that the server accepted
	}{
		{"no proof", nil, nil, noWait, false, 1},
		{"an open connection, no proof", connect, nil, noWait, false, 2},
		{"an open connection, proved", func(t *testing.T, p *Pool, s *server) {
			connect(t, p, s)
			p.Confirm(s.ln.Addr().String(), "a@1", later())
		}, nil, noWait, true, 1},
		{"an open connection of another process", func(t *testing.T, p *Pool, s *server) {
			connect(t, p, s)
			p.Confirm(s.ln.Addr().String(), "a@2", later())
		}, nil, noWait, false, 2},
		{"an open connection, a later process proved before", func(t *testing.T, p *Pool, s *server) {
			connect(t, p, s)
			p.Confirm(s.ln.Addr().String(), "a@2", later())
			p.Confirm(s.ln.Addr().String(), "a@1", later())
		}, nil, noWait, false, 2},
		{"the proof is older than the connection", func(t *testing.T, p *Pool, s *server) {
			p.Confirm(s.ln.Addr().String(), "a@1", later())
			connect(t, p, s)
		}, nil, noWait, false, 2},
		{"proved while it waits", nil, func(p *Pool, addr string) { p.Confirm(addr, "a@1", later()) }, longWait, true, 1},
		{"another process proved while it waits", nil, func(p *Pool, addr string) { p.Confirm(addr, "a@2", later()) }, longWait, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, serveOK)
			p, addr := newPool(t), s.ln.Addr().String()
			if c.prepare != nil {
				c.prepare(t, p, s)
			}
			conns, requests := s.conns.Load(), s.requests.Load()
			if c.meanwhile != nil {
				go func() {
					for s.conns.Load() == conns {
						runtime.Gosched()
					}
					time.Sleep(10 * time.Millisecond) // the connection is established at this end, too
					c.meanwhile(p, addr)
				}()
			}
			err := roundTripTo(p, addr, "a@1", "r", c.wait)
			var e *Error
			if c.sent != (err == nil) || (err != nil && (!errors.As(err, &e) || !e.Unproved || e.Sent)) {
				t.Errorf("ended with %v", err)
			}
			if n := s.requests.Load() - requests; (n == 1) != c.sent {
				t.Errorf("the server received %d requests", n)
			}
			if n := s.conns.Load(); n > c.conns {
				t.Errorf("%d connections, want %d", n, c.conns)
			}
		})
	}
}

// TestAnswerProvesOtherConnections guards against a wait for an announcement where an answer has shown that the process
// ran after the connection was established.
func TestAnswerProvesOtherConnections(t *testing.T) {
	s := serve(t, serveOK)
	p, addr := newPool(t), s.ln.Addr().String()
	connect(t, p, s)
	p.Confirm(addr, "a@1", time.Now())
	c := p.takeIdleOf(addr, "a@1") // another request uses it
	if c == nil {
		t.Fatal("no proved connection")
	}
	done := make(chan error, 1)
	go func() { done <- roundTripTo(p, addr, "a@1", "r", longWait) }()
	for s.conns.Load() < 2 {
		runtime.Gosched()
	}
	time.Sleep(10 * time.Millisecond) // the second connection is established at this end, too
	p.putBack(c)
	if err := roundTripTo(p, addr, "a@1", "other", longWait); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestDeadConnectionReachesNobody guards against a request that reaches a server's next process because a connection to
// the one before still looks open, as after a loss of power.
func TestDeadConnectionReachesNobody(t *testing.T) {
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) })
	s := serve(t, func(s *server, n int, c net.Conn, r *bufio.Reader) {
		if n == 1 {
			write(c, okResponseFormat, s.read(r))
			<-silent // its machine has no power
			return
		}
		serveOK(s, n, c, r)
	})
	p, addr := newPool(t), s.ln.Addr().String()
	connect(t, p, s)
	p.Confirm(addr, "a@1", time.Now())
	c := p.takeIdleOf(addr, "a@1") // it carries a request that is never answered
	if c == nil {
		t.Fatal("no proved connection")
	}
	if !p.Connected(addr) {
		t.Error("the connection does not look open")
	}
	var e *Error
	for i := range 3 {
		if err := roundTripTo(p, addr, "a@1", fmt.Sprint("r", i), noWait); !errors.As(err, &e) || !e.Unproved || e.Sent {
			t.Errorf("ended with %v", err)
		}
	}
	if n := s.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the server, want 1", n)
	}
}
