// Package dispatch decides, on an entry host, where a routed request goes: to
// which backend server of the own region, or to which other region, or that it is
// refused at once. It holds what the host knows of the servers: what the control
// hosts tell of them, what the region's other entry hosts have under way there,
// and what this host sent and saw itself. It does no I/O and reads no clock.
package dispatch

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/core/speed"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Options configures a Fleet.
type Options struct {
	Host, Region, FailureDomain string
	// Random returns a number in [0, 1).
	Random func() float64
	// PrefillRate is what the engines are taken to read in a ms until it is learned, in
	// tokens; 0 for the start value of package speed.
	PrefillRate float64
	// AnnounceEvery is the interval of the servers' announcements (default 1.2 s).
	AnnounceEvery time.Duration
	// Off are the mechanisms that an experiment goes without.
	Off Mechanisms
}

const defaultAnnounceEvery = 1200 * time.Millisecond

// Host is an entry host of another region.
type Host struct {
	ID, Peer, Region string
	suspectUntil     time.Time
}

// region is what is known of another region's servers of one service.
type region struct {
	servers, slots           float64
	requests, prompt, memory float64
	arrivals                 float64 // requests a second from the region's own callers
	at                       time.Time
	asked                    bool   // an entry host there told the figures
	key                      uint32 // of the name, for holders
	sent                     load   // own forwards begun since, or still under way
}

type regionKey struct{ region, service string }

// Fleet is what the host knows. It is not safe for concurrent use.
type Fleet struct {
	o              Options
	servers        map[string]*Server
	gone           map[string]departure // by server ID
	hosts          map[string][]*Host   // entry hosts of other regions, by region
	neighbors      []string             // ready entry hosts of the own region, this one included
	neighborsSince time.Time            // when neighbors last changed
	regions        map[regionKey]*region
	evacuated      []string
	revision       uint64
	viewedAt       time.Time // last view from a control host
	forgotAt       time.Time // see forget
	chains         map[string]chainRate
	arrivals       map[string]*arrivals        // by plain service
	speeds         map[string]*speed.Estimator // by service
	byKey          map[uint32]*Server
	holders        *holders.Table
	observed       map[string]*observed // by service
	sent           []holders.Place      // not told to a control host yet
}

// New returns a fleet without servers.
func New(o Options) *Fleet {
	if o.AnnounceEvery == 0 {
		o.AnnounceEvery = defaultAnnounceEvery
	}
	return &Fleet{
		o: o, servers: map[string]*Server{}, gone: map[string]departure{}, hosts: map[string][]*Host{},
		regions: map[regionKey]*region{}, chains: map[string]chainRate{}, arrivals: map[string]*arrivals{}, holders: holders.NewTable(),
		byKey: map[uint32]*Server{}, speeds: map[string]*speed.Estimator{}, observed: map[string]*observed{},
	}
}

// speedOf returns what was learned of a service's servers.
func (f *Fleet) speedOf(service string) *speed.Estimator {
	e := f.speeds[service]
	if e == nil {
		e = speed.New(f.o.PrefillRate)
		f.speeds[service] = e
	}
	return e
}

// Times of the view.
const (
	// viewDelay is how much later than at its control host a server's announcement may be
	// known here: an exchange between control hosts, a view, and the ways between them.
	viewDelay = 900 * time.Millisecond
	// regionSilence is how old another region's figures may be for a request to be
	// sent there: they come three times a second and take 0.4 s, so older ones mean
	// that the way there is probably cut. A request that is sent into a cut is lost.
	regionSilence = 1200 * time.Millisecond
	// stalledAfter is how long a server that has requests under way may send
	// nothing at all before others go first: ten times a slow step. It may also
	// just be full, so it is neither left out nor given up for that.
	stalledAfter = time.Second
	// forgetAfter is how long a silent server's state is kept.
	forgetAfter = time.Minute
	// forgetEvery is the pause between two looks for what is to be forgotten.
	forgetEvery = time.Second
	// goneFor is how long a server that left is remembered, for late views.
	goneFor = 5 * time.Minute
)

// Scope says which parts of a view count, beside its servers and evacuations, of which each
// has a version or an age of its own.
type Scope struct {
	// Loads: the work of the region's other entry hosts.
	Loads bool
	// Others, unless nil, is that work in the place of the view's loads.
	Others serverload.Loads
	// Fleet: the entry hosts, and the loads of other regions.
	Fleet bool
	// SameHosts: the entry hosts are those of the view before, and left out.
	SameHosts bool
}

// Everything is the scope of the view of a control host that is near and up to date.
var Everything = Scope{Loads: true, Fleet: true}

// TakeView takes a control host's view.
func (f *Fleet) TakeView(v *pb.FleetView, scope Scope, now time.Time) {
	f.viewedAt = now
	f.takeEvacuated(v.Evacuated, v.EvacuationRevision, now)
	for _, m := range v.Servers {
		f.takeServer(m, now)
	}
	f.takeHeard(v.HeardServers, v.HeardAges, now)
	if now.Sub(f.forgotAt) >= forgetEvery {
		f.forget(now)
	}
	for _, p := range holders.Decode(v.Prompts) {
		f.holders.Note(p, now)
	}
	switch {
	case scope.Loads && scope.Others != nil:
		f.takeLoads(scope.Others, now)
	case scope.Loads:
		f.takeLoads(serverload.Decode(v.Loads), now)
	}
	if scope.Fleet && !scope.SameHosts {
		f.takeHosts(v.Hosts, now)
	}
	if scope.Fleet {
		f.takeRegions(v.Regions, now)
	}
}

// takeHeard notes when servers that did not change last announced themselves.
func (f *Fleet) takeHeard(keys, ages []uint32, now time.Time) {
	for i, key := range keys {
		if s := f.byKey[key]; s != nil && i < len(ages) {
			s.confirm(now.Add(-ms(uint64(ages[i]) * registry.AgeUnitMS)))
		}
	}
}

// forget drops what is of no use any more.
func (f *Fleet) forget(now time.Time) {
	f.forgotAt = now
	for _, s := range f.servers {
		if s.underWay() == 0 && now.Sub(s.ConfirmedAt) > forgetAfter {
			f.drop(s)
		}
	}
	for id, d := range f.gone {
		if now.Sub(d.at) > goneFor {
			delete(f.gone, id)
		}
	}
	f.forgetChains(now)
	f.holders.Forget(now)
}

// off reports whether an experiment goes without a mechanism.
func (f *Fleet) off(m Mechanisms) bool { return f.o.Off.Has(m) }

func (f *Fleet) takeLoads(loads serverload.Loads, now time.Time) {
	for _, s := range f.servers {
		l := loads[s.key]
		s.others = load{int(l.Requests), float64(l.PromptTokens), float64(l.MemoryTokens)}
		s.othersReading, s.othersDeferred = float64(l.ReadingMS), int(l.Deferred)
	}
	f.takeArrivals(loads, now)
}

func (f *Fleet) takeHosts(hosts []*pb.FleetHost, now time.Time) {
	suspects := map[string]time.Time{}
	for _, list := range f.hosts {
		for _, h := range list {
			suspects[h.ID] = h.suspectUntil
		}
	}
	before := f.hosts
	f.hosts = map[string][]*Host{}
	neighbors := []string{f.o.Host}
	for _, h := range hosts {
		switch {
		case !h.Ready:
		case h.Region != f.o.Region:
			f.hosts[h.Region] = append(f.hosts[h.Region], &Host{ID: h.Id, Peer: h.Peer, Region: h.Region, suspectUntil: suspects[h.Id]})
		case h.Id != f.o.Host:
			neighbors = append(neighbors, h.Id)
		}
	}
	for name, list := range before {
		if len(f.hosts[name]) == 0 && now.Sub(f.heardOf(name)) <= rememberRegion {
			f.hosts[name] = list // control hosts may be cut from those of the region
		}
	}
	sort.Strings(neighbors)
	if !slices.Equal(neighbors, f.neighbors) {
		f.neighbors, f.neighborsSince = neighbors, now
	}
}

func (f *Fleet) takeRegions(loads []*pb.RegionLoad, now time.Time) {
	for k, r := range f.regions {
		if now.Sub(r.at) > rememberRegion {
			delete(f.regions, k)
		}
	}
	seen := map[regionKey]bool{}
	for _, l := range loads {
		k := regionKey{l.Region, l.Service}
		if old := f.regions[k]; seen[k] && old.requests >= float64(l.Requests) {
			continue // two control hosts of the region: the one that hears more
		}
		if seen[k] {
			delete(f.regions, k)
		}
		seen[k] = true
		f.takeRegion(l, now.Add(-ms(l.AgeMs)))
	}
	for k, r := range f.regions {
		if !seen[k] && !r.asked && now.Sub(r.at) <= regionSilence {
			r.at = now.Add(-regionSilence - time.Millisecond) // used again once a host there has told of it
		}
	}
}

func newRegion(l *pb.RegionLoad, at time.Time) *region {
	return &region{
		servers: float64(l.Servers), slots: float64(l.Slots), requests: float64(l.Requests),
		prompt: float64(l.PromptTokens), memory: float64(l.MemoryTokens),
		arrivals: float64(l.Arrivals) / arrivalsSpan.Seconds(), at: at, key: holders.Key(l.Region),
	}
}

// PeerOf returns the address of another region's entry host, or "".
func (f *Fleet) PeerOf(host string) string {
	for _, list := range f.hosts {
		for _, h := range list {
			if h.ID == host {
				return h.Peer
			}
		}
	}
	return ""
}

// Speed is what was learned of a service's servers.
type Speed struct {
	TokensPerMS float64 `json:"tokens_per_ms"` // of prompts read by an engine
	BeginMS     float64 `json:"begin_ms"`      // time to an answer's first event without reading
	AnswerMS    float64 `json:"answer_ms"`     // of a plain service
	HoldMS      float64 `json:"hold_ms"`       // of an engine's slot, by one request
	Samples     int     `json:"samples"`       // of long prompts, of which the rate is the median
}

// Speeds returns what was learned, by service.
func (f *Fleet) Speeds() map[string]Speed {
	out := make(map[string]Speed, len(f.speeds))
	for service, e := range f.speeds {
		out[service] = Speed{e.Rate(), e.BeginMS(), e.AnswerMS(), e.HoldMS(), e.Samples()}
	}
	return out
}

// Neighbors returns the number of ready entry hosts of the region, this one included.
func (f *Fleet) Neighbors() int { return max(1, len(f.neighbors)) }

// AllHosts returns the number of ready entry hosts of all regions.
func (f *Fleet) AllHosts() int {
	n := f.Neighbors()
	for _, l := range f.hosts {
		n += len(l)
	}
	return n
}

// HasView reports whether a control host was heard yet.
func (f *Fleet) HasView() bool { return !f.viewedAt.IsZero() }

// ViewAge returns the age of the last view.
func (f *Fleet) ViewAge(now time.Time) time.Duration {
	if f.viewedAt.IsZero() {
		return 0
	}
	return now.Sub(f.viewedAt)
}

// Loads returns what this host has under way at each server, for the others.
func (f *Fleet) Loads(now time.Time) serverload.Loads {
	out := serverload.Loads{}
	f.tellArrivals(out, now)
	for _, s := range f.servers {
		if reading := s.reading.now(now); s.own.requests > 0 || s.deferred > 0 || reading >= 1 {
			out[s.key] = serverload.Load{
				Deferred: uint32(s.deferred), Requests: uint32(s.own.requests), ReadingMS: uint32(reading),
				PromptTokens: uint32(math.Max(0, s.own.prompt)), MemoryTokens: uint32(math.Max(0, s.own.memory)),
			}
		}
	}
	return out
}

func ms(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
