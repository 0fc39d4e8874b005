package metrics

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// TestGaugeMayTakeLocksUnderWhichCountersAreRaised reads the set while a gauge
// waits for a lock whose holder raises a new counter. With the gauges computed
// under the set's lock this never ends.
func TestGaugeMayTakeLocksUnderWhichCountersAreRaised(t *testing.T) {
	s := New(false)
	var mu sync.Mutex
	inGauge := make(chan struct{})
	s.Gauge("g", func() any {
		close(inGauge)
		mu.Lock()
		defer mu.Unlock()
		return 1
	})
	mu.Lock()
	read := make(chan string)
	go func() { read <- s.String() }()
	<-inGauge
	s.Add("new counter", 2)
	s.Observe("new histogram", time.Millisecond)
	mu.Unlock()
	if got := <-read; !strings.Contains(got, `"g":1`) {
		t.Errorf("got %s", got)
	}
	if got := s.Value("new counter"); got != 2 {
		t.Errorf("counter %d, want 2", got)
	}
}
