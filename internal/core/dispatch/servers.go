package dispatch

import (
	"slices"
	"strconv"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/enginememory"
	"github.com/sesamefork/sesamefork/internal/core/incarnation"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/serverspeed"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Server is one incarnation of a backend server of the entry host's region: one process under
// its ID.
type Server struct {
	ID, Service, Address, FailureDomain string
	// Start is the time at which the server's process started, in Unix ms by the server's
	// clock; 0 if it was not reported.
	Start   int64
	Slots   int
	Leaving bool
	// Release is the version of the server's software; "" if it was not reported.
	Release string
	// replaced is set if another process runs under the ID: requests in flight are lost.
	replaced    bool
	starts      incarnation.History
	AnnouncedAt time.Time // time of the server's last announcement
	FirstSeen   time.Time
	coldState
	senders senderPositions
	pace    pace

	own load // requests of this host in flight
	// holding is the memory that own occupies, with the shared parts that were cached before; empty if the
	// engine's memory is not known.
	holding       enginememory.Holding
	memoryRestart enginememory.Restart
	others        load // those of the region's other entry hosts, as last reported
	// othersPrefill is the prefill work sent by the region's other entry hosts, in ms per
	// second.
	othersPrefill float64
	// deferred and othersDeferred are the deferred requests, which wait behind all others, of
	// this host and of the region's other ones.
	deferred, othersDeferred int
	ownByClass               []int // requests of own, by urgency class
	health                   health
	workTime                 serverspeed.Estimator
	prefill                  rate // prefill work sent by this host, in ms per second
	cache                    *partCache
	key                      uint32 // identifies the incarnation in messages between hosts
	// progressAt is the time at which this host last received a byte from the server, or
	// started to wait for one.
	progressAt time.Time
	// estimatedRequests is the number of requests at the server, as estimated for the last
	// choice.
	estimatedRequests float64
	// estimatedSlots is the number of slots that the server's limit leaves to requests, as estimated for
	// the last choice; 0 before the first one.
	estimatedSlots float64
	// estimatedWork is the work factor, as estimated for the last choice; 0 before the first one.
	estimatedWork float64
	// expectedCrashes is the expected number of this host's requests at the server that will crash
	// it.
	expectedCrashes float64
}

// Process returns a name of the server's process, which no other process has; "" if the server reports no start time.
func (s *Server) Process() string {
	if s.Start == 0 {
		return ""
	}
	return s.ID + "@" + strconv.FormatInt(s.Start, 10)
}

// Replaced reports whether the server's process has certainly exited, because another one runs
// under its ID.
func (s *Server) Replaced() bool { return s.replaced }

// ReleaseConfirmed reports whether the server's release is that of the process that answers under its ID, as
// far as this host can tell. Servers that report no start time get a new ID with each process and reject
// requests for an earlier one.
func (s *Server) ReleaseConfirmed() bool {
	return s.Start == 0 || (!s.awaitsAnnouncement() && !s.replaced)
}

// stalled reports whether the server has sent nothing for stalledAfter though requests are in
// flight. It may be down, or the network path to it cut without its connections being closed.
// Deferred requests are not counted, as they wait long at a healthy server.
func (s *Server) stalled(now time.Time) bool { return s.own.requests > 0 && s.silent(now) }

// silent reports whether this host has received nothing from the server for stalledAfter.
func (s *Server) silent(now time.Time) bool { return now.Sub(s.progressAt) > stalledAfter }

// inFlight returns the number of this host's requests at the server, deferred ones included.
func (s *Server) inFlight() int { return s.own.requests + s.deferred }

// load is the requests in flight at a server.
type load struct {
	requests int
	prompt   float64 // prompt tokens that await prefill
	memory   float64 // tokens of KV cache in use
}

// departure records an incarnation of a server that is not used any more, unless it is proved to run.
type departure struct {
	at time.Time
	// events are the departures that control hosts reported; see registry.Server. forGood is set if one of them was
	// not named, so that it cannot be overruled.
	events  []uint64
	forGood bool
	// server is set if the only reason is that another server answered at its address, at the time at: an
	// announcement that follows shows that the address is its own again. wasLeaving is its state before.
	server      *Server
	wasLeaving  bool
	starts      incarnation.History
	announcedAt time.Time // time of its last announcement
	// crashedByMemory is set if the incarnation counts as crashed by memory.
	crashedByMemory bool
}

func (f *Fleet) applyServer(m *pb.FleetServer, source string, now time.Time) {
	if m.Gone {
		f.applyDeparture(m, now)
		return
	}
	s := f.serverFor(m, now)
	if s == nil {
		return
	}
	announcedAt := now.Add(-ms(m.AgeMs))
	s.Service, s.Address, s.FailureDomain = m.Service, m.Address, m.FailureDomain
	s.Slots, s.Release = int(m.Slots), m.Release
	s.Leaving = s.Leaving || m.Leaving // never reset within one incarnation
	s.recordAnnouncement(announcedAt, source)
	s.sentAfterRevision = max(s.sentAfterRevision, m.SentAfterRevision)
	s.recordColdPhase(m, announcedAt)
}

// recordAnnouncement records the time of an announcement and the control host that reported it,
// unless a later one is recorded.
func (s *Server) recordAnnouncement(at time.Time, source string) {
	if at.After(s.AnnouncedAt) {
		s.AnnouncedAt, s.announcementSource = at, source
	}
}

// serverFor returns the state of the incarnation that a view reports, which is empty for a new
// one. It returns nil for an incarnation that left or was replaced.
func (f *Fleet) serverFor(m *pb.FleetServer, now time.Time) *Server {
	var starts, replaced incarnation.History
	var announcedAt time.Time // of the process that is replaced
	crashedByMemory := false
	if d, ok := f.departures[m.Id]; ok {
		order := compareStarts(&d.starts, m, now.Sub(d.at) > f.announcementTTL(), d.announcedAt, now)
		if order == incarnation.Same && d.overruled(m, now) {
			return f.restore(m.Id, d)
		}
		if order != incarnation.Newer {
			return nil
		}
		starts, replaced, announcedAt, crashedByMemory = d.starts, d.starts, d.announcedAt, d.crashedByMemory
		delete(f.departures, m.Id)
	}
	if s := f.servers[m.Id]; s != nil {
		switch compareStarts(&s.starts, m, f.missing(s), s.AnnouncedAt, now) {
		case incarnation.Older:
			return nil
		case incarnation.Same:
			f.setMissingStart(s, m.Start)
			return s
		}
		starts, replaced, announcedAt = s.starts, s.starts, s.AnnouncedAt
		crashedByMemory = crashedByMemory || s.crashedByMemory()
		s.replaced, s.Leaving = true, true
		f.drop(s)
	}
	s := &Server{ID: m.Id, FirstSeen: now.Add(-ms(m.FirstSeenMs)), cache: newPartCache(), starts: starts}
	f.servers[s.ID] = s
	f.setStart(s, m.Start)
	if replaced.Current != 0 {
		f.succeedPause(s.ID, replaced, announcedAt, s, now)
	}
	if crashedByMemory {
		f.refillMemory(s, now)
	}
	return s
}

// compareStarts compares the start that a view reports with the known ones. One that counts as earlier is the later one
// if its process is proved to have run since the known one announced itself. The ages of announcements leave out delays.
func compareStarts(h *incarnation.History, m *pb.FleetServer, expired bool, announcedAt, now time.Time) incarnation.Order {
	order := h.Compare(m.Start, expired)
	if order == incarnation.Older && m.ProvedAgeMs > 0 && now.Add(maxViewDelay-ms(m.ProvedAgeMs)).After(announcedAt) {
		return incarnation.Newer
	}
	return order
}

// setMissingStart sets the start time of a server that was first reported without one.
func (f *Fleet) setMissingStart(s *Server, start int64) {
	if s.Start == 0 && start != 0 {
		before := s.key
		delete(f.serversByKey, before)
		f.setStart(s, start)
		f.limits.Rekey(before, s.key)
		f.pauses.Rekey(before, s.key)
	}
}

func (f *Fleet) setStart(s *Server, start int64) {
	s.Start = start
	s.starts.Advance(start)
	s.key = incarnation.Key(s.ID, start)
	f.serversByKey[s.key] = s
	s.Leaving = s.Leaving || f.pauses.Get(s.key).Leaving()
}

// applyDeparture records the departures of an incarnation that a view reports.
func (f *Fleet) applyDeparture(m *pb.FleetServer, now time.Time) {
	d := f.depart(m.Id, m.Start, now)
	if d == nil {
		return
	}
	d.forGood = d.forGood || len(m.Departures) == 0
	for _, e := range m.Departures {
		if !slices.Contains(d.events, e) {
			d.events = append(d.events, e)
		}
	}
	d.server = nil
	f.departures[m.Id] = *d
}

// MarkGone records that another server answered at the address of a server's incarnation, which is not used until it
// is announced again; start 0 means the current one.
func (f *Fleet) MarkGone(id string, start int64, now time.Time) {
	s := f.servers[id]
	wasLeaving := s != nil && s.Leaving
	d := f.depart(id, start, now)
	if d == nil {
		return
	}
	if len(d.events) == 0 && d.server == nil && s != nil {
		d.at, d.server, d.wasLeaving = now, s, wasLeaving
	}
	f.departures[id] = *d
}

// overruled reports whether an incarnation is proved to run by a view that reports it.
func (d *departure) overruled(m *pb.FleetServer, now time.Time) bool {
	if d.server != nil {
		return d.announcedSince(now.Add(-ms(m.AgeMs)))
	}
	return !d.forGood && len(d.events) > 0 && !slices.ContainsFunc(d.events, func(e uint64) bool { return !slices.Contains(m.Overruled, e) })
}

// announcedSince reports whether an announcement follows the answer of another server at the address.
func (d *departure) announcedSince(announcedAt time.Time) bool {
	return announcedAt.After(d.at.Add(maxViewDelay))
}

// restore puts an incarnation that counted as gone in use again.
func (f *Fleet) restore(id string, d departure) *Server {
	delete(f.departures, id)
	s := f.servers[id]
	switch {
	case s != nil:
	case d.server != nil:
		s = d.server
	default:
		s = &Server{ID: id, FirstSeen: d.at, cache: newPartCache(), starts: d.starts}
	}
	s.Leaving = d.wasLeaving
	f.servers[id] = s
	f.setStart(s, d.starts.Current)
	return s
}

// depart records that an incarnation of a server is not used any more, and returns its departure; nil if it is an
// earlier one than the known one. Start 0 means the current one.
func (f *Fleet) depart(id string, start int64, now time.Time) *departure {
	s := f.servers[id]
	if s != nil && s.starts.Compare(start, false) == incarnation.Older {
		return nil
	}
	d, ok := f.departures[id]
	if ok && d.starts.Compare(start, false) == incarnation.Older {
		return nil
	}
	if ok && d.starts.Compare(start, false) == incarnation.Newer {
		d = departure{at: now, starts: d.starts}
	}
	if !ok {
		d.at = now
		if s != nil {
			d.starts, d.announcedAt, d.crashedByMemory = s.starts, s.AnnouncedAt, s.crashedByMemory()
		}
	}
	d.starts.Advance(start)
	if s != nil {
		s.Leaving = true
		if s.inFlight() == 0 {
			f.drop(s)
		}
	}
	return &d
}

func (f *Fleet) drop(s *Server) {
	if f.servers[s.ID] == s {
		delete(f.servers, s.ID)
	}
	if f.serversByKey[s.key] == s {
		delete(f.serversByKey, s.key)
	}
}

// IsGone reports whether the server's incarnation is recorded as gone.
func (f *Fleet) IsGone(s *Server) bool {
	_, ok := f.departures[s.ID]
	return s.replaced || ok
}

// applyEvacuated stores the list of evacuated failure domains, unless a later revision is
// stored.
func (f *Fleet) applyEvacuated(domains []string, revision uint64, now time.Time) {
	if revision < f.revision {
		return
	}
	for _, s := range f.servers {
		if f.Evacuated(s.FailureDomain) && !slices.Contains(domains, s.FailureDomain) {
			s.restoredAt = now
		}
	}
	f.revision, f.evacuated = revision, domains
}

// missing reports whether a server had missed too many announcements at the time of the last
// view. As the last view counts and not the current time, the last known servers stay in use
// while no control host can be reached.
func (f *Fleet) missing(s *Server) bool {
	return f.lastViewAt.Sub(s.AnnouncedAt) > f.announcementTTL()
}

// announcementTTL returns how long an announcement is valid on this host.
func (f *Fleet) announcementTTL() time.Duration {
	return registry.MissedAnnouncements*f.o.AnnounceEvery + maxViewDelay
}

// Evacuations returns the evacuated failure domains and the revision of that list. The caller must not modify the list.
func (f *Fleet) Evacuations() (domains []string, revision uint64) { return f.evacuated, f.revision }

// Evacuated reports whether a failure domain is evacuated, so that its servers get no requests.
func (f *Fleet) Evacuated(domain string) bool { return slices.Contains(f.evacuated, domain) }

// reasonPaused is the reason of usable for a server that has asked this host for a pause.
const reasonPaused = "paused"

// usable returns why a server must not be sent new requests; "" if it may.
func (f *Fleet) usable(s *Server, now time.Time) (reason string) {
	switch {
	case s.Leaving:
		return "leaving"
	case f.missing(s):
		return "silent"
	case f.Evacuated(s.FailureDomain):
		return "evacuated"
	case f.paused(s, now):
		return reasonPaused
	case now.Before(s.health.blockedUntil):
		return "failing"
	}
	return ""
}

// OnlyRelease returns the release of a service, if all its servers that this host knows run the same one.
func (f *Fleet) OnlyRelease(service string) (release string, only bool) {
	known := false
	see := func(r string) bool {
		if known && r != release {
			return false
		}
		release, known = r, true
		return true
	}
	for _, s := range f.servers {
		if s.Service == service && !see(s.Release) {
			return "", false
		}
	}
	for key, r := range f.regions {
		for _, name := range r.releases {
			if key.service == service && !see(name) {
				return "", false
			}
		}
	}
	return release, known
}

// LastAnnouncements returns the last announcement of each recorded server, and the releases that each
// service's servers run. The releases leave out servers that are leaving or have missed their
// announcements.
func (f *Fleet) LastAnnouncements() (servers []quarantine.Announcement, releases map[string][]string) {
	releases = map[string][]string{}
	for _, s := range f.servers {
		servers = append(servers, quarantine.Announcement{Process: quarantine.ServerProcess{ID: s.ID, StartID: s.Start}, Address: s.Address, ReceivedAt: s.AnnouncedAt})
		if !s.Leaving && !f.missing(s) && !slices.Contains(releases[s.Service], s.Release) {
			releases[s.Service] = append(releases[s.Service], s.Release)
		}
	}
	return servers, releases
}
