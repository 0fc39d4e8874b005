package dispatch

import (
	"slices"
	"testing"
	"time"
)

// TestWithoutWorkTimesNothingChanges guards against gap targets that affect services whose servers report no
// work time: the choices, losses and random numbers must be the same.
func TestWithoutWorkTimesNothingChanges(t *testing.T) {
	for _, hosts := range []int{3, 24} {
		plain, target := newSimulatedRegion(1, hosts, 12, 5), newSimulatedRegion(1, hosts, 12, 5)
		for i := range 300 {
			if i%25 == 0 {
				plain.exchangeLoads()
				target.exchangeLoads()
			}
			j := shortJob()
			if i%3 == 0 {
				j = longJob("chain")
			}
			withGap := *j
			withGap.GapTarget = 400 * time.Millisecond
			a, b := plain.hosts[i%hosts].Choose(j, plain.now), target.hosts[i%hosts].Choose(&withGap, target.now)
			if a.Server.ID != b.Server.ID || a.loss != b.loss {
				t.Fatalf("%d hosts, request %d: %s with loss %v, and %s with loss %v with a gap target", hosts, i, a.Server.ID, a.loss, b.Server.ID, b.loss)
			}
			plain.hosts[i%hosts].Started(&a, plain.now)
			target.hosts[i%hosts].Started(&b, target.now)
		}
	}
}

// TestHomesOfLongPrompts guards against homes at slow engines, and against a region without homes once its
// fast engines are lost.
func TestHomesOfLongPrompts(t *testing.T) {
	f := newTestFleet(6)
	f.streams.factors = func(s *Server) float64 {
		if s.ID == "s1" || s.ID == "s4" {
			return 0.55
		}
		return 1.2
	}
	for _, chain := range []string{"a", "b", "c", "d"} {
		if homes := f.homesOf(longJob(chain), start); len(homes) == 0 || !slices.Contains([]string{"s1", "s4"}, homes[0]) {
			t.Errorf("homes %v, want one of the fast engines first", homes)
		}
	}
	for _, id := range []string{"s1", "s4"} {
		f.servers[id].Leaving = true
		if homes := f.homesOf(longJob("a"), start.Add(time.Millisecond)); len(homes) == 0 || homes[0] == id {
			t.Errorf("homes %v after the loss of %s", homes, id)
		}
	}
}
