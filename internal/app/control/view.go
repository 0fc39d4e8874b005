package control

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/core/streamorigin"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// handleSync answers an entry host's sync request: at once if the host's view is outdated, else
// after a change or when the requested wait has ended.
func (f *Fleet) handleSync(ctx context.Context, m *pb.FleetSync) *pb.FleetView {
	if m.Introduction {
		return f.introduce()
	}
	now := f.o.Clock.Now()
	h := m.GetHost()
	f.mu.Lock()
	updated := f.reg.UpdateHost(registry.Host{
		ID: h.GetId(), Peer: h.GetPeer(), Caller: h.GetCaller(), Region: h.GetRegion(), FailureDomain: h.GetFailureDomain(),
		Ready: h.GetReady(), LastSeen: now, Direct: true, Primary: m.Primary, Loads: serverload.Decode(m.Loads),
	}, now)
	if updated {
		f.o.Log.Info("entry host added or changed", "host_id", h.GetId(), "caller", h.GetCaller(), "ready", h.GetReady())
	}
	f.streams.Merge(m.Streams, streamorigin.FromEntryHost, now)
	if f.replica.mergeVerdicts(m.Quarantine, h.GetId()) {
		f.reg.BumpVersion()
	}
	if h.GetRegion() == f.o.Region {
		f.prompts.Add(h.GetId(), holders.Decode(m.Prompts))
		f.reg.MergeLimits(m.Limits, now)
	}
	f.wakeLocked()
	current := m.HaveEpoch == f.epoch && m.HaveVersion == f.reg.Version()
	changed := f.waker.enter()
	f.mu.Unlock()
	defer f.waker.leave()
	if current {
		wait := time.NewTimer(min(milliseconds(uint64(m.WaitMs)), maxSyncWait))
		defer wait.Stop()
		select {
		case <-changed:
		case <-wait.C:
		case <-f.leaving:
		case <-ctx.Done():
		}
	}
	return f.buildView(m, h.GetId(), h.GetRegion())
}

// ReleaseSyncs answers the sync requests that wait for a change, and further ones at once. A host that
// stops must call it once when it leaves its links, which stay open for the answers.
func (f *Fleet) ReleaseSyncs() { close(f.leaving) }

// introduce returns the location of this control host and the list of all control hosts. All entry
// hosts start with the same few seeds, most of which do not become their nearest control hosts, so
// this answer omits everything else.
func (f *Fleet) introduce() *pb.FleetView {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &pb.FleetView{
		HomeRegion: f.o.Region, HomeDomain: f.o.FailureDomain, StalenessMs: uint64(f.replica.Staleness().Milliseconds()), ControlHosts: f.controls,
	}
}

func (f *Fleet) buildView(m *pb.FleetSync, host, region string) *pb.FleetView {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refreshEvacuationsLocked()
	now := f.o.Clock.Now()
	v := &pb.FleetView{
		Epoch: f.epoch, Version: f.reg.Version(), Evacuated: f.evacuations.Evacuated, EvacuationRevision: f.evacuations.EvacuationRevision,
		HomeRegion: f.o.Region, HomeDomain: f.o.FailureDomain, StalenessMs: uint64(f.replica.Staleness().Milliseconds()),
		UptimeMs: uint64(now.Sub(f.started).Milliseconds()),
	}
	for _, c := range f.reg.Controls(now) {
		if age := now.Sub(c.LoadsAt); age <= registry.ControlLease {
			v.Regions = append(v.Regions, withAge(c.Loads, age)...)
		}
	}
	if region == f.o.Region {
		var places []holders.Place
		places, v.PromptsNext = f.prompts.ForHost(host, m.HavePrompts)
		v.Prompts = holders.Encode(places)
		v.Limits, v.LimitsNext = f.reg.LimitsSince(f.positionOf(m, m.HaveLimits))
	} else {
		v.Regions = append(v.Regions, withAge(f.regionLoadsLocked(now), 0)...)
	}
	f.omitSingleReleasesLocked(v.Regions, now)
	f.addLists(v, m, region, now)
	f.addLoads(v, m, region)
	if !v.Changes || f.controlsVersion > m.HaveVersion {
		v.ControlHosts = f.controls
	}
	if !v.Changes || f.evacuationsVersion > m.HaveVersion {
		v.Restored = f.evacuations.Restored
	}
	v.Quarantine, v.QuarantineNext = f.replica.verdictsSince(f.positionOf(m, m.HaveQuarantine), maxViewRecords, quarantine.NeededByEntryHosts)
	return v
}

// positionOf returns a position that a sync request has in a log of this process; 0 if it is one of an
// earlier process.
func (f *Fleet) positionOf(m *pb.FleetSync, have uint64) uint64 {
	if m.HaveEpoch != f.epoch {
		return 0
	}
	return have
}

// maxRegionLoadsAge is the age up to which computed region loads are reused: less than the network
// delay to another region. Computing them iterates over the region's servers, and they are sent to
// every control host and entry host of other regions.
const maxRegionLoadsAge = 100 * time.Millisecond

func (f *Fleet) regionLoadsLocked(now time.Time) []*pb.RegionLoad {
	if f.regionLoads == nil || now.Sub(f.regionLoadsAt) >= maxRegionLoadsAge {
		f.regionLoads, f.regionLoadsAt = f.reg.RegionLoads(f.replica.isEvacuated, now), now
	}
	return f.regionLoads
}

// omitSingleReleasesLocked removes the releases of services of which a single one is known in all regions.
func (f *Fleet) omitSingleReleasesLocked(loads []*pb.RegionLoad, now time.Time) {
	known := map[string]string{} // release by service
	several := map[string]bool{}
	count := func(list []*pb.RegionLoad) {
		for _, l := range list {
			for _, release := range l.Releases {
				if first, ok := known[l.Service]; ok && first != release {
					several[l.Service] = true
				}
				known[l.Service] = release
			}
		}
	}
	count(loads)
	count(f.regionLoadsLocked(now))
	for _, l := range loads {
		if !several[l.Service] {
			l.Releases = nil
		}
	}
}

// addLists adds the servers of the entry host's region and all entry hosts to its view: the changes
// since the version that the host has, and the servers that announced themselves since.
func (f *Fleet) addLists(v *pb.FleetView, m *pb.FleetSync, region string, now time.Time) {
	changes, complete := f.reg.ChangesSince(m.HaveVersion, region, now)
	if v.Changes = complete && m.HaveEpoch == f.epoch; !v.Changes {
		changes = registry.Changes{Servers: append(f.reg.Gone(region), f.reg.List(region)...), Hosts: f.reg.Hosts(now)}
	}
	v.RemovedServers, v.RemovedHosts = changes.RemovedServers, changes.RemovedHosts
	for _, s := range changes.Servers {
		v.Servers = append(v.Servers, serverMessage(s, now))
	}
	for _, h := range changes.Hosts {
		v.Hosts = append(v.Hosts, hostMessage(h, h.LastSeen, now))
	}
	announced, next, complete := f.reg.AnnouncedSince(m.HaveHeard)
	v.HeardNext = next
	switch {
	case !v.Changes:
		return
	case !complete:
		announced = f.reg.List(region)
	}
	for _, s := range announced {
		if f.reg.Listed(s, region) {
			v.HeardServers = append(v.HeardServers, s.Key())
			v.HeardAges = append(v.HeardAges, uint32(age(s.LastSeen, now)/registry.AgeUnitMS))
		}
	}
}

// addLoads adds the loads of the region's entry hosts to the view of one whose primary is this
// control host.
func (f *Fleet) addLoads(v *pb.FleetView, m *pb.FleetSync, region string) {
	if !m.Primary || region != f.o.Region {
		return
	}
	have := f.positionOf(m, m.HaveLoads)
	var loads serverload.Loads
	loads, v.LoadsNext, v.LoadChanges = f.reg.LoadsSince(have)
	v.LoadChanges = v.LoadChanges && have > 0
	v.Loads = serverload.Encode(loads)
}

// withAge returns copies of the loads with their age set.
func withAge(loads []*pb.RegionLoad, age time.Duration) []*pb.RegionLoad {
	out := make([]*pb.RegionLoad, 0, len(loads))
	for _, l := range loads {
		c := proto.Clone(l).(*pb.RegionLoad)
		c.AgeMs = uint64(max(0, age.Milliseconds()))
		out = append(out, c)
	}
	return out
}

func hostMessage(h *registry.Host, lastSeen, now time.Time) *pb.FleetHost {
	return &pb.FleetHost{
		Id: h.ID, Peer: h.Peer, Caller: h.Caller, Region: h.Region, FailureDomain: h.FailureDomain, Ready: h.Ready,
		AgeMs: age(lastSeen, now),
	}
}

func serverMessage(s *registry.Server, now time.Time) *pb.FleetServer {
	if s.Gone {
		return &pb.FleetServer{Id: s.ID, Start: s.Start, Gone: true, Departures: slices.Clone(s.Departures)}
	}
	m := &pb.FleetServer{
		Id: s.ID, Start: s.Start, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Sequence: s.Sequence,
		Slots: uint32(s.Slots), Leaving: s.Leaving, Release: s.Release, AgeMs: age(s.LastSeen, now), FirstSeenMs: age(s.FirstSeen, now),
		SentAfterRevision: s.SentAfterRevision, Overruled: slices.Clone(s.Overruled),
	}
	if at := s.LatestProof(); !at.IsZero() {
		m.ProvedAgeMs = age(at, now) + 1
	}
	if s.ColdUntil.After(s.LastSeen) {
		m.ColdMs = uint64(s.ColdUntil.Sub(s.LastSeen).Milliseconds())
	}
	return m
}

func age(at, now time.Time) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
