package gateway

import (
	"testing"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestViewsAreCompleted plays the views of one control host, whole and with lists left
// out, and checks what the gateway makes of them.
func TestViewsAreCompleted(t *testing.T) {
	whole := func(epoch, version uint64, servers ...string) *pb.FleetView {
		v := &pb.FleetView{Epoch: epoch, Version: version, Hosts: []*pb.FleetHost{{Id: "h"}}}
		for _, id := range servers {
			v.Servers = append(v.Servers, &pb.FleetServer{Id: id, AgeMs: 10, ColdMs: 900})
		}
		return v
	}
	same := func(epoch, version uint64, ages ...uint32) *pb.FleetView {
		return &pb.FleetView{Epoch: epoch, Version: version, ServersUnchanged: true, HostsUnchanged: true, ServerAges: ages}
	}
	for _, c := range []struct {
		name     string
		views    []*pb.FleetView
		complete bool // the last one
		ages     []uint64
	}{
		{"whole", []*pb.FleetView{whole(1, 5, "a", "b")}, true, []uint64{10, 10}},
		{"unchanged", []*pb.FleetView{whole(1, 5, "a", "b"), same(1, 6, 3, 20)}, true, []uint64{150, 1000}},
		{"unchanged twice", []*pb.FleetView{whole(1, 5, "a"), same(1, 6, 3), same(1, 7, 8)}, true, []uint64{400}},
		{"servers changed, hosts not", []*pb.FleetView{whole(1, 5, "a"), {Epoch: 1, Version: 6, HostsUnchanged: true, Servers: []*pb.FleetServer{{Id: "b", AgeMs: 30}}}}, true, []uint64{30}},
		{"unchanged, but never whole", []*pb.FleetView{same(1, 6, 3)}, false, nil},
		{"unchanged, of another process", []*pb.FleetView{whole(1, 5, "a"), same(2, 6, 3)}, false, nil},
		{"ages of another list", []*pb.FleetView{whole(1, 5, "a", "b"), same(1, 6, 3)}, false, nil},
		{"whole again after a refused one", []*pb.FleetView{whole(1, 5, "a", "b"), same(1, 6, 3), whole(1, 7, "a")}, true, []uint64{10}},
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
			if len(last.Servers) != len(c.ages) || len(last.Hosts) != 1 {
				t.Fatalf("%d servers, %d hosts", len(last.Servers), len(last.Hosts))
			}
			for i, m := range last.Servers {
				if m.AgeMs != c.ages[i] {
					t.Errorf("server %s: age %d ms, want %d", m.Id, m.AgeMs, c.ages[i])
				}
				if last.ServersUnchanged && m.ColdMs != 0 {
					t.Errorf("server %s: cold for %d ms more, which counted from an earlier view", m.Id, m.ColdMs)
				}
			}
		})
	}
}
