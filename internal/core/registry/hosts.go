package registry

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Host is an entry host.
type Host struct {
	ID, Peer, Caller, Region, FailureDomain string
	Ready                                   bool
	HeardAt                                 time.Time
	Direct                                  bool // presents itself to this control host
	Loads                                   serverload.Loads
	// changed is the version of the last change that others must learn.
	changed uint64
	counted serverload.Loads // its part of Registry.direct
}

// Key returns the host's key in messages between hosts.
func (h *Host) Key() uint32 { return holders.Key(h.ID) }

// Control is another control host.
type Control struct {
	Store, Peer, Operator, Region, FailureDomain string
	HeardAt                                      time.Time
	Loads                                        []*pb.RegionLoad
	ServerLoads                                  serverload.Loads
}

// HearHost takes an entry host's presentation, from itself or from another
// control host. It reports whether it was news.
func (r *Registry) HearHost(h Host, now time.Time) bool {
	old := r.hosts[h.ID]
	if old != nil && !h.HeardAt.After(old.HeardAt) {
		return false
	}
	if old != nil && !h.Direct && old.Direct && now.Sub(old.HeardAt) <= r.o.HostLease && now.Sub(h.HeardAt) > now.Sub(old.HeardAt) {
		return false
	}
	if !h.Direct && old != nil {
		h.Loads = old.Loads
	}
	news := old == nil || old.Ready != h.Ready || old.Peer != h.Peer || old.Caller != h.Caller || now.Sub(old.HeardAt) > r.o.HostLease
	if news {
		r.version++
		h.changed = r.version
	} else {
		h.changed = old.changed
	}
	r.count(old, &h)
	if old == nil {
		at, _ := slices.BinarySearch(r.hostIDs, h.ID)
		r.hostIDs = slices.Insert(r.hostIDs, at, h.ID)
	}
	r.hosts[h.ID], r.hostByKey[h.Key()] = &h, &h
	return news
}

// HearHostAgain takes the news of another control host that an entry host which it told
// of before is still there. It reports whether the host is known here.
func (r *Registry) HearHostAgain(key uint32, heardAt, now time.Time) bool {
	known := r.hostByKey[key]
	if known == nil {
		return false
	}
	h := *known
	h.HeardAt, h.Direct = heardAt, false
	r.HearHost(h, now)
	return true
}

// ChangedSince reports whether other control hosts must be told the host again that were
// told it at a version.
func (h *Host) ChangedSince(version uint64) bool { return h.changed > version }

// Hosts returns the live entry hosts, sorted by ID.
func (r *Registry) Hosts(now time.Time) []*Host {
	out := make([]*Host, 0, len(r.hostIDs))
	for _, id := range r.hostIDs {
		if h := r.hosts[id]; now.Sub(h.HeardAt) <= r.o.HostLease {
			out = append(out, h)
		}
	}
	return out
}

// Lookup returns the entry hosts that a caller should use: ready ones of its
// failure domain, else of its region, else of the other regions that permitted
// allows (nil for all).
func (r *Registry) Lookup(region, domain string, permitted func(region string) bool, now time.Time) []*Host {
	var own, near, far []*Host
	for _, h := range r.Hosts(now) {
		switch {
		case !h.Ready:
		case h.FailureDomain == domain:
			own = append(own, h)
		case h.Region == region:
			near = append(near, h)
		case permitted == nil || permitted(h.Region):
			far = append(far, h)
		}
	}
	for _, group := range [][]*Host{own, near, far} {
		if len(group) > 0 {
			return group
		}
	}
	return nil
}

// HearControl takes what another control host tells of itself.
func (r *Registry) HearControl(c Control) { r.controls[c.Peer] = &c }

// controlLease is how long another control host counts as live.
const controlLease = 3 * time.Second

// Controls returns the other control hosts heard lately, sorted by peer address.
func (r *Registry) Controls(now time.Time) []*Control {
	var out []*Control
	for _, c := range r.controls {
		if c.Heard(now) {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Peer < out[j].Peer })
	return out
}

// KnownControls returns all other control hosts ever heard, sorted by peer address.
func (r *Registry) KnownControls() []*Control {
	out := slices.Collect(maps.Values(r.controls))
	sort.Slice(out, func(i, j int) bool { return out[i].Peer < out[j].Peer })
	return out
}

// Heard reports whether a control host was heard lately.
func (c *Control) Heard(now time.Time) bool { return now.Sub(c.HeardAt) <= controlLease }
