package gateway

import pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"

// source is what this host has of one control host's view. A view leaves out the lists
// that have not changed since the one before.
type source struct {
	epoch, version uint64
	prompts        uint64 // position in the list of where prompts were sent
	servers        []*pb.FleetServer
	hosts          []*pb.FleetHost
}

// ageUnitMS is the unit of the ages in a view, in ms.
const ageUnitMS = 50

// complete adds to a view the lists that it leaves out, and remembers it. It reports
// whether that is possible; if not, the next view is asked for whole.
func (s *source) complete(v *pb.FleetView) bool {
	if (v.ServersUnchanged || v.HostsUnchanged) && v.Epoch != s.epoch || v.ServersUnchanged && len(v.ServerAges) != len(s.servers) {
		*s = source{}
		return false
	}
	if v.ServersUnchanged {
		for i, m := range s.servers {
			// How long a server is cold was told with the list, from that time on.
			m.AgeMs, m.ColdMs = uint64(v.ServerAges[i])*ageUnitMS, 0
		}
		v.Servers = s.servers
	}
	if v.HostsUnchanged {
		v.Hosts = s.hosts
	}
	*s = source{v.Epoch, v.Version, v.PromptsNext, v.Servers, v.Hosts}
	return true
}
