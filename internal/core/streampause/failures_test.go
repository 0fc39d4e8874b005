package streampause

import (
	"slices"
	"testing"
	"time"
)

// TestPoolOfAStartedHost guards against a host that starts with a small pool while caches are empty, and against one
// that orders the engines in another way than the hosts that run already.
func TestPoolOfAStartedHost(t *testing.T) {
	members := testMembers(0.5, 1.2, 0.52, 1.25, 1.2, 0.5, 1.2, 1.2)
	now := time.Unix(100, 0)
	var running, started Pool
	before := running.Update(members, 5000, now)
	slices.Reverse(members)
	after := started.Update(members, 0, now)
	if capacityOf(after, 1) < 0.5*capacityOf(members, 1) {
		t.Errorf("a pool of %d engines at the start", len(after))
	}
	if !slices.Equal(after, before[:len(after)]) {
		t.Errorf("engines %v, and %v at a host that runs", after, before)
	}
}

// TestSpareOfASmallPool guards against long prompts that stay at a pool which is too small for their prefill, as when
// control hosts report only a part of it.
func TestSpareOfASmallPool(t *testing.T) {
	var p Pool
	members, now := testMembers(0.5, 1.2, 1.2, 0.5, 1.2), time.Unix(100, 0)
	for range 60 {
		now = now.Add(shrinkInterval)
		p.Update(members, 100, now)
	}
	for demand, want := range map[float64]float64{2000: 1, 3000: 0.5, 4000: 0, 9000: 0} { // two fast engines do 4000
		if pool := p.Update(members, demand, now); len(pool) != 2 || p.Spare() != want {
			t.Errorf("%d engines, %.0f ms per second: spare %v, want %v", len(pool), demand, p.Spare(), want)
		}
	}
}
