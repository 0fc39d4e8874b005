// Package registry is a control host's view of the fleet: the backend servers
// that announce themselves, the entry hosts that present themselves, and what
// other control hosts tell of theirs. It does no I/O and reads no clock.
//
// Invariants: a start of a server that has left, or that another start has replaced under
// its ID or at its address, never comes back; of two announcements of a start the one with
// the higher sequence number holds, whichever arrives last; the figures of an entry host are
// part of the sum of one control host, its owner.
package registry

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/incarnation"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Options configures a Registry.
type Options struct {
	Region        string
	FailureDomain string
	// ServerLease is how long an announcement holds.
	ServerLease time.Duration
	// HostLease is how long an entry host counts as live after it was heard.
	HostLease time.Duration
	// Regions maps each failure domain to its region.
	Regions map[string]string
}

// MissedAnnouncements is after how many intervals of silence a backend server is taken for
// lost: two announcements may be late or lost.
const MissedAnnouncements = 3

// AgeUnitMS is the unit of the announcements' ages in a view, in ms: one byte holds 6 s.
const AgeUnitMS = 50

// goneFor is how long the ID of a server that is gone is remembered: longer
// than an announcement can be held up by a cut network.
const goneFor = 5 * time.Minute

// Server is one start of a backend server.
type Server struct {
	ID, Service, Address, FailureDomain string
	// Start is when the server's process began, in Unix ms by its own clock; 0 when it was
	// not told.
	Start              int64
	Sequence           uint64
	Slots              int
	Release            string // version of its software; "" when it was not told
	Leaving, Gone      bool
	FirstSeen, HeardAt time.Time
	ColdUntil          time.Time
	// Direct is set when this control host heard the server itself lately.
	Direct time.Time
	// Via is the failure domain of the control host that told of its last announcement; "" for
	// this one.
	Via string

	changed  uint64 // version of its last change
	heardAt  uint64 // position in the log of announcements
	unlisted bool   // its lease ran out, and that was told
	starts   incarnation.History
}

// HeardHere reports whether the server's last announcement came to this control host.
func (s *Server) HeardHere() bool { return s.Via == "" }

// Key returns the key of the server's start in messages between hosts.
func (s *Server) Key() uint32 { return incarnation.Key(s.ID, s.Start) }

// Registry is the view. It is not safe for concurrent use.
type Registry struct {
	o         Options
	servers   map[string]*Server
	byAddress map[string]string // address to the ID that holds it
	hosts     map[string]*Host
	hostIDs   []string            // of hosts, sorted: every view lists them
	controls  map[string]*Control // by peer address
	hostByKey map[uint32]*Host
	version   uint64 // raised by each change that entry hosts must learn at once
	// lists holds the servers that List returns, until they change; direct is the sum of
	// the figures of the entry hosts that this control host owns. Both are kept because
	// presentations and exchanges ask for them several times a second.
	lists  map[string][]*Server // by region
	direct serverload.Loads
	// region is direct and what the region's other control hosts tell of theirs.
	region     *sums
	changes    []change
	forgotten  uint64 // version of the newest change that is not remembered any more
	heard      []*Server
	heardFirst uint64 // position of the first of them
	// serversDue and hostsDue are before the next lease ends or entry is to be forgotten.
	serversDue, hostsDue time.Time
}

// New returns an empty registry.
func New(o Options) *Registry {
	return &Registry{
		o: o, servers: map[string]*Server{}, byAddress: map[string]string{},
		hosts: map[string]*Host{}, hostByKey: map[uint32]*Host{}, controls: map[string]*Control{},
		version: 1, lists: map[string][]*Server{}, direct: serverload.Loads{}, region: newSums(),
	}
}

// Version returns the number of the last change.
func (r *Registry) Version() uint64 { return r.version }

// Touch raises the version for a change outside the registry, and returns it.
func (r *Registry) Touch() uint64 {
	r.version++
	return r.version
}

// Announce takes an announcement. It reports whether it was news; a late one
// changes nothing.
func (r *Registry) Announce(s Server, now time.Time) bool {
	old := r.servers[s.ID]
	if old == nil {
		return r.add(&Server{}, s, now)
	}
	switch r.compareStart(old, s.Start, now) {
	case incarnation.Older:
		return false
	case incarnation.Newer:
		return r.restart(old, s, now)
	}
	if old.Gone || s.Sequence < old.Sequence || (s.Sequence == old.Sequence && !s.HeardAt.After(old.HeardAt)) {
		return false
	}
	if s.Start == 0 {
		s.Start = old.Start
	}
	s.FirstSeen = old.FirstSeen
	if s.Direct.IsZero() {
		s.Direct = old.Direct
	}
	news := old.Leaving != s.Leaving || old.Service != s.Service || old.Slots != s.Slots || r.lapsed(old, now) ||
		old.Start != s.Start || old.Address != s.Address || s.ColdUntil.After(old.ColdUntil.Add(coldNews))
	return r.store(old, s, news)
}

// compareStart tells how an announced start stands to the one that is known. A server that
// left without telling its start may come back once its announcements would have lapsed.
func (r *Registry) compareStart(known *Server, start int64, now time.Time) incarnation.Order {
	if known.Gone && known.Start == 0 && start != 0 && r.lapsed(known, now) {
		return incarnation.Newer
	}
	return known.starts.Compare(start, r.lapsed(known, now))
}

// add takes a start that is the first under its ID, or the first of a new process.
func (r *Registry) add(into *Server, s Server, now time.Time) bool {
	if s.FirstSeen.IsZero() {
		s.FirstSeen = now
	}
	clear(r.lists)
	into.starts.Advance(s.Start)
	s.starts = into.starts
	r.takeAddress(&s, now)
	if s.Gone {
		return false
	}
	r.servers[s.ID] = into
	return r.store(into, s, true)
}

// restart replaces a start of a server by a newer one under the same ID. Nothing that was
// known of the earlier one holds for it.
func (r *Registry) restart(old *Server, s Server, now time.Time) bool {
	if r.byAddress[old.Address] == old.ID {
		delete(r.byAddress, old.Address)
	}
	return r.add(old, s, now)
}

// store puts an announced state in the place of the known one; lists hold the pointer.
func (r *Registry) store(known *Server, s Server, news bool) bool {
	listed := !s.unlisted && known.ID != "" && !known.unlisted && known.FailureDomain == s.FailureDomain
	s.changed, s.starts = known.changed, known.starts
	s.starts.Advance(s.Start)
	*known = s
	r.noteHeard(known)
	r.serversDue = earlier(r.serversDue, s.HeardAt.Add(r.o.ServerLease))
	if !listed {
		clear(r.lists)
	}
	if news {
		r.noteServer(known)
	}
	return news
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// coldNews is by how much a server's cold phase must be longer than known before
// entry hosts are told at once; shorter differences are the delay of messages.
const coldNews = 200 * time.Millisecond

// takeAddress gives the address to the newest start of a server. The one that
// held it is gone, unless that one was seen first later: then s is the old one.
func (r *Registry) takeAddress(s *Server, now time.Time) {
	if id, ok := r.byAddress[s.Address]; ok && id != s.ID {
		holder := r.servers[id]
		if holder != nil && !holder.Gone && holder.FirstSeen.After(s.FirstSeen) {
			s.Gone = true
			s.HeardAt = now
			r.servers[s.ID] = s
			r.noteHeard(s)
			r.noteServer(s)
			return
		}
		r.retire(holder, now)
	}
	r.byAddress[s.Address] = s.ID
}

func (r *Registry) retire(s *Server, now time.Time) {
	if s == nil || s.Gone {
		return
	}
	s.Gone, s.HeardAt = true, now
	clear(r.lists)
	r.noteHeard(s)
	r.noteServer(s)
}

// Leave records that a start of a server has left for good; start 0 means the one that is
// known. It reports whether that was news. A late message of an earlier start changes
// nothing.
func (r *Registry) Leave(id string, start int64, now time.Time) bool {
	s := r.servers[id]
	if s == nil {
		s = &Server{ID: id, FirstSeen: now}
		r.servers[id] = s
	}
	switch r.compareStart(s, start, now) {
	case incarnation.Older:
		return false
	case incarnation.Newer:
		s.Gone = false
	}
	s.starts.Advance(start)
	s.Start = s.starts.Current
	news := !s.Gone
	r.retire(s, now)
	return news
}

func (r *Registry) lapsed(s *Server, now time.Time) bool { return now.Sub(s.HeardAt) > r.o.ServerLease }

// Server returns the server with the ID, or nil.
func (r *Registry) Server(id string) *Server { return r.servers[id] }

// RegionOf returns the region of a failure domain, or "".
func (r *Registry) RegionOf(domain string) string { return r.o.Regions[domain] }

// DirectServers returns the servers of a region that announced themselves, or
// left, at this control host within the lease.
func (r *Registry) DirectServers(region string, now time.Time) []*Server {
	var out []*Server
	for _, s := range r.servers {
		at := s.Direct
		if s.Gone {
			at = s.HeardAt
		}
		if !at.IsZero() && now.Sub(at) <= r.o.ServerLease && (s.Gone || r.RegionOf(s.FailureDomain) == region) {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Expire forgets what is long gone, and raises the version when a lease ran out
// since the last call.
func (r *Registry) Expire(last, now time.Time) {
	if now.After(r.serversDue) {
		r.expireServers(now)
	}
	if now.After(r.hostsDue) {
		r.expireHosts(last, now)
	}
	for _, c := range r.controls {
		if c.counted != nil && now.Sub(c.HeardAt) > r.o.HostLease {
			r.region.replace(c.counted, nil)
			c.counted = nil
		}
	}
}

func (r *Registry) expireServers(now time.Time) {
	r.serversDue = now.Add(goneFor)
	for id, s := range r.servers {
		if s.listed() && r.lapsed(s, now) {
			s.unlisted = true
			clear(r.lists)
			r.noteServer(s)
		}
		switch {
		case now.Sub(s.HeardAt) > goneFor:
			delete(r.servers, id)
			if r.byAddress[s.Address] == id {
				delete(r.byAddress, s.Address)
			}
		case s.listed():
			r.serversDue = earlier(r.serversDue, s.HeardAt.Add(r.o.ServerLease))
		default:
			r.serversDue = earlier(r.serversDue, s.HeardAt.Add(goneFor))
		}
	}
}

func (r *Registry) expireHosts(last, now time.Time) {
	r.hostsDue = now.Add(r.o.HostLease)
	for id, h := range r.hosts {
		if !r.live(h, now) && last.Sub(h.HeardAt) <= r.o.HostLease {
			r.noteHost(h)
		}
		if !r.PresentsItself(h, now) {
			r.disown(h)
		} else {
			r.hostsDue = earlier(r.hostsDue, h.PresentedAt.Add(r.o.HostLease))
		}
		if r.live(h, now) {
			r.hostsDue = earlier(r.hostsDue, h.HeardAt.Add(r.o.HostLease))
		}
		if now.Sub(h.HeardAt) > goneFor {
			delete(r.hosts, id)
			delete(r.hostByKey, h.Key())
			r.hostIDs = slices.DeleteFunc(r.hostIDs, func(known string) bool { return known == id })
		}
	}
}

// LoadsSince returns the work of the region's entry hosts at the servers where it changed
// after a version, and the version to go on from. Where there is none any more it is zero.
// Complete is false when all of it is returned instead. What another control host told of its
// hosts holds as long as a host's presentation: then its hosts have gone to another one, and
// would be counted twice.
func (r *Registry) LoadsSince(version uint64) (loads serverload.Loads, next uint64, complete bool) {
	if loads, complete = r.region.since(version); !complete {
		loads = r.region.all()
	}
	return loads, r.region.version, complete
}

// DirectLoads adds up the work of the entry hosts whose figures this control host owns.
func (r *Registry) DirectLoads() serverload.Loads { return maps.Clone(r.direct) }

// RegionLoads adds up the region's servers that take work and what the entry
// hosts that present themselves here have under way at them, for each service.
func (r *Registry) RegionLoads(evacuated func(domain string) bool, now time.Time) []*pb.RegionLoad {
	sums := map[string]*pb.RegionLoad{}
	loads := r.region.all()
	for _, s := range r.List(r.o.Region) {
		if s.Leaving || evacuated(s.FailureDomain) || s.ColdUntil.After(now) {
			continue
		}
		l := sums[s.Service]
		if l == nil {
			l = &pb.RegionLoad{Region: r.o.Region, Service: s.Service}
			sums[s.Service] = l
		}
		l.Servers++
		l.Slots += uint32(s.Slots)
		load := loads[s.Key()]
		l.Requests += load.Requests
		l.PromptTokens += load.PromptTokens
		l.MemoryTokens += load.MemoryTokens
	}
	out := make([]*pb.RegionLoad, 0, len(sums))
	for _, l := range sums {
		l.Arrivals = loads[serverload.ServiceKey(l.Service)].Requests
		out = append(out, l)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}
