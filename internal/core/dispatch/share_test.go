package dispatch

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestShareOut(t *testing.T) {
	loaded := func(arrivals, waiting float64) pool {
		return pool{capacity: 100 / usableCapacity, arrivals: arrivals, waiting: waiting}
	}
	named := func(region string, p pool) pool { p.region = region; return p }
	for _, c := range []struct {
		name   string
		own    pool
		others []pool
		want   []regionShare
	}{
		{"enough capacity", loaded(99, 0), []pool{named("b", loaded(0, 0))}, nil},
		{"no other region", loaded(150, 0), nil, nil},
		{"a third in excess", loaded(150, 0), []pool{named("b", loaded(50, 0))}, []regionShare{{"b", 1.0 / 3}}},
		{"room for half of the excess", loaded(150, 0), []pool{named("b", loaded(75, 0))}, []regionShare{{"b", 1.0 / 6}}},
		{"two regions with room", loaded(150, 0), []pool{named("b", loaded(20, 0)), named("c", loaded(80, 0))}, []regionShare{{"b", 0.8 / 3}, {"c", 0.2 / 3}}},
		{"another region has an excess too", loaded(150, 0), []pool{named("b", loaded(50, 0)), named("c", loaded(200, 0))}, []regionShare{{"b", 1.0 / 9}}},
		{"requests wait here", loaded(100, 25), []pool{named("b", loaded(0, 0))}, []regionShare{{"b", 0.5}}},
		{"requests wait there", loaded(150, 0), []pool{named("b", loaded(50, 25))}, nil},
		{"no server here", pool{arrivals: 50}, []pool{named("b", loaded(0, 0))}, []regionShare{{"b", 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := excessShares(c.own, c.others)
			if len(got) != len(c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
			for i, s := range got {
				if s.region != c.want[i].region || math.Abs(s.part-c.want[i].part) > 1e-9 {
					t.Errorf("got %v, want %v", got, c.want)
				}
			}
		})
	}
}

// TestShareOutGivesNoMoreThanThereIs checks that the requests that regions send to each other,
// computed from the same figures, exceed neither the excess of the sender nor the free capacity
// of the receiver.
func TestShareOutGivesNoMoreThanThereIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []pool
		for i := range rapid.IntRange(2, 5).Draw(t, "regions") {
			figure := rapid.Float64Range(0, 1000)
			pools = append(pools, pool{string(rune('a' + i)), figure.Draw(t, "capacity"), figure.Draw(t, "arrivals"), figure.Draw(t, "waiting") / 10})
		}
		received := map[string]float64{}
		for i, own := range pools {
			var others []pool
			others = append(append(others, pools[:i]...), pools[i+1:]...)
			sent := 0.0
			for _, s := range excessShares(own, others) {
				received[s.region] += s.part * own.arrivals
				sent += s.part * own.arrivals
			}
			if most := math.Min(own.arrivals, math.Max(0, -own.surplus())); sent > most+1e-6 {
				t.Fatalf("%v sends away %.3f", own, sent)
			}
		}
		for _, p := range pools {
			if received[p.region] > math.Max(0, p.surplus())+1e-6 {
				t.Fatalf("%v receives %.3f", p, received[p.region])
			}
		}
	})
}

func TestFillLevel(t *testing.T) {
	server := func(requests int) *Server { return &Server{Slots: 10, estimatedRequests: float64(requests)} }
	for _, c := range []struct {
		name     string
		servers  []*Server
		requests float64
		want     float64
	}{
		{"none", nil, 5, 5},
		{"one", []*Server{server(5)}, 5, 1},
		{"the emptier one first", []*Server{server(20), server(0)}, 10, 1},
		{"both", []*Server{server(20), server(0)}, 40, 3},
		{"three", []*Server{server(10), server(0), server(30)}, 10, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := fillLevel(c.servers, c.requests); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
