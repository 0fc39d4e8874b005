package dispatch

import (
	"slices"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/incarnation"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Server is one start of a backend server of the own region.
type Server struct {
	ID, Service, Address, FailureDomain string
	// Start is when the server's process began, in Unix ms by its own clock; 0 when it was
	// not told.
	Start   int64
	Slots   int
	Leaving bool
	// Release is the version of the server's software; "" when it was not told.
	Release string
	// replaced is set when another process runs under the ID: requests under way are lost.
	replaced    bool
	starts      incarnation.History
	ConfirmedAt time.Time // when it last announced itself
	FirstSeen   time.Time
	ColdUntil   time.Time
	// restoredAt is when the evacuation of its failure domain was last withdrawn.
	restoredAt time.Time

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
	// weighed is the requests that the server was last taken to have.
	weighed float64
	// suspicion is how many of this host's requests at the server are likely to end it.
	suspicion float64
}

// Replaced reports whether the server's process has ended for certain: another one runs under
// its ID.
func (s *Server) Replaced() bool { return s.replaced }

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

// departure is a start of a server that is never used again.
type departure struct {
	at     time.Time
	starts incarnation.History
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
	s.Slots, s.Release = int(m.Slots), m.Release
	s.Leaving = s.Leaving || m.Leaving // never taken back within one start
	if s.confirm(heard) && m.ColdMs > 0 {
		s.SetCold(heard.Add(ms(m.ColdMs)))
	}
}

// confirm notes an announcement. It reports whether it is the newest.
func (s *Server) confirm(at time.Time) bool {
	newest := at.After(s.ConfirmedAt)
	if newest {
		s.ConfirmedAt = at
	}
	return newest
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

// cold reports whether the server bears only few requests. One of a failure domain that was
// evacuated may have become cold meanwhile, and its word of that may be lost: it counts as
// cold until it announces itself again, an interval later at most: an engine that control
// hosts could not hear would get all at once as its failure domain comes back, and fall over.
func (s *Server) cold(now time.Time) bool {
	return now.Before(s.ColdUntil) || s.restoredAt.After(s.ConfirmedAt)
}

// takeEvacuated takes the list of the evacuated failure domains.
func (f *Fleet) takeEvacuated(domains []string, revision uint64, now time.Time) {
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

// missing reports whether a server has missed too many announcements, as of the last view:
// while no control host can be reached, the servers last known stay in use.
func (f *Fleet) missing(s *Server) bool {
	return f.viewedAt.Sub(s.ConfirmedAt) > f.announcementsHold()
}

// announcementsHold is how long an announcement counts on this host.
func (f *Fleet) announcementsHold() time.Duration {
	return registry.MissedAnnouncements*f.o.AnnounceEvery + viewDelay
}

// Evacuated reports whether servers of a failure domain are to get nothing.
func (f *Fleet) Evacuated(domain string) bool { return slices.Contains(f.evacuated, domain) }

// usable reports whether a server may be given new work, and why not.
func (f *Fleet) usable(s *Server, now time.Time) (reason string) {
	switch {
	case s.Leaving:
		return "leaving"
	case f.missing(s):
		return "silent"
	case f.Evacuated(s.FailureDomain):
		return "evacuated"
	case now.Before(s.health.closedUntil):
		return "failing"
	}
	return ""
}

// Sightings returns the servers that are known, and the releases that the usable ones of each
// service run.
func (f *Fleet) Sightings() (servers []quarantine.Sighting, releases map[string][]string) {
	releases = map[string][]string{}
	for _, s := range f.servers {
		servers = append(servers, quarantine.Sighting{Start: quarantine.Start{ID: s.ID, Born: s.Start}, Address: s.Address, HeardAt: s.ConfirmedAt})
		if !s.Leaving && !f.missing(s) && !slices.Contains(releases[s.Service], s.Release) {
			releases[s.Service] = append(releases[s.Service], s.Release)
		}
	}
	return servers, releases
}
