package controlhosts

import (
	"testing"
	"time"
)

// answer is an answer of a control host: its time, distance and staleness.
type answer struct {
	at        time.Duration
	from      Distance
	staleness time.Duration
}

const fresh, stale = 200 * time.Millisecond, 30 * time.Second

// TestAsks records answers of control hosts and checks which distances the entry host then
// queries, and at which distances a control host becomes its primary.
func TestAsks(t *testing.T) {
	s := time.Second
	cases := []struct {
		name         string
		answers      []answer
		now          time.Duration
		unconfigured bool
		queries      [distances]bool
		primary      [distances]bool
	}{
		{"no answer yet", nil, 10 * s, false, [3]bool{true, true, true}, [3]bool{true, true, true}},
		{"same failure domain up to date", []answer{{10 * s, SameDomain, fresh}}, 11 * s, false, [3]bool{true, false, false}, [3]bool{true, false, false}},
		{"same failure domain does not answer", []answer{{10 * s, SameDomain, fresh}}, 12 * s, false, [3]bool{true, true, true}, [3]bool{true, true, true}},
		{"same failure domain has just become out of date", []answer{{10 * s, SameDomain, fresh}, {11900 * time.Millisecond, SameDomain, 2100 * time.Millisecond}},
			12 * s, false, [3]bool{true, true, true}, [3]bool{true, false, false}},
		{"same failure domain out of date", []answer{{10 * s, SameDomain, stale}}, 10 * s, false, [3]bool{true, true, true}, [3]bool{true, false, false}},
		{"same failure domain out of date, same region up to date", []answer{{10 * s, SameDomain, stale}, {10 * s, SameRegion, fresh}},
			10 * s, false, [3]bool{true, true, false}, [3]bool{true, false, false}},
		{"same failure domain and same region out of date", []answer{{10 * s, SameDomain, stale}, {10 * s, SameRegion, stale}},
			10 * s, false, [3]bool{true, true, true}, [3]bool{true, false, false}},
		{"two control hosts at one distance, one out of date", []answer{{10 * s, SameRegion, fresh}, {10 * s, SameRegion, stale}},
			10 * s, false, [3]bool{true, true, false}, [3]bool{true, true, false}},
		{"same failure domain up to date again", []answer{{10 * s, SameDomain, stale}, {10 * s, OtherRegion, fresh}, {11 * s, SameDomain, fresh}},
			11 * s, false, [3]bool{true, false, false}, [3]bool{true, false, false}},
		{"no configuration yet", []answer{{10 * s, SameDomain, fresh}}, 10 * s, true, [3]bool{true, true, false}, [3]bool{true, false, false}},
	}
	start := time.Unix(1000, 0)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := contactsAfter(c.answers)
			now := start.Add(c.now)
			for d := range distances {
				if got := h.ShouldQuery(d, !c.unconfigured, c.now, now); got != c.queries[d] {
					t.Errorf("ShouldQuery(distance %d) = %v", d, got)
				}
				one := *h
				if got := one.ClaimPrimary("c", d, now); got != c.primary[d] {
					t.Errorf("ClaimPrimary(distance %d) = %v", d, got)
				}
			}
		})
	}
}

func contactsAfter(list []answer) *Contacts {
	h := &Contacts{}
	for _, e := range list {
		h.RecordAnswer("c", e.from, e.staleness, time.Unix(1000, 0).Add(e.at))
	}
	return h
}

// TestKnowsFleet checks that the fleet view of a control host that is out of date is used only
// while no control host is up to date.
func TestKnowsFleet(t *testing.T) {
	now := time.Unix(1010, 0)
	alone := contactsAfter([]answer{{10 * time.Second, SameDomain, stale}})
	if !alone.UsesFleetView(stale, now) {
		t.Error("the view of the only reachable control host is not used")
	}
	both := contactsAfter([]answer{{10 * time.Second, SameDomain, stale}, {10 * time.Second, OtherRegion, fresh}})
	if both.UsesFleetView(stale, now) || !both.UsesFleetView(fresh, now) {
		t.Error("want only the view of the control host that is up to date while there is one")
	}
	if !both.UsesFleetView(stale, now.Add(3*time.Second)) {
		t.Error("the view of the control host that is out of date is not used 3 s after the last answer of the other")
	}
}

// TestPauseStaysBelowTheHostsLease checks that a control host that is out of date and not the
// primary gets fewer sync requests, but the next one before the entry host's lease expires.
func TestPauseStaysBelowTheHostsLease(t *testing.T) {
	const lease, answerDelay = 1500 * time.Millisecond, 250*time.Millisecond + 165*time.Millisecond
	if p := QueryPause(false, stale); p <= 0 || p+answerDelay >= lease {
		t.Errorf("pause of %s for one that is out of date", p)
	}
	for _, nearest := range []bool{true, false} {
		if p := QueryPause(nearest, fresh); p != 0 {
			t.Errorf("pause of %s for one that is up to date", p)
		}
	}
	if p := QueryPause(true, stale); p != 0 {
		t.Errorf("pause of %s for the primary", p)
	}
}

// TestOnePrimary checks step by step which control host is the entry host's primary. Guards
// against load reports to two control hosts, which are then counted twice: to two at one
// distance, or to a farther one while the nearer one is out of date.
func TestOnePrimary(t *testing.T) {
	h, now := &Contacts{}, time.Unix(1000, 0)
	step := func(what string, after time.Duration, address string, d Distance, want bool) {
		t.Helper()
		now = now.Add(after)
		if got := h.ClaimPrimary(address, d, now); got != want {
			t.Errorf("%s: ClaimPrimary(%s) = %v", what, address, got)
		}
	}
	step("no answer yet", 0, "far", OtherRegion, true)
	step("second control host at the same distance", 0, "far2", OtherRegion, false)
	h.RecordAnswer("near", SameRegion, fresh, now)
	step("a nearer one has answered", 0, "near", SameRegion, true)
	step("the previous primary", 0, "far", OtherRegion, false)
	h.RecordAnswer("near2", SameRegion, fresh, now)
	step("second control host at the same distance as the primary", time.Second, "near2", SameRegion, false)
	h.RecordAnswer("near2", SameRegion, fresh, now)
	step("the primary has not answered for longer than ContactTimeout", 600*time.Millisecond, "near2", SameRegion, true)
	h.RecordAnswer("near", SameRegion, fresh, now)
	step("the previous primary answers again", 0, "near", SameRegion, false)
	step("the new primary stays primary", 0, "near2", SameRegion, true)
	h.RecordAnswer("own", SameDomain, stale, now)
	step("same failure domain, out of date", 0, "own", SameDomain, true)
	step("a farther one is up to date", 0, "near2", SameRegion, false)
	step("no control host has answered for longer than ContactTimeout", 2*time.Second, "far", OtherRegion, true)
}
