package gateway

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// TestViewsAreApplied applies full and incremental views of one control host and checks the
// resulting state.
func TestViewsAreApplied(t *testing.T) {
	loads := func(requests ...uint32) *pb.ServerLoads {
		l := &pb.ServerLoads{}
		for i, n := range requests {
			l.Server, l.Requests = append(l.Server, uint32(i)), append(l.Requests, n)
		}
		return l
	}
	full := func(epoch, version uint64, hosts ...string) *pb.FleetView {
		v := &pb.FleetView{Epoch: epoch, Version: version, Loads: loads(1, 2), LoadsNext: 5, HeardNext: 9}
		for _, id := range hosts {
			v.Hosts = append(v.Hosts, &pb.FleetHost{Id: id})
		}
		return v
	}
	changes := func(epoch, version uint64, edit func(v *pb.FleetView)) *pb.FleetView {
		v := &pb.FleetView{Epoch: epoch, Version: version, Changes: true, LoadChanges: true}
		if edit != nil {
			edit(v)
		}
		return v
	}
	for _, c := range []struct {
		name    string
		views   []*pb.FleetView
		applied bool   // result of the last apply
		hosts   string // IDs after it
		changed bool   // hostsChanged after it
		loads   serverload.Loads
	}{
		{"full", []*pb.FleetView{full(1, 5, "a", "b")}, true, "a b", true, serverload.Loads{0: {Requests: 1}, 1: {Requests: 2}}},
		{"nothing changed", []*pb.FleetView{full(1, 5, "b", "a"), changes(1, 6, nil)}, true, "a b", false, serverload.Loads{0: {Requests: 1}, 1: {Requests: 2}}},
		{"a host is new", []*pb.FleetView{full(1, 5, "b"), changes(1, 6, func(v *pb.FleetView) { v.Hosts = []*pb.FleetHost{{Id: "a"}} })}, true, "a b", true, serverload.Loads{0: {Requests: 1}, 1: {Requests: 2}}},
		{"a host is removed", []*pb.FleetView{full(1, 5, "a", "b"), changes(1, 6, func(v *pb.FleetView) { v.RemovedHosts = []string{"a", "elsewhere"} })}, true, "b", true, serverload.Loads{0: {Requests: 1}, 1: {Requests: 2}}},
		{"a host is removed and back", []*pb.FleetView{full(1, 5, "a", "b"), changes(1, 6, func(v *pb.FleetView) {
			v.RemovedHosts, v.Hosts = []string{"a"}, []*pb.FleetHost{{Id: "a"}}
		})}, true, "a b", true, serverload.Loads{0: {Requests: 1}, 1: {Requests: 2}}},
		{"loads that changed, ended, began", []*pb.FleetView{full(1, 5, "a"), changes(1, 6, func(v *pb.FleetView) { v.Loads = loads(4, 0, 3) })}, true, "a", false, serverload.Loads{0: {Requests: 4}, 2: {Requests: 3}}},
		{"full set of loads", []*pb.FleetView{full(1, 5, "a"), changes(1, 6, func(v *pb.FleetView) { v.Loads, v.LoadChanges = loads(7), false })}, true, "a", false, serverload.Loads{0: {Requests: 7}}},
		{"changes without a full view", []*pb.FleetView{changes(1, 6, nil)}, false, "", false, nil},
		{"changes of another epoch", []*pb.FleetView{full(1, 5, "a"), changes(2, 6, nil)}, false, "", false, nil},
		{"full again after a rejected one", []*pb.FleetView{full(1, 5, "a", "b"), changes(2, 6, nil), full(2, 7, "a")}, true, "a", true, serverload.Loads{0: {Requests: 1}, 1: {Requests: 2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, applied := &viewState{}, false
			for _, v := range c.views {
				applied = s.apply(v)
			}
			if applied != c.applied {
				t.Fatalf("applied: %v", applied)
			}
			if !applied {
				if s.version != 0 || s.epoch != 0 || s.announcements != 0 || s.loadsVersion != 0 {
					t.Errorf("the next view is requested from version %d, want a full one", s.version)
				}
				return
			}
			if got := strings.Join(slices.Sorted(maps.Keys(s.hosts)), " "); got != c.hosts || s.hostsChanged != c.changed {
				t.Errorf("hosts %s, changed %v", got, s.hostsChanged)
			}
			if !maps.Equal(s.loads, c.loads) {
				t.Errorf("loads %v, want %v", s.loads, c.loads)
			}
		})
	}
}

// TestHostsOfChanges adds, changes and removes entry hosts with an incremental view.
func TestHostsOfChanges(t *testing.T) {
	s := &viewState{}
	s.apply(&pb.FleetView{Epoch: 1, Version: 1, Hosts: []*pb.FleetHost{{Id: "h1"}, {Id: "h2", Ready: true}}})
	v := &pb.FleetView{Epoch: 1, Version: 2, Changes: true, RemovedHosts: []string{"h1"}, Hosts: []*pb.FleetHost{{Id: "h2"}, {Id: "h3"}}}
	if !s.apply(v) || len(s.allHosts()) != 2 {
		t.Fatalf("hosts %v", s.allHosts())
	}
	for _, h := range s.allHosts() {
		if h.Id == "h1" || h.Ready {
			t.Errorf("host %v", h)
		}
	}
}

// TestOwnLoadsAreSubtracted checks that a host's own loads are subtracted from the control host's
// sum. The sum may lack them if another control host has become the primary meanwhile.
func TestOwnLoadsAreSubtracted(t *testing.T) {
	s := &viewState{loads: serverload.Loads{1: {Requests: 3}, 2: {Requests: 1}}}
	got := s.otherLoads(serverload.Loads{1: {Requests: 1}, 2: {Requests: 2}, 3: {Requests: 5}})
	if want := (serverload.Loads{1: {Requests: 2}}); !maps.Equal(got, want) {
		t.Errorf("others have %v, want %v", got, want)
	}
}
