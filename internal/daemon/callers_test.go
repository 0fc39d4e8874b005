package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
)

// heldConn is a connection whose reads return only when the test releases them, one at a time.
type heldConn struct {
	net.Conn
	arrived chan struct{} // receives when a read has bytes
	release chan struct{} // lets the read return
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 1 { // net/http detects a caller that disconnects by reads of one byte
		c.arrived <- struct{}{}
		<-c.release
	}
	return n, err
}

type heldListener struct {
	net.Listener
	conns chan *heldConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &heldConn{c, make(chan struct{}), make(chan struct{})}
	l.conns <- h
	return h, nil
}

// TestIdleCloseLosesNoRequest stops the server at each point of the next request on a kept
// connection: before it arrives, after its bytes were read from the socket and before net/http
// receives them, and while the request runs. A request that runs must be answered; one that
// does not run may find its connection closed.
func TestIdleCloseLosesNoRequest(t *testing.T) {
	for _, c := range []struct {
		name     string
		when     string
		answered bool
	}{
		{"before it arrives", "before", false},
		{"while its bytes are handed over", "handed", true},
		{"while it runs", "runs", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ran := make(chan struct{}, 2)
			goOn := make(chan struct{})
			if c.when != "runs" {
				close(goOn)
			}
			first := true
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !first {
					ran <- struct{}{}
					<-goOn
				}
				first = false
				_, _ = io.WriteString(w, "done")
			})
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			held := &heldListener{ln, make(chan *heldConn, 1)}
			s := newCallerServer(held, handler, nil)
			served := make(chan error, 1)
			go func() { served <- s.Serve() }()
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			answers := bufio.NewReader(conn)
			server := <-held.conns
			ask := func() {
				if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				<-server.arrived
			}
			ask()
			server.release <- struct{}{}
			if resp, err := http.ReadResponse(answers, nil); err != nil {
				t.Fatal(err)
			} else if _, err := io.ReadAll(resp.Body); err != nil {
				t.Fatal(err)
			}
			for !s.idle() { // the caller receives the answer before the server counts the connection as idle
				runtime.Gosched()
			}
			if c.when != "before" {
				ask()
			}
			if c.when == "runs" {
				server.release <- struct{}{}
				<-ran
			}
			finished := make(chan int, 1)
			if c.when == "runs" {
				go func() { finished <- s.Finish(context.Background()) }()
				for !s.finishing.Load() {
					runtime.Gosched()
				}
				close(goOn)
			} else {
				s.closeIdle()
				close(server.release)
				for s.open() > 0 && len(ran) == 0 { // until the connection's reader has closed it or the request runs
					runtime.Gosched()
				}
				finished <- s.Finish(context.Background())
			}
			if cut := <-finished; cut != 0 {
				t.Errorf("%d connections cut", cut)
			}
			resp, err := http.ReadResponse(answers, nil)
			if answered := err == nil && resp.StatusCode == http.StatusOK; answered != c.answered {
				t.Errorf("answered %v, want %v", answered, c.answered)
			}
			if err := <-served; err != nil {
				t.Error(err)
			}
			if !c.answered && len(ran) > 0 {
				t.Error("a request ran, but its caller received no answer")
			}
		})
	}
}

// open returns the number of connections that are not closed.
func (s *CallerServer) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// idle reports whether no connection is within a request.
func (s *CallerServer) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		inRequest := c.inRequest
		c.mu.Unlock()
		if inRequest {
			return false
		}
	}
	return true
}

// TestAnswersEndConnectionsWhileDraining checks that answers close their connections once the
// server drains, so that callers go to other hosts.
func TestAnswersEndConnectionsWhileDraining(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newCallerServer(ln, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	for _, draining := range []bool{false, true} {
		if draining {
			s.StartDraining()
		}
		resp, err := http.Get("http://" + ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.Close != draining {
			t.Errorf("draining %v: the answer closes the connection: %v", draining, resp.Close)
		}
	}
	if cut := s.Finish(context.Background()); cut != 0 {
		t.Errorf("%d connections cut", cut)
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}
