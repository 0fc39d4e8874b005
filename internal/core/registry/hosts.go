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

// Host is an entry host. Its figures are owned by one control host at a time, to which it
// tells them; others count them as part of that one's sum. The owner is the one to which the
// host presented itself as its primary last, and for as long as a presentation holds.
type Host struct {
	ID, Peer, Caller, Region, FailureDomain string
	Ready                                   bool
	HeardAt                                 time.Time // here or at another control host
	// Direct is set by the caller of HearHost when the host presents itself to this control
	// host, and Primary when it goes by the control host that hears it.
	Direct, Primary bool
	// Via is the failure domain of the control host that heard it last; "" for this one.
	Via string
	// PresentedAt is when it last presented itself here; zero for never.
	PresentedAt time.Time
	Loads       serverload.Loads // while they are owned here
	changed     uint64           // version of its last change
	owned       bool             // here
}

// Key returns the host's key in messages between hosts.
func (h *Host) Key() uint32 { return holders.Key(h.ID) }

// Control is another control host.
type Control struct {
	Store, Peer, Operator, Region, FailureDomain string
	HeardAt                                      time.Time
	// Loads are those of its region, as told at LoadsAt.
	Loads       []*pb.RegionLoad
	LoadsAt     time.Time
	ServerLoads serverload.Loads

	counted serverload.Loads // its part of Registry.region
}

// HearHost takes an entry host's presentation, to this control host or to another one. It
// reports whether it was news.
func (r *Registry) HearHost(h Host, now time.Time) bool {
	old := r.hosts[h.ID]
	if old == nil {
		old = &Host{}
		at, _ := slices.BinarySearch(r.hostIDs, h.ID)
		r.hostIDs = slices.Insert(r.hostIDs, at, h.ID)
		r.hosts[h.ID] = old
	}
	if h.Primary && !h.Direct && h.HeardAt.After(old.PresentedAt) {
		r.disown(old)
	}
	if !h.HeardAt.After(old.HeardAt) {
		return false
	}
	news := old.ID == "" || old.Ready != h.Ready || old.Peer != h.Peer || old.Caller != h.Caller || now.Sub(old.HeardAt) > r.o.HostLease
	if news {
		r.noteHost(&h)
	} else {
		h.changed = old.changed
	}
	before := old.Loads
	if h.Direct {
		h.PresentedAt, h.owned = h.HeardAt, h.Primary && h.Region == r.o.Region
	} else {
		h.PresentedAt, h.owned, h.Loads = old.PresentedAt, old.owned, old.Loads
	}
	if !h.owned {
		h.Loads = nil
	}
	r.count(before, h.Loads)
	r.hostsDue = earlier(r.hostsDue, h.HeardAt.Add(r.o.HostLease))
	*old = h
	r.hostByKey[h.Key()] = old
	return news
}

// count puts the figures of an owned host in the place of what it told before.
func (r *Registry) count(before, after serverload.Loads) {
	r.direct.Sub(before)
	r.direct.Add(after)
	r.region.replace(before, after)
}

// disown ends the count of a host's figures.
func (r *Registry) disown(h *Host) {
	if h.owned {
		r.count(h.Loads, nil)
		h.owned, h.Loads = false, nil
	}
}

// Owned reports whether this control host owns the host's figures.
func (h *Host) Owned() bool { return h.owned }

// PresentsItself reports whether the host has presented itself here within its lease.
func (r *Registry) PresentsItself(h *Host, now time.Time) bool {
	return !h.PresentedAt.IsZero() && now.Sub(h.PresentedAt) <= r.o.HostLease
}

// HearHostAgain takes the news of another control host that an entry host which it told of
// before is still there; owned says that the host's figures are its own. It reports whether
// the host is known here.
func (r *Registry) HearHostAgain(key uint32, owned, ready bool, via string, heardAt, now time.Time) bool {
	known := r.hostByKey[key]
	if known == nil {
		return false
	}
	h := *known
	h.HeardAt, h.Direct, h.Primary, h.Ready, h.Via = heardAt, false, owned, ready, via
	r.HearHost(h, now)
	return true
}

// ChangedSince reports whether other control hosts must be told the host again that were
// told it at a version.
func (h *Host) ChangedSince(version uint64) bool { return h.changed > version }

func (r *Registry) live(h *Host, now time.Time) bool { return now.Sub(h.HeardAt) <= r.o.HostLease }

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

// HearControl takes what another control host tells of itself.
func (r *Registry) HearControl(c Control) {
	var before serverload.Loads
	if old := r.controls[c.Peer]; old != nil {
		before = old.counted
	}
	if c.Region == r.o.Region {
		c.counted = c.ServerLoads
	}
	r.region.replace(before, c.counted)
	r.controls[c.Peer] = &c
}

// HearOfControl takes what another control host of its failure domain tells of a control host
// of another region.
func (r *Registry) HearOfControl(c Control) {
	old := r.controls[c.Peer]
	if old == nil {
		r.controls[c.Peer] = &c
	} else if c.HeardAt.After(old.HeardAt) {
		c.Loads, c.LoadsAt, c.ServerLoads, c.counted = old.Loads, old.LoadsAt, old.ServerLoads, old.counted
		r.controls[c.Peer] = &c
	}
}

// speakerSilence is after how long without news of a speaker the next control host of the
// failure domain speaks as well: three exchanges. Two speakers for a while do no harm.
const speakerSilence = time.Second

// Speaks reports whether this control host, at its own address, speaks for its failure domain
// to other regions: it is the first of those that are heard, by address. What crosses regions
// then grows with the failure domains and not with the control hosts.
func (r *Registry) Speaks(own string, now time.Time) bool {
	for _, c := range r.controls {
		if c.FailureDomain == r.o.FailureDomain && c.Peer < own && now.Sub(c.HeardAt) <= speakerSilence {
			return false
		}
	}
	return true
}

// HeardInDomain reports whether the control host that heard the host last is of the own
// failure domain: this one or one that tells this one.
func (r *Registry) HeardInDomain(h *Host) bool { return h.Via == "" || h.Via == r.o.FailureDomain }

// ControlLease is how long another control host counts as live.
const ControlLease = 3 * time.Second

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

// Control returns what is known of the control host at an address, or nil.
func (r *Registry) Control(peer string) *Control { return r.controls[peer] }

// KnownControls returns all other control hosts ever heard, sorted by peer address.
func (r *Registry) KnownControls() []*Control {
	out := slices.Collect(maps.Values(r.controls))
	sort.Slice(out, func(i, j int) bool { return out[i].Peer < out[j].Peer })
	return out
}

// Heard reports whether a control host was heard lately.
func (c *Control) Heard(now time.Time) bool { return now.Sub(c.HeardAt) <= ControlLease }
