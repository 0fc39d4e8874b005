package metrics

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// TestGaugesRunWithoutSetLock reads the set while a gauge function waits for a lock
// whose holder adds a counter. It deadlocks if gauge functions run under the set's lock.
func TestGaugesRunWithoutSetLock(t *testing.T) {
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
