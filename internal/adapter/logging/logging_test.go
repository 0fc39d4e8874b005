package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
)

func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	b := NewBounded(&out, 0)
	b.WithValues("host", "h1").Info("place chosen", "request_id", "r\n1", "estimate_ms", 12)
	b.V(1).Info("debugging only")
	b.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 1 {
		t.Fatalf("%d lines: %s", len(lines), out.String())
	}
	var line map[string]any
	if err := json.Unmarshal([]byte(lines[0]), &line); err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]any{"event": "place chosen", "host": "h1", "request_id": "r\n1", "estimate_ms": 12.0} {
		if line[k] != v {
			t.Errorf("%s is %v, want %v", k, line[k], v)
		}
	}
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// TestBlockedOutput logs three times as many lines as the queue holds while the
// output blocks, and checks that every line is written or counted as dropped. Each
// line is a separate event, so that the rate limit does not apply.
func TestBlockedOutput(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	b := NewBounded(w, 0)
	const lines = 3 * maxQueuedLines
	for i := range lines {
		b.Info(fmt.Sprint("event ", i))
	}
	close(w.release)
	b.Close()
	_, dropped := b.Dropped()
	written := int64(strings.Count(w.out.String(), "\n"))
	if dropped == 0 || written+dropped != lines {
		t.Errorf("%d written, %d counted as dropped, of %d", written, dropped, lines)
	}
}

// TestEventRateLimit logs one event at ten times its maximum rate, and checks that the
// excess is dropped and counted, and that another event is logged.
func TestEventRateLimit(t *testing.T) {
	var out bytes.Buffer
	b := NewBounded(&out, 0)
	const lines = 10 * maxEventLinesPerSecond
	for range lines {
		b.Info("place chosen")
	}
	b.Info("request failed")
	b.Close()
	over, _ := b.Dropped()
	chosen := int64(strings.Count(out.String(), "place chosen"))
	if chosen+over != lines || over < lines/2 {
		t.Errorf("%d written, %d counted as over the rate, of %d", chosen, over, lines)
	}
	if !strings.Contains(out.String(), "request failed") {
		t.Error("another event was dropped")
	}
}

// maxWriteRecorder records the size of the largest write, in bytes.
type maxWriteRecorder struct{ n int }

func (l *maxWriteRecorder) Write(p []byte) (int, error) {
	l.n = max(l.n, len(p))
	return len(p), nil
}

// TestBatchSizeIsBounded keeps the queue full and checks the size of each write. A batch
// that grew while lines kept arriving would have no limit on its memory.
func TestBatchSizeIsBounded(t *testing.T) {
	w := &maxWriteRecorder{}
	q := newQueue(w)
	line := bytes.Repeat([]byte("x"), 1000)
	for range 20 * maxQueuedLines {
		_, _ = q.Write(line)
	}
	q.close()
	if w.n > maxBatchBytes+len(line) {
		t.Errorf("%d bytes in one write, limit %d", w.n, maxBatchBytes)
	}
}

// BenchmarkLine measures the time that logging a routing decision adds to a request.
func BenchmarkLine(b *testing.B) {
	l := NewBounded(io.Discard, 0)
	defer l.Close()
	for i := range b.N {
		l.Info(fmt.Sprint("place chosen ", i%1000), "request_id", "r1", "route", "chat", "config_version", 7, "attempt", 1,
			"remaining_ms", 14000, "outcome", "server", "server", "i-1", "estimate_ms", 120)
	}
}

// BenchmarkLineOverRate measures the cost of a line that the rate limit drops. At ten times
// the specified peak load, seven of ten lines are dropped.
func BenchmarkLineOverRate(b *testing.B) {
	out := NewBounded(io.Discard, 0)
	defer out.Close()
	for range maxEventLinesPerSecond {
		out.Info("place chosen")
	}
	b.ReportAllocs()
	for b.Loop() {
		out.Info("place chosen", "request_id", "9c41d07be2a35f68", "route", "r-x73d3zj", "attempt", 1, "remaining_ms", 4980,
			"outcome", "server", "server", "i-7f3a91c2", "estimate_ms", 53)
	}
}
