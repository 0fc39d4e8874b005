package registry

import (
	"maps"
	"slices"
	"time"
)

// DomainCensus counts the live entry hosts and listed backend servers of a failure domain.
type DomainCensus struct {
	Name, Region                     string
	Hosts, Ready, SyncingHere, Owned int // live entry hosts
	Servers, AnnouncedHere           int // listed backend servers
	// The live entry host and the listed server whose last message is the oldest; "" for none.
	OldestHost, OldestServer       string
	OldestHostAge, OldestServerAge time.Duration
}

// Census returns the counts of each failure domain, sorted by name.
func (r *Registry) Census(now time.Time) []DomainCensus {
	domains := map[string]*DomainCensus{}
	for name, region := range r.o.Regions {
		domains[name] = &DomainCensus{Name: name, Region: region}
	}
	for _, h := range r.Hosts(now) {
		if d := domains[h.FailureDomain]; d != nil {
			d.addHost(r, h, now)
		}
	}
	for _, s := range r.servers {
		if d := domains[s.FailureDomain]; d != nil && s.listed() {
			d.addServer(s, now)
		}
	}
	var out []DomainCensus
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		out = append(out, *domains[name])
	}
	return out
}

func (d *DomainCensus) addHost(r *Registry, h *Host, now time.Time) {
	d.Hosts++
	if h.Ready {
		d.Ready++
	}
	if r.SyncsHere(h, now) {
		d.SyncingHere++
	}
	if h.owned {
		d.Owned++
	}
	if age := now.Sub(h.LastSeen); d.OldestHost == "" || age > d.OldestHostAge {
		d.OldestHost, d.OldestHostAge = h.ID, age
	}
}

func (d *DomainCensus) addServer(s *Server, now time.Time) {
	d.Servers++
	if s.AnnouncedHere() {
		d.AnnouncedHere++
	}
	if age := now.Sub(s.LastSeen); d.OldestServer == "" || age > d.OldestServerAge || (age == d.OldestServerAge && s.ID < d.OldestServer) {
		d.OldestServer, d.OldestServerAge = s.ID, age
	}
}
