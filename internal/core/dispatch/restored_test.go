package dispatch

import (
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestRestoredDomainIsColdUntilHeard guards against full load on engines that became cold while
// their failure domain was evacuated. In the failure, the engines had lost their caches in the
// meantime and announced that. The announcements of two of them did not reach the control
// hosts, though entry hosts could reach these engines. When the evacuation was withdrawn, three
// entry hosts sent one of them 13 requests in 80 ms as to a warm server, and it failed: its
// last announcement, 2.6 s old, was valid for 4.5 s. Servers of a restored failure domain may
// be cold, so an announcement from before the restoration does not show that they are warm.
//
// Evidence: no announcement of the engine arrived in the 2.6 s before; those of its neighbors
// arrived and reported cold caches; the entry hosts did not treat the engine as cold.
func TestRestoredDomainIsColdUntilHeard(t *testing.T) {
	const rate = 2 // requests per second that the one host sends to a cold server, which tolerates 2.6
	cases := []struct {
		name string
		// announcedAfter is the time from the restoration to the next announcement; 0 for none.
		announcedAfter time.Duration
		coldMS         uint64
		now            time.Duration
		want           int
	}{
		{"no announcement since", 0, 0, 100 * time.Millisecond, rate},
		{"no announcement for an interval", 0, 0, 1200 * time.Millisecond, rate},
		{"announced, warm", 500 * time.Millisecond, 0, 600 * time.Millisecond, 10},
		{"announced, cold", 500 * time.Millisecond, 3000, 600 * time.Millisecond, rate},
		{"announced, no longer cold", 500 * time.Millisecond, 300, time.Second, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			restored := start.Add(10 * time.Second)
			f := newTestFleet(1)
			view := func(evacuated []string, revision uint64, announcedAt time.Time, coldMS uint64, now time.Time) {
				v := testView(1)
				v.Regions, v.Evacuated, v.EvacuationRevision = nil, evacuated, revision
				v.Servers[0].AgeMs, v.Servers[0].ColdMs = uint64(now.Sub(announcedAt).Milliseconds()), coldMS
				f.ApplyView(v, FullScope, now)
			}
			for at := start; at.Before(restored.Add(-time.Second)); at = at.Add(viewInterval) {
				view(nil, 0, at, 0, at)
			}
			last := restored.Add(-2 * time.Second)
			view([]string{"w1"}, 1, last, 0, restored.Add(-time.Second))
			view(nil, 2, last, 0, restored)
			if c.announcedAfter > 0 {
				at := restored.Add(c.announcedAfter)
				view(nil, 2, at, c.coldMS, at)
			}
			if got := sendAll(f, 10, restored.Add(c.now)); got != c.want {
				t.Errorf("%d of 10 requests were sent, want %d", got, c.want)
			}
		})
	}
}

// sendAll sends up to n requests at one time and returns how many were accepted.
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

// TestRestoredDomainIsColdUntilConfirmed guards against full load before a server's state is known.
func TestRestoredDomainIsColdUntilConfirmed(t *testing.T) {
	const rate = 2
	duration := func(d time.Duration) map[string]time.Duration { return map[string]time.Duration{"llm": d} }
	cases := []struct {
		name      string
		durations map[string]time.Duration
		sentAfter uint64
		coldMS    uint64
		now       time.Duration // since the view with the restoration
		want      int
	}{
		{"announced, not confirmed", nil, 0, 0, 0, rate},
		{"announced, an earlier restoration confirmed", nil, 3, 0, 0, rate},
		{"confirmed, warm", nil, 4, 0, 0, 10},
		{"confirmed, cold", nil, 4, 3000, 0, rate},
		{"confirmed, no longer cold", nil, 4, 300, time.Second, 10},
		{"not confirmed for less than a cold phase", duration(3 * time.Second), 0, 0, 2900 * time.Millisecond, rate},
		{"not confirmed for a cold phase", duration(3 * time.Second), 0, 0, 3 * time.Second, 10},
		{"never cold", duration(0), 0, 0, 0, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(1)
			f.SetColdDurations(c.durations)
			v := testView(1)
			v.Regions, v.EvacuationRevision, v.Restored = nil, 5, []*pb.RestoredDomain{{FailureDomain: "w1", Revision: 4}}
			v.Servers[0].Sequence, v.Servers[0].SentAfterRevision, v.Servers[0].ColdMs = 7, c.sentAfter, c.coldMS
			viewAt := start.Add(3 * time.Second)
			for at := start; at.Before(viewAt); at = at.Add(viewInterval) {
				f.ApplyView(testView(1), FullScope, at)
			}
			f.ApplyView(v, FullScope, viewAt)
			for at := viewInterval; at <= c.now; at += viewInterval {
				v.Servers[0].AgeMs = uint64(at.Milliseconds())
				f.ApplyView(v, FullScope, viewAt.Add(at))
			}
			if got := sendAll(f, 10, viewAt.Add(c.now)); got != c.want {
				t.Errorf("%d of 10 requests were sent, want %d", got, c.want)
			}
		})
	}
}
