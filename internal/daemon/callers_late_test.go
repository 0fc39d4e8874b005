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

// TestLateRequestsAreRefused tells this story. A caller's answer began before its host was
// told to stop, so it did not end the connection, and it ended when the host had stopped
// taking requests. The caller sent its next request on the connection at once. The host
// served what it found, 4 s after SIGTERM, and cut it off with the end of the grace time. A
// request on such a connection is refused before it runs, or finds the connection closed;
// one that was sent before the host stopped taking requests is served.
func TestLateRequestsAreRefused(t *testing.T) {
	for _, c := range []struct {
		name      string
		endsAfter bool // the first answer ends after the server began to finish
		next      bool // the caller sends another request
		status    int  // of its answer; 0 for a closed connection
	}{
		{"the answer ends late, the next request follows", true, true, http.StatusServiceUnavailable},
		{"the answer ends late, nothing follows", true, false, 0},
		{"the answer ended in time, the next request was sent", false, true, http.StatusOK},
		{"the answer ended in time, nothing follows", false, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFinishing(t, c.next)
			f.caller.send()
			<-f.began
			f.s.StartDraining()
			finished := make(chan int, 1)
			finish := func() {
				go func() { finished <- f.s.Finish(context.Background()) }()
				for !f.s.finished.Load() {
					runtime.Gosched()
				}
			}
			if c.endsAfter {
				finish()
			}
			close(f.goOn)
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

// finishing is a server with one request under way, and its caller.
type finishing struct {
	s      *CallerServer
	caller *caller
	began  chan struct{} // the first request runs
	goOn   chan struct{} // its answer may end
	idle   chan struct{} // the connection is idle after it
	served chan error
	ran    atomic.Int32
}

// newFinishing serves one connection. With next, the connection counts as idle only once
// the caller's next request lies in its socket.
func newFinishing(t *testing.T, next bool) *finishing {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &finishing{began: make(chan struct{}, 1), goOn: make(chan struct{}), idle: make(chan struct{}), served: make(chan error, 1)}
	f.s = newCallerServer(ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // the answer's head is on its way
		if f.ran.Add(1) == 1 {
			f.began <- struct{}{}
			<-f.goOn
		}
		_, _ = io.WriteString(w, "done")
	}), nil)
	f.s.TooLate = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
