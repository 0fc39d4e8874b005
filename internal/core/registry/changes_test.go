package registry

import (
	"slices"
	"testing"
)

// TestListStaysUntilItChanges takes a list of servers, lets time pass and a lease run out:
// the list names the same servers until the registry says that they changed.
func TestListStaysUntilItChanges(t *testing.T) {
	r := newRegistry()
	r.Announce(beat("a", "x", 1, 0), at(0))
	r.Announce(beat("b", "y", 1, 1000), at(1000))
	ids := func(ms int) []string {
		var out []string
		for _, s := range r.List("west", at(ms)) {
			out = append(out, s.ID)
		}
		return out
	}
	version := r.Version()
	if got := ids(1000); !slices.Equal(got, []string{"a", "b"}) {
		t.Fatalf("listed %v", got)
	}
	r.Announce(beat("b", "y", 2, 2000), at(2000)) // no news
	if got := ids(3700); !slices.Equal(got, []string{"a", "b"}) || r.ServersSince(version) {
		t.Errorf("listed %v, changed %v, before the lapse was told", got, r.ServersSince(version))
	}
	r.Expire(at(3500), at(3700))
	if got := ids(3700); !slices.Equal(got, []string{"b"}) || !r.ServersSince(version) {
		t.Errorf("listed %v, changed %v, after the lapse", got, r.ServersSince(version))
	}
	version = r.Version()
	r.HearHost(host("h", "west", "w1", true, 3700), at(3700))
	if r.ServersSince(version) || !r.HostsSince(version) {
		t.Error("a new entry host changes the entry hosts only")
	}
	version = r.Version()
	r.Announce(beat("c", "z", 1, 3800), at(3800))
	if !r.ServersSince(version) || r.HostsSince(version) {
		t.Error("a new server changes the servers only")
	}
}

// TestForgottenServerLeavesTheLists: what was gone for minutes is forgotten.
func TestForgottenServerLeavesTheLists(t *testing.T) {
	r := newRegistry()
	r.Announce(beat("a", "x", 1, 0), at(0))
	r.Leave("a", at(100))
	if got := r.List("west", at(200)); len(got) != 1 || !got[0].Gone {
		t.Fatalf("listed %v", got)
	}
	version, later := r.Version(), at(100).Add(goneFor+1)
	r.Expire(at(200), later)
	if got := r.List("west", later); len(got) != 0 || !r.ServersSince(version) {
		t.Errorf("listed %v, changed %v", got, r.ServersSince(version))
	}
}

// TestHearHostAgain keeps a host alive that another control host told of once.
func TestHearHostAgain(t *testing.T) {
	r := newRegistry()
	far := host("h", "east", "e1", true, 0)
	far.Direct = false
	key := far.Key()
	if r.HearHostAgain(key, at(0), at(0)) {
		t.Error("a host that was never told of is known")
	}
	r.HearHost(far, at(0))
	version := r.Version()
	if !r.HearHostAgain(key, at(1400), at(1450)) || len(r.Hosts(at(2000))) != 1 {
		t.Error("the host is not live, though heard again")
	}
	if r.Version() != version || r.Hosts(at(2000))[0].ChangedSince(version) {
		t.Error("hearing it again changed the host")
	}
	if r.HearHostAgain(key, at(1000), at(2000)); len(r.Hosts(at(2800))) != 1 {
		t.Error("older news took the place of newer")
	}
}
