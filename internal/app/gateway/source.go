package gateway

import (
	"maps"
	"slices"

	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// viewState is the content of one control host's views. Each view holds only what has changed
// since the one before.
type viewState struct {
	epoch, version uint64
	prompts        uint64 // position in the control host's log of prompt locations
	quarantine     uint64 // position in its changes of quarantine records
	announcements  uint64 // position in its log of server announcements
	loadsVersion   uint64
	limits         uint64                   // version of its limits of servers
	hosts          map[string]*pb.FleetHost // by ID
	hostsChanged   bool                     // by the last view
	loads          serverload.Loads         // of the region's entry hosts, including this one
}

// apply applies a view. It reports whether the view fits the state. If not, it resets the state,
// so that the next view is requested in full.
func (s *viewState) apply(v *pb.FleetView) bool {
	if !v.Changes {
		s.hosts = map[string]*pb.FleetHost{}
	} else if v.Epoch != s.epoch || s.hosts == nil {
		*s = viewState{}
		return false
	}
	s.epoch, s.version, s.prompts, s.quarantine = v.Epoch, v.Version, v.PromptsNext, v.QuarantineNext
	s.announcements, s.loadsVersion, s.limits = v.HeardNext, v.LoadsNext, v.LimitsNext
	for _, id := range v.RemovedHosts {
		delete(s.hosts, id)
	}
	for _, h := range v.Hosts {
		s.hosts[h.Id] = h
	}
	s.hostsChanged = !v.Changes || len(v.Hosts)+len(v.RemovedHosts) > 0
	if !v.LoadChanges || s.loads == nil {
		s.loads = serverload.Loads{}
	}
	s.loads.Apply(serverload.Decode(v.Loads))
	return true
}

// allHosts returns the live entry hosts.
func (s *viewState) allHosts() []*pb.FleetHost { return slices.Collect(maps.Values(s.hosts)) }

// otherLoads returns the loads of the region's other entry hosts. own holds the loads that this
// host had reported to the control host with the request for the view.
func (s *viewState) otherLoads(own serverload.Loads) serverload.Loads { return s.loads.Without(own) }
