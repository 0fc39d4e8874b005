package registry

import (
	"slices"
	"sort"
	"time"
)

// change is an entry of the log of what entry hosts must learn.
type change struct {
	version uint64
	server  bool // else an entry host
	id      string
}

// Bounds of what is remembered. Whoever is further behind gets whole lists.
const (
	changesKept = 1 << 14
	heardKept   = 1 << 14 // announcements
)

// Changes is what entry hosts of a region must learn, beside when servers were heard.
type Changes struct {
	Servers        []*Server // new, changed or gone
	RemovedServers []string  // whose lease ran out
	Hosts          []*Host
	RemovedHosts   []string
}

// noteServer records a change of a server that entry hosts must learn.
func (r *Registry) noteServer(s *Server) { s.changed = r.note(true, s.ID) }

// noteHost records a change of an entry host that other hosts must learn.
func (r *Registry) noteHost(h *Host) { h.changed = r.note(false, h.ID) }

func (r *Registry) note(server bool, id string) uint64 {
	r.version++
	r.changes = append(r.changes, change{r.version, server, id})
	if n := len(r.changes) - changesKept; n > 0 {
		r.forgotten = r.changes[n-1].version
		r.changes = r.changes[n:]
	}
	return r.version
}

// Since returns what changed after a version for entry hosts of a region. It reports whether
// all of it is still remembered. Its cost grows with the changes, not with the fleet: each
// entry host asks several times a second.
func (r *Registry) Since(version uint64, region string, now time.Time) (c Changes, complete bool) {
	if version < r.forgotten {
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
	case s.changed != e.version: // it changed again later
	case !s.Gone && s.unlisted:
		c.RemovedServers = append(c.RemovedServers, e.id)
	case r.concerns(s, region):
		c.Servers = append(c.Servers, s)
	}
}

func (r *Registry) addHost(c *Changes, e change, now time.Time) {
	switch h := r.hosts[e.id]; {
	case h == nil:
		c.RemovedHosts = append(c.RemovedHosts, e.id)
	case h.changed != e.version: // it changed again later
	case r.live(h, now):
		c.Hosts = append(c.Hosts, h)
	default:
		c.RemovedHosts = append(c.RemovedHosts, e.id)
	}
}

// concerns reports whether entry hosts of a region are told of a server: one of the region,
// or one that left before it was known where it is.
func (r *Registry) concerns(s *Server, region string) bool {
	of := r.RegionOf(s.FailureDomain)
	return of == region || (s.Gone && of == "")
}

// noteHeard records that something was heard of a server.
func (r *Registry) noteHeard(s *Server) {
	r.heard = append(r.heard, s)
	s.heardAt = r.heardFirst + uint64(len(r.heard))
	if n := len(r.heard) - heardKept; n > 0 {
		r.heard = r.heard[n:]
		r.heardFirst += uint64(n)
	}
}

// HeardSince returns the servers of which something was heard after a position, each once,
// and the position to go on from. It reports whether the position is still remembered.
func (r *Registry) HeardSince(position uint64) (servers []*Server, next uint64, complete bool) {
	next = r.heardFirst + uint64(len(r.heard))
	if position < r.heardFirst || position > next {
		return nil, next, false
	}
	for i, s := range r.heard[position-r.heardFirst:] {
		if s.heardAt == position+uint64(i)+1 { // else it was heard again later
			servers = append(servers, s)
		}
	}
	return servers, next, true
}

// List returns the region's servers that entry hosts are told of, sorted by ID. One whose
// lease has run out stays until that is told.
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

// Gone returns the servers that are gone: the region's, and those that left before it was
// known where they are.
func (r *Registry) Gone(region string) []*Server {
	var out []*Server
	for _, s := range r.servers {
		if s.Gone && r.concerns(s, region) {
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

// Listed reports whether entry hosts of a region have the server on their list.
func (r *Registry) Listed(s *Server, region string) bool {
	return s.listed() && r.RegionOf(s.FailureDomain) == region
}

func (s *Server) listed() bool { return !s.Gone && !s.unlisted }
