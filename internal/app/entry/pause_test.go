package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

// manualClock is advanced by the test.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// sheddingBackends answer requests of some addresses 503 and ask for a pause.
type sheddingBackends struct {
	sheds map[string]time.Duration // pause by address
	calls map[string]int
	// leaves is the address of the server whose answers say that it leaves; "" for none.
	leaves string
}

func (b *sheddingBackends) Do(_ context.Context, c port.BackendCall) (*port.BackendAnswer, bool, error) {
	b.calls[c.Address]++
	if pause := b.sheds[c.Address]; pause > 0 {
		return &port.BackendAnswer{Status: http.StatusServiceUnavailable, Refused: true, Pause: pause, Body: io.NopCloser(strings.NewReader(""))}, true, nil
	}
	return &port.BackendAnswer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: io.NopCloser(strings.NewReader(completeAnswer)), Leaving: c.Address == b.leaves}, true, nil
}

// TestBackendServerGetsNothingInItsPause guards against a host that forgets a server's Retry-After with the attempt.
func TestBackendServerGetsNothingInItsPause(t *testing.T) {
	const pause = 3 * time.Second
	engines := []string{"127.0.0.1:9000", "127.0.0.1:9001", "127.0.0.1:9002"}
	for name, shedding := range map[string][]string{"one of three": engines[:1], "all": engines} {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: time.Now()}
			b := &sheddingBackends{sheds: map[string]time.Duration{}, calls: map[string]int{}}
			for _, addr := range shedding {
				b.sheds[addr] = pause
			}
			h := newTestHost(t, b, noPeers{}, func(o *Options) { o.Clock = clock })
			refused := 0
			for range 100 {
				r := chat(false)
				r.Deadline = time.Time{}
				if f := h.Execute(context.Background(), r, &memorySink{}); f != nil {
					refused++
					if f.Outcome != failure.NotRun || f.RetryAfter <= 0 || f.RetryAfter > pause+300*time.Millisecond+serverpause.SlowStart {
						t.Errorf("refused with %s, %s, Retry-After %s", f.Code, f.Outcome, f.RetryAfter)
					}
				}
				clock.advance(20 * time.Millisecond)
			}
			for _, addr := range shedding {
				if b.calls[addr] > 1 {
					t.Errorf("%s got %d requests, one of them before its pause", addr, b.calls[addr])
				}
			}
			if len(shedding) < len(engines) && refused > 0 {
				t.Errorf("%d refused though other servers have room", refused)
			}
			for _, addr := range shedding {
				delete(b.sheds, addr)
			}
			clock.advance(pause + serverpause.SlowStart)
			for range 100 {
				_ = h.Execute(context.Background(), chat(false), &memorySink{})
			}
			if b.calls[shedding[0]] < 2 {
				t.Error("not used after its pause")
			}
		})
	}
}

// TestBackendServerThatSaysItLeavesGetsNothingMore guards against a host that waits for the announcement.
func TestBackendServerThatSaysItLeavesGetsNothingMore(t *testing.T) {
	b := &sheddingBackends{calls: map[string]int{}, leaves: "127.0.0.1:9000"}
	h := newTestHost(t, b, noPeers{})
	for range 50 {
		if f := h.Execute(context.Background(), chat(false), &memorySink{}); f != nil {
			t.Fatal(f)
		}
	}
	if got := b.calls[b.leaves]; got != 1 {
		t.Errorf("%d requests, want one", got)
	}
}
