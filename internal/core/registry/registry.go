// Package registry holds a control host's view of the fleet: the backend servers that send
// announcements, the entry hosts that send sync requests, and the state that other control
// hosts send of theirs in exchanges. It does no I/O and reads no clock.
//
// Invariants: a start that has left, that another start has replaced under its ID, or that has lost its address to
// another server is listed again only once it is proved to have sent an announcement since; of two starts at one address the later one is listed, whichever announcement arrives last;
// of two announcements of a start, the one with the higher sequence number takes effect, whichever arrives last;
// the revision after which a start is proved to have sent an announcement never falls; the loads of an entry host
// are part of the sum of one control host, its owner.
package registry

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/incarnation"
	"github.com/sesamefork/sesamefork/internal/core/serverlimit"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Options configures a Registry.
type Options struct {
	Region        string
	FailureDomain string
	// ServerLease is how long an announcement is valid.
	ServerLease time.Duration
	// HostLease is how long an entry host counts as live after its last sync request.
	HostLease time.Duration
	// Regions maps each failure domain to its region.
	Regions map[string]string
}

// MissedAnnouncements is the number of announcement intervals after which a backend server that
// sent nothing is treated as lost: two announcements may be late or lost.
const MissedAnnouncements = 3

// AgeUnitMS is the unit of announcement ages in a view, in ms. Ages up to 6 s then encode to one
// byte.
const AgeUnitMS = 50

// goneRetention is how long an entry is kept after its last message: longer than a network
// partition can delay an announcement, so that a late one does not restore a server that left.
const goneRetention = 5 * time.Minute

// Server is one process of a backend server, identified by its start (see package incarnation).
type Server struct {
	ID, Service, Address, FailureDomain string
	// Start is when the server's process began, in Unix ms by the server's own clock; 0 when the
	// server did not send it.
	Start               int64
	Sequence            uint64
	Slots               int
	Release             string // software version; "" when the server did not send it
	Leaving, Gone       bool
	FirstSeen, LastSeen time.Time
	ColdUntil           time.Time
	// SentAfterRevision is the highest revision of the evacuation list that a control host had
	// applied before the server sent one of its announcements; 0 if none is proved.
	SentAfterRevision uint64
	// DirectAt is when this control host last received an announcement from the server itself;
	// zero for never.
	DirectAt time.Time
	// ProvedAt is the latest time after which the process is proved to have sent an announcement to this control
	// host; zero for none.
	ProvedAt time.Time
	// ProvedElsewhere is the latest such time of another control host, without the delay of its message.
	ProvedElsewhere time.Time
	// Via is the failure domain of the control host that forwarded the last announcement; "" when
	// the server sent it here.
	Via string

	// Departures are the events after which the process counts as gone, unless they are overruled. Overruled are
	// the departures of which it is proved that the process sent an announcement later. Hosts merge both by their
	// union, so that the order of messages does not matter.
	Departures, Overruled []uint64

	departedAt      time.Time // when the last of Departures was recorded here
	departedHere    bool      // one of Departures was not received from another control host
	claims          bool      // it announces an address that another server holds, and is not listed
	heard           heard     // its last announcement that this control host received from it
	rival           *rival    // another process under the ID, which counts as an earlier one; nil for none
	appliedRevision uint64    // revision of the evacuation list when the last announcement was first received
	changedVersion  uint64    // registry version of the last change
	logPosition     uint64    // position in the log of announcements
	unlisted        bool      // its lease ran out, and the change is recorded
	starts          incarnation.History
}

// Holds reports whether no other server holds the address that the server announces.
func (s *Server) Holds() bool { return !s.claims }

// LatestProof returns the latest time after which the process is known to have sent an announcement; zero for none.
func (s *Server) LatestProof() time.Time { return later(s.ProvedAt, s.ProvedElsewhere) }

// AnnouncedHere reports whether the server sent its last announcement to this control host.
func (s *Server) AnnouncedHere() bool { return s.Via == "" }

// Key returns the key of the server's start in messages between hosts.
func (s *Server) Key() uint32 { return incarnation.Key(s.ID, s.Start) }

// Registry is the fleet view of a control host. It is not safe for concurrent use.
type Registry struct {
	o         Options
	servers   map[string]*Server
	byAddress map[string]string // ID of the server that holds the address
	hosts     map[string]*Host
	hostIDs   []string            // keys of hosts, sorted, because every view lists the hosts in order
	controls  map[string]*Control // by peer address
	hostByKey map[uint32]*Host
	version   uint64 // raised by each change that is sent to entry hosts at once
	// lists caches the results of List until they change; ownedSum is the sum of the loads of
	// the entry hosts that this control host owns. Both are maintained incrementally because
	// sync requests and exchanges read them several times a second.
	lists map[string][]*Server // by region
	// evacuationRevision is the revision of the evacuation list that this control host has applied,
	// and restored the one of each failure domain's last restoration.
	evacuationRevision uint64
	restored           map[string]uint64
	ownedSum           serverload.Loads
	// regionSum is ownedSum plus the loads that the region's other control hosts sent of theirs.
	regionSum            *versionedLoads
	limits               *serverlimit.Table // limits that servers advertise, by server key
	changes              []change
	trimmedVersion       uint64 // version of the newest change dropped from changes
	announcementLog      []*Server
	announcementLogStart uint64 // position of the first entry of announcementLog
	// Expire skips the servers or hosts until these times: no lease ends before.
	nextServerExpiry, nextHostExpiry time.Time
}

// New returns an empty registry.
func New(o Options) *Registry {
	return &Registry{
		o: o, servers: map[string]*Server{}, byAddress: map[string]string{},
		hosts: map[string]*Host{}, hostByKey: map[uint32]*Host{}, controls: map[string]*Control{},
		version: 1, lists: map[string][]*Server{}, ownedSum: serverload.Loads{}, regionSum: newVersionedLoads(),
		limits: serverlimit.NewTable(),
	}
}

// Version returns the number of the last change.
func (r *Registry) Version() uint64 { return r.version }

// BumpVersion raises the version for a change outside the registry, and returns the new version.
func (r *Registry) BumpVersion() uint64 {
	r.version++
	return r.version
}

// Announce records an announcement. It reports whether the announcement changed anything that is
// sent to entry hosts at once. A late announcement changes nothing.
func (r *Registry) Announce(s Server, now time.Time) bool {
	old := r.servers[s.ID]
	if old == nil {
		return r.add(&Server{}, s, now)
	}
	if s.Start == 0 && old.Start != 0 && !r.lapsed(old, now) {
		return false // sent by another writer, or by a process before the known one
	}
	switch r.compareToKnownStart(old, s.Start, now) {
	case incarnation.Older:
		if r.runsAfter(old, &s) {
			return r.restart(old, s, now)
		}
		return false
	case incarnation.Newer:
		return r.restart(old, s, now)
	}
	r.recordHeard(old, &s)
	old.overrule(s.Overruled)
	if old.Gone && !r.isBack(old, &s) {
		return false
	}
	back := old.Gone
	if !back && (s.Sequence < old.Sequence || (s.Sequence == old.Sequence && !s.LastSeen.After(old.LastSeen))) {
		return false
	}
	s.FirstSeen, s.ProvedAt, s.heard, s.rival = old.FirstSeen, old.ProvedAt, old.heard, old.rival
	s.ProvedElsewhere = later(s.ProvedElsewhere, old.ProvedElsewhere)
	s.Departures, s.Overruled, s.departedAt, s.departedHere = old.Departures, old.Overruled, old.departedAt, old.departedHere
	if back || old.claims || s.Address != old.Address {
		r.releaseAddress(old)
		if lost := r.claimAddress(&s, back, now); lost != claimWon {
			return r.storeLost(old, s, lost, now)
		}
	}
	if s.Start == 0 {
		s.Start = old.Start
	}
	s.SentAfterRevision = max(old.SentAfterRevision, s.SentAfterRevision, r.provedRevision(old, &s))
	if s.DirectAt.IsZero() {
		s.DirectAt = old.DirectAt
	}
	changed := back || old.claims || old.Leaving != s.Leaving || old.Service != s.Service || old.Slots != s.Slots || r.lapsed(old, now) ||
		old.Start != s.Start || old.Address != s.Address || old.Release != s.Release || s.ColdUntil.After(old.ColdUntil.Add(coldChangeThreshold)) ||
		(r.AwaitsConfirmation(old) && !r.AwaitsConfirmation(&s))
	return r.store(old, s, changed)
}

// compareToKnownStart compares an announced start with the known one. A server that left without
// sending its start may return with a start once the lease of its last message has run out.
func (r *Registry) compareToKnownStart(known *Server, start int64, now time.Time) incarnation.Order {
	if known.Gone && known.Start == 0 && start != 0 && r.lapsed(known, now) {
		return incarnation.Newer
	}
	return known.starts.Compare(start, r.lapsed(known, now))
}

// add records the first start under an ID, or the first announcement of a new process.
func (r *Registry) add(entry *Server, s Server, now time.Time) bool {
	if s.FirstSeen.IsZero() {
		s.FirstSeen = now
	}
	clear(r.lists)
	entry.starts.Advance(s.Start)
	s.starts = entry.starts
	s.Departures, s.departedAt, s.departedHere, s.rival = nil, time.Time{}, false, nil
	if s.heard.at.IsZero() {
		r.recordHeard(&s, &s)
	}
	r.servers[s.ID] = entry
	if lost := r.claimAddress(&s, false, now); lost != claimWon {
		return r.storeLost(entry, s, lost, now)
	}
	return r.store(entry, s, true)
}

// restart replaces a start of a server by a newer one under the same ID. No state of the earlier
// start is kept.
func (r *Registry) restart(old *Server, s Server, now time.Time) bool {
	r.releaseAddress(old)
	if old.starts.Current == 0 {
		s.Overruled = slices.Concat(old.Departures, s.Overruled) // of a process whose start is not known, and not of this one
	}
	return r.add(old, s, now)
}

// store overwrites the known state with an announced one, in place: cached lists hold the
// pointer.
func (r *Registry) store(known *Server, s Server, changed bool) bool {
	listed := !s.unlisted && known.ID != "" && !known.unlisted && known.FailureDomain == s.FailureDomain
	s.changedVersion, s.starts = known.changedVersion, known.starts
	s.appliedRevision = r.evacuationRevision
	if s.Sequence == known.Sequence {
		s.appliedRevision = known.appliedRevision // the same announcement, received again
	}
	s.starts.Advance(s.Start)
	*known = s
	r.recordAnnouncement(known)
	r.nextServerExpiry = earlier(r.nextServerExpiry, s.LastSeen.Add(r.o.ServerLease))
	if !listed {
		clear(r.lists)
	}
	if changed {
		r.recordServerChange(known)
	}
	return changed
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// coldChangeThreshold is the increase of a server's cold phase that is sent to entry hosts at
// once; smaller differences come from message delays.
const coldChangeThreshold = 200 * time.Millisecond

func (r *Registry) lapsed(s *Server, now time.Time) bool {
	return now.Sub(s.LastSeen) > r.o.ServerLease
}

// Server returns the server with the ID, or nil.
func (r *Registry) Server(id string) *Server { return r.servers[id] }

// RegionOf returns the region of a failure domain, or "".
func (r *Registry) RegionOf(domain string) string { return r.o.Regions[domain] }

// DirectServers returns the servers of a region that sent an announcement to this control host
// within the lease, and the servers that departed here or within the lease, sorted by ID: a departure that
// does not reach the control host of its server can't be overruled.
func (r *Registry) DirectServers(region string, now time.Time) []*Server {
	var out []*Server
	for _, s := range r.servers {
		direct := !s.claims && !s.DirectAt.IsZero() && now.Sub(s.DirectAt) <= r.o.ServerLease && r.RegionOf(s.FailureDomain) == region
		departed := s.Gone && (s.departedHere || now.Sub(s.LastSeen) <= r.o.ServerLease)
		if departed || (direct && !s.Gone) {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Expire deletes entries older than goneRetention, and raises the version for leases that ran out
// since last, the time of the previous call.
func (r *Registry) Expire(last, now time.Time) {
	if now.After(r.nextServerExpiry) {
		r.expireServers(now)
	}
	if now.After(r.nextHostExpiry) {
		r.expireHosts(last, now)
	}
	for _, c := range r.controls {
		if c.countedLoads != nil && now.Sub(c.LastSeen) > r.o.HostLease {
			r.regionSum.replace(c.countedLoads, nil)
			c.countedLoads = nil
		}
	}
}

func (r *Registry) expireServers(now time.Time) {
	r.nextServerExpiry = now.Add(goneRetention)
	defer r.expireLimits(now)
	for id, s := range r.servers {
		if s.listed() && r.lapsed(s, now) {
			s.unlisted = true
			clear(r.lists)
			r.recordServerChange(s)
		}
		switch {
		case now.Sub(s.LastSeen) > goneRetention:
			delete(r.servers, id)
			r.releaseAddress(s)
		case s.listed():
			r.nextServerExpiry = earlier(r.nextServerExpiry, s.LastSeen.Add(r.o.ServerLease))
		default:
			r.nextServerExpiry = earlier(r.nextServerExpiry, s.LastSeen.Add(goneRetention))
		}
	}
}

func (r *Registry) expireHosts(last, now time.Time) {
	r.nextHostExpiry = now.Add(r.o.HostLease)
	for id, h := range r.hosts {
		if !r.live(h, now) && last.Sub(h.LastSeen) <= r.o.HostLease {
			r.recordHostChange(h)
		}
		if !r.SyncsHere(h, now) {
			r.disown(h)
		} else {
			r.nextHostExpiry = earlier(r.nextHostExpiry, h.SyncedHereAt.Add(r.o.HostLease))
		}
		if r.live(h, now) {
			r.nextHostExpiry = earlier(r.nextHostExpiry, h.LastSeen.Add(r.o.HostLease))
		}
		if now.Sub(h.LastSeen) > goneRetention {
			delete(r.hosts, id)
			delete(r.hostByKey, h.Key())
			r.hostIDs = slices.DeleteFunc(r.hostIDs, func(known string) bool { return known == id })
		}
	}
}

// LoadsSince returns the work of the region's entry hosts at the servers where it changed after a
// version, zero where no work remains, and the version for the next call. If complete is false,
// the result is the whole sum instead. Loads sent by another control host expire with HostLease:
// by then its hosts sync with a different control host, and would be counted twice.
func (r *Registry) LoadsSince(version uint64) (loads serverload.Loads, next uint64, complete bool) {
	if loads, complete = r.regionSum.since(version); !complete {
		loads = r.regionSum.all()
	}
	return loads, r.regionSum.version, complete
}

// MergeLimits merges the limits of servers that an entry host or another control host sent.
func (r *Registry) MergeLimits(m *pb.ServerLimits, now time.Time) { r.limits.MergeMessage(m, now) }

// LimitsSince returns the limits that changed after a version, and the version for the next call.
func (r *Registry) LimitsSince(version uint64) (*pb.ServerLimits, uint64) {
	return r.limits.Since(version, serverlimit.AllChanges)
}

// expireLimits drops the limits of servers that are not known any more.
func (r *Registry) expireLimits(now time.Time) {
	if r.limits.Len() == 0 {
		return
	}
	known := make(map[uint32]bool, len(r.servers))
	for _, s := range r.servers {
		known[s.Key()] = true
	}
	r.limits.Expire(func(key uint32) bool { return known[key] }, now)
}

// OwnedLoads returns the summed work of the entry hosts that this control host owns.
func (r *Registry) OwnedLoads() serverload.Loads { return maps.Clone(r.ownedSum) }

// RegionLoads returns, for each service, the region's servers that accept work and the work that
// the region's entry hosts have in flight there, sorted by service.
func (r *Registry) RegionLoads(evacuated func(domain string) bool, now time.Time) []*pb.RegionLoad {
	sums := map[string]*pb.RegionLoad{}
	loads := r.regionSum.all()
	for _, s := range r.List(r.o.Region) {
		if s.Leaving || evacuated(s.FailureDomain) || s.ColdUntil.After(now) {
			continue
		}
		l := sums[s.Service]
		if l == nil {
			l = &pb.RegionLoad{Region: r.o.Region, Service: s.Service}
			sums[s.Service] = l
		}
		r.limits.Get(s.Key()).CountIn(l, s.Slots)
		if !slices.Contains(l.Releases, s.Release) {
			l.Releases = append(l.Releases, s.Release)
		}
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
