package registry

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
)

// TestDerivedSumsAndLists applies random announcements, leaves, sync requests and expiries, and
// compares the sums and lists that the registry maintains with ones computed from its entries.
func TestDerivedSumsAndLists(t *testing.T) {
	for seed := range int64(50) {
		rnd := rand.New(rand.NewSource(seed))
		r := newRegistry()
		domains := []string{"w1", "w2", "e1"}
		regions := map[string]string{"w1": "west", "w2": "west", "e1": "east"}
		ms, expired := 0, 0
		for step := range 400 {
			ms += rnd.Intn(300)
			domain := domains[rnd.Intn(len(domains))]
			n := rnd.Intn(12)
			switch rnd.Intn(5) {
			case 0:
				s := announcement(fmt.Sprint("s", n), fmt.Sprint("x", rnd.Intn(10)), uint64(step), ms)
				s.FailureDomain = domains[n%len(domains)]
				r.Announce(s, at(ms))
			case 1:
				r.Leave(fmt.Sprint("s", n), 0, at(ms))
			case 2, 3:
				h := host(fmt.Sprint("h", n), regions[domain], domain, rnd.Intn(2) == 0, ms)
				h.Direct = rnd.Intn(4) > 0
				h.Loads = serverload.Loads{holders.Key(fmt.Sprint("s", rnd.Intn(12))): {Requests: uint32(rnd.Intn(3)), PrefillMS: 1}}
				r.UpdateHost(h, at(ms))
			}
			r.Expire(at(expired), at(ms))
			expired = ms
			checkDerivedState(t, r, ms)
			if t.Failed() {
				t.Fatalf("seed %d, step %d", seed, step)
			}
		}
	}
}

func checkDerivedState(t *testing.T, r *Registry, ms int) {
	t.Helper()
	sum := serverload.Loads{}
	for _, h := range r.Hosts(at(ms)) {
		if h.Direct && h.Region == "west" {
			sum.Add(h.Loads)
		}
	}
	if got := r.OwnedLoads(); !maps.Equal(got, sum) {
		t.Errorf("maintained sum %v, computed %v", got, sum)
	}
	var listed, want []string
	for _, s := range r.List("west") {
		listed = append(listed, s.ID)
	}
	for id, s := range r.servers {
		if !s.Gone && !r.lapsed(s, at(ms)) && r.RegionOf(s.FailureDomain) == "west" {
			want = append(want, id)
		}
	}
	slices.Sort(want)
	if !slices.Equal(listed, want) {
		t.Errorf("listed %v, want %v", listed, want)
	}
}
