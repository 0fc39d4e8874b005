package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestListAndChanges plays announcements, a lapse and a leave, and checks who is listed
// and what is told of them after the version before each step.
func TestListAndChanges(t *testing.T) {
	r := newRegistry()
	check := func(step string, since uint64, listed, changed, removed []string) {
		t.Helper()
		var l, c []string
		for _, s := range r.List("west") {
			if l = append(l, s.ID); s.ChangedSince(since) {
				c = append(c, s.ID)
			}
		}
		for _, s := range r.Gone("west") {
			if s.ChangedSince(since) {
				c = append(c, s.ID+" gone")
			}
		}
		gone, _, complete := r.Removed(since)
		if !slices.Equal(l, listed) || !slices.Equal(c, changed) || !slices.Equal(gone, removed) || !complete {
			t.Errorf("%s: listed %v, changed %v, removed %v, complete %v", step, l, c, gone, complete)
		}
	}
	since := r.Version()
	r.Announce(beat("a", "x", 1, 0), at(0))
	r.Announce(beat("b", "y", 1, 1000), at(1000))
	check("two announced", since, []string{"a", "b"}, []string{"a", "b"}, nil)
	since = r.Version()
	r.Announce(beat("b", "y", 2, 2000), at(2000))
	check("no news", since, []string{"a", "b"}, nil, nil)
	r.Expire(at(3500), at(3700))
	check("a lapsed", since, []string{"b"}, nil, []string{"a"})
	since = r.Version()
	r.Expire(at(3700), at(3800))
	check("told once", since, []string{"b"}, nil, nil)
	r.Announce(beat("a", "x", 2, 3900), at(3900))
	check("a is back", since, []string{"a", "b"}, []string{"a"}, nil)
	since = r.Version()
	r.Leave("b", 0, at(4000))
	check("b left", since, []string{"a"}, []string{"b gone"}, nil)
	since = r.Version()
	r.Leave("never-heard", 0, at(4100))
	check("one left that was never heard", since, []string{"a"}, []string{"never-heard gone"}, nil)
	since = r.Version()
	r.Expire(at(4100), at(4100).Add(goneFor+time.Second))
	check("forgotten", since, nil, nil, []string{"a"})
}

// TestRemovedIsBounded: a host that missed too much gets whole lists.
func TestRemovedIsBounded(t *testing.T) {
	r := newRegistry()
	start := r.Version()
	for i := range removalsKept + 1 {
		r.remove(false, fmt.Sprint("h", i))
	}
	if _, _, complete := r.Removed(start); complete {
		t.Error("complete, though the first removal is forgotten")
	}
	if _, hosts, complete := r.Removed(start + 1); !complete || len(hosts) != removalsKept {
		t.Errorf("%d removals, complete %v", len(hosts), complete)
	}
}

// TestHostsAreRemovedOnce: an entry host whose lease ran out.
func TestHostsAreRemovedOnce(t *testing.T) {
	r := newRegistry()
	r.HearHost(host("h", "west", "w1", true, 0), at(0))
	since := r.Version()
	r.Expire(at(1400), at(1600))
	if _, hosts, _ := r.Removed(since); !slices.Equal(hosts, []string{"h"}) {
		t.Errorf("removed %v", hosts)
	}
	since = r.Version()
	r.Expire(at(1600), at(1700))
	r.HearHost(host("h", "west", "w1", true, 1800), at(1800))
	if _, hosts, _ := r.Removed(since); len(hosts) != 0 || !r.Hosts(at(1800))[0].ChangedSince(since) {
		t.Errorf("removed %v, or its return is not told", hosts)
	}
}

// TestHearHostAgain keeps a host alive that another control host told of once.
func TestHearHostAgain(t *testing.T) {
	r := newRegistry()
	far := host("h", "east", "e1", true, 0)
	far.Direct = false
	key := far.Key()
	if r.HearHostAgain(key, true, at(0), at(0)) {
		t.Error("a host that was never told of is known")
	}
	r.HearHost(far, at(0))
	version := r.Version()
	if !r.HearHostAgain(key, true, at(1400), at(1450)) || len(r.Hosts(at(2000))) != 1 {
		t.Error("the host is not live, though heard again")
	}
	if r.Version() != version || r.Hosts(at(2000))[0].ChangedSince(version) {
		t.Error("hearing it again changed the host")
	}
	if r.HearHostAgain(key, true, at(1000), at(2000)); len(r.Hosts(at(2800))) != 1 {
		t.Error("older news took the place of newer")
	}
}
