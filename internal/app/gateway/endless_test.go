package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/adapter/backendconn"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/membudget"
)

// repeatingReader returns a text again and again, at most unit bytes at once, and counts them.
type repeatingReader struct {
	text       string
	unit, read int
	stopAt     int // ends with io.EOF there; 0 for never
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	if r.stopAt > 0 && r.read >= r.stopAt {
		return 0, io.EOF
	}
	n := min(len(p), r.unit)
	if r.stopAt > 0 {
		n = min(n, r.stopAt-r.read)
	}
	for i := range n {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += n
	return n, nil
}

func (r *repeatingReader) Close() error { return nil }

// TestEndlessAnswers guards against answers that are read until the deadline, that look complete, or that do not count
// as their server's failure, and against whole answers of the largest size that fail.
func TestEndlessAnswers(t *testing.T) {
	const most = maxAnswerBytes
	for _, c := range []struct {
		name, path, text string
		length           int64
		stopAt, maxRead  int
		budget           int64
		outcome          dispatch.Outcome
		failed           bool
	}{
		{"endless answer", "/stock/1", "x", -1, 0, most + maxChunkBytes, 64 << 20, dispatch.ConnectionFailed, true},
		{"answer with a length over the limit", "/stock/1", "x", most + 1, 0, 0, 64 << 20, dispatch.ConnectionFailed, true},
		{"largest answer", "/stock/1", "x", -1, most, most, 64 << 20, dispatch.Served, false},
		{"largest answer with a length", "/stock/1", "x", most, most, most, 24 << 20, dispatch.Served, false},
		{"answer over the budget", "/stock/1", "x", -1, 0, 512 << 10, 512 << 10, dispatch.CallerEnded, true},
		{"endless answer over the budget", "/stock/1", "x", -1, 0, 4 << 20, 4 << 20, dispatch.ConnectionFailed, true},
		{"answer with a length over the budget", "/stock/1", "x", 8 << 20, 0, 4 << 20, 4 << 20, dispatch.CallerEnded, true},
		{"small answer while the budget is spent", "/stock/1", "x", 8 << 10, 8 << 10, 8 << 10, 1, dispatch.Served, false},
		{"endless event", "/match/1", "data: x\n", -1, 0, maxEventBytes + 8<<10, 64 << 20, dispatch.ConnectionFailed, true},
		{"endless line", "/match/1", "x", -1, 0, maxEventBytes + 8<<10, 64 << 20, dispatch.ConnectionFailed, true},
		{"endless event over the budget", "/match/1", "x", -1, 0, maxEventBytes + 8<<10, 1 << 20, dispatch.ConnectionFailed, true},
		{"event over the budget", "/match/1", "x", -1, 0, 160 << 10, 128 << 10, dispatch.CallerEnded, true},
	} {
		for speed, unit := range map[string]int{"at full speed": 64 << 10, "dribbled": 7} {
			t.Run(c.name+" "+speed, func(t *testing.T) {
				f := newFixture(t)
				f.g.o.AnswerBudget = membudget.New(c.budget)
				x, fail := f.g.begin(context.Background(), f.request(c.path), &memorySink{})
				if fail != nil {
					t.Fatal(fail)
				}
				body := &repeatingReader{text: c.text, unit: unit, stopAt: c.stopAt}
				f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
					return &Answer{Head: Head{Status: 200, Header: http.Header{}, Length: c.length}, Body: body}, true, nil
				}
				res := f.g.attemptServer(context.Background(), x, f.g.place(x))
				if res.outcome != c.outcome || (res.err != nil) != c.failed || c.failed && (res.err.Outcome != failure.Unknown || x.headSent) {
					t.Errorf("ended with %d, %v, head sent %t", res.outcome, res.err, x.headSent)
				}
				if sink := x.sink.(*memorySink); !c.failed && sink.body.Len() != c.stopAt {
					t.Errorf("the caller got %d bytes of %d", sink.body.Len(), c.stopAt)
				}
				if body.read > c.maxRead || f.g.o.AnswerBudget.Used() != 0 {
					t.Errorf("%d bytes read, want at most %d; %d held at the end", body.read, c.maxRead, f.g.o.AnswerBudget.Used())
				}
			})
		}
	}
}

// TestHeadOfALongAnswer guards against a HEAD request that fails because its answer states a length over the limit.
func TestHeadOfALongAnswer(t *testing.T) {
	f := newFixture(t)
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
		return &Answer{Head: Head{Status: 200, Header: http.Header{}, Length: maxAnswerBytes + 1}, Body: http.NoBody}, true, nil
	}
	r := f.request("/stock/1")
	r.Method = http.MethodHead
	if fail := f.g.Execute(context.Background(), r, &memorySink{}); fail != nil {
		t.Error(fail)
	}
}

// TestHeadOverTheBudget guards against a server that counts as failing, and a request that is repeated, because this host
// has no memory for the head of an answer.
func TestHeadOverTheBudget(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("x", 32<<10))
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	f := newFixture(t)
	f.g.o.AnswerBudget = membudget.New(1)
	pool := backendconn.New(backendconn.Options{DialTimeout: time.Minute, IdleTimeout: time.Minute, Budget: f.g.o.AnswerBudget})
	f.g.o.Backends = &connBackends{pool: pool, addr: ln.Addr().String()}
	x, fail := f.g.begin(context.Background(), f.request("/stock/1"), &memorySink{})
	if fail != nil {
		t.Fatal(fail)
	}
	res := f.g.attemptServer(context.Background(), x, f.g.place(x))
	if res.outcome != dispatch.CallerEnded || res.err == nil || res.err.Outcome != failure.Unknown || f.g.mayRetry(context.Background(), x, res) {
		t.Errorf("ended with %d, %v", res.outcome, res.err)
	}
	if used := f.g.o.AnswerBudget.Used(); used != 0 {
		t.Errorf("%d bytes held at the end", used)
	}
}

// TestEndlessForwardEnds guards against a forwarded answer that another host sends without end.
func TestEndlessForwardEnds(t *testing.T) {
	f := newFixture(t)
	f.view(func(v *pb.FleetView) {
		for _, s := range v.Servers {
			s.Leaving = true
		}
	})
	f.peers.frames = []*pb.ForwardFrame{headFrame(200, 5)}
	for range maxAnswerBytes>>20 + 1 {
		f.peers.frames = append(f.peers.frames, chunkFrame(strings.Repeat("x", 1<<20)))
	}
	sink := &memorySink{}
	if fail := f.g.Execute(context.Background(), f.request("/order/1"), sink); fail == nil || fail.Code != failure.Truncated || fail.Outcome != failure.Unknown || sink.head != nil {
		t.Errorf("ended with %v, head %v", fail, sink.head)
	}
}

// TestStreamLeftUnread guards against a server that counts as failing because it cut off a stream that this host did
// not read while the caller took nothing.
func TestStreamLeftUnread(t *testing.T) {
	for pause, want := range map[time.Duration]dispatch.Outcome{
		unreadTolerance: dispatch.CallerEnded, unreadTolerance - time.Millisecond: dispatch.ConnectionFailed,
	} {
		f := newFixture(t)
		x, _ := f.g.begin(context.Background(), f.request("/match/1"), &pausingSink{f: f, pause: pause})
		f.backends.answer = func(int, *Attempt) (*Answer, bool, error) { return streamAnswer(event1+event2, true), true, nil }
		if res := f.g.attemptServer(context.Background(), x, f.g.place(x)); res.outcome != want || res.err == nil {
			t.Errorf("after %s: ended with %d, %v, want %d", pause, res.outcome, res.err, want)
		}
	}
}

// TestEndlessEventLeftUnread guards against a server that does not count as failing when it sends an event without end to
// a caller that has read slowly before.
func TestEndlessEventLeftUnread(t *testing.T) {
	f := newFixture(t)
	x, _ := f.g.begin(context.Background(), f.request("/match/1"), &pausingSink{f: f, pause: unreadTolerance})
	f.backends.answer = func(int, *Attempt) (*Answer, bool, error) {
		body := io.MultiReader(strings.NewReader(event1), &repeatingReader{text: "x", unit: 64 << 10})
		return &Answer{Head: Head{Status: 200, Header: http.Header{}, Length: -1}, Body: io.NopCloser(body)}, true, nil
	}
	if res := f.g.attemptServer(context.Background(), x, f.g.place(x)); res.outcome != dispatch.ConnectionFailed || res.err == nil {
		t.Errorf("ended with %d, %v", res.outcome, res.err)
	}
}

// pausingSink takes the first event only after a pause.
type pausingSink struct {
	memorySink
	f     *fixture
	pause time.Duration
}

func (s *pausingSink) Data(b []byte) error {
	s.f.clock.advance(s.pause)
	s.pause = 0
	return s.memorySink.Data(b)
}

// manyRequests is the number of requests at once in tests with real connections.
const manyRequests = 1000

// connBackends sends attempts over real connections to a server.
type connBackends struct {
	pool *backendconn.Pool
	addr string
}

func (b *connBackends) Connected(string) bool { return true }

func (b *connBackends) Confirm(string, string, time.Time) {}

func (b *connBackends) Send(ctx context.Context, a *Attempt) (*Answer, bool, error) {
	req, _ := http.NewRequest(http.MethodGet, "http://server"+a.Request.URI, nil)
	resp, err := b.pool.Do(ctx, b.addr, req, nil, func(*http.Response, func() bool) bool { return true })
	if err != nil {
		return nil, true, err
	}
	return &Answer{Head: Head{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}, Body: resp.Body}, true, nil
}

// endlessServer sends a head and then repeats a text for each of manyRequests requests, once all have arrived. If
// pauseAt is not 0, it stops each answer after as many bytes until resume is closed.
type endlessServer struct {
	head, text    string
	pauseAt       int
	paused        chan struct{} // receives once for each answer that is stopped or has ended
	resume, all   chan struct{}
	sent, arrived atomic.Int64
}

func (s *endlessServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
	if _, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err != nil {
		return
	}
	if s.arrived.Add(1) == manyRequests {
		close(s.all)
	}
	<-s.all
	n, err := io.WriteString(c, s.head)
	for paused := s.pauseAt == 0; err == nil; {
		if !paused && n >= s.pauseAt {
			s.paused <- struct{}{}
			<-s.resume
			paused = true
		}
		var m int
		m, err = io.WriteString(c, s.text)
		n += m
		s.sent.Add(int64(m))
	}
	if s.pauseAt > n {
		s.paused <- struct{}{}
	}
}

// connFixture returns a fixture whose servers are one endless server, with real connections and a budget of 36 MiB.
func connFixture(t *testing.T, head, text string, pauseAt int) (*fixture, *endlessServer) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{head: head, text: text, pauseAt: pauseAt, paused: make(chan struct{}, manyRequests), resume: make(chan struct{}), all: make(chan struct{})}
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go s.serve(c)
		}
	}()
	f := newFixture(t)
	rec := baseRecord()
	for i := range rec.Routes {
		rec.Routes[i].TimeoutMS = time.Minute.Milliseconds() // a busy machine takes longer than the others allow
	}
	f.install(8, rec)
	f.view(func(v *pb.FleetView) {
		for _, s := range v.Servers {
			s.Slots = manyRequests
		}
	})
	f.g.o.AnswerBudget = membudget.New(36 << 20)
	pool := backendconn.New(backendconn.Options{DialTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdlePerAddr: 4, Budget: f.g.o.AnswerBudget})
	f.g.o.Backends = &connBackends{pool: pool, addr: ln.Addr().String()}
	t.Cleanup(func() { _ = ln.Close() })
	return f, s
}

// patientRequest returns a request whose caller waits for a minute.
func (f *fixture) patientRequest(path string) *Request {
	r := f.request(path)
	r.Wait = time.Minute
	return r
}

// perRequestBytes is what a request takes beside the budget: the free parts of its head and of its answer, and the
// buffers and goroutines of the server, the host and the caller.
const perRequestBytes = 64 << 10

// checkHeap checks the live objects beyond those of before. While a buffer doubles, the one before exists too, which is
// half of it.
func checkHeap(t *testing.T, f *fixture, requests int, before int64) {
	t.Helper()
	held, limit := heapBytes()-before, f.g.o.AnswerBudget.Limit()*3/2+int64(requests)*perRequestBytes
	t.Logf("%d bytes of heap for %d requests, want at most %d; %d of them of the budget, %d at most", held, requests, limit, f.g.o.AnswerBudget.Used(), f.g.o.AnswerBudget.Peak())
	if held > limit || f.g.o.AnswerBudget.Peak() > f.g.o.AnswerBudget.Limit() {
		t.Error("over the limit")
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // what a sync.Pool holds survives one
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestThousandEndlessAnswers guards against a host whose memory grows with what faulty servers send: a thousand
// answers without end at once stay within the budget, and each caller gets a failure.
func TestThousandEndlessAnswers(t *testing.T) {
	const n = manyRequests
	text := strings.Repeat("x", 16<<10)
	for path, head := range map[string]string{
		"/order/1": "HTTP/1.1 200 OK\r\n\r\n", "/chat/1": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	} {
		t.Run(path, func(t *testing.T) {
			f, server := connFixture(t, head, text, 96<<10)
			before := heapBytes()
			failed := make(chan *failure.Error, n)
			for range n {
				go func() { failed <- f.g.Execute(context.Background(), f.patientRequest(path), &memorySink{}) }()
			}
			for range n {
				<-server.paused
			}
			checkHeap(t, f, n, before)
			close(server.resume)
			for range n {
				if fail := <-failed; fail == nil || fail.Outcome != failure.Unknown {
					t.Errorf("ended with %v", fail)
				}
			}
			t.Logf("%d bytes sent by the server", server.sent.Load())
			if used := f.g.o.AnswerBudget.Used(); used != 0 {
				t.Errorf("%d bytes counted at the end", used)
			}
		})
	}
}

// blockedSink takes nothing before its caller leaves.
type blockedSink struct {
	blocked chan<- struct{}
	leave   <-chan struct{}
}

func (s *blockedSink) Head(Head) error { return nil }

func (s *blockedSink) Data([]byte) error {
	s.blocked <- struct{}{}
	<-s.leave
	return errors.New("the caller left")
}

// TestThousandSlowReaders guards against a host that reads on, from servers that send at full speed, for callers that
// take nothing.
func TestThousandSlowReaders(t *testing.T) {
	const n = manyRequests
	f, server := connFixture(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data: "+strings.Repeat("x", 8<<10)+"\n\n", 0)
	before := heapBytes()
	blocked, leave, ended := make(chan struct{}, n), make(chan struct{}), make(chan *failure.Error, n)
	for range n {
		go func() {
			ended <- f.g.Execute(context.Background(), f.patientRequest("/chat/1"), &blockedSink{blocked, leave})
		}()
	}
	for range n {
		select {
		case <-blocked:
		case fail := <-ended:
			t.Fatal(fail)
		}
	}
	checkHeap(t, f, n, before)
	t.Logf("%d bytes sent by the server", server.sent.Load())
	close(leave)
	for range n {
		if fail := <-ended; fail == nil {
			t.Error("a stream that was not taken ended well")
		}
	}
}
