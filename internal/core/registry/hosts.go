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

// Host is an entry host. Its loads are owned by one control host at a time, to which it sends
// them; other control hosts receive them as part of the owner's sum. The owner is the control
// host to which the entry host last sent a sync request as its primary, until HostLease after
// that request.
type Host struct {
	ID, Peer, Caller, Region, FailureDomain string
	Ready                                   bool
	LastSeen                                time.Time // last sync request to any control host
	// Direct is set by the caller of UpdateHost when the host sent the sync request to this
	// control host, and Primary when the receiving control host is the entry host's primary.
	Direct, Primary bool
	// Via is the failure domain of the control host that received its last sync request; "" for
	// this control host.
	Via string
	// SyncedHereAt is when it last sent a sync request to this control host; zero for never.
	SyncedHereAt   time.Time
	Loads          serverload.Loads // nil unless owned by this control host
	changedVersion uint64           // registry version of the last change
	owned          bool             // by this control host
}

// Key returns the host's key in messages between hosts.
func (h *Host) Key() uint32 { return holders.Key(h.ID) }

// Control is another control host.
type Control struct {
	Store, Peer, Operator, Region, FailureDomain string
	LastSeen                                     time.Time
	StartedAt                                    time.Time // of its process
	// Loads are the loads of its region, as received at LoadsAt.
	Loads       []*pb.RegionLoad
	LoadsAt     time.Time
	ServerLoads serverload.Loads

	countedLoads serverload.Loads // the part of Registry.regionSum that it sent
}

// UpdateHost records an entry host's sync request, received here or by another control host. It
// reports whether the request changed anything that is sent to other hosts.
func (r *Registry) UpdateHost(h Host, now time.Time) bool {
	old := r.hosts[h.ID]
	if old == nil {
		old = &Host{}
		at, _ := slices.BinarySearch(r.hostIDs, h.ID)
		r.hostIDs = slices.Insert(r.hostIDs, at, h.ID)
		r.hosts[h.ID] = old
	}
	if h.Primary && !h.Direct && h.LastSeen.After(old.SyncedHereAt) {
		r.disown(old)
	}
	if !h.LastSeen.After(old.LastSeen) {
		return false
	}
	changed := old.ID == "" || old.Ready != h.Ready || old.Peer != h.Peer || old.Caller != h.Caller || now.Sub(old.LastSeen) > r.o.HostLease
	if changed {
		r.recordHostChange(&h)
	} else {
		h.changedVersion = old.changedVersion
	}
	before := old.Loads
	if h.Direct {
		h.SyncedHereAt, h.owned = h.LastSeen, h.Primary && h.Region == r.o.Region
	} else {
		h.SyncedHereAt, h.owned, h.Loads = old.SyncedHereAt, old.owned, old.Loads
	}
	if !h.owned {
		h.Loads = nil
	}
	r.replaceOwnedLoads(before, h.Loads)
	r.nextHostExpiry = earlier(r.nextHostExpiry, h.LastSeen.Add(r.o.HostLease))
	*old = h
	r.hostByKey[h.Key()] = old
	return changed
}

// replaceOwnedLoads replaces the loads that an owned host sent before, in both sums.
func (r *Registry) replaceOwnedLoads(before, after serverload.Loads) {
	r.ownedSum.Sub(before)
	r.ownedSum.Add(after)
	r.regionSum.replace(before, after)
}

// disown removes a host's loads from the sums and gives up their ownership.
func (r *Registry) disown(h *Host) {
	if h.owned {
		r.replaceOwnedLoads(h.Loads, nil)
		h.owned, h.Loads = false, nil
	}
}

// Owned reports whether this control host owns the host's loads.
func (h *Host) Owned() bool { return h.owned }

// SyncsHere reports whether the host sent a sync request to this control host within its lease.
func (r *Registry) SyncsHere(h *Host, now time.Time) bool {
	return !h.SyncedHereAt.IsZero() && now.Sub(h.SyncedHereAt) <= r.o.HostLease
}

// RenewHost records that another control host, which sent the full entry of an entry host
// before, still receives its sync requests; owned is true if that control host owns the host's
// loads. It reports whether the host is known here.
func (r *Registry) RenewHost(key uint32, owned, ready bool, via string, lastSeen, now time.Time) bool {
	known := r.hostByKey[key]
	if known == nil {
		return false
	}
	h := *known
	h.LastSeen, h.Direct, h.Primary, h.Ready, h.Via = lastSeen, false, owned, ready, via
	r.UpdateHost(h, now)
	return true
}

// ChangedSince reports whether the host changed after a version, so that control hosts that got
// its full entry at that version must get it again.
func (h *Host) ChangedSince(version uint64) bool { return h.changedVersion > version }

func (r *Registry) live(h *Host, now time.Time) bool { return now.Sub(h.LastSeen) <= r.o.HostLease }

// Hosts returns the live entry hosts, sorted by ID.
func (r *Registry) Hosts(now time.Time) []*Host {
	out := make([]*Host, 0, len(r.hostIDs))
	for _, id := range r.hostIDs {
		if h := r.hosts[id]; r.live(h, now) {
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

// UpdateControl records the state that another control host sent of itself.
func (r *Registry) UpdateControl(c Control) {
	var before serverload.Loads
	if old := r.controls[c.Peer]; old != nil {
		before = old.countedLoads
	}
	if c.Region == r.o.Region {
		c.countedLoads = c.ServerLoads
	}
	r.regionSum.replace(before, c.countedLoads)
	r.controls[c.Peer] = &c
}

// UpdateReportedControl records a control host of another region as reported by another control
// host of the same failure domain. It keeps the loads that the control host itself sent.
func (r *Registry) UpdateReportedControl(c Control) {
	old := r.controls[c.Peer]
	if old == nil {
		r.controls[c.Peer] = &c
	} else if c.LastSeen.After(old.LastSeen) {
		c.Loads, c.LoadsAt, c.ServerLoads, c.countedLoads = old.Loads, old.LoadsAt, old.ServerLoads, old.countedLoads
		r.controls[c.Peer] = &c
	}
}

// representativeTimeout is how long after the last message of a failure domain's representative
// the next control host of that failure domain takes over: three exchanges. Two representatives at
// a time do no harm.
const representativeTimeout = time.Second

// RepresentsDomain reports whether this control host, at ownAddress, represents its failure
// domain to other regions: no control host of the failure domain with a lower address has sent a
// message within representativeTimeout. Traffic between regions thus grows with the number of
// failure domains and not with the number of control hosts.
func (r *Registry) RepresentsDomain(ownAddress string, now time.Time) bool {
	for _, c := range r.controls {
		if c.FailureDomain == r.o.FailureDomain && c.Peer < ownAddress && now.Sub(c.LastSeen) <= representativeTimeout {
			return false
		}
	}
	return true
}

// SyncedInDomain reports whether the host's last sync request was received in this failure domain,
// by this control host or by another one.
func (r *Registry) SyncedInDomain(h *Host) bool { return h.Via == "" || h.Via == r.o.FailureDomain }

// ControlLease is how long another control host counts as live after its last message.
const ControlLease = 3 * time.Second

// Controls returns the other control hosts that are live, sorted by peer address.
func (r *Registry) Controls(now time.Time) []*Control {
	var out []*Control
	for _, c := range r.controls {
		if c.Live(now) {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Peer < out[j].Peer })
	return out
}

// Control returns the control host at an address, or nil if it is unknown.
func (r *Registry) Control(peer string) *Control { return r.controls[peer] }

// KnownControls returns all other control hosts, live or not, sorted by peer address.
func (r *Registry) KnownControls() []*Control {
	out := slices.Collect(maps.Values(r.controls))
	sort.Slice(out, func(i, j int) bool { return out[i].Peer < out[j].Peer })
	return out
}

// Live reports whether a message of or about the control host was recorded within ControlLease.
func (c *Control) Live(now time.Time) bool { return now.Sub(c.LastSeen) <= ControlLease }
