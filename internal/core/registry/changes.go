package registry

import (
	"slices"
	"sort"
	"time"
)

// change is an entry in the log of changes that are sent to entry hosts.
type change struct {
	version uint64
	server  bool // else an entry host
	id      string
}

// Bounds of the logs, in entries. A reader whose position was dropped gets complete lists.
const (
	maxChanges       = 1 << 14
	maxAnnouncements = 1 << 14
)

// Changes holds the changes that are sent to entry hosts of a region. The times of announcements
// are not part of it; see AnnouncedSince.
type Changes struct {
	Servers        []*Server // new, changed or gone
	RemovedServers []string  // expired or deleted
	Hosts          []*Host
	RemovedHosts   []string
}

// recordServerChange records a change of a server that must be sent to entry hosts.
func (r *Registry) recordServerChange(s *Server) { s.changedVersion = r.recordChange(true, s.ID) }

// recordHostChange records a change of an entry host that must be sent to other hosts.
func (r *Registry) recordHostChange(h *Host) { h.changedVersion = r.recordChange(false, h.ID) }

func (r *Registry) recordChange(server bool, id string) uint64 {
	r.version++
	r.changes = append(r.changes, change{r.version, server, id})
	if n := len(r.changes) - maxChanges; n > 0 {
		r.trimmedVersion = r.changes[n-1].version
		r.changes = r.changes[n:]
	}
	return r.version
}

// ChangesSince returns the changes after a version for entry hosts of a region. It reports
// whether the log still holds all of them. Its cost grows with the changes and not with the
// fleet, because each entry host calls it several times a second.
func (r *Registry) ChangesSince(version uint64, region string, now time.Time) (c Changes, complete bool) {
	if version < r.trimmedVersion {
		return c, false
	}
	from := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].version > version })
	for _, e := range r.changes[from:] {
		if e.server {
			r.addServer(&c, e, region)
		} else {
			r.addHost(&c, e, now)
		}
	}
	return c, true
}

func (r *Registry) addServer(c *Changes, e change, region string) {
	switch s := r.servers[e.id]; {
	case s == nil:
		c.RemovedServers = append(c.RemovedServers, e.id)
	case s.changedVersion != e.version: // a later entry covers it
	case !s.Gone && !s.listed():
		c.RemovedServers = append(c.RemovedServers, e.id)
	case r.relevantTo(s, region):
		c.Servers = append(c.Servers, s)
	}
}

func (r *Registry) addHost(c *Changes, e change, now time.Time) {
	switch h := r.hosts[e.id]; {
	case h == nil:
		c.RemovedHosts = append(c.RemovedHosts, e.id)
	case h.changedVersion != e.version: // a later entry covers it
	case r.live(h, now):
		c.Hosts = append(c.Hosts, h)
	default:
		c.RemovedHosts = append(c.RemovedHosts, e.id)
	}
}

// relevantTo reports whether a server is sent to entry hosts of a region: it is in the region, or
// it left before its failure domain was known.
func (r *Registry) relevantTo(s *Server, region string) bool {
	of := r.RegionOf(s.FailureDomain)
	return of == region || (s.Gone && of == "")
}

// recordAnnouncement appends a server to the log of announcements and leaves.
func (r *Registry) recordAnnouncement(s *Server) {
	r.announcementLog = append(r.announcementLog, s)
	s.logPosition = r.announcementLogStart + uint64(len(r.announcementLog))
	if n := len(r.announcementLog) - maxAnnouncements; n > 0 {
		r.announcementLog = r.announcementLog[n:]
		r.announcementLogStart += uint64(n)
	}
}

// AnnouncedSince returns the servers that announced themselves or left after a position in the log,
// each once, and the position for the next call. It reports whether the log still reaches back to
// the position.
func (r *Registry) AnnouncedSince(position uint64) (servers []*Server, next uint64, complete bool) {
	next = r.announcementLogStart + uint64(len(r.announcementLog))
	if position < r.announcementLogStart || position > next {
		return nil, next, false
	}
	for i, s := range r.announcementLog[position-r.announcementLogStart:] {
		if s.logPosition == position+uint64(i)+1 { // otherwise a later entry names the server again
			servers = append(servers, s)
		}
	}
	return servers, next, true
}

// List returns the listed servers of the region, sorted by ID. A server whose lease has run out
// stays listed until Expire records that.
func (r *Registry) List(region string) []*Server {
	out, ok := r.lists[region]
	if ok {
		return out
	}
	for _, s := range r.servers {
		if s.listed() && r.RegionOf(s.FailureDomain) == region {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	r.lists[region] = out
	return out
}

// Gone returns the region's servers that are gone and those that left before their failure domain
// was known, sorted by ID.
func (r *Registry) Gone(region string) []*Server {
	var out []*Server
	for _, s := range r.servers {
		if s.Gone && r.relevantTo(s, region) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// Listed reports whether the server is on the list that entry hosts of a region get.
func (r *Registry) Listed(s *Server, region string) bool {
	return s.listed() && r.RegionOf(s.FailureDomain) == region
}

func (s *Server) listed() bool { return !s.Gone && !s.unlisted && !s.claims }
