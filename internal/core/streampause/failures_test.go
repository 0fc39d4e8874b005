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
	if capacityOf(after, 1) < initialUse*capacityOf(members, maxUse) {
		t.Errorf("a pool of %d engines at the start", len(after))
	}
	if !slices.Equal(after, before[:len(after)]) {
		t.Errorf("engines %v, and %v at a host that runs", after, before)
	}
}
