package gateway

import (
	"maps"
	"slices"

	"github.com/sesamefork/sesamefork/internal/core/registry"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// source is what this host has of one control host's view. Views hold only what changed
// since the one before.
type source struct {
	epoch, version uint64
	prompts        uint64                     // position in the list of where prompts were sent
	quarantine     uint64                     // position in the news of crashing requests
	servers        map[string]*pb.FleetServer // by ID
	hosts          map[string]*pb.FleetHost   // by ID
}

// complete makes a view of changes whole, and remembers it. It reports whether that is
// possible; if not, the next view is asked for whole.
func (s *source) complete(v *pb.FleetView) bool {
	if !v.Changes {
		s.servers, s.hosts = map[string]*pb.FleetServer{}, map[string]*pb.FleetHost{}
	} else if v.Epoch != s.epoch || s.servers == nil {
		*s = source{}
		return false
	}
	s.epoch, s.version, s.prompts, s.quarantine = v.Epoch, v.Version, v.PromptsNext, v.QuarantineNext
	for _, id := range v.RemovedServers {
		delete(s.servers, id)
	}
	for _, id := range v.RemovedHosts {
		delete(s.hosts, id)
	}
	for _, h := range v.Hosts {
		s.hosts[h.Id] = h
	}
	v.Hosts = slices.Collect(maps.Values(s.hosts))
	return s.completeServers(v)
}

// completeServers adds the servers that a view leaves out. Those that are gone are told
// once.
func (s *source) completeServers(v *pb.FleetView) bool {
	told := map[string]bool{}
	for _, m := range v.Servers {
		told[m.Id] = true
		if m.Gone {
			delete(s.servers, m.Id)
		} else {
			s.servers[m.Id] = m
		}
	}
	if !v.Changes {
		return true
	}
	if len(v.ServerAges) != len(s.servers) {
		*s = source{}
		return false
	}
	for i, id := range slices.Sorted(maps.Keys(s.servers)) {
		if told[id] {
			continue
		}
		m := s.servers[id]
		// How long a server is cold was told with its change, from that time on.
		m.AgeMs, m.ColdMs = uint64(v.ServerAges[i])*registry.AgeUnitMS, 0
		v.Servers = append(v.Servers, m)
	}
	return true
}
