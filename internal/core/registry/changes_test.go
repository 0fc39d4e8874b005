package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestListAndChanges applies announcements, a lease expiry and leaves, and checks after each
// step which servers are listed and which changes ChangesSince returns for the version before
// the step.
func TestListAndChanges(t *testing.T) {
	r := newRegistry()
	check := func(step string, since uint64, now int, listed, changed, removed []string) {
		t.Helper()
		var l, c []string
		for _, s := range r.List("west") {
			l = append(l, s.ID)
		}
		changes, complete := r.ChangesSince(since, "west", at(now))
		for _, s := range changes.Servers {
			id := s.ID
			if s.Gone {
				id += " gone"
			}
			c = append(c, id)
		}
		if !slices.Equal(l, listed) || !slices.Equal(c, changed) || !slices.Equal(changes.RemovedServers, removed) || !complete {
			t.Errorf("%s: listed %v, changed %v, removed %v, complete %v", step, l, c, changes.RemovedServers, complete)
		}
		if far, _ := r.ChangesSince(since, "east", at(now)); len(far.Servers) > 0 && far.Servers[0].FailureDomain != "" {
			t.Errorf("%s: another region gets %v", step, far.Servers)
		}
	}
	since := r.Version()
	r.Announce(announcement("a", "x", 1, 0), at(0))
	r.Announce(announcement("b", "y", 1, 1000), at(1000))
	check("two announced", since, 1000, []string{"a", "b"}, []string{"a", "b"}, nil)
	since = r.Version()
	r.Announce(announcement("b", "y", 2, 2000), at(2000))
	check("unchanged announcement", since, 2000, []string{"a", "b"}, nil, nil)
	r.Expire(at(3500), at(3700))
	check("a lapsed", since, 3700, []string{"b"}, nil, []string{"a"})
	since = r.Version()
	r.Expire(at(3700), at(3800))
	check("expiry reported once", since, 3800, []string{"b"}, nil, nil)
	r.Announce(announcement("a", "x", 2, 3900), at(3900))
	check("a is back", since, 3900, []string{"a", "b"}, []string{"a"}, nil)
	since = r.Version()
	r.Leave("b", 0, at(4000))
	check("b left", since, 4000, []string{"a"}, []string{"b gone"}, nil)
	since = r.Version()
	r.Leave("never-announced", 0, at(4100))
	check("unknown server left", since, 4100, []string{"a"}, []string{"never-announced gone"}, nil)
	since = r.Version()
	r.Expire(at(4100), at(4100).Add(goneRetention+time.Second))
	check("entries deleted", since, 4100, nil, nil, []string{"a"})
}

// TestChangesAreBounded checks that ChangesSince reports a version older than the log as
// incomplete.
func TestChangesAreBounded(t *testing.T) {
	r := newRegistry()
	start := r.Version()
	for i := range maxChanges + 1 {
		r.recordChange(false, fmt.Sprint("h", i))
	}
	if _, complete := r.ChangesSince(start, "west", at(0)); complete {
		t.Error("complete, though the first change was dropped")
	}
	if c, complete := r.ChangesSince(start+1, "west", at(0)); !complete || len(c.RemovedHosts) != maxChanges {
		t.Errorf("%d changes, complete %v", len(c.RemovedHosts), complete)
	}
}

// TestExpiredHostIsRemovedOnce checks that the expiry of an entry host's lease is reported once.
func TestExpiredHostIsRemovedOnce(t *testing.T) {
	r := newRegistry()
	r.UpdateHost(host("h", "west", "w1", true, 0), at(0))
	since := r.Version()
	r.Expire(at(1400), at(1600))
	if c, _ := r.ChangesSince(since, "west", at(1600)); !slices.Equal(c.RemovedHosts, []string{"h"}) {
		t.Errorf("removed %v", c.RemovedHosts)
	}
	since = r.Version()
	r.Expire(at(1600), at(1700))
	r.UpdateHost(host("h", "west", "w1", true, 1800), at(1800))
	if c, _ := r.ChangesSince(since, "west", at(1800)); len(c.RemovedHosts) != 0 || len(c.Hosts) != 1 {
		t.Errorf("removed %v, or its return is not reported", c.RemovedHosts)
	}
}

// TestHeardSince reads the log of announcements from a position on: each server once, and
// incomplete if the position was dropped or belongs to another process.
func TestHeardSince(t *testing.T) {
	r := newRegistry()
	_, start, _ := r.AnnouncedSince(0)
	for i, id := range []string{"a", "b", "a"} {
		r.Announce(announcement(id, "x"+id, uint64(i+1), 100*i), at(100*i))
	}
	read := func(from uint64) (ids []string, next uint64, complete bool) {
		servers, next, complete := r.AnnouncedSince(from)
		for _, s := range servers {
			ids = append(ids, s.ID)
		}
		return ids, next, complete
	}
	ids, next, complete := read(start)
	if !slices.Equal(ids, []string{"b", "a"}) || !complete {
		t.Errorf("announced %v, complete %v", ids, complete)
	}
	r.Leave("b", 0, at(400))
	if ids, next, _ = read(next); !slices.Equal(ids, []string{"b"}) {
		t.Errorf("logged after that %v", ids)
	}
	if _, _, complete := read(next + 1); complete {
		t.Error("a position of another process was accepted")
	}
	for i := range maxAnnouncements {
		r.Announce(announcement("a", "xa", uint64(i+10), 500+i), at(500+i))
	}
	if _, _, complete := read(next - 1); complete {
		t.Error("complete, though the first announcement was dropped")
	}
}

// TestHearHostAgain checks that renewals from another control host keep an entry host live without
// changing its entry.
func TestHearHostAgain(t *testing.T) {
	r := newRegistry()
	far := host("h", "east", "e1", true, 0)
	far.Direct = false
	key := far.Key()
	if r.RenewHost(key, true, true, "w1", at(0), at(0)) {
		t.Error("a host that was never reported is known")
	}
	r.UpdateHost(far, at(0))
	version := r.Version()
	if !r.RenewHost(key, true, true, "w1", at(1400), at(1450)) || len(r.Hosts(at(2000))) != 1 {
		t.Error("the host is not live, though it was renewed")
	}
	if c, _ := r.ChangesSince(version, "west", at(2000)); r.Version() != version || len(c.Hosts) > 0 || r.Hosts(at(2000))[0].ChangedSince(version) {
		t.Error("the renewal changed the host")
	}
	if r.RenewHost(key, true, true, "w1", at(1000), at(2000)); len(r.Hosts(at(2800))) != 1 {
		t.Error("an older renewal replaced a newer one")
	}
}
