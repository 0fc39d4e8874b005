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

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// TestOutputThatIsStuck writes far more lines than the queue holds, each of an
// event of its own so that no rate applies: nobody waits, and what is not
// written is counted.
func TestOutputThatIsStuck(t *testing.T) {
	w := &stuck{release: make(chan struct{})}
	b := NewBounded(w, 0)
	const lines = 3 * queuedLines
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

// TestRateOfOneEvent writes one event ten times as often as its bound: most of it
// is left out and counted, other events are not.
func TestRateOfOneEvent(t *testing.T) {
	var out bytes.Buffer
	b := NewBounded(&out, 0)
	const lines = 10 * linesPerSecond
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
		t.Error("another event was left out")
	}
}

// largest notes the longest single write.
type largest struct{ n int }

func (l *largest) Write(p []byte) (int, error) {
	l.n = max(l.n, len(p))
	return len(p), nil
}

// TestLinesFasterThanTheOutput keeps the queue full all the time: what is written
// at once stays bounded, so that the process's memory does.
func TestLinesFasterThanTheOutput(t *testing.T) {
	w := &largest{}
	q := newQueue(w)
	line := bytes.Repeat([]byte("x"), 1000)
	for range 20 * queuedLines {
		_, _ = q.Write(line)
	}
	q.close()
	if w.n > maxBatch+len(line) {
		t.Errorf("%d bytes in one write, bound %d", w.n, maxBatch)
	}
}

// BenchmarkLine is the cost of one decision's line to the request that it belongs to.
func BenchmarkLine(b *testing.B) {
	l := NewBounded(io.Discard, 0)
	defer l.Close()
	for i := range b.N {
		l.Info(fmt.Sprint("place chosen ", i%1000), "request_id", "r1", "route", "chat", "config_version", 7, "attempt", 1,
			"remaining_ms", 14000, "outcome", "server", "server", "i-1", "estimate_ms", 120)
	}
}

// BenchmarkLineOverRate is the cost of a line that is dropped because its event comes too
// often: at ten times the load of a sheet's peak seven lines of ten are.
func BenchmarkLineOverRate(b *testing.B) {
	out := NewBounded(io.Discard, 0)
	defer out.Close()
	for range linesPerSecond {
		out.Info("place chosen")
	}
	b.ReportAllocs()
	for b.Loop() {
		out.Info("place chosen", "request_id", "9c41d07be2a35f68", "route", "r-x73d3zj", "attempt", 1, "remaining_ms", 4980,
			"outcome", "server", "server", "i-7f3a91c2", "estimate_ms", 53)
	}
}
