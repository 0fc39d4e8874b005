package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestViewsAreCompleted plays the views of one control host, whole and with lists left
// out, and checks what the gateway makes of them.
func TestViewsAreCompleted(t *testing.T) {
	server := func(id string) *pb.FleetServer { return &pb.FleetServer{Id: id, AgeMs: 10, ColdMs: 900} }
	whole := func(epoch, version uint64, servers ...string) *pb.FleetView {
		v := &pb.FleetView{Epoch: epoch, Version: version, Hosts: []*pb.FleetHost{{Id: "h"}}}
		for _, id := range servers {
			v.Servers = append(v.Servers, server(id))
		}
		return v
	}
	changes := func(epoch, version uint64, ages []uint32, servers ...*pb.FleetServer) *pb.FleetView {
		return &pb.FleetView{Epoch: epoch, Version: version, Changes: true, ServerAges: ages, Servers: servers}
	}
	removed := func(v *pb.FleetView, ids ...string) *pb.FleetView {
		v.RemovedServers = ids
		return v
	}
	for _, c := range []struct {
		name     string
		views    []*pb.FleetView
		complete bool   // the last one
		want     string // servers of the last one with their ages in ms; cold ones end with *
	}{
		{"whole", []*pb.FleetView{whole(1, 5, "a", "b")}, true, "a:10* b:10*"},
		{"nothing changed", []*pb.FleetView{whole(1, 5, "b", "a"), changes(1, 6, []uint32{3, 20})}, true, "a:150 b:1000"},
		{"nothing changed twice", []*pb.FleetView{whole(1, 5, "a"), changes(1, 6, []uint32{3}), changes(1, 7, []uint32{8})}, true, "a:400"},
		{"one changed", []*pb.FleetView{whole(1, 5, "a", "b"), changes(1, 6, []uint32{3, 9}, server("b"))}, true, "a:150 b:10*"},
		{"one new", []*pb.FleetView{whole(1, 5, "b"), changes(1, 6, []uint32{0, 9}, server("a"))}, true, "a:10* b:450"},
		{"one removed", []*pb.FleetView{whole(1, 5, "a", "b"), removed(changes(1, 6, []uint32{4}), "a", "elsewhere")}, true, "b:200"},
		{"one removed and back", []*pb.FleetView{whole(1, 5, "a", "b"), removed(changes(1, 6, []uint32{4, 5}, server("a")), "a")}, true, "a:10* b:250"},
		{"one gone is told once", []*pb.FleetView{whole(1, 5, "a", "b"), changes(1, 6, []uint32{4}, &pb.FleetServer{Id: "a", Gone: true}), changes(1, 7, []uint32{4})}, true, "b:200"},
		{"changes, but never whole", []*pb.FleetView{changes(1, 6, []uint32{3})}, false, ""},
		{"changes of another process", []*pb.FleetView{whole(1, 5, "a"), changes(2, 6, []uint32{3})}, false, ""},
		{"ages of another list", []*pb.FleetView{whole(1, 5, "a", "b"), changes(1, 6, []uint32{3})}, false, ""},
		{"whole again after a refused one", []*pb.FleetView{whole(1, 5, "a", "b"), changes(1, 6, []uint32{3}), whole(1, 7, "a")}, true, "a:10*"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, complete := &source{}, false
			for _, v := range c.views {
				complete = s.complete(v)
			}
			last := c.views[len(c.views)-1]
			if complete != c.complete {
				t.Fatalf("complete %v", complete)
			}
			if !complete {
				if s.version != 0 {
					t.Errorf("the next view is asked for from version %d, want a whole one", s.version)
				}
				return
			}
			if len(last.Hosts) != 1 {
				t.Errorf("%d hosts", len(last.Hosts))
			}
			var got []string
			for _, m := range last.Servers {
				text := fmt.Sprint(m.Id, ":", m.AgeMs)
				if m.ColdMs > 0 {
					text += "*"
				}
				got = append(got, text)
			}
			slices.Sort(got)
			if text := strings.Join(got, " "); text != c.want {
				t.Errorf("servers %s, want %s", text, c.want)
			}
		})
	}
}

// TestHostsOfChanges adds and removes entry hosts.
func TestHostsOfChanges(t *testing.T) {
	s := &source{}
	s.complete(&pb.FleetView{Epoch: 1, Version: 1, Hosts: []*pb.FleetHost{{Id: "h1"}, {Id: "h2", Ready: true}}})
	v := &pb.FleetView{Epoch: 1, Version: 2, Changes: true, RemovedHosts: []string{"h1"}, Hosts: []*pb.FleetHost{{Id: "h2"}, {Id: "h3"}}}
	if !s.complete(v) || len(v.Hosts) != 2 {
		t.Fatalf("hosts %v", v.Hosts)
	}
	for _, h := range v.Hosts {
		if h.Id == "h1" || h.Ready {
			t.Errorf("host %v", h)
		}
	}
}
