package registry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
)

var t0 = time.Unix(1000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func newRegistry() *Registry {
	return New(Options{
		Region: "west", FailureDomain: "w1", ServerLease: 3600 * time.Millisecond, HostLease: 1500 * time.Millisecond,
		Regions: map[string]string{"w1": "west", "w2": "west", "e1": "east"},
	})
}

// announcement returns an announcement of a server of failure domain w1.
func announcement(id, addr string, seq uint64, ms int) Server {
	return Server{ID: id, Service: "llm", Address: addr, FailureDomain: "w1", Sequence: seq, Slots: 8, LastSeen: at(ms), DirectAt: at(ms)}
}

// step is one message to a control host.
type step struct {
	server      Server
	leave       string
	ms          int
	wantChanged bool
}

// TestAnnouncements applies announcements that are late, repeated, from restarted servers, or for
// addresses in use before, and checks which servers remain in use.
func TestAnnouncements(t *testing.T) {
	leaving := func(s Server) Server { s.Leaving = true; return s }
	cases := []struct {
		name  string
		steps []step
		want  string // servers in use at the end: ID, and ! for leaving
	}{
		{"first and repeated", []step{{server: announcement("a", "x", 1, 0), wantChanged: true}, {server: announcement("a", "x", 2, 1200), ms: 1200}}, "a"},
		{"leaving is a change", []step{{server: announcement("a", "x", 1, 0), wantChanged: true}, {server: leaving(announcement("a", "x", 2, 100)), ms: 100, wantChanged: true}}, "a!"},
		{"a late one does not undo leaving", []step{{server: announcement("a", "x", 1, 0), wantChanged: true}, {server: leaving(announcement("a", "x", 3, 100)), ms: 100, wantChanged: true}, {server: announcement("a", "x", 2, 200), ms: 200}}, "a!"},
		{"gone for good", []step{{server: announcement("a", "x", 1, 0), wantChanged: true}, {leave: "a", ms: 100, wantChanged: true}, {server: announcement("a", "x", 9, 200), ms: 200}}, ""},
		{"leaves before its first announcement", []step{{leave: "a", wantChanged: true}, {server: announcement("a", "x", 1, 100), ms: 100}}, ""},
		{"lease expired", []step{{server: announcement("a", "x", 1, 0), wantChanged: true}, {server: announcement("b", "y", 1, 3700), ms: 3700, wantChanged: true}}, "b"},
		{"announced again after the lease", []step{{server: announcement("a", "x", 1, 0), wantChanged: true}, {server: announcement("a", "x", 2, 4000), ms: 4000, wantChanged: true}}, "a"},
		{"address taken over", []step{{server: announcement("a", "x", 5, 0), wantChanged: true}, {server: announcement("b", "x", 1, 1000), ms: 1000, wantChanged: true}}, "b"},
		{"late announcement of the one before", []step{{server: announcement("a", "x", 5, 0), wantChanged: true}, {server: announcement("b", "x", 1, 1000), ms: 1000, wantChanged: true}, {server: announcement("a", "x", 6, 2000), ms: 2000}}, "b"},
		{"two addresses", []step{{server: announcement("a", "x", 1, 0), wantChanged: true}, {server: announcement("b", "y", 1, 10), ms: 10, wantChanged: true}}, "a b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistry()
			last := 0
			for i, s := range c.steps {
				before := r.Version()
				changed := false
				if s.leave != "" {
					changed = r.Leave(s.leave, 0, at(s.ms))
				} else {
					changed = r.Announce(s.server, at(s.ms))
				}
				if changed != s.wantChanged {
					t.Errorf("step %d: changed %v", i, changed)
				}
				if changed != (r.Version() != before) {
					t.Errorf("step %d: changed %v, but the version went from %d to %d", i, changed, before, r.Version())
				}
				last = s.ms
			}
			got := ""
			r.Expire(at(last), at(last))
			for _, s := range r.List("west") {
				if got += " " + s.ID; s.Leaving {
					got += "!"
				}
			}
			if want := c.want; got != "" && got[1:] != want || got == "" && want != "" {
				t.Errorf("in use:%s, want %s", got, want)
			}
		})
	}
}

// TestLeaseExpiryRaisesVersionOnce checks that the expiry of a lease raises the version once.
func TestLeaseExpiryRaisesVersionOnce(t *testing.T) {
	r := newRegistry()
	r.Announce(announcement("a", "x", 1, 0), at(0))
	v := r.Version()
	r.Expire(at(3500), at(3600))
	if r.Version() != v {
		t.Error("version raised within the lease")
	}
	r.Expire(at(3600), at(3700))
	if r.Version() == v {
		t.Error("version not raised after the lease")
	}
	v = r.Version()
	r.Expire(at(3700), at(3800))
	if r.Version() != v {
		t.Error("version raised twice")
	}
}

func host(id, region, domain string, ready bool, ms int) Host {
	return Host{ID: id, Caller: id + ":1", Region: region, FailureDomain: domain, Ready: ready, LastSeen: at(ms), Direct: true, Primary: true}
}

// TestLookup checks which entry hosts a caller gets.
func TestLookup(t *testing.T) {
	cases := []struct {
		name  string
		hosts []Host
		homes []string
		want  string
	}{
		{"own failure domain", []Host{host("a", "west", "w1", true, 0), host("b", "west", "w2", true, 0), host("c", "east", "e1", true, 0)}, nil, "a"},
		{"own region", []Host{host("a", "west", "w1", false, 0), host("b", "west", "w2", true, 0), host("c", "east", "e1", true, 0)}, nil, "b"},
		{"another region", []Host{host("a", "west", "w1", false, 0), host("c", "east", "e1", true, 0)}, nil, "c"},
		{"another region that the homes allow", []Host{host("c", "east", "e1", true, 0)}, []string{"east"}, "c"},
		{"none that the homes allow", []Host{host("c", "east", "e1", true, 0)}, []string{"south"}, ""},
		{"own region, whatever the homes", []Host{host("a", "west", "w1", true, 0)}, []string{"east"}, "a"},
		{"not one that was killed", []Host{host("a", "west", "w1", true, -2000), host("b", "west", "w2", true, 0)}, nil, "b"},
		{"no host", nil, nil, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRegistry()
			for _, h := range c.hosts {
				r.UpdateHost(h, at(0))
			}
			var permitted func(string) bool
			if c.homes != nil {
				permitted = func(region string) bool { return region == c.homes[0] }
			}
			got := ""
			for _, h := range r.Lookup("west", "w1", permitted, at(0)) {
				got += h.ID
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// loadsOfOtherHosts returns what an entry host computes as the work of the others from LoadsSince.
func loadsOfOtherHosts(r *Registry, host string) serverload.Loads {
	changed, _, _ := r.LoadsSince(0)
	all := serverload.Loads{}
	all.Apply(changed)
	if h := r.hosts[host]; h != nil {
		return all.Without(h.Loads)
	}
	return all
}

// TestLoads checks that a host gets the work of other hosts without its own, and that a region's
// sums count the servers that accept work.
func TestLoads(t *testing.T) {
	r := newRegistry()
	for i := range 3 {
		s := announcement(fmt.Sprint("s", i), fmt.Sprint("x", i), 1, 0)
		s.Leaving = i == 2
		r.Announce(s, at(0))
	}
	load := func(id string, n uint32) serverload.Loads {
		return serverload.Loads{holders.Key(id): {Requests: n, PromptTokens: 100 * n, MemoryTokens: 200 * n}}
	}
	s0, s1 := holders.Key("s0"), holders.Key("s1")
	a, b := host("a", "west", "w1", true, 0), host("b", "west", "w1", true, 0)
	a.Loads, b.Loads = load("s0", 2), load("s0", 5)
	r.UpdateHost(a, at(0))
	r.UpdateHost(b, at(0))
	r.UpdateControl(Control{Peer: "c2", Region: "west", LastSeen: at(0), ServerLoads: load("s1", 3)})
	r.UpdateControl(Control{Peer: "c3", Region: "east", LastSeen: at(0), ServerLoads: load("s1", 9)})
	others := loadsOfOtherHosts(r, "a")
	if len(others) != 2 || others[s0].Requests != 5 || others[s1].Requests != 3 {
		t.Errorf("others' work: %v", others)
	}
	if direct := r.OwnedLoads(); len(direct) != 1 || direct[s0].Requests != 7 {
		t.Errorf("work of the owned hosts: %v", direct)
	}
	sum := r.RegionLoads(func(string) bool { return false }, at(0))
	if len(sum) != 1 || sum[0].Servers != 2 || sum[0].Requests != 10 {
		t.Errorf("region: %v", sum)
	}
	if sum := r.RegionLoads(func(string) bool { return true }, at(0)); len(sum) != 0 {
		t.Errorf("an evacuated region offers %v", sum)
	}
}

// TestArrivals checks that a host gets the arrivals at the region's other hosts, and that a
// region's sums contain the arrivals at its own hosts.
func TestArrivals(t *testing.T) {
	r := newRegistry()
	s := announcement("s0", "x0", 1, 0)
	r.Announce(s, at(0))
	key := serverload.ServiceKey(s.Service)
	arrivals := func(n uint32) serverload.Loads { return serverload.Loads{key: {Requests: n}} }
	a, b := host("a", "west", "w1", true, 0), host("b", "west", "w1", true, 0)
	a.Loads, b.Loads = arrivals(130), arrivals(20)
	r.UpdateHost(a, at(0))
	r.UpdateHost(b, at(0))
	r.UpdateControl(Control{Peer: "c2", Region: "west", LastSeen: at(0), ServerLoads: arrivals(7)})
	r.UpdateControl(Control{Peer: "c3", Region: "east", LastSeen: at(0), ServerLoads: arrivals(900)})
	if got := loadsOfOtherHosts(r, "a")[key].Requests; got != 27 {
		t.Errorf("host a gets %d, want 27", got)
	}
	sum := r.RegionLoads(func(string) bool { return false }, at(0))
	if len(sum) != 1 || sum[0].Arrivals != 157 || sum[0].Requests != 0 {
		t.Errorf("region: %v", sum)
	}
}

// TestHostsAreSorted checks the list of entry hosts while hosts are added, deleted and added again.
func TestHostsAreSorted(t *testing.T) {
	r := newRegistry()
	ids := func(now time.Time) string {
		var out []string
		for _, h := range r.Hosts(now) {
			out = append(out, h.ID)
		}
		return strings.Join(out, " ")
	}
	for _, id := range []string{"c", "a", "b", "a"} {
		r.UpdateHost(host(id, "west", "w1", true, 0), at(0))
	}
	if got := ids(at(0)); got != "a b c" {
		t.Errorf("hosts: %s", got)
	}
	later := at(0).Add(goneRetention + time.Minute)
	r.UpdateHost(Host{ID: "b", Region: "west", FailureDomain: "w1", LastSeen: later}, later)
	r.Expire(at(0), later)
	if got := ids(later); got != "b" {
		t.Errorf("hosts after expiry: %s", got)
	}
	r.UpdateHost(Host{ID: "a", Region: "west", FailureDomain: "w1", LastSeen: later}, later)
	if got := ids(later); got != "a b" {
		t.Errorf("hosts after one was added again: %s", got)
	}
}
