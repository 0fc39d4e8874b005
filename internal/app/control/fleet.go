package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/rendezvous"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// FleetOptions configures a Fleet.
type FleetOptions struct {
	Peer, Operator        string // this control host
	Region, FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Seeds are peer addresses of control hosts to present itself to.
	Seeds []string
	// ServerLease is how long a backend server's announcement holds. Three
	// missed announcements, so that one lost message changes nothing.
	ServerLease time.Duration
	Peers       port.Peers
	Clock       port.Clock
	Log         logr.Logger
}

// Times of the fleet's view.
const (
	// hostLease is how long an entry host counts as live after its last
	// presentation; it presents itself several times a second.
	hostLease = 1500 * time.Millisecond
	// exchangeInterval is the pause between messages to another control host.
	// Region loads of this age keep a region from being overrun: half the time
	// to the first token that callers expect at most.
	exchangeInterval = 300 * time.Millisecond
	exchangeTimeout  = time.Second
	// expireInterval is how often leases are looked at.
	expireInterval = 100 * time.Millisecond
	// maxSyncWait bounds how long a presentation waits for a change.
	maxSyncWait = time.Second
)

// Fleet is this control host's part in knowing who is there: it takes
// announcements of backend servers and presentations of entry hosts, and shares
// them with the other control hosts.
type Fleet struct {
	o       FleetOptions
	replica *Replica
	epoch   uint64 // tells this process's versions from an earlier one's

	mu      sync.Mutex
	reg     *registry.Registry
	waker   *waker
	seen    uint64          // version for which presentations were last woken
	prompts holders.Log     // where the region's entry hosts sent prompts
	told    map[string]told // by peer address of another control host
	// controls is the list of control hosts as entry hosts are told it, and controlsAt the
	// version at which it last changed.
	controls   []*pb.ControlHost
	controlsAt uint64
	// named are the failure domains of control hosts that others named, by address.
	named map[string]string
	// regionLoads are those of the own region as of regionLoadsAt.
	regionLoads   []*pb.RegionLoad
	regionLoadsAt time.Time
}

// told is what another control host was told, as far as it confirmed it.
type told struct {
	prompts    uint64 // position in the log of prompts
	verdicts   uint64 // revision of the records of crashing requests
	hosts      uint64 // version at which it was told of all entry hosts; 0 for never
	servers    uint64 // position in the log of announcements up to which it was told them
	allServers bool   // it was told of all servers once
	controls   uint64 // version of the list of control hosts that it was told
}

// NewFleet returns the fleet's view of a replica's host.
func NewFleet(o FleetOptions, r *Replica) *Fleet {
	f := &Fleet{
		o: o, replica: r, epoch: uint64(o.Clock.Now().UnixNano()), waker: newWaker(),
		told: map[string]told{}, named: map[string]string{},
		reg: registry.New(registry.Options{
			Region: o.Region, FailureDomain: o.FailureDomain, Regions: o.Regions,
			ServerLease: o.ServerLease, HostLease: hostLease,
		}),
	}
	f.refreshControlsLocked(o.Clock.Now())
	f.seen = f.reg.Version()
	r.fleet = f
	return f
}

// wakeLocked wakes the presentations that wait for a change.
func (f *Fleet) wakeLocked() {
	if v := f.reg.Version(); v != f.seen {
		f.seen = v
		f.waker.wake(f.o.Clock.Now())
	}
}

// configurationChanged tells the entry hosts of a new configuration or evacuation.
func (f *Fleet) configurationChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reg.BumpVersion()
	f.wakeLocked()
}

// Announce takes a backend server's own announcement and returns the operator
// address of the control host that it should announce to, or "" for this one.
func (f *Fleet) Announce(s registry.Server) (announceTo string, err error) {
	now := f.o.Clock.Now()
	if _, ok := f.o.Regions[s.FailureDomain]; !ok {
		return "", failure.New(failure.BadRequest, failure.NotRun, "failure domain %q is not known", s.FailureDomain)
	}
	s.LastSeen, s.DirectAt = now, now
	f.mu.Lock()
	defer f.mu.Unlock()
	news := f.reg.Announce(s, now)
	f.wakeLocked()
	if news {
		f.o.Log.Info("backend server announced", "server", s.ID, "start", s.Start, "service", s.Service, "address", s.Address,
			"failure_domain", s.FailureDomain, "leaving", s.Leaving, "sequence", s.Sequence, "cold_ms", max(0, s.ColdUntil.Sub(now).Milliseconds()))
	}
	return f.sponsorLocked(s.ID, s.FailureDomain, now), nil
}

// sponsorLocked returns the control host for a server of a failure domain: one there, else
// one of its region. Those of a failure domain share its servers.
func (f *Fleet) sponsorLocked(server, domain string, now time.Time) string {
	region := f.o.Regions[domain]
	if domain == f.o.FailureDomain {
		return f.o.Operator
	}
	var there, near []string
	if region == f.o.Region {
		near = append(near, f.o.Operator)
	}
	for _, c := range f.reg.Controls(now) {
		switch {
		case c.FailureDomain == domain:
			there = append(there, c.Operator)
		case c.Region == region && len(near) == 0:
			near = append(near, c.Operator)
		}
	}
	if len(there) == 0 {
		there = near
	}
	return rendezvous.Owner(server, there)
}

// Leave records that a start of a backend server is gone; 0 means the one that is known.
func (f *Fleet) Leave(id string, start int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reg.Leave(id, start, f.o.Clock.Now()) {
		f.o.Log.Info("backend server left", "server", id, "start", start)
	}
	f.wakeLocked()
}

// Lookup returns the caller addresses of the entry hosts that a caller should
// use for the host name.
func (f *Fleet) Lookup(name, region, domain string) []string {
	var permitted func(string) bool
	if rec := f.replica.Accepted().Record; rec != nil {
		if homes := rec.HostHomes(name); homes != nil {
			permitted = func(r string) bool { return slices.Contains(homes, r) }
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, h := range f.reg.Lookup(region, domain, permitted, f.o.Clock.Now()) {
		out = append(out, h.Caller)
	}
	return out
}

// Run exchanges views with the other control hosts until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	exchange := time.NewTicker(exchangeInterval)
	defer exchange.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	last, stale := f.o.Clock.Now(), false
	busy := &busySet{m: map[string]bool{}}
	f.exchangeAll(ctx, busy) // opens the links over which votes are answered
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			now := f.o.Clock.Now()
			f.mu.Lock()
			f.reg.Expire(last, now)
			f.refreshControlsLocked(now)
			f.wakeLocked()
			f.mu.Unlock()
			last = now
			stale = f.logStaleness(stale)
		case <-exchange.C:
			f.exchangeAll(ctx, busy)
		}
	}
}

// liveControls returns the other control hosts heard lately.
func (f *Fleet) liveControls() []*registry.Control {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reg.Controls(f.o.Clock.Now())
}
