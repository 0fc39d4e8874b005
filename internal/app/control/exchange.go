package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/core/streamorigin"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// exchangeAll starts an exchange with each target that has none in flight.
func (f *Fleet) exchangeAll(ctx context.Context, inFlight *inFlightSet) {
	for _, addr := range f.exchangeTargets() {
		if inFlight.tryStart(addr) {
			go func() {
				defer inFlight.end(addr)
				f.exchange(ctx, addr)
			}()
		}
	}
}

// inFlightSet is the set of addresses with a call in flight.
type inFlightSet struct {
	mu sync.Mutex
	m  map[string]bool
}

func (s *inFlightSet) tryStart(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m[addr] {
		return false
	}
	s.m[addr] = true
	return true
}

func (s *inFlightSet) end(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, addr)
}

// exchangeTargets returns the peer addresses of the control hosts to send exchanges to: all of the
// own region, and those of other regions if this control host represents its failure domain, as
// well as seeds and group members whose region is not known yet.
func (f *Fleet) exchangeTargets() []string {
	addrs := map[string]bool{}
	for _, a := range f.o.Seeds {
		addrs[a] = true
	}
	for _, a := range f.replica.MemberAddresses() {
		addrs[a] = true
	}
	f.mu.Lock()
	representative := f.reg.RepresentsDomain(f.o.Peer, f.o.Clock.Now())
	for addr, domain := range f.controlDomains {
		addrs[addr] = representative || f.o.Regions[domain] == f.o.Region
	}
	for _, c := range f.reg.KnownControls() {
		addrs[c.Peer] = representative || c.Region == f.o.Region
	}
	f.mu.Unlock()
	addrs[f.o.Peer] = false // overrides the seeds and the group's members
	var out []string
	for a, include := range addrs {
		if include {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

func (f *Fleet) exchange(ctx context.Context, addr string) {
	x, next := f.buildExchange(addr)
	if err := f.sendExchange(ctx, addr, x, next); err != nil {
		f.o.Log.V(1).Info("control host not reached", "peer", addr, "reason", err.Error())
	}
}

// sendExchange sends a message and stores its cursor once it is acknowledged.
func (f *Fleet) sendExchange(ctx context.Context, addr string, x *pb.ControlExchange, next exchangeCursor) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := f.replica.request()
	req.Body = &pb.Request_ControlExchange{ControlExchange: x}
	_, err := f.o.Peers.Call(ctx, addr, req)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		// The receiver may have restarted and lost its state.
		next = exchangeCursor{prompts: f.cursors[addr].prompts, streams: f.cursors[addr].streams}
	}
	f.cursors[addr] = next
	return err
}

// buildExchange returns the next message to the control host at addr: full records of the entry
// hosts that changed and of the servers that announced themselves since the last acknowledged
// exchange, and only keys and ages of the other live entry hosts. next is the cursor to store once
// the receiver has acknowledged the message.
func (f *Fleet) buildExchange(addr string) (x *pb.ControlExchange, next exchangeCursor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	last := f.cursors[addr]
	next = exchangeCursor{prompts: last.prompts, streams: last.streams, hosts: f.reg.Version(), controls: f.controlsVersion}
	x = &pb.ControlExchange{
		Store: f.replica.o.Identity.Store, Peer: f.o.Peer, Operator: f.o.Operator,
		Region: f.o.Region, FailureDomain: f.o.FailureDomain, UptimeMs: max(1, age(f.started, now)),
	}
	if f.reg.RepresentsDomain(f.o.Peer, now) {
		x.Loads = f.regionLoadsLocked(now)
	}
	if last.controls != f.controlsVersion {
		x.ControlHosts = f.controls
	}
	to := f.reg.Control(addr)
	crossRegion := to != nil && to.Region != f.o.Region
	f.addHostsLocked(x, last, crossRegion, now)
	if to == nil || !to.Live(now) {
		return x, next
	}
	var servers []*registry.Server
	servers, next.servers = f.serversSinceLocked(last, to, now)
	next.sentAllServers = true
	for _, s := range servers {
		x.Servers = append(x.Servers, serverMessage(s, now))
	}
	var places []holders.Place
	if crossRegion {
		places, next.prompts = f.prompts.FromDomain(last.prompts)
		places = holders.InRegion(f.o.Region, places)
		x.Streams, next.streams = f.streams.Since(last.streams, streamorigin.FromFailureDomain)
		f.addControlsLocked(x, now)
	} else {
		x.Streams, next.streams = f.streams.Since(last.streams, streamorigin.FromEntryHost)
		places, next.prompts = f.prompts.FromEntryHosts(last.prompts)
		x.ServerLoads = serverload.Encode(f.reg.OwnedLoads())
		x.Limits, next.limits = f.reg.LimitsSince(last.limits)
	}
	x.Releases, next.releases = f.releases.Since(last.releases, now)
	x.Prompts = holders.Encode(places)
	x.Quarantine, next.verdicts = f.replica.verdictsSince(last.verdicts, maxExchangeRecords, quarantine.AllRecords)
	return x, next
}

// addHostsLocked adds the entry hosts that this control host reports: those that send sync requests
// to it, and for receivers in other regions those of the whole failure domain.
func (f *Fleet) addHostsLocked(x *pb.ControlExchange, last exchangeCursor, crossRegion bool, now time.Time) {
	for _, h := range f.reg.Hosts(now) {
		lastSeen := h.SyncedHereAt
		switch {
		case crossRegion && f.reg.SyncedInDomain(h):
			lastSeen = h.LastSeen
		case !f.reg.SyncsHere(h, now):
			continue
		}
		switch {
		case last.hosts == 0 || h.ChangedSince(last.hosts):
			m := hostMessage(h, lastSeen, now)
			m.Primary = h.Owned()
			x.Hosts = append(x.Hosts, m)
		case h.Owned():
			x.HeardHosts = append(x.HeardHosts, h.Key())
			x.HeardAges = append(x.HeardAges, ageAndReady(h, lastSeen, now))
		default:
			x.SeenHosts = append(x.SeenHosts, h.Key())
			x.SeenAges = append(x.SeenAges, ageAndReady(h, lastSeen, now))
		}
	}
}

// ageAndReady encodes the age of a host's last sync request in ms, shifted left by one, with the
// ready state in the lowest bit. The receiver may have discarded the full record: ages do not
// include the network delay, so an earlier message that was delayed, for example on a newly opened
// connection, can appear to be newer. Without this bit a host that is shutting down would count as
// ready for as long as its lease is renewed.
func ageAndReady(h *registry.Host, lastSeen, now time.Time) uint32 {
	v := uint32(age(lastSeen, now)) << 1
	if h.Ready {
		v++
	}
	return v
}

// addControlsLocked adds the other control hosts of the failure domain.
func (f *Fleet) addControlsLocked(x *pb.ControlExchange, now time.Time) {
	for _, c := range f.reg.Controls(now) {
		if c.FailureDomain == f.o.FailureDomain {
			x.Controls = append(x.Controls, &pb.ControlHeard{Store: c.Store, Peer: c.Peer, Operator: c.Operator, AgeMs: uint32(age(c.LastSeen, now)), UptimeMs: age(c.StartedAt, now)})
		}
	}
}

// serversSinceLocked returns the servers to report to another control host: those that announced
// themselves here or left since the last exchange. A receiver in the own failure domain gets
// servers of all regions, because it may become the failure domain's representative. A receiver in
// another region gets the servers of its region that announced themselves anywhere in this failure
// domain.
func (f *Fleet) serversSinceLocked(last exchangeCursor, to *registry.Control, now time.Time) ([]*registry.Server, uint64) {
	announced, next, complete := f.reg.AnnouncedSince(last.servers)
	if !complete || !last.sentAllServers {
		return f.reg.DirectServers(to.Region, now), next
	}
	announced = slices.DeleteFunc(announced, func(s *registry.Server) bool {
		announcedHere := s.AnnouncedHere() || (to.Region != f.o.Region && s.Via == f.o.FailureDomain)
		relevant := to.FailureDomain == f.o.FailureDomain || f.reg.RegionOf(s.FailureDomain) == to.Region
		return !s.Gone && !(announcedHere && relevant && s.Holds())
	})
	return announced, next
}

// applyExchange merges the state that another control host sent. It reports whether all entry hosts
// that were sent as keys only are known here.
func (f *Fleet) applyExchange(x *pb.ControlExchange) (complete bool) {
	now := f.o.Clock.Now()
	startedAt := now.Add(-milliseconds(x.UptimeMs))
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.reg.Control(x.Peer); old != nil && x.UptimeMs > 0 && startedAt.Sub(old.StartedAt) > exchangeTimeout {
		c := f.cursors[x.Peer] // another process than the one that received the records
		c.releases = 0
		f.cursors[x.Peer] = c
	}
	f.reg.UpdateControl(registry.Control{
		Store: x.Store, Peer: x.Peer, Operator: x.Operator, Region: x.Region, FailureDomain: x.FailureDomain,
		LastSeen: now, StartedAt: startedAt, Loads: x.Loads, LoadsAt: now, ServerLoads: serverload.Decode(x.ServerLoads),
	})
	if x.Region == f.o.Region {
		f.reg.MergeLimits(x.Limits, now)
	}
	f.releases.Merge(x.Releases, now)
	f.releases.RecordStart(startedAt)
	for _, c := range x.ControlHosts {
		if c.FailureDomain != "" {
			f.controlDomains[c.Peer] = c.FailureDomain
		}
	}
	for _, c := range x.Controls {
		f.releases.RecordStart(now.Add(-milliseconds(c.UptimeMs)))
		if c.Peer != f.o.Peer {
			f.reg.UpdateReportedControl(registry.Control{
				Store: c.Store, Peer: c.Peer, Operator: c.Operator, StartedAt: now.Add(-milliseconds(c.UptimeMs)), Region: x.Region, FailureDomain: x.FailureDomain, LastSeen: now.Add(-milliseconds(uint64(c.AgeMs))),
			})
		}
	}
	if x.FailureDomain == f.o.FailureDomain {
		f.prompts.AddFromDomain(holders.Decode(x.Prompts))
		f.streams.Merge(x.Streams, streamorigin.FromFailureDomain, now)
	} else {
		f.prompts.Add("", holders.Decode(x.Prompts))
		f.streams.Merge(x.Streams, streamorigin.FromElsewhere, now)
	}
	if f.replica.mergeVerdicts(x.Quarantine, x.Store) {
		f.reg.BumpVersion()
	}
	for _, h := range x.Hosts {
		f.reg.UpdateHost(registry.Host{
			ID: h.Id, Peer: h.Peer, Caller: h.Caller, Region: h.Region, FailureDomain: h.FailureDomain, Ready: h.Ready, Primary: h.Primary, Via: x.FailureDomain,
			LastSeen: now.Add(-milliseconds(h.AgeMs)),
		}, now)
	}
	complete = f.renewHostsLocked(x.HeardHosts, x.HeardAges, true, x.FailureDomain, now)
	complete = f.renewHostsLocked(x.SeenHosts, x.SeenAges, false, x.FailureDomain, now) && complete
	for _, s := range x.Servers {
		if s.Gone {
			f.reg.MergeDepartures(s.Id, s.Start, s.Departures, now)
			continue
		}
		lastSeen := now.Add(-milliseconds(s.AgeMs))
		var proved time.Time
		if s.ProvedAgeMs > 0 {
			proved = now.Add(-milliseconds(s.ProvedAgeMs))
		}
		f.releases.Record(s.Service, s.Release, lastSeen)
		f.reg.Announce(registry.Server{
			ID: s.Id, Start: s.Start, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Sequence: s.Sequence,
			Slots: int(s.Slots), Leaving: s.Leaving, Release: s.Release, LastSeen: lastSeen, FirstSeen: now.Add(-milliseconds(s.FirstSeenMs)),
			ColdUntil: lastSeen.Add(milliseconds(s.ColdMs)), SentAfterRevision: s.SentAfterRevision, Via: x.FailureDomain, Overruled: s.Overruled, ProvedElsewhere: proved,
		}, now)
	}
	f.wakeLocked()
	return complete
}

// renewHostsLocked renews the leases of entry hosts that were sent as keys and ages. It reports
// whether all of them are known.
func (f *Fleet) renewHostsLocked(keys, ages []uint32, owned bool, via string, now time.Time) (complete bool) {
	complete = true
	for i, key := range keys {
		if i < len(ages) {
			lastSeen := now.Add(-milliseconds(uint64(ages[i] >> 1)))
			complete = f.reg.RenewHost(key, owned, ages[i]&1 == 1, via, lastSeen, now) && complete
		}
	}
	return complete
}
