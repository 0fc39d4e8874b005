package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/releases"
	"github.com/sesamefork/sesamefork/internal/core/rendezvous"
	"github.com/sesamefork/sesamefork/internal/core/streamorigin"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
	"github.com/sesamefork/sesamefork/internal/port"
)

// FleetOptions configures a Fleet.
type FleetOptions struct {
	Peer, Operator        string // addresses of this control host
	Region, FailureDomain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// Seeds are peer addresses of the control hosts to contact first.
	Seeds []string
	// ServerLease is how long a backend server's announcement is valid: three announcement
	// intervals, so that one lost message has no effect.
	ServerLease time.Duration
	Peers       port.Peers
	Clock       port.Clock
	Log         logr.Logger
}

// Times of the fleet's view.
const (
	// hostLease is how long an entry host counts as live after its last sync request; entry hosts
	// send several per second.
	hostLease = 1500 * time.Millisecond
	// exchangeInterval is the pause between messages to another control host. Region loads of this
	// age still prevent the overload of a region: it is at most half the time to first token that
	// callers expect.
	exchangeInterval = 300 * time.Millisecond
	exchangeTimeout  = time.Second
	// expireInterval is the pause between checks for expired leases.
	expireInterval = 100 * time.Millisecond
	// maxSyncWait is the longest time for which a sync request is held until a change occurs.
	maxSyncWait = time.Second
)

// Fleet is this control host's view of the live hosts and servers: it accepts announcements of
// backend servers and sync requests of entry hosts, and shares them with the other control hosts.
type Fleet struct {
	o       FleetOptions
	replica *Replica
	started time.Time
	epoch   uint64        // distinguishes the versions of this process from those of an earlier one
	leaving chan struct{} // closed when this host leaves: sync requests are then answered at once

	mu           sync.Mutex
	reg          *registry.Registry
	waker        *waker
	wokenVersion uint64                    // version at which waiting sync requests were last woken
	prompts      holders.Log               // places to which the region's entry hosts sent prompts
	streams      *streamorigin.Log         // origins of streams that entry hosts reported
	releases     *releases.History         // of the servers of all regions
	cursors      map[string]exchangeCursor // by peer address of another control host
	// evacuations is the state of evacuations that views contain, and evacuationsVersion the version
	// of its last change.
	evacuations        *Published
	evacuationsVersion uint64
	// controls is the list of control hosts that is sent to entry hosts, and controlsVersion the
	// version of its last change.
	controls        []*pb.ControlHost
	controlsVersion uint64
	// controlDomains maps addresses of control hosts, as reported by other control hosts, to
	// failure domains.
	controlDomains map[string]string
	// regionLoads are the loads of the own region at regionLoadsAt.
	regionLoads   []*pb.RegionLoad
	regionLoadsAt time.Time
}

// exchangeCursor records what another control host has acknowledged, so that the next exchange
// contains changes only.
type exchangeCursor struct {
	prompts        uint64 // position in the log of prompt places
	verdicts       uint64 // revision of the quarantine records
	hosts          uint64 // registry version up to which the entry hosts were sent; 0 for none
	servers        uint64 // position in the log of announcements up to which servers were sent
	sentAllServers bool   // whether the full set of servers was sent once
	controls       uint64 // version of the list of control hosts
	limits         uint64 // version of the limits that servers advertise
	streams        uint64 // position in the log of streams' origins
	releases       uint64 // revision of the releases
}

// NewFleet returns the Fleet of a replica's host and attaches it to the replica.
func NewFleet(o FleetOptions, r *Replica) *Fleet {
	f := &Fleet{
		o: o, replica: r, started: o.Clock.Now(), epoch: uint64(o.Clock.Now().UnixNano()), waker: newWaker(), leaving: make(chan struct{}),
		streams: streamorigin.NewLog(), releases: releases.New(o.Clock.Now()), cursors: map[string]exchangeCursor{}, controlDomains: map[string]string{},
		reg: registry.New(registry.Options{
			Region: o.Region, FailureDomain: o.FailureDomain, Regions: o.Regions,
			ServerLease: o.ServerLease, HostLease: hostLease,
		}),
	}
	f.refreshControlsLocked(o.Clock.Now())
	f.refreshEvacuationsLocked()
	f.wokenVersion = f.reg.Version()
	r.fleet = f
	return f
}

// wakeLocked wakes the waiting sync requests if the version has changed since the last call.
func (f *Fleet) wakeLocked() {
	if v := f.reg.Version(); v != f.wokenVersion {
		f.wokenVersion = v
		f.waker.wake(f.o.Clock.Now())
	}
}

// configurationChanged wakes the waiting sync requests after a change of the configuration or of
// the evacuated failure domains.
func (f *Fleet) configurationChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reg.BumpVersion()
	f.refreshEvacuationsLocked()
	f.wakeLocked()
}

// refreshEvacuationsLocked adopts the evacuations that the replica offers. Views take the evacuated and
// the restored failure domains from this copy, so that the two lists are of one revision.
func (f *Fleet) refreshEvacuationsLocked() {
	p := f.replica.offered()
	if f.evacuations != nil && f.evacuations.EvacuationRevision == p.EvacuationRevision {
		return
	}
	f.evacuations, f.evacuationsVersion = p, f.reg.BumpVersion()
	f.reg.SetEvacuations(p.EvacuationRevision, p.Restored)
}

// Announce records a backend server's own announcement. It returns the operator address of the
// control host that the server should announce itself to, or "" if none is known.
func (f *Fleet) Announce(s registry.Server) (announceTo string, err error) {
	now := f.o.Clock.Now()
	if _, ok := f.o.Regions[s.FailureDomain]; !ok {
		return "", failure.New(failure.BadRequest, failure.NotRun, "failure domain %q is not known", s.FailureDomain)
	}
	s.LastSeen, s.DirectAt = now, now
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.reg.Server(s.ID)
	wasGone := before != nil && before.Gone
	updated := f.reg.Announce(s, now)
	f.logClaimLocked(s, wasGone)
	f.releases.Record(s.Service, s.Release, now)
	f.wakeLocked()
	if updated {
		f.o.Log.Info("backend server announced", "server", s.ID, "start", s.Start, "service", s.Service, "address", s.Address,
			"failure_domain", s.FailureDomain, "leaving", s.Leaving, "sequence", s.Sequence, "cold_ms", max(0, s.ColdUntil.Sub(now).Milliseconds()),
			"sent_after_revision", f.reg.Server(s.ID).SentAfterRevision, "evacuation_revision", f.evacuations.EvacuationRevision)
	}
	return f.announceTargetLocked(s.ID, s.FailureDomain, now), nil
}

// logClaimLocked logs the decision about a server that counted as gone, or whose address another server holds.
func (f *Fleet) logClaimLocked(announced registry.Server, wasGone bool) {
	s := f.reg.Server(announced.ID)
	switch {
	case s == nil:
	case wasGone && !s.Gone:
		f.o.Log.Info("backend server is back", "server", s.ID, "start", s.Start, "address", s.Address, "overruled_departures", len(s.Overruled))
	case !wasGone && s.Gone:
		f.o.Log.Info("backend server lost its address", "server", s.ID, "start", s.Start, "announced_start", announced.Start, "address", announced.Address)
	case !s.Holds():
		f.o.Log.V(1).Info("backend server waits for its address", "server", s.ID, "start", s.Start, "address", s.Address)
	}
}

// announceTargetLocked returns the operator address of the control host for a server: this control
// host in its own failure domain, else one of the server's failure domain, else one of its region.
// Rendezvous hashing distributes the servers of another failure domain over its control hosts.
func (f *Fleet) announceTargetLocked(server, domain string, now time.Time) string {
	region := f.o.Regions[domain]
	if domain == f.o.FailureDomain {
		return f.o.Operator
	}
	var inDomain, inRegion []string
	if region == f.o.Region {
		inRegion = append(inRegion, f.o.Operator)
	}
	for _, c := range f.reg.Controls(now) {
		switch {
		case c.FailureDomain == domain:
			inDomain = append(inDomain, c.Operator)
		case c.Region == region && len(inRegion) == 0:
			inRegion = append(inRegion, c.Operator)
		}
	}
	if len(inDomain) == 0 {
		inDomain = inRegion
	}
	return rendezvous.Owner(server, inDomain)
}

// Leave records that a start of a backend server has left for good; start 0 means the known one.
func (f *Fleet) Leave(id string, start int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reg.Leave(id, start, f.o.Clock.Now()) {
		f.o.Log.Info("backend server left", "server", id, "start", start)
	}
	f.wakeLocked()
}

// Lookup returns the caller addresses of the entry hosts that a caller of the host name should use.
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

// Run exchanges state with the other control hosts until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	exchange := time.NewTicker(exchangeInterval)
	defer exchange.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	last, stale := f.o.Clock.Now(), false
	inFlight := &inFlightSet{m: map[string]bool{}}
	f.exchangeAll(ctx, inFlight) // opens the connections that vote responses use
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-expire.C:
			now := f.o.Clock.Now()
			f.mu.Lock()
			f.reg.Expire(last, now)
			f.refreshControlsLocked(now)
			f.streams.Expire(f.streamRetention(), now)
			f.releases.Expire(now)
			f.releases.SetComplete(f.hearsAllControlsLocked(now), now)
			f.wakeLocked()
			f.mu.Unlock()
			last = now
			stale = f.logStaleness(stale)
		case <-exchange.C:
			f.exchangeAll(ctx, inFlight)
		}
	}
}

// defaultStreamRetention applies until a configuration has been accepted.
const defaultStreamRetention = time.Minute

// streamRetention returns how long the origins of streams are kept.
func (f *Fleet) streamRetention() time.Duration {
	if rec := f.replica.Accepted().Record; rec != nil {
		return rec.StreamRetention()
	}
	return defaultStreamRetention
}

// originOf returns the origin of a stream, an empty message if it is not known, or the recent releases of a service.
func (f *Fleet) originOf(q *pb.StreamQuery) *pb.StreamOrigins {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if q.Service != "" {
		f.releases.SetComplete(f.hearsAllControlsLocked(now), now)
		recent, complete := f.releases.Within(q.Service, milliseconds(q.WithinMs), now)
		return &pb.StreamOrigins{
			RecentReleases: recent, Complete: complete, ControlHosts: f.rememberedControlsLocked(now), UptimeMs: uint64(max(0, now.Sub(f.started).Milliseconds())),
		}
	}
	o, ok := f.streams.Origin(q.Stream)
	if !ok {
		return &pb.StreamOrigins{}
	}
	return &pb.StreamOrigins{Stream: []uint64{q.Stream}, Origin: []uint32{0}, Service: []string{o.Service}, Release: []string{o.Release}}
}

// processProofs returns until when processes of backend servers are proved to have run.
func (f *Fleet) processProofs(q *pb.ProcessQuery) *pb.ProcessProofs {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	out := &pb.ProcessProofs{}
	for i, id := range q.Id {
		p := &pb.ProcessProof{}
		if s := f.reg.Server(id); i < len(q.Start) && s != nil && s.Start == q.Start[i] && !s.Gone && s.Holds() && !s.ProvedAt.IsZero() {
			p.Known, p.Address, p.AgeMs = true, s.Address, age(s.ProvedAt, now)+1
		}
		out.Proofs = append(out.Proofs, p)
	}
	return out
}

// liveControls returns the other control hosts from which a message was received within
// registry.ControlLease.
func (f *Fleet) liveControls() []*registry.Control {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reg.Controls(f.o.Clock.Now())
}
