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
	"github.com/sesamefork/sesamefork/internal/core/incarnation"
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
}

const defaultAnnounceEvery = 1200 * time.Millisecond

// Server is one start of a backend server of the own region.
type Server struct {
	ID, Service, Address, FailureDomain string
	// Start is when the server's process began, in Unix ms by its own clock; 0 when it was
	// not told.
	Start   int64
	Slots   int
	Leaving bool
	// replaced is set when another process runs under the ID: requests under way are lost.
	replaced    bool
	starts      incarnation.History
	ConfirmedAt time.Time // when it last announced itself
	FirstSeen   time.Time
	ColdUntil   time.Time

	own    load // this host's requests under way
	others load // of the region's other entry hosts, as last told
	// othersReading is the reading that they caused, in ms per second.
	othersReading float64
	// deferred and othersDeferred are the requests that wait behind all others, of this
	// host and of the region's other ones.
	deferred, othersDeferred int
	health                   health
	reading                  rate // of prompts sent by this host, in ms of reading per second
	cache                    *partCache
	key                      uint32      // of the start, in messages between hosts
	coldAt                   []time.Time // own requests of the last second, while cold
	// progressAt is when this host last got a byte from the server, or began to
	// wait for one.
	progressAt time.Time
}

// stalled reports whether the server sends nothing though requests are under way:
// it may be dark, or the way to it cut, with connections that just stay silent.
// Deferred requests wait long at a server that is well.
func (s *Server) stalled(now time.Time) bool { return s.own.requests > 0 && s.silent(now) }

// silent reports whether the server sent this host nothing for long.
func (s *Server) silent(now time.Time) bool { return now.Sub(s.progressAt) > stalledAfter }

// underWay is the number of this host's requests at the server.
func (s *Server) underWay() int { return s.own.requests + s.deferred }

// load is work under way at a server.
type load struct {
	requests int
	prompt   float64 // tokens not yet prefilled
	memory   float64 // tokens of KV cache
}

// Host is an entry host of another region.
type Host struct {
	ID, Peer, Region string
	suspectUntil     time.Time
}

// region is what is known of another region's servers of one service.
type region struct {
	servers, slots           float64
	requests, prompt, memory float64
	at                       time.Time
	key                      uint32 // of the name, for holders
	sent                     load   // own forwards begun since, or still under way
}

// departure is a start of a server that is never used again.
type departure struct {
	at     time.Time
	starts incarnation.History
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
	chains         map[string]chainRate
	speeds         map[string]*speed.Estimator // by service
	byKey          map[uint32]*Server
	holders        *holders.Table
	sent           []holders.Place // not told to a control host yet
}

// New returns a fleet without servers.
func New(o Options) *Fleet {
	if o.AnnounceEvery == 0 {
		o.AnnounceEvery = defaultAnnounceEvery
	}
	return &Fleet{
		o: o, servers: map[string]*Server{}, gone: map[string]departure{}, hosts: map[string][]*Host{},
		regions: map[regionKey]*region{}, chains: map[string]chainRate{}, holders: holders.NewTable(),
		byKey: map[uint32]*Server{}, speeds: map[string]*speed.Estimator{},
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
	// goneFor is how long a server that left is remembered, for late views.
	goneFor = 5 * time.Minute
)

// TakeView takes a control host's view.
func (f *Fleet) TakeView(v *pb.FleetView, now time.Time) {
	f.viewedAt = now
	if v.EvacuationRevision >= f.revision {
		f.revision, f.evacuated = v.EvacuationRevision, v.Evacuated
	}
	for _, m := range v.Servers {
		f.takeServer(m, now)
	}
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
	for _, p := range holders.Decode(v.Prompts) {
		f.holders.Note(p, now)
	}
	f.takeLoads(serverload.Decode(v.Loads))
	f.takeHosts(v.Hosts, now)
	f.takeRegions(v.Regions, now)
}

func (f *Fleet) takeServer(m *pb.FleetServer, now time.Time) {
	if m.Gone {
		f.MarkGone(m.Id, m.Start, now)
		return
	}
	s := f.serverFor(m, now)
	if s == nil {
		return
	}
	heard := now.Add(-ms(m.AgeMs))
	s.Service, s.Address, s.FailureDomain = m.Service, m.Address, m.FailureDomain
	s.Slots = int(m.Slots)
	s.Leaving = s.Leaving || m.Leaving // never taken back within one start
	if heard.After(s.ConfirmedAt) {
		s.ConfirmedAt = heard
		if m.ColdMs > 0 {
			s.SetCold(heard.Add(ms(m.ColdMs)))
		}
	}
}

// serverFor returns what is known of the start that a view tells of: nothing yet when it is
// new. It returns nil for a start that left or was replaced.
func (f *Fleet) serverFor(m *pb.FleetServer, now time.Time) *Server {
	var starts incarnation.History
	if d, ok := f.gone[m.Id]; ok {
		if d.starts.Compare(m.Start, now.Sub(d.at) > f.announcementsHold()) != incarnation.Newer {
			return nil
		}
		starts = d.starts
		delete(f.gone, m.Id)
	}
	if s := f.servers[m.Id]; s != nil {
		switch s.starts.Compare(m.Start, f.missing(s)) {
		case incarnation.Older:
			return nil
		case incarnation.Same:
			f.learnStart(s, m.Start)
			return s
		}
		starts = s.starts
		s.replaced, s.Leaving = true, true
		f.drop(s)
	}
	s := &Server{ID: m.Id, FirstSeen: now.Add(-ms(m.FirstSeenMs)), cache: newPartCache(), starts: starts}
	f.servers[s.ID] = s
	f.setStart(s, m.Start)
	return s
}

// learnStart takes the start of a server that was told without one before.
func (f *Fleet) learnStart(s *Server, start int64) {
	if s.Start == 0 && start != 0 {
		delete(f.byKey, s.key)
		f.setStart(s, start)
	}
}

func (f *Fleet) setStart(s *Server, start int64) {
	s.Start = start
	s.starts.Advance(start)
	s.key = incarnation.Key(s.ID, start)
	f.byKey[s.key] = s
}

// MarkGone records that a start of a server will never be used again; 0 means the one that
// is known.
func (f *Fleet) MarkGone(id string, start int64, now time.Time) {
	s := f.servers[id]
	if s != nil && s.starts.Compare(start, false) == incarnation.Older {
		return
	}
	d, ok := f.gone[id]
	if !ok {
		d.at = now
		if s != nil {
			d.starts = s.starts
		}
	}
	d.starts.Advance(start)
	f.gone[id] = d
	if s != nil {
		s.Leaving = true
		if s.underWay() == 0 {
			f.drop(s)
		}
	}
}

func (f *Fleet) drop(s *Server) {
	if f.servers[s.ID] == s {
		delete(f.servers, s.ID)
	}
	if f.byKey[s.key] == s {
		delete(f.byKey, s.key)
	}
}

// IsGone reports whether the server's start is known to be gone.
func (f *Fleet) IsGone(s *Server) bool {
	_, ok := f.gone[s.ID]
	return s.replaced || ok
}

// SetCold records that a server is cold until a moment: its cache is empty.
func (s *Server) SetCold(until time.Time) {
	if until.After(s.ColdUntil) {
		s.ColdUntil = until
		s.cache = newPartCache()
	}
}

func (f *Fleet) takeLoads(loads serverload.Loads) {
	for _, s := range f.servers {
		l := loads[s.key]
		s.others = load{int(l.Requests), float64(l.PromptTokens), float64(l.MemoryTokens)}
		s.othersReading, s.othersDeferred = float64(l.ReadingMS), int(l.Deferred)
	}
}

func (f *Fleet) takeHosts(hosts []*pb.FleetHost, now time.Time) {
	suspects := map[string]time.Time{}
	for _, list := range f.hosts {
		for _, h := range list {
			suspects[h.ID] = h.suspectUntil
		}
	}
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
	sort.Strings(neighbors)
	if !slices.Equal(neighbors, f.neighbors) {
		f.neighbors, f.neighborsSince = neighbors, now
	}
}

func (f *Fleet) takeRegions(loads []*pb.RegionLoad, now time.Time) {
	seen := map[regionKey]bool{}
	defer func() {
		for k := range f.regions {
			if !seen[k] {
				delete(f.regions, k)
			}
		}
	}()
	for _, l := range loads {
		k := regionKey{l.Region, l.Service}
		next := &region{
			servers: float64(l.Servers), slots: float64(l.Slots), requests: float64(l.Requests),
			prompt: float64(l.PromptTokens), memory: float64(l.MemoryTokens),
			at: now.Add(-ms(l.AgeMs)), key: holders.Key(l.Region),
		}
		old := f.regions[k]
		if seen[k] && old.requests >= next.requests {
			continue // two control hosts of the region: the one that hears more
		}
		if old != nil {
			// What this host sent is not yet in the other's figure for about one
			// view; the older half of it is.
			next.sent = load{old.sent.requests / 2, old.sent.prompt / 2, old.sent.memory / 2}
		}
		seen[k] = true
		f.regions[k] = next
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
	Samples     int     `json:"samples"`       // of long prompts, of which the rate is the median
}

// Speeds returns what was learned, by service.
func (f *Fleet) Speeds() map[string]Speed {
	out := make(map[string]Speed, len(f.speeds))
	for service, e := range f.speeds {
		out[service] = Speed{e.Rate(), e.BeginMS(), e.AnswerMS(), e.Samples()}
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

// missing reports whether a server has missed too many announcements, as of the last view:
// while no control host can be reached, the servers last known stay in use.
func (f *Fleet) missing(s *Server) bool {
	return f.viewedAt.Sub(s.ConfirmedAt) > f.announcementsHold()
}

// announcementsHold is how long an announcement counts on this host.
func (f *Fleet) announcementsHold() time.Duration {
	return registry.MissedAnnouncements*f.o.AnnounceEvery + viewDelay
}

// usable reports whether a server may be given new work, and why not.
func (f *Fleet) usable(s *Server, now time.Time) (reason string) {
	switch {
	case s.Leaving:
		return "leaving"
	case f.missing(s):
		return "silent"
	case slices.Contains(f.evacuated, s.FailureDomain):
		return "evacuated"
	case now.Before(s.health.closedUntil):
		return "failing"
	}
	return ""
}

func ms(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
