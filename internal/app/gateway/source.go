package gateway

import (
	"maps"
	"slices"

	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// source is what this host has of one control host's views, which hold only what changed
// since the one before.
type source struct {
	epoch, version uint64
	prompts        uint64                   // position in the list of where prompts were sent
	quarantine     uint64                   // position in the news of crashing requests
	heard          uint64                   // position in the announcements
	loadsAt        uint64                   // version of loads
	hosts          map[string]*pb.FleetHost // by ID
	hostsChanged   bool                     // by the last view
	loads          serverload.Loads         // of the region's entry hosts, this one included
}

// take takes the changes of a view. It reports whether that is possible; if not, the next
// view is asked for whole.
func (s *source) take(v *pb.FleetView) bool {
	if !v.Changes {
		s.hosts = map[string]*pb.FleetHost{}
	} else if v.Epoch != s.epoch || s.hosts == nil {
		*s = source{}
		return false
	}
	s.epoch, s.version, s.prompts, s.quarantine = v.Epoch, v.Version, v.PromptsNext, v.QuarantineNext
	s.heard, s.loadsAt = v.HeardNext, v.LoadsNext
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
func (s *source) allHosts() []*pb.FleetHost { return slices.Collect(maps.Values(s.hosts)) }

// others returns the work of the region's other entry hosts, with what this one told of its
// own at that.
func (s *source) others(own serverload.Loads) serverload.Loads { return s.loads.Without(own) }
