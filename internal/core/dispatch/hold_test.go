package dispatch

import (
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
)

// TestWaitForASlotIsLearned checks that the estimated wait for a slot uses the measured time
// for which requests hold their slots. The engine holds slots for 3 s and has 16 requests more
// than slots: half of its slots are free again after 1.5 s at the earliest. A fixed estimate of
// 1 s per slot was too short.
func TestWaitForASlotIsLearned(t *testing.T) {
	const slots, over, holdMS = 32, 16, 3000
	f := newTestFleet(1)
	v := testView(1)
	v.Regions, v.Servers[0].Slots = nil, slots
	f.ApplyView(v, FullScope, start)
	now := start
	for range 200 {
		c := f.Choose(shortJob(), now)
		f.Started(&c, now)
		f.FirstByte(&c, 50*time.Millisecond)
		f.Ended(&c, Served, 50*time.Millisecond, now.Add(50*time.Millisecond+holdMS*time.Millisecond))
	}
	v.Loads = serverload.Encode(serverload.Loads{holders.Key("s0"): {Requests: slots + over}})
	f.ApplyView(v, FullScope, now)
	j := shortJob()
	j.Permits = only("west")
	c := f.Choose(j, now)
	if want := float64(over) * holdMS / slots; c.EstimateMS < want || c.EstimateMS > want+500 {
		t.Errorf("first event expected after %.0f ms, want %.0f to 500 ms more", c.EstimateMS, want)
	}
}
