// Package dispatch decides, on an entry host, where a routed request goes: to a backend server
// of the own region, to another region, or nowhere, in which case the request is refused at
// once. It holds the host's state of the servers, from three sources: the views of the control
// hosts, the loads reported by the region's other entry hosts, and what this host sent and
// observed itself. It does no I/O and reads no clock.
package dispatch

import (
	"math"
	"sort"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/enginememory"
	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/core/serverpause"
	"github.com/sesamefork/sesamefork/internal/core/serverspeed"
	"github.com/sesamefork/sesamefork/internal/core/speed"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Options configures a Fleet.
type Options struct {
	Host, Region, FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Random returns a random number in [0, 1).
	Random func() float64
	// PrefillRate is the rate at which engines are assumed to prefill prompts until it has been
	// measured, in tokens per ms; 0 for the default of package speed.
	PrefillRate float64
	// AnnounceEvery is the interval at which servers announce themselves (default 1.2 s).
	AnnounceEvery time.Duration
	// Off is the set of mechanisms that are disabled for an experiment.
	Off Mechanisms
}

// DefaultAnnounceEvery is the interval at which servers announce themselves if none is configured.
const DefaultAnnounceEvery = 1200 * time.Millisecond

// Host is an entry host of another region.
type Host struct {
	ID, Peer, Region string
	suspectUntil     time.Time
	pausedUntil      map[string]time.Time // by service; see RecordHostRefusal
}

// region is the state of another region's servers of one service.
type region struct {
	servers, slots           float64
	requests, prompt, memory float64
	arrivals                 float64      // requests per second from the region's own callers
	trend                    arrivalTrend // of arrivals
	asOf                     time.Time
	fromEntryHost            bool   // reported by an entry host of that region, not by a control host
	key                      uint32 // key of the region's name in the holders table
	forwarded                load   // this host's forwards that the reported figures may not include yet
	// limitedServers, limitedSlots and limitedPerSecond are of the servers that advertise a limit, which
	// are not part of servers and slots.
	limitedServers, limitedSlots, limitedPerSecond float64
	releases                                       []string // of its servers; empty if unknown
}

type regionKey struct{ region, service string }

// Fleet is an entry host's state of the servers, regions and other entry hosts. It is not safe
// for concurrent use.
type Fleet struct {
	o              Options
	servers        map[string]*Server
	departures     map[string]departure // by server ID
	hosts          map[string][]*Host   // ready entry hosts of other regions, by region
	neighbors      hostList             // ready entry hosts of the own region
	neighborsSince time.Time            // time since which neighbors is unchanged and this host holds its lease
	// unsettled are the lists before neighbors that other hosts may still have used at neighborsSince.
	unsettled        []hostList
	listsGeneration  int       // raised by each change of neighbors
	hostsRequestedAt time.Time // when the last list of entry hosts was requested
	regions          map[regionKey]*region
	evacuated        []string
	revision         uint64
	restored         map[string]restoration   // by failure domain
	coldDurations    map[string]time.Duration // by service
	lastViewAt       time.Time                // time of the last view from a control host
	loadsAsOf        time.Time                // time of the loads of the region's other hosts
	lastSweepAt      time.Time                // time of the last sweep
	chainRates       map[string]chainRate
	arrivals         map[string]*arrivals        // by plain service, and by classKey
	classes          map[string][]*classWork     // by service, most urgent first
	speeds           map[string]*speed.Estimator // by service
	serversByKey     map[uint32]*Server
	holders          *holders.Table
	comparisons      map[string]*loadComparison      // by service
	workTimes        map[string]*serverspeed.Service // by service
	workTimesAt      time.Time                       // latest time given to workTimesOf
	unreportedPlaces []holders.Place                 // not yet reported to a control host
	limits           *serverlimit.Table              // limits that servers advertise, by server key
	pauses           *serverpause.Table              // pauses that servers asked of this host, by server key
	// limitRefusals are the times of the last requests refused at limits, by service and priority.
	limitRefusals map[string]map[int]time.Time
	// nextLimitedPlace is when the last request that was refused at a limit is expected back, by service.
	nextLimitedPlace map[string]time.Time
	streams          streamPauses
	heldRatios       map[string]*enginememory.Ratio // by service
	memoryCrashes    []*Server                      // see TakeMemoryCrashes
}

// New returns a Fleet without servers.
func New(o Options) *Fleet {
	if o.AnnounceEvery == 0 {
		o.AnnounceEvery = DefaultAnnounceEvery
	}
	return &Fleet{
		o: o, servers: map[string]*Server{}, departures: map[string]departure{}, restored: map[string]restoration{}, hosts: map[string][]*Host{},
		regions: map[regionKey]*region{}, chainRates: map[string]chainRate{}, arrivals: map[string]*arrivals{}, holders: holders.NewTable(),
		serversByKey: map[uint32]*Server{}, speeds: map[string]*speed.Estimator{}, comparisons: map[string]*loadComparison{},
		workTimes: map[string]*serverspeed.Service{}, classes: map[string][]*classWork{},
		limits: serverlimit.NewTable(), pauses: serverpause.NewTable(), limitRefusals: map[string]map[int]time.Time{}, nextLimitedPlace: map[string]time.Time{}, listsGeneration: 1,
		streams: newStreamPauses(), heldRatios: map[string]*enginememory.Ratio{},
	}
}

// speedOf returns the speed estimator of a service's servers.
func (f *Fleet) speedOf(service string) *speed.Estimator {
	e := f.speeds[service]
	if e == nil {
		e = speed.New(f.o.PrefillRate)
		f.speeds[service] = e
	}
	return e
}

// Time limits of views and of the state taken from them.
const (
	// maxViewDelay is the longest time from the arrival of a server's announcement at its
	// control host to the arrival of the view with it on this host: an exchange between control
	// hosts, a view, and the network delays between them.
	maxViewDelay = 900 * time.Millisecond
	// maxViewWait is the time after which a host gives up a request for a view. A view that took longer
	// reached a host that did not run in the meantime, and its loads may be as old as the request.
	maxViewWait = 1200 * time.Millisecond
	// maxRegionAge is the age of another region's figures up to which requests are sent there.
	// The figures arrive three times a second and are 0.4 s old by then, so older ones mean
	// that the network path there is probably cut. A request that is sent into a cut is lost.
	maxRegionAge = 1200 * time.Millisecond
	// stalledAfter is the time after which a server that has requests in flight and sends
	// nothing at all counts as stalled and other servers are preferred: ten times the duration
	// of a slow step. The server may just be full, so this alone neither excludes it nor makes
	// its requests count as lost.
	stalledAfter = time.Second
	// stateRetention is how long the state of a server that has stopped announcing itself is
	// kept.
	stateRetention = time.Minute
	// sweepInterval is the shortest interval between two sweeps for expired state.
	sweepInterval = time.Second
	// departureRetention is how long the departure of a server is recorded, so that late views
	// do not bring the server back.
	departureRetention = 5 * time.Minute
)

// ViewScope selects the parts of a view to apply besides its servers and evacuations, which are
// always applied as each of them has a version or an age of its own.
type ViewScope struct {
	// Source is the control host that sent the view, for the log.
	Source string
	// RequestedAt is when the view was requested; zero for when it is applied.
	RequestedAt time.Time
	// Loads selects the loads of the region's other entry hosts.
	Loads bool
	// Others, unless nil, replaces the view's loads.
	Others serverload.Loads
	// Fleet selects the entry hosts and the loads of other regions.
	Fleet bool
	// SameHosts is set if the view omits the entry hosts because they have not changed since the
	// previous view.
	SameHosts bool
}

// FullScope is the scope for the view of a control host that is near and up to date.
var FullScope = ViewScope{Loads: true, Fleet: true}

// asOf returns the time of a view's loads. It is the request's if the host did not run in the meantime.
func (s ViewScope) asOf(now time.Time) time.Time {
	if s.RequestedAt.IsZero() || now.Sub(s.RequestedAt) <= maxViewWait {
		return now
	}
	return s.RequestedAt
}

// ApplyView applies a view received from a control host.
func (f *Fleet) ApplyView(v *pb.FleetView, scope ViewScope, now time.Time) {
	f.lastViewAt = now
	if scope.Loads {
		f.loadsAsOf = scope.asOf(now)
	}
	f.applyEvacuated(v.Evacuated, v.EvacuationRevision, now)
	f.applyRestored(v.Restored, now)
	for _, m := range v.Servers {
		f.applyServer(m, scope.Source, now)
	}
	f.applyAnnouncementAges(v, scope.Source, now)
	if now.Sub(f.lastSweepAt) >= sweepInterval {
		f.sweep(now)
	}
	for _, p := range holders.Decode(v.Prompts) {
		f.holders.Record(p, now)
	}
	switch {
	case scope.Loads && scope.Others != nil:
		f.applyLoads(scope.Others, now)
	case scope.Loads:
		f.applyLoads(serverload.Decode(v.Loads), now)
	}
	if scope.Fleet {
		f.renewSenderLease(scope.RequestedAt, now)
	}
	if scope.Fleet && !scope.SameHosts {
		f.applyHosts(v.Hosts, now)
	}
	if scope.Fleet {
		f.applyRegions(v.Regions, now)
	}
}

// applyAnnouncementAges records the last announcements of servers that have not changed otherwise.
func (f *Fleet) applyAnnouncementAges(v *pb.FleetView, source string, now time.Time) {
	for i, key := range v.HeardServers {
		if i >= len(v.HeardAges) {
			return
		}
		announcedAt := now.Add(-ms(uint64(v.HeardAges[i]) * registry.AgeUnitMS))
		s := f.serversByKey[key]
		if s == nil || s.Leaving {
			s = f.announcedAgain(key, announcedAt)
		}
		if s != nil {
			s.recordAnnouncement(announcedAt, source)
		}
	}
}

// announcedAgain returns the server with a key if it counted as gone, as another one had answered at its address, and
// has announced itself since. Otherwise it returns the known one; nil for none.
func (f *Fleet) announcedAgain(key uint32, announcedAt time.Time) *Server {
	for id, d := range f.departures {
		if d.server != nil && d.server.key == key && !d.server.replaced && d.announcedSince(announcedAt) {
			return f.restore(id, d)
		}
	}
	return f.serversByKey[key]
}

// sweep drops expired state.
func (f *Fleet) sweep(now time.Time) {
	f.lastSweepAt = now
	for _, s := range f.servers {
		if s.inFlight() == 0 && now.Sub(s.AnnouncedAt) > stateRetention {
			f.drop(s)
		}
	}
	for id, d := range f.departures {
		if now.Sub(d.at) > departureRetention {
			delete(f.departures, id)
		}
	}
	f.sweepChains(now)
	f.holders.Expire(now)
	f.pauses.Expire(now)
	f.limits.Expire(func(key uint32) bool { return f.serversByKey[key] != nil }, now)
}

// disabled reports whether an experiment disables a mechanism.
func (f *Fleet) disabled(m Mechanisms) bool { return f.o.Off.Has(m) }

func (f *Fleet) applyLoads(loads serverload.Loads, now time.Time) {
	for _, s := range f.servers {
		l := loads[s.key]
		s.others = load{int(l.Requests), float64(l.PromptTokens), float64(l.MemoryTokens)}
		s.othersPrefill, s.othersDeferred = float64(l.PrefillMS), int(l.Deferred)
	}
	f.applyArrivals(loads, now)
}

func (f *Fleet) applyHosts(hosts []*pb.FleetHost, now time.Time) {
	known := map[string]*Host{}
	for _, list := range f.hosts {
		for _, h := range list {
			known[h.ID] = h
		}
	}
	before := f.hosts
	f.hosts = map[string][]*Host{}
	neighbors := hostList{[]string{f.o.Host}, map[string]bool{f.o.FailureDomain: true}}
	for _, h := range hosts {
		switch {
		case !h.Ready:
		case h.Region != f.o.Region:
			next := &Host{ID: h.Id, Peer: h.Peer, Region: h.Region}
			if last := known[h.Id]; last != nil {
				next.suspectUntil, next.pausedUntil = last.suspectUntil, last.pausedUntil
			}
			f.hosts[h.Region] = append(f.hosts[h.Region], next)
		case h.Id != f.o.Host:
			neighbors.ids = append(neighbors.ids, h.Id)
			neighbors.domains[h.FailureDomain] = true
		}
	}
	for name, list := range before {
		if len(f.hosts[name]) == 0 && now.Sub(f.regionAsOf(name)) <= regionRetention {
			f.hosts[name] = list // the control hosts may be cut off from those of that region
		}
	}
	sort.Strings(neighbors.ids)
	f.replaceNeighbors(neighbors, now)
}

func (f *Fleet) applyRegions(loads []*pb.RegionLoad, now time.Time) {
	for k, r := range f.regions {
		if now.Sub(r.asOf) > regionRetention {
			delete(f.regions, k)
		}
	}
	seen := map[regionKey]bool{}
	for _, l := range loads {
		k := regionKey{l.Region, l.Service}
		if old := f.regions[k]; seen[k] && old.requests >= float64(l.Requests) {
			continue // reported by two control hosts of the region: the larger figures are the more complete ones
		}
		if seen[k] {
			delete(f.regions, k)
		}
		seen[k] = true
		f.applyRegion(l, now.Add(-ms(l.AgeMs)))
	}
	for k, r := range f.regions {
		if !seen[k] && !r.fromEntryHost && now.Sub(r.asOf) <= maxRegionAge {
			r.asOf = now.Add(-maxRegionAge - time.Millisecond) // excluded until newer figures arrive
		}
	}
}

func newRegion(l *pb.RegionLoad, at time.Time) *region {
	return &region{
		servers: float64(l.Servers), slots: float64(l.Slots), requests: float64(l.Requests),
		prompt: float64(l.PromptTokens), memory: float64(l.MemoryTokens),
		arrivals: float64(l.Arrivals) / arrivalsReportWindow.Seconds(), asOf: at, key: holders.Key(l.Region),
		limitedServers: float64(l.LimitedServers), limitedSlots: float64(l.LimitedSlots), limitedPerSecond: l.LimitedPerSecond,
		releases: l.Releases,
	}
}

// PeerAddress returns the peer address of another region's entry host; "" if the host is not known.
func (f *Fleet) PeerAddress(host string) string {
	for _, list := range f.hosts {
		for _, h := range list {
			if h.ID == host {
				return h.Peer
			}
		}
	}
	return ""
}

// Speed holds the estimated speeds of a service's servers.
type Speed struct {
	TokensPerMS float64 `json:"tokens_per_ms"` // prefill rate of an engine
	BeginMS     float64 `json:"begin_ms"`      // time to the first event of an answer, without the prefill
	AnswerMS    float64 `json:"answer_ms"`     // answer time of a plain service with free slots
	HoldMS      float64 `json:"hold_ms"`       // time for which a request holds a slot of an engine
	Samples     int     `json:"samples"`       // number of long prompts whose median is the rate
	// WorkFactors are the factors of the own region's servers by ID, if servers report work times. The speeds
	// are those of a server with factor 1.
	WorkFactors map[string]WorkFactor `json:"work_factors,omitempty"`
}

// Speeds returns the estimated speeds by service.
func (f *Fleet) Speeds(now time.Time) map[string]Speed {
	out := make(map[string]Speed, len(f.speeds))
	for service, e := range f.speeds {
		out[service] = Speed{e.PrefillTokensPerMS(), e.BeginMS(), e.AnswerMS(), e.HoldMS(), e.Samples(), f.workFactors(service, now)}
	}
	return out
}

// Neighbors returns the number of ready entry hosts of the own region, this one included.
func (f *Fleet) Neighbors() int { return max(1, len(f.neighbors.ids)) }

// HostCount returns the number of ready entry hosts of all regions, this one included.
func (f *Fleet) HostCount() int {
	n := f.Neighbors()
	for _, l := range f.hosts {
		n += len(l)
	}
	return n
}

// HasView reports whether a view has been received from a control host.
func (f *Fleet) HasView() bool { return !f.lastViewAt.IsZero() }

// ViewAge returns the age of the last view; 0 if there is none.
func (f *Fleet) ViewAge(now time.Time) time.Duration {
	if f.lastViewAt.IsZero() {
		return 0
	}
	return now.Sub(f.lastViewAt)
}

// LoadsAge returns the age of the loads of the region's other entry hosts; without any, that of the last view.
func (f *Fleet) LoadsAge(now time.Time) time.Duration {
	if f.loadsAsOf.IsZero() {
		return f.ViewAge(now)
	}
	return now.Sub(f.loadsAsOf)
}

// Loads returns the load that this host causes at each server, to be reported to the region's
// other hosts.
func (f *Fleet) Loads(now time.Time) serverload.Loads {
	out := serverload.Loads{}
	f.addArrivals(out, now)
	for _, s := range f.servers {
		if prefill := s.prefill.now(now); s.own.requests > 0 || s.deferred > 0 || prefill >= 1 {
			out[s.key] = serverload.Load{
				Deferred: uint32(s.deferred), Requests: uint32(s.own.requests), PrefillMS: uint32(prefill),
				PromptTokens: uint32(math.Max(0, s.own.prompt)), MemoryTokens: uint32(math.Max(0, s.own.memory)),
			}
		}
	}
	return out
}

func ms(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
