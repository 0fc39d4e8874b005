package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
)

// TestLateRequestsAreRefused guards against requests that are interrupted because they were
// sent after the host stopped accepting requests. An answer that began before the host began to
// drain does not close its connection. If it ends after the host has stopped accepting requests,
// the caller can send another request on the connection. Such a request was served 4 s after
// SIGTERM and interrupted at the end of the grace time. It must be refused before it runs, or
// find the connection closed; a request that was sent before the host stopped accepting requests
// is served.
func TestLateRequestsAreRefused(t *testing.T) {
	for _, c := range []struct {
		name      string
		endsAfter bool // the first answer ends after the server began to finish
		next      bool // the caller sends another request
		status    int  // status of the next request's answer; 0 for a closed connection
	}{
		{"the answer ends late, the next request follows", true, true, http.StatusServiceUnavailable},
		{"the answer ends late, nothing follows", true, false, 0},
		{"the answer ended in time, the next request was sent", false, true, http.StatusOK},
		{"the answer ended in time, nothing follows", false, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newLateFixture(t, c.next)
			f.caller.send()
			<-f.began
			f.s.StartDraining()
			finished := make(chan int, 1)
			finish := func() {
				go func() { finished <- f.s.Finish(context.Background()) }()
				for !f.s.finishing.Load() {
					runtime.Gosched()
				}
			}
			if c.endsAfter {
				finish()
			}
			close(f.finishFirst)
			if !f.caller.answered() {
				t.Fatal("the first request was not answered")
			}
			if c.next {
				f.caller.send()
			}
			if !c.endsAfter {
				<-f.idle
				finish()
			}
			resp, err := http.ReadResponse(f.caller.in, nil)
			status := 0
			if err == nil {
				status = resp.StatusCode
			}
			if status != c.status {
				t.Errorf("the next request's status is %d, want %d", status, c.status)
			}
			if cut := <-finished; cut != 0 {
				t.Errorf("%d connections cut", cut)
			}
			if err := <-f.served; err != nil {
				t.Error(err)
			}
			ran := 1
			if c.status == http.StatusOK {
				ran = 2
			}
			if got := int(f.ran.Load()); got != ran {
				t.Errorf("%d requests ran, want %d", got, ran)
			}
		})
	}
}

// lateFixture is a server with one request in flight, and its caller.
type lateFixture struct {
	s           *CallerServer
	caller      *caller
	began       chan struct{} // receives once the first request runs
	finishFirst chan struct{} // closed to let the first answer end
	idle        chan struct{} // closed once the connection is idle after the first answer
	served      chan error
	ran         atomic.Int32
}

// newLateFixture returns a server that serves one connection. With next set, the connection
// counts as idle only once the caller's next request is in its socket.
func newLateFixture(t *testing.T, next bool) *lateFixture {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &lateFixture{began: make(chan struct{}, 1), finishFirst: make(chan struct{}), idle: make(chan struct{}), served: make(chan error, 1)}
	f.s = newCallerServer(ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // sends the answer's head
		if f.ran.Add(1) == 1 {
			f.began <- struct{}{}
			<-f.finishFirst
		}
		_, _ = io.WriteString(w, "done")
	}), nil)
	f.s.LateHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f.s.srv.ConnState = func(c net.Conn, state http.ConnState) {
		if state != http.StateIdle {
			return
		}
		for next && !readable(c.(*callerConn).Conn) {
			runtime.Gosched()
		}
		f.s.stateChanged(c, state)
		close(f.idle)
	}
	go func() { f.served <- f.s.Serve() }()
	f.caller = newCaller(t, ln)
	return f
}
