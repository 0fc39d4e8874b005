package dispatch

import (
	"testing"
	"time"
)

// TestRestoredDomainIsColdUntilHeard tells this story. A failure domain was evacuated; its
// engines lost their caches meanwhile and said so. Two of them could not be heard by the
// control hosts, though entry hosts reached them. When the evacuation was withdrawn, three
// entry hosts sent one of them 13 requests in 80 ms, as to a warm one, and it fell over: its
// last word, 2.6 s old, counted for 4.5 s. Servers of a failure domain that comes back may
// be cold, so an announcement of before says nothing of that.
//
// Evidence: no announcement of the engine arrived in the 2.6 s before; its neighbors'
// arrived and said cold; the entry hosts did not weigh it as cold.
func TestRestoredDomainIsColdUntilHeard(t *testing.T) {
	const rate = 2 // requests in a second that the owner of a cold server sends, of 2.6 that it bears
	cases := []struct {
		name string
		// heard is when an announcement came after the domain was taken back; 0 for never.
		heard  time.Duration
		coldMS uint64
		now    time.Duration
		want   int
	}{
		{"not heard since", 0, 0, 100 * time.Millisecond, rate},
		{"not heard for an interval", 0, 0, 1200 * time.Millisecond, rate},
		{"heard, warm", 500 * time.Millisecond, 0, 600 * time.Millisecond, 10},
		{"heard, cold", 500 * time.Millisecond, 3000, 600 * time.Millisecond, rate},
		{"heard, cold no more", 500 * time.Millisecond, 300, time.Second, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			restored := start.Add(10 * time.Second)
			f := newTestFleet(1)
			view := func(evacuated []string, revision uint64, heard time.Time, coldMS uint64, now time.Time) {
				v := testView(1)
				v.Regions, v.Evacuated, v.EvacuationRevision = nil, evacuated, revision
				v.Servers[0].AgeMs, v.Servers[0].ColdMs = uint64(now.Sub(heard).Milliseconds()), coldMS
				f.TakeView(v, Everything, now)
			}
			last := restored.Add(-2 * time.Second)
			view([]string{"w1"}, 1, last, 0, restored.Add(-time.Second))
			view(nil, 2, last, 0, restored)
			if c.heard > 0 {
				at := restored.Add(c.heard)
				view(nil, 2, at, c.coldMS, at)
			}
			if got := sendAll(f, 10, restored.Add(c.now)); got != c.want {
				t.Errorf("%d of 10 requests were sent, want %d", got, c.want)
			}
		})
	}
}

// sendAll sends up to n requests at a moment and returns how many had a place.
func sendAll(f *Fleet, n int, now time.Time) (sent int) {
	for range n {
		c := f.Choose(shortJob(), now)
		if c.Server == nil {
			continue
		}
		f.Started(&c, now)
		sent++
	}
	return sent
}
