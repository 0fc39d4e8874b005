package peerlink

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// inBubble runs f in a bubble of its own.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if err := goleak.Find(); err != nil { // it may hold a timer
		t.Fatal(err)
	}
	emptyTimerPool()
	defer emptyTimerPool()
	synctest.Test(t, f)
}

// emptyTimerPool empties yamux's pool of timers: a timer must not pass from one bubble to another.
func emptyTimerPool() {
	const cyclesThatEmptyAPool = 2
	for range cyclesThatEmptyAPool {
		runtime.GC()
	}
}

// exchange is a forward, or a call, of a history and what became of it.
type exchange struct {
	id           string
	call         bool
	start        time.Duration // since the history's begin
	body         int           // bytes
	chunks       int           // of the answer
	chunkSize    int           // bytes
	serverPause  time.Duration // before each chunk and the end; the whole time of a call
	readerPause  time.Duration // before each read
	cancelsAfter time.Duration // when the caller gives up; 0 for never

	mu       sync.Mutex
	read     bool // the server has read the request
	whole    bool // the caller has read the whole answer
	canceled bool // the caller gave up
	err      error
	chunk    int // received
}

func (x *exchange) String() string {
	kind := "forward"
	if x.call {
		kind = "call"
	}
	return fmt.Sprintf("%s %s at %s, body %d, %d chunks of %d bytes every %s, read every %s, cancels after %s",
		kind, x.id, x.start, x.body, x.chunks, x.chunkSize, x.serverPause, x.readerPause, x.cancelsAfter)
}

// fault returns what the exchange breaks of the promise that a request that was read gets its whole answer,
// and any other a refusal that states that it did not run; "" for nothing.
func (x *exchange) fault() string {
	if f := x.contradiction(); f != "" {
		return f
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.whole || x.canceled || x.refused() {
		return ""
	}
	return fmt.Sprintf("neither answered nor refused as not run (read: %t) after %d of %d chunks: %v", x.read, x.chunk, x.chunks, x.err)
}

// refused reports whether the caller got a refusal that states that the request did not run. x.mu must be held.
func (x *exchange) refused() bool {
	return x.err != nil && failure.As(x.err, failure.Unknown).Outcome == failure.NotRun
}

// contradiction returns what the caller was told that is not true; "" for nothing.
func (x *exchange) contradiction() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.whole && !x.read:
		return "answered, but never read"
	case x.read && x.refused():
		return fmt.Sprintf("refused as not run, but read: %v", x.err)
	}
	return ""
}

// historyHandler serves the exchanges of a history.
type historyHandler struct {
	exchanges map[string]*exchange

	mu       sync.Mutex
	inFlight int // requests that are handled
}

func (h *historyHandler) begin(id string) *exchange {
	h.count(1)
	x := h.exchanges[id]
	x.mu.Lock()
	defer x.mu.Unlock()
	x.read = true
	return x
}

func (h *historyHandler) count(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight += n
}

func (h *historyHandler) isIdle() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight == 0
}

func (h *historyHandler) HandleRequest(ctx context.Context, req *pb.Request) *pb.Response {
	x := h.begin(req.From)
	defer h.count(-1)
	wait(ctx, x.serverPause)
	return &pb.Response{From: req.From}
}

func (h *historyHandler) HandleForward(ctx context.Context, req *pb.Request, s port.IncomingStream) {
	f := req.GetForward()
	x := h.begin(f.RequestId)
	defer h.count(-1)
	if _, err := s.Body(f.BodySize, 64<<20); err != nil {
		return
	}
	ctx, cancel := s.CancelOnClose(ctx)
	defer cancel()
	for i := range x.chunks {
		if wait(ctx, x.serverPause) != nil {
			return
		}
		data := make([]byte, x.chunkSize)
		for j := range data {
			data[j] = byte(i)
		}
		if s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_Chunk{Chunk: data}}) != nil {
			return
		}
	}
	if wait(ctx, x.serverPause) == nil {
		_ = s.Send(&pb.ForwardFrame{Frame: &pb.ForwardFrame_End{End: &pb.ForwardEnd{Complete: true}}})
	}
}

// wait waits for d. It returns an error if ctx ends before.
func wait(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// linkHistory is a server and a client with a link over a fake network, in a bubble.
type linkHistory struct {
	net     *fakeNet
	server  *Server
	client  *Client
	handler *historyHandler
	stop    context.CancelFunc // ends the server's Run
	stopped chan struct{}      // closed when Run has returned
	asked   sync.WaitGroup     // exchanges in progress
}

func newLinkHistory(n *fakeNet, o Options, exchanges ...*exchange) (*linkHistory, error) {
	o.Key = []byte("key")
	h := &linkHistory{net: n, handler: &historyHandler{exchanges: map[string]*exchange{}}, stopped: make(chan struct{})}
	for _, x := range exchanges {
		h.handler.exchanges[x.id] = x
	}
	var err error
	if h.server, err = NewServer("127.0.0.1:0", o, h.handler, o.Log); err != nil {
		return nil, err
	}
	_ = h.server.ln.Close()
	h.server.ln = n.ln
	o.Log = logr.Discard()
	h.client = NewClient(o)
	h.client.dialTCP = n.dial
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		defer close(h.stopped)
		_ = h.server.Run(ctx)
	}()
	return h, nil
}

const fakeAddress = "host"

// connect opens the client's link.
func (h *linkHistory) connect() error {
	_, err := h.client.session(context.Background(), fakeAddress)
	return err
}

// ask plays the client's side of the exchange.
func (h *linkHistory) ask(x *exchange) {
	h.asked.Add(1)
	go func() {
		defer h.asked.Done()
		time.Sleep(x.start)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		if x.cancelsAfter > 0 {
			stop := time.AfterFunc(x.cancelsAfter, func() {
				x.mu.Lock()
				x.canceled = true
				x.mu.Unlock()
				cancel()
			})
			defer stop.Stop()
		}
		err := h.exchange(ctx, x)
		x.mu.Lock()
		defer x.mu.Unlock()
		x.whole, x.err = err == nil, err
	}()
}

func (h *linkHistory) exchange(ctx context.Context, x *exchange) error {
	if x.call {
		resp, err := h.client.Call(ctx, fakeAddress, &pb.Request{From: x.id})
		if err == nil && resp.From != x.id {
			return fmt.Errorf("the answer to %s", resp.From)
		}
		return err
	}
	req := &pb.Request{Body: &pb.Request_Forward{Forward: &pb.Forward{RequestId: x.id, BodySize: uint64(x.body)}}}
	s, _, err := h.client.Open(ctx, fakeAddress, req, make([]byte, x.body))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	return x.receive(s)
}

var errNotWhole = errors.New("the answer is not whole")

// receive reads the answer of a forward.
func (x *exchange) receive(s port.ForwardStream) error {
	for {
		time.Sleep(x.readerPause)
		frame, err := s.Recv()
		if err != nil {
			return err
		}
		if frame.GetEnd() != nil {
			if x.chunk != x.chunks || !frame.GetEnd().Complete {
				return errNotWhole
			}
			return nil
		}
		data := frame.GetChunk()
		if len(data) != x.chunkSize || (len(data) > 0 && data[0] != byte(x.chunk)) {
			return errNotWhole
		}
		x.mu.Lock()
		x.chunk++
		x.mu.Unlock()
	}
}

// end waits until the exchanges have ended and the server has stopped, and closes the client.
func (h *linkHistory) end() {
	h.asked.Wait()
	<-h.stopped
	h.client.Close()
}

// failures returns what the exchanges break.
func (h *linkHistory) failures() []string {
	var out []string
	for _, x := range h.handler.exchanges {
		if f := x.fault(); f != "" {
			out = append(out, x.String()+": "+f)
		}
	}
	return out
}

// serverConn returns the server's end of the link.
func (h *linkHistory) serverConn() *fakeConn {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.net.conns[0].other
}

const (
	regionDelay  = 80 * time.Millisecond
	historyAlive = 2 * time.Second // keep-alive interval
)

// TestStopOfAHostCutsNoAnswer guards against an answer, or a request on its way, that the stop of the host that
// serves it cuts.
func TestStopOfAHostCutsNoAnswer(t *testing.T) {
	short := func() *exchange { return &exchange{id: "short", chunks: 1, chunkSize: 100, serverPause: time.Second} }
	for _, c := range []struct {
		name      string
		rate      int
		exchanges []*exchange
		stop      func(h *linkHistory)
	}{
		{name: "last frames and end of the connection arrive together", exchanges: []*exchange{short()}, stop: stopWhenIdle},
		{
			name: "the last frames are read late", stop: stopWhenIdle,
			exchanges: []*exchange{{id: "late", chunks: 3, chunkSize: 100, serverPause: time.Millisecond, readerPause: time.Second}},
		},
		{
			name: "the stopping host has not read all that arrived", rate: 1 << 20, stop: stopWithUnreadBytes,
			exchanges: []*exchange{
				{id: "large", chunks: 6, chunkSize: 64 << 10},
				{id: "crossing", call: true, start: regionDelay / 4},
			},
		},
		{
			name: "a call arrives while the last frames are sent", rate: 1 << 20, stop: stopWhenIdle,
			exchanges: []*exchange{
				{id: "large", chunks: 6, chunkSize: 64 << 10},
				{id: "crossing", call: true, start: 200 * time.Millisecond},
			},
		},
		{
			name: "a forward is on its way", stop: stopAt(time.Second),
			exchanges: []*exchange{{id: "on its way", chunks: 1, chunkSize: 100, body: 100 << 10, start: time.Second - regionDelay/2}},
		},
		{
			name: "a call is on its way", stop: stopAt(time.Second),
			exchanges: []*exchange{{id: "on its way", call: true, start: time.Second - regionDelay/2}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				n := newFakeNet(regionDelay)
				n.rate = c.rate
				h, err := newLinkHistory(n, Options{KeepAlive: historyAlive}, c.exchanges...)
				if err != nil {
					t.Fatal(err)
				}
				if err := h.connect(); err != nil {
					t.Fatal(err)
				}
				for _, x := range c.exchanges {
					h.ask(x)
				}
				c.stop(h)
				h.end()
				for _, f := range h.failures() {
					t.Error(f)
				}
			})
		})
	}
}

// stopWhenIdle stops the server once it has handled the requests that reach it within twice the delay.
func stopWhenIdle(h *linkHistory) {
	h.awaitIdle()
	h.stop()
}

// stopWithUnreadBytes is stopWhenIdle while the server has not read what arrived last.
func stopWithUnreadBytes(h *linkHistory) {
	time.AfterFunc(h.net.delay*9/8, func() { h.serverConn().freeze(true) })
	stopWhenIdle(h)
	time.Sleep(historyAlive / 2)
	h.serverConn().freeze(false)
}

func (h *linkHistory) awaitIdle() {
	time.Sleep(2 * h.net.delay)
	for !h.handler.isIdle() {
		time.Sleep(time.Millisecond)
	}
}

func stopAt(d time.Duration) func(h *linkHistory) {
	return func(h *linkHistory) {
		time.Sleep(d)
		h.stop()
	}
}
