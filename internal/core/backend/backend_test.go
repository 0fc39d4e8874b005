package backend

import (
	"math/rand"
	"testing"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

var start = time.Unix(1_700_000_000, 0)

func announcement(inc, seq uint64) *pb.BackendState {
	return &pb.BackendState{Id: "s", Kind: KindEngine, Models: []string{"m"}, Slots: 8, Incarnation: inc, Sequence: seq}
}

func table() *Table {
	return NewTable(Limits{Lease: 3 * time.Second, SlowStart: 10 * time.Second, Lag: 500 * time.Millisecond})
}

func TestMergeKeepsNewestAnnouncement(t *testing.T) {
	for _, c := range []struct {
		name       string
		inc, seq   uint64
		wantMerged bool
	}{
		{"later announcement", 2, 6, true},
		{"same announcement through another host", 2, 5, false},
		{"earlier announcement, delayed", 2, 4, false},
		{"old incarnation", 1, 99, false},
		{"new incarnation", 3, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tab := table()
			tab.Merge(announcement(2, 5), start)
			if got := tab.Merge(announcement(c.inc, c.seq), start); got != c.wantMerged {
				t.Errorf("merged %v, want %v", got, c.wantMerged)
			}
			if len(tab.All()) != 1 {
				t.Errorf("%d servers, want one", len(tab.All()))
			}
		})
	}
}

func TestUsableReasons(t *testing.T) {
	for _, c := range []struct {
		name string
		prep func(*Table, *Server)
		at   time.Duration
		want SkipReason
	}{
		{"usable", func(*Table, *Server) {}, time.Second, SkipNone},
		{"lease lapsed", func(*Table, *Server) {}, 3*time.Second + 1, SkipLapsed},
		{"leaving", func(tab *Table, _ *Server) {
			st := announcement(2, 6)
			st.Leaving = true
			tab.Merge(st, start)
		}, 0, SkipLeaving},
		{"after a connection failure", func(tab *Table, s *Server) {
			tab.Started(s, nil, start)
			tab.Finished(s, false, 0, start)
		}, initialBreakerPause - 1, SkipBreaker},
		{"one attempt probes after the pause", func(tab *Table, s *Server) {
			tab.Started(s, nil, start)
			tab.Finished(s, false, 0, start)
		}, initialBreakerPause, SkipNone},
		{"a second waits for the probe", func(tab *Table, s *Server) {
			tab.Started(s, nil, start)
			tab.Finished(s, false, 0, start)
			tab.Started(s, nil, start.Add(initialBreakerPause))
		}, initialBreakerPause, SkipBreaker},
	} {
		t.Run(c.name, func(t *testing.T) {
			tab := table()
			tab.Merge(announcement(2, 5), start)
			s := tab.Get("s")
			c.prep(tab, s)
			if got := tab.Usable(s, start.Add(c.at)); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

func TestSlowStartRises(t *testing.T) {
	tab := table()
	tab.Merge(announcement(1, 1), start)
	s := tab.Get("s")
	last := 0.0
	for d := time.Duration(0); d <= 10*time.Second; d += time.Second {
		r := tab.Ramp(s, start.Add(d))
		if r < last || r < 0.2 || r > 1 {
			t.Fatalf("ramp %v at %s after %v", r, d, last)
		}
		last = r
	}
	if last != 1 {
		t.Errorf("ramp %v at the end, want 1", last)
	}
	tab.Merge(announcement(2, 1), start.Add(time.Minute))
	if r := tab.Ramp(tab.Get("s"), start.Add(time.Minute)); r > 0.21 {
		t.Errorf("a restarted server starts at %v", r)
	}
}

func TestCacheEventGapResetsTheView(t *testing.T) {
	tab := table()
	tab.Merge(announcement(1, 1), start)
	s := tab.Get("s")
	chain := []uint64{1, 2, 3, 4}
	if s.CacheEvents(1, chain, nil) || s.Cached(chain) != 1 {
		t.Fatalf("after the first batch: %v", s.Cached(chain))
	}
	if s.CacheEvents(2, nil, []uint64{3}) || s.Cached(chain) != 0.5 {
		t.Fatalf("after an eviction: %v", s.Cached(chain))
	}
	if !s.CacheEvents(4, []uint64{1}, nil) {
		t.Error("the gap was not detected")
	}
	if got := s.Cached(chain); got != 0.25 {
		t.Errorf("after a gap the view must hold only the new batch: %v, want 0.25", got)
	}
}

// TestLagEstimate feeds load reports of a known age and checks that the estimated lag is within
// 0.5 s.
func TestLagEstimate(t *testing.T) {
	for _, lag := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
		tab := table()
		tab.SetSenders(2)
		rnd := rand.New(rand.NewSource(1))
		tab.Merge(announcement(1, 1), start)
		s := tab.Get("s")
		var loads []int
		now := start
		for step := range 3000 {
			now = now.Add(100 * time.Millisecond)
			switch {
			case rnd.Float64() < 0.3 && s.Inflight < 8:
				tab.Started(s, nil, now)
			case rnd.Float64() < 0.3 && s.Inflight > 0:
				tab.Finished(s, true, time.Second, now)
			}
			loads = append(loads, 2*s.Inflight)
			if step%10 == 9 {
				st := announcement(1, uint64(step+2))
				st.Running = uint32(loads[max(0, len(loads)-1-int(lag/(100*time.Millisecond)))])
				tab.Merge(st, now)
			}
		}
		if got := tab.Lag(); got < lag-500*time.Millisecond || got > lag+500*time.Millisecond {
			t.Errorf("lag %s estimated as %s", lag, got)
		}
	}
}
