package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/adapter/requestbody"
	"github.com/sesamefork/sesamefork/internal/clientmem"
	"github.com/sesamefork/sesamefork/internal/core/intake"
	"github.com/sesamefork/sesamefork/internal/port"
)

// limitedServer starts a server whose connections share a budget, and which answers with the length of the body.
func limitedServer(t *testing.T, mem *clientmem.Budget, limits func() HeadLimits) *CallerServer {
	t.Helper()
	s, err := NewCallerServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, f := requestbody.Read(w, r, requestbody.Limits{MaxBytes: 1 << 20, Timeout: time.Minute})
		if f != nil {
			http.Error(w, string(f.Code), http.StatusServiceUnavailable)
			return
		}
		defer body.Release()
		_, _ = fmt.Fprint(w, len(body.Bytes))
	}), nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Memory, s.Limits = mem, limits
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Serve() }()
	t.Cleanup(func() { s.finishWithin(0); <-ended })
	return s
}

func connectionsBudget(n int) *clientmem.Budget {
	return clientmem.New(clientmem.Options{
		Name: "test", Limits: [intake.Parts]int64{1 << 30, 1 << 20, 1 << 20}, MaxConnections: n, Clock: port.SystemClock{}, Log: logr.Discard(),
	})
}

func dialServer(t *testing.T, s *CallerServer) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// statusOfHead sends the bytes of a request and returns the status of the answer; 0 for none.
func statusOfHead(conn net.Conn, head string) int {
	_, _ = io.WriteString(conn, head)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestHeadLimitInForce checks that the limit on heads is the one in force, also on a connection that was opened before it
// changed, and that a head of exactly the limit passes.
func TestHeadLimitInForce(t *testing.T) {
	var maxBytes atomic.Int64
	s := limitedServer(t, nil, func() HeadLimits { return HeadLimits{MaxBytes: int(maxBytes.Load())} })
	head := func(size int) string {
		const frame = "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: \r\n\r\n"
		return strings.Replace(frame, "X-Fill: ", "X-Fill: "+strings.Repeat("x", size-len(frame)), 1)
	}
	conn := dialServer(t, s)
	for _, c := range []struct{ limit, size, want int }{
		{16 << 10, 16 << 10, http.StatusOK}, {0, defaultHeadBytes, http.StatusOK}, {128 << 10, 128 << 10, http.StatusOK},
		{16 << 10, 24 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		maxBytes.Store(int64(c.limit))
		if got := statusOfHead(conn, head(c.size)); got != c.want {
			t.Errorf("a head of %d bytes, limit %d: status %d, want %d", c.size, c.limit, got, c.want)
		}
	}
}

// TestHeadCountsUntilAnswered checks that a head counts from its first bytes until its answer is complete, as net/http
// holds it for so long.
func TestHeadCountsUntilAnswered(t *testing.T) {
	mem := connectionsBudget(10)
	held := func() int64 { return mem.Usage()["connections"].Held - clientmem.ConnectionCost }
	during := make(chan int64, 1)
	s, err := NewCallerServer("127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { during <- held() }), nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Memory = mem
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Serve() }()
	defer func() { s.finishWithin(0); <-ended }()
	const fill = 12 << 10
	if got := statusOfHead(dialServer(t, s), "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: "+strings.Repeat("x", fill)+"\r\n\r\n"); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	if got := <-during; got < headFactor*(fill-freeHead) {
		t.Errorf("%d bytes count while a head of %d is served", got, fill)
	}
	for held() > 0 { // until the server has noticed the end of the answer
		runtime.Gosched()
	}
}

// TestHeadAndIdleTimeouts checks that a head that does not end, and a connection without a request, end by the limits in
// force, and that a head within its time does not.
func TestHeadAndIdleTimeouts(t *testing.T) {
	limits := HeadLimits{Timeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
	s := limitedServer(t, nil, func() HeadLimits { return limits })
	for name, send := range map[string]string{"no byte": "", "a part of a head": "GET / HTTP/1.1\r\n", "a request before": "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
		conn := dialServer(t, s)
		_, _ = io.WriteString(conn, send)
		if _, err := io.Copy(io.Discard, conn); err != nil { // returns when the server has closed the connection
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestSilentConnectionsMakeRoom checks that connections that send nothing, or stop within a request, give way to others,
// and that one whose request executes does not.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	for name, send := range map[string]string{
		"no byte": "", "a part of a head": "POST / HTTP/1.1\r\nHost", "a part of a body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			const room = 4
			mem := connectionsBudget(room)
			s := limitedServer(t, mem, nil)
			for range 5 * room {
				_, _ = io.WriteString(dialServer(t, s), send)
			}
			for n := range 2 * room {
				for statusOfHead(dialServer(t, s), "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") != http.StatusOK {
					if t.Context().Err() != nil {
						t.Fatalf("request %d is not answered", n)
					}
				}
			}
		})
	}
}

// TestRefusalOfUnreadBodyArrives checks that a caller gets the refusal of a body that is not read, also if it has sent all
// of it before it reads.
func TestRefusalOfUnreadBodyArrives(t *testing.T) {
	s := limitedServer(t, connectionsBudget(100), nil)
	for name, c := range map[string]struct {
		announced, sent int
	}{"announced": {8 << 20, 0}, "sent": {2 << 20, 2 << 20}} {
		t.Run(name, func(t *testing.T) {
			conn := dialServer(t, s)
			head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", c.announced)
			if got := statusOfHead(conn, head+strings.Repeat("x", c.sent)); got != http.StatusServiceUnavailable {
				t.Errorf("status %d", got)
			}
		})
	}
}

// TestStopRefusesUnfinishedBodies checks that requests that are not read whole do not keep a server from ending, and that
// one under way is answered.
func TestStopRefusesUnfinishedBodies(t *testing.T) {
	s := limitedServer(t, connectionsBudget(100), nil)
	var unfinished []net.Conn
	for range 10 {
		conn := dialServer(t, s)
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nab")
		unfinished = append(unfinished, conn)
	}
	begun := dialServer(t, s)
	_, _ = io.WriteString(begun, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nab")
	for open := 0; open < len(unfinished)+1; {
		s.mu.Lock()
		open = 0
		for c := range s.conns {
			c.mu.Lock()
			if c.inRequest && !c.inHead {
				open++
			}
			c.mu.Unlock()
		}
		s.mu.Unlock()
	}
	finished := make(chan int)
	go func() {
		s.finishWithin(6 * time.Second)
		finished <- s.openConns()
	}()
	if got := statusOfHead(begun, "cdefghij"); got != http.StatusOK {
		t.Errorf("a request that ends in time gets status %d", got)
	}
	for _, conn := range unfinished {
		if got := statusOfHead(conn, ""); got != http.StatusServiceUnavailable {
			t.Errorf("an unfinished request gets status %d", got)
		}
	}
	if n := <-finished; n > 0 {
		t.Errorf("%d connections were cut", n)
	}
}

// openConns returns the number of open connections.
func (s *CallerServer) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// BenchmarkRequest sends requests with small bodies on one connection.
func BenchmarkRequest(b *testing.B) {
	s, err := NewCallerServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, f := requestbody.Read(w, r, requestbody.Limits{MaxBytes: 1 << 20, Timeout: time.Minute})
		if f != nil {
			b.Error(f)
		}
		body.Release()
	}), nil)
	if err != nil {
		b.Fatal(err)
	}
	s.Memory = connectionsBudget(10)
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Serve() }()
	defer func() { s.finishWithin(0); <-ended }()
	conn, err := net.Dial("tcp", s.raw.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 800\r\n\r\n" + strings.Repeat("x", 800)
	answer := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(conn, request); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Read(answer); err != nil {
			b.Fatal(err)
		}
	}
}
