package dispatch

import (
	"slices"
	"time"

	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Control hosts tell of other regions' loads. While they can't reach each other, entry hosts
// can: one asks an entry host there, and an answer shows that the way is open. Without it a
// region in overload kept its requests while the servers of the next one idled
// (TestOverloadWhileControlHostsAreCut).

const (
	// askRegionAfter is the age of a region's figures from which an entry host there is asked.
	askRegionAfter = 900 * time.Millisecond
	// rememberRegion is how long a region is remembered of which control hosts tell nothing.
	rememberRegion = 20 * time.Second
)

// RegionLoads returns what this host knows of the loads of its own region, for hosts of
// others, sorted by service.
func (f *Fleet) RegionLoads(now time.Time) []*pb.RegionLoad {
	sums := map[string]*pb.RegionLoad{}
	for _, s := range f.servers {
		if f.usable(s, now) != "" || s.cold(now) {
			continue
		}
		l := sums[s.Service]
		if l == nil {
			l = &pb.RegionLoad{Region: f.o.Region, Service: s.Service, Arrivals: uint32(f.arrivals[s.Service].perSecond(now) * arrivalsSpan.Seconds())}
			sums[s.Service] = l
		}
		hidden := f.hidden(s.Service, now)
		l.Servers++
		l.Slots += uint32(s.Slots)
		l.Requests += uint32(f.requestsAt(s, now))
		l.PromptTokens += uint32(max(0, s.own.prompt+hidden*s.others.prompt))
		l.MemoryTokens += uint32(max(0, s.own.memory+hidden*s.others.memory))
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

// RegionsToAsk returns an entry host of each region whose figures are old.
func (f *Fleet) RegionsToAsk(now time.Time) []*Host {
	if f.off(RegionsAsked) {
		return nil
	}
	var out []*Host
	for name := range f.hosts {
		if now.Sub(f.heardOf(name)) <= askRegionAfter {
			continue
		}
		if h := f.pickHost(name, &Job{}, now); h != nil {
			out = append(out, h)
		}
	}
	return out
}

// heardOf returns as of when a region's figures are.
func (f *Fleet) heardOf(name string) time.Time {
	var at time.Time
	for key, r := range f.regions {
		if key.region == name && r.at.After(at) {
			at = r.at
		}
	}
	return at
}

// TakeRegion takes what an entry host of another region told of it, as of a moment; nil after
// one did not answer.
func (f *Fleet) TakeRegion(h *Host, loads []*pb.RegionLoad, at, now time.Time) {
	if loads == nil {
		h.suspectUntil = now.Add(suspectFor)
		return
	}
	for _, l := range loads {
		if l.Region == h.Region {
			f.takeRegion(l, at)
			f.regions[regionKey{l.Region, l.Service}].asked = true
		}
	}
}

// takeRegion takes a region's figures as of a moment, unless newer ones are there.
func (f *Fleet) takeRegion(l *pb.RegionLoad, at time.Time) {
	k := regionKey{l.Region, l.Service}
	old := f.regions[k]
	if old != nil && old.at.After(at) {
		return
	}
	next := newRegion(l, at)
	if old != nil {
		// What this host sent is not yet in the other's figure for about one
		// view; the older half of it is.
		next.sent = load{old.sent.requests / 2, old.sent.prompt / 2, old.sent.memory / 2}
	}
	f.regions[k] = next
}
