package controlhosts

import (
	"testing"
	"time"
)

// heard is an answer: when, from where, and how old the control host's state was.
type heard struct {
	at        time.Duration
	from      Distance
	staleness time.Duration
}

const fresh, old = 200 * time.Millisecond, 30 * time.Second

// TestAsks plays what an entry host hears and checks which control hosts it asks then, and
// to which it tells its work.
func TestAsks(t *testing.T) {
	s := time.Second
	cases := []struct {
		name         string
		heard        []heard
		now          time.Duration
		unconfigured bool
		asks         [distances]bool
		nearest      [distances]bool
	}{
		{"nothing heard", nil, 10 * s, false, [3]bool{true, true, true}, [3]bool{true, true, true}},
		{"its own is up to date", []heard{{10 * s, SameDomain, fresh}}, 11 * s, false, [3]bool{true, false, false}, [3]bool{true, false, false}},
		{"its own is silent", []heard{{10 * s, SameDomain, fresh}}, 12 * s, false, [3]bool{true, true, true}, [3]bool{true, true, true}},
		{"its own begins to be out of date", []heard{{10 * s, SameDomain, fresh}, {11900 * time.Millisecond, SameDomain, 2100 * time.Millisecond}},
			12 * s, false, [3]bool{true, true, true}, [3]bool{true, false, false}},
		{"its own is out of date", []heard{{10 * s, SameDomain, old}}, 10 * s, false, [3]bool{true, true, true}, [3]bool{true, false, false}},
		{"its own is out of date, its region's is not", []heard{{10 * s, SameDomain, old}, {10 * s, SameRegion, fresh}},
			10 * s, false, [3]bool{true, true, false}, [3]bool{true, false, false}},
		{"both of its region are out of date", []heard{{10 * s, SameDomain, old}, {10 * s, SameRegion, old}},
			10 * s, false, [3]bool{true, true, true}, [3]bool{true, false, false}},
		{"two at one distance, one out of date", []heard{{10 * s, SameRegion, fresh}, {10 * s, SameRegion, old}},
			10 * s, false, [3]bool{true, true, false}, [3]bool{true, true, false}},
		{"its own is up to date again", []heard{{10 * s, SameDomain, old}, {10 * s, OtherRegion, fresh}, {11 * s, SameDomain, fresh}},
			11 * s, false, [3]bool{true, false, false}, [3]bool{true, false, false}},
		{"no configuration yet", []heard{{10 * s, SameDomain, fresh}}, 10 * s, true, [3]bool{true, true, false}, [3]bool{true, false, false}},
	}
	began := time.Unix(1000, 0)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := play(c.heard)
			now := began.Add(c.now)
			for d := range distances {
				if got := h.Asks(d, !c.unconfigured, c.now, now); got != c.asks[d] {
					t.Errorf("distance %d is asked: %v", d, got)
				}
				one := *h
				if got := one.Primary("c", d, now); got != c.nearest[d] {
					t.Errorf("one at distance %d owns the figures: %v", d, got)
				}
			}
		})
	}
}

func play(list []heard) *Heard {
	h := &Heard{}
	for _, e := range list {
		h.Note("c", e.from, e.staleness, time.Unix(1000, 0).Add(e.at))
	}
	return h
}

// TestKnowsFleet checks whose word on entry hosts and other regions counts: that of one
// that is out of date only while there is no better.
func TestKnowsFleet(t *testing.T) {
	now := time.Unix(1010, 0)
	alone := play([]heard{{10 * time.Second, SameDomain, old}})
	if !alone.KnowsFleet(old, now) {
		t.Error("the only control host in reach does not count")
	}
	both := play([]heard{{10 * time.Second, SameDomain, old}, {10 * time.Second, OtherRegion, fresh}})
	if both.KnowsFleet(old, now) || !both.KnowsFleet(fresh, now) {
		t.Error("the one that is out of date counts beside one that is not")
	}
	if !both.KnowsFleet(old, now.Add(3*time.Second)) {
		t.Error("the one that is out of date does not count though the other has not been heard for long")
	}
}

// TestPauseStaysBelowTheHostsLease: a farther control host that is out of date is asked
// less often, and still before it would take the entry host for gone.
func TestPauseStaysBelowTheHostsLease(t *testing.T) {
	const lease, heldAndWay = 1500 * time.Millisecond, 250*time.Millisecond + 165*time.Millisecond
	if p := Pause(false, old); p <= 0 || p+heldAndWay >= lease {
		t.Errorf("pause of %s", p)
	}
	for _, nearest := range []bool{true, false} {
		if p := Pause(nearest, fresh); p != 0 {
			t.Errorf("pause of %s for one that is up to date", p)
		}
	}
	if p := Pause(true, old); p != 0 {
		t.Errorf("pause of %s for the nearest", p)
	}
}

// TestOnePrimary asks of several control hosts, step by step, whether they own the host's
// figures. Two at one distance were both told of them before, and a farther one while the
// nearer one was out of date.
func TestOnePrimary(t *testing.T) {
	h, now := &Heard{}, time.Unix(1000, 0)
	step := func(what string, after time.Duration, address string, d Distance, want bool) {
		t.Helper()
		now = now.Add(after)
		if got := h.Primary(address, d, now); got != want {
			t.Errorf("%s: %s owns the figures: %v", what, address, got)
		}
	}
	step("nothing was heard yet", 0, "far", OtherRegion, true)
	step("a second one as far", 0, "far2", OtherRegion, false)
	h.Note("near", SameRegion, fresh, now)
	step("a nearer one was heard", 0, "near", SameRegion, true)
	step("the one before", 0, "far", OtherRegion, false)
	h.Note("near2", SameRegion, fresh, now)
	step("one as near", time.Second, "near2", SameRegion, false)
	h.Note("near2", SameRegion, fresh, now)
	step("the first is silent", 600*time.Millisecond, "near2", SameRegion, true)
	h.Note("near", SameRegion, fresh, now)
	step("the first is back", 0, "near", SameRegion, false)
	step("it stays with the second", 0, "near2", SameRegion, true)
	h.Note("own", SameDomain, old, now)
	step("its own, out of date", 0, "own", SameDomain, true)
	step("a farther one is up to date", 0, "near2", SameRegion, false)
	step("none is heard", 2*time.Second, "far", OtherRegion, true)
}
