package registry

import "testing"

func TestCensus(t *testing.T) {
	r := newRegistry()
	r.UpdateHost(host("a", "west", "w1", true, 0), at(0))
	r.UpdateHost(host("b", "west", "w1", false, 200), at(200))
	far := host("c", "west", "w1", true, 300)
	far.Direct = false
	r.UpdateHost(far, at(300))
	r.UpdateHost(host("gone", "west", "w1", true, -9000), at(0))
	r.Announce(announcement("s1", "x1", 1, 100), at(100))
	second := announcement("s2", "x2", 1, 50)
	second.DirectAt, second.Via = at(-1), "w2" // received by another control host
	r.Announce(second, at(100))
	r.Announce(announcement("s3", "x3", 1, 10), at(10))
	r.Leave("s3", 0, at(20))
	domains := r.Census(at(400))
	if len(domains) != 3 || domains[1].Name != "w1" || domains[0].Hosts != 0 {
		t.Fatalf("failure domains %v", domains)
	}
	d := domains[1]
	if d.Region != "west" || d.Hosts != 3 || d.Ready != 2 || d.SyncingHere != 2 || d.Owned != 2 || d.OldestHost != "a" {
		t.Errorf("entry hosts: %+v", d)
	}
	if d.Servers != 2 || d.AnnouncedHere != 1 || d.OldestServer != "s2" {
		t.Errorf("backend servers: %+v", d)
	}
}
