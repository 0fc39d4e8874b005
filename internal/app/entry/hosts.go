package entry

import (
	"context"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/membership"
	"github.com/sesamefork/sesamefork/internal/port"
)

// announceURLs returns the URLs of the failure domain's live entry hosts, this one among them,
// in a stable order that differs between backend servers, to spread their announcements.
func (h *Host) announceURLs(server string) []string {
	v := h.config.Load()
	if v == nil {
		return nil
	}
	hosts := h.liveHosts(v, h.o.FailureDomain)
	sortByHash(hosts, server)
	return callerURLs(hosts)
}

func sortByHash(hosts []configstate.Host, salt string) {
	rank := func(x configstate.Host) uint64 { return xxhash.Sum64String(x.ID + "\x00" + salt) }
	sort.Slice(hosts, func(i, j int) bool { return rank(hosts[i]) < rank(hosts[j]) })
}

func callerURLs(hosts []configstate.Host) []string {
	out := make([]string, 0, len(hosts))
	for _, e := range hosts {
		out = append(out, e.Caller)
	}
	return out
}

// liveHosts returns the entry hosts of a failure domain that accept requests, according to the
// membership list for this host's failure domain and to the last summary for others.
func (h *Host) liveHosts(v *view, domain string) []configstate.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Clock.Now()
	var out []configstate.Host
	listed := map[string]bool{}
	r := h.place.Remote(domain)
	if r != nil && now.Sub(r.At) < summaryMaxAge {
		for _, id := range r.Summary.Hosts {
			listed[id] = true
		}
	}
	for _, e := range v.Record.Hosts {
		if e.FailureDomain != domain {
			continue
		}
		switch {
		case e.ID == h.o.ID:
			if h.draining.Load() {
				continue
			}
		case domain == h.o.FailureDomain:
			m, ok := h.members.Get(e.ID)
			if !ok || m.State != membership.Alive || m.Draining {
				continue
			}
		case !listed[e.ID]:
			continue
		}
		out = append(out, e)
	}
	return out
}

// EntryHosts returns the live entry hosts for a caller, in the order in which to try them:
// those of this host's failure domain, of its region, then of the other regions.
func (h *Host) EntryHosts(caller string) []configstate.Host {
	v := h.config.Load()
	if v == nil {
		return nil
	}
	var own, region, others []configstate.Host
	for _, reg := range v.Record.Regions {
		for _, d := range reg.FailureDomains {
			hosts := h.liveHosts(v, d)
			switch {
			case d == h.o.FailureDomain:
				own = append(own, hosts...)
			case reg.Name == h.o.Region:
				region = append(region, hosts...)
			default:
				others = append(others, hosts...)
			}
		}
	}
	var out []configstate.Host
	for _, group := range [][]configstate.Host{own, region, others} {
		sortByHash(group, caller)
		out = append(out, group...)
	}
	return out
}

func (h *Host) otherURLs() []string {
	var out []configstate.Host
	for _, e := range h.EntryHosts(h.o.ID) {
		if e.ID != h.o.ID {
			out = append(out, e)
		}
	}
	return callerURLs(out)
}

func (h *Host) publishDirectory(ctx context.Context, v *view) {
	if h.o.Directory == nil {
		return
	}
	var entries []port.DirectoryEntry
	for _, e := range h.EntryHosts("") {
		if e.Region == h.o.Region {
			entries = append(entries, port.DirectoryEntry{ID: e.ID, URL: e.Caller, Region: e.Region, FailureDomain: e.FailureDomain})
		}
	}
	if err := h.o.Directory.Publish(ctx, h.o.Region, entries, directoryTTL); err != nil {
		h.o.Metrics.Add("directory_failures", 1)
		h.o.Log.V(1).Info("directory update failed", "reason", err.Error())
	}
}

// rank returns this host's index among the live hosts of its failure domain, sorted by ID, and
// their number. For a draining host both are 0.
func (h *Host) rank(v *view) (rank, live int) {
	found := false
	for _, e := range h.liveHosts(v, h.o.FailureDomain) {
		live++
		if e.ID < h.o.ID {
			rank++
		}
		found = found || e.ID == h.o.ID
	}
	if !found {
		return 0, 0
	}
	return rank, live
}

// isReporter reports whether this host sends the failure domain's reports to the control hosts
// and the client directory: the live host with the lowest ID does.
func (h *Host) isReporter(v *view) bool {
	rank, live := h.rank(v)
	return live > 0 && rank == 0
}
