package dispatch

import (
	"slices"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Control hosts report the loads of other regions. While the control hosts cannot reach each
// other, the entry hosts may still do: one queries an entry host of the other region, whose
// answer also shows that the network path there works. Without this, an overloaded region kept
// its requests while the servers of the next region were idle
// (TestOverloadWhileControlHostsAreCut).

const (
	// maxAgeBeforeQuery is the age of a region's figures above which an entry host there is
	// queried.
	maxAgeBeforeQuery = 900 * time.Millisecond
	// regionRetention is how long the state of a region that control hosts no longer report is
	// kept.
	regionRetention = 20 * time.Second
)

// RegionLoads returns the estimated loads of the own region, for entry hosts of other regions,
// sorted by service.
func (f *Fleet) RegionLoads(now time.Time) []*pb.RegionLoad {
	sums := map[string]*pb.RegionLoad{}
	for _, s := range f.servers {
		if f.usable(s, now) != "" || f.cold(s, now) {
			continue
		}
		l := sums[s.Service]
		if l == nil {
			l = &pb.RegionLoad{Region: f.o.Region, Service: s.Service, Arrivals: uint32(f.arrivals[s.Service].perSecond(now) * arrivalsReportWindow.Seconds())}
			sums[s.Service] = l
		}
		factor := f.unreportedFactor(s.Service, now)
		f.Limit(s).CountIn(l, s.Slots)
		if !slices.Contains(l.Releases, s.Release) {
			l.Releases = append(l.Releases, s.Release)
		}
		l.Requests += uint32(f.requestsAt(s, now))
		l.PromptTokens += uint32(max(0, s.own.prompt+factor*s.others.prompt))
		l.MemoryTokens += uint32(max(0, s.own.memory+factor*s.others.memory))
	}
	out := make([]*pb.RegionLoad, 0, len(sums))
	for _, l := range sums {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *pb.RegionLoad) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return out
}

// HostsToQuery returns an entry host of each region whose figures are older than
// maxAgeBeforeQuery.
func (f *Fleet) HostsToQuery(now time.Time) []*Host {
	if f.disabled(RegionQueries) {
		return nil
	}
	var out []*Host
	for name := range f.hosts {
		if now.Sub(f.regionAsOf(name)) <= maxAgeBeforeQuery {
			continue
		}
		if h := f.pickHost(name, &Job{}, now); h != nil {
			out = append(out, h)
		}
	}
	return out
}

// regionAsOf returns the time of a region's latest figures; the zero time if there are none.
func (f *Fleet) regionAsOf(name string) time.Time {
	var at time.Time
	for key, r := range f.regions {
		if key.region == name && r.asOf.After(at) {
			at = r.asOf
		}
	}
	return at
}

// ApplyRegionLoads applies the loads that an entry host of another region reported of that
// region, as of a time; nil loads mean that the host did not answer.
func (f *Fleet) ApplyRegionLoads(h *Host, loads []*pb.RegionLoad, at, now time.Time) {
	if loads == nil {
		h.suspectUntil = now.Add(suspectTimeout)
		return
	}
	for _, l := range loads {
		if l.Region == h.Region {
			f.applyRegion(l, at)
			f.regions[regionKey{l.Region, l.Service}].fromEntryHost = true
		}
	}
}

// RecordHostLeaving records that the entry host with a peer address accepts no further requests. It reports whether the
// host is one of another region. The next views leave the host out; a successor of its process may be used again.
func (f *Fleet) RecordHostLeaving(peer string, now time.Time) bool {
	for _, list := range f.hosts {
		for _, h := range list {
			if h.Peer == peer {
				h.suspectUntil = now.Add(suspectTimeout)
				return true
			}
		}
	}
	return false
}

// applyRegion stores a region's figures as of a time, unless newer ones are stored.
func (f *Fleet) applyRegion(l *pb.RegionLoad, at time.Time) {
	k := regionKey{l.Region, l.Service}
	old := f.regions[k]
	if old != nil && old.asOf.After(at) {
		return
	}
	next := newRegion(l, at)
	if old != nil {
		next.trend = old.trend
		// This host's forwards appear in the region's figures about one view later, so the
		// older half of them is assumed to be included.
		next.forwarded = load{old.forwarded.requests / 2, old.forwarded.prompt / 2, old.forwarded.memory / 2}
	}
	next.trend.observe(next.arrivals, at)
	f.regions[k] = next
}
