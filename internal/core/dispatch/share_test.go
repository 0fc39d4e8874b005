package dispatch

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestShareOut(t *testing.T) {
	full := func(arrivals, waiting float64) pool {
		return pool{capacity: 100 / usableCapacity, arrivals: arrivals, waiting: waiting}
	}
	named := func(region string, p pool) pool { p.region = region; return p }
	for _, c := range []struct {
		name   string
		own    pool
		others []pool
		want   []share
	}{
		{"enough here", full(99, 0), []pool{named("b", full(0, 0))}, nil},
		{"no other region", full(150, 0), nil, nil},
		{"a third too much", full(150, 0), []pool{named("b", full(50, 0))}, []share{{"b", 1.0 / 3}}},
		{"half of it has room", full(150, 0), []pool{named("b", full(75, 0))}, []share{{"b", 1.0 / 6}}},
		{"two with room share it", full(150, 0), []pool{named("b", full(20, 0)), named("c", full(80, 0))}, []share{{"b", 0.8 / 3}, {"c", 0.2 / 3}}},
		{"another wants the room too", full(150, 0), []pool{named("b", full(50, 0)), named("c", full(200, 0))}, []share{{"b", 1.0 / 9}}},
		{"requests wait here", full(100, 25), []pool{named("b", full(0, 0))}, []share{{"b", 0.5}}},
		{"requests wait there", full(150, 0), []pool{named("b", full(50, 25))}, nil},
		{"no server here", pool{arrivals: 50}, []pool{named("b", full(0, 0))}, []share{{"b", 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := shareOut(c.own, c.others)
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

// TestShareOutGivesNoMoreThanThereIs: what all regions give by the same figures is neither
// more than they have too much nor more than the others have room for.
func TestShareOutGivesNoMoreThanThereIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pools []pool
		for i := range rapid.IntRange(2, 5).Draw(t, "regions") {
			figure := rapid.Float64Range(0, 1000)
			pools = append(pools, pool{string(rune('a' + i)), figure.Draw(t, "capacity"), figure.Draw(t, "arrivals"), figure.Draw(t, "waiting") / 10})
		}
		taken := map[string]float64{}
		for i, own := range pools {
			var others []pool
			others = append(append(others, pools[:i]...), pools[i+1:]...)
			given := 0.0
			for _, s := range shareOut(own, others) {
				taken[s.region] += s.part * own.arrivals
				given += s.part * own.arrivals
			}
			if most := math.Min(own.arrivals, math.Max(0, -own.surplus())); given > most+1e-6 {
				t.Fatalf("%v gives %.3f", own, given)
			}
		}
		for _, p := range pools {
			if taken[p.region] > math.Max(0, p.surplus())+1e-6 {
				t.Fatalf("%v takes %.3f", p, taken[p.region])
			}
		}
	})
}

func TestFillLevel(t *testing.T) {
	server := func(requests int) *Server { return &Server{Slots: 10, weighed: float64(requests)} }
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
