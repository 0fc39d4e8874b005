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
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// exchangeAll begins an exchange with each control host to which none is under way.
func (f *Fleet) exchangeAll(ctx context.Context, busy *busySet) {
	for _, addr := range f.others() {
		if busy.start(addr) {
			go func() {
				defer busy.end(addr)
				f.exchange(ctx, addr)
			}()
		}
	}
}

// busySet names the addresses to which a message is under way.
type busySet struct {
	mu sync.Mutex
	m  map[string]bool
}

func (b *busySet) start(addr string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.m[addr] {
		return false
	}
	b.m[addr] = true
	return true
}

func (b *busySet) end(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.m, addr)
}

// others returns the peer addresses of the control hosts to tell: all of the own region, and
// those of other regions if this one speaks for its failure domain; besides the seeds and the
// group's members of which nothing was heard yet.
func (f *Fleet) others() []string {
	addrs := map[string]bool{}
	for _, a := range f.o.Seeds {
		addrs[a] = true
	}
	for _, a := range f.replica.MemberAddresses() {
		addrs[a] = true
	}
	f.mu.Lock()
	speaks := f.reg.RepresentsDomain(f.o.Peer, f.o.Clock.Now())
	for addr, domain := range f.named {
		addrs[addr] = speaks || f.o.Regions[domain] == f.o.Region
	}
	for _, c := range f.reg.KnownControls() {
		addrs[c.Peer] = speaks || c.Region == f.o.Region
	}
	f.mu.Unlock()
	addrs[f.o.Peer] = false
	var out []string
	for a, tell := range addrs {
		if tell {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

func (f *Fleet) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := f.replica.request()
	x, next := f.exchangeFor(addr)
	req.Body = &pb.Request_ControlExchange{ControlExchange: x}
	_, err := f.o.Peers.Call(ctx, addr, req)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.o.Log.V(1).Info("control host not reached", "peer", addr, "reason", err.Error())
		next = told{prompts: f.told[addr].prompts} // it may have restarted, and knows no hosts
	}
	f.told[addr] = next
}

// exchangeFor returns what the control host at an address is told: all entry hosts that
// changed and the servers that announced themselves since the last exchange, and of the
// other entry hosts that they are still there. next is what it has been told then.
func (f *Fleet) exchangeFor(addr string) (x *pb.ControlExchange, next told) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	last := f.told[addr]
	next = told{prompts: last.prompts, hosts: f.reg.Version(), controls: f.controlsAt}
	x = &pb.ControlExchange{
		Store: f.replica.o.Identity.Store, Peer: f.o.Peer, Operator: f.o.Operator,
		Region: f.o.Region, FailureDomain: f.o.FailureDomain,
	}
	if f.reg.RepresentsDomain(f.o.Peer, now) {
		x.Loads = f.regionLoadsLocked(now)
	}
	if last.controls != f.controlsAt {
		x.ControlHosts = f.controls
	}
	to := f.reg.Control(addr)
	far := to != nil && to.Region != f.o.Region
	f.addHostsLocked(x, last, far, now)
	if to == nil || !to.Live(now) {
		return x, next
	}
	var servers []*registry.Server
	servers, next.servers = f.serversSinceLocked(last, to, now)
	next.allServers = true
	for _, s := range servers {
		x.Servers = append(x.Servers, serverMessage(s, now))
	}
	var places []holders.Place
	if far {
		places, next.prompts = f.prompts.FromDomain(last.prompts)
		places = holders.InRegion(f.o.Region, places)
		f.addControlsLocked(x, now)
	} else {
		places, next.prompts = f.prompts.FromEntryHosts(last.prompts)
		x.ServerLoads = serverload.Encode(f.reg.OwnedLoads())
	}
	x.Prompts = holders.Encode(places)
	x.Quarantine, next.verdicts = f.replica.verdictsSince(last.verdicts, exchangeRecords, quarantine.AllRecords)
	return x, next
}

// addHostsLocked adds the entry hosts of which this control host tells: those that present
// themselves here, and for other regions those of the whole failure domain.
func (f *Fleet) addHostsLocked(x *pb.ControlExchange, last told, far bool, now time.Time) {
	for _, h := range f.reg.Hosts(now) {
		heardAt := h.SyncedHereAt
		switch {
		case far && f.reg.SyncedInDomain(h):
			heardAt = h.LastSeen
		case !f.reg.SyncsHere(h, now):
			continue
		}
		switch {
		case last.hosts == 0 || h.ChangedSince(last.hosts):
			m := hostMessage(h, heardAt, now)
			m.Primary = h.Owned()
			x.Hosts = append(x.Hosts, m)
		case h.Owned():
			x.HeardHosts = append(x.HeardHosts, h.Key())
			x.HeardAges = append(x.HeardAges, ageAndReady(h, heardAt, now))
		default:
			x.SeenHosts = append(x.SeenHosts, h.Key())
			x.SeenAges = append(x.SeenAges, ageAndReady(h, heardAt, now))
		}
	}
}

// ageAndReady tells with each key whether the host is ready. The whole record may be passed
// over: ages leave out the way, so that an earlier message which was long under way, as over
// a link that was just opened, can seem to be the newer one. Without this bit a host that was
// stopping would count as ready for as long as it was heard.
func ageAndReady(h *registry.Host, heardAt, now time.Time) uint32 {
	v := uint32(age(heardAt, now)) << 1
	if h.Ready {
		v++
	}
	return v
}

// addControlsLocked adds the other control hosts of the failure domain.
func (f *Fleet) addControlsLocked(x *pb.ControlExchange, now time.Time) {
	for _, c := range f.reg.Controls(now) {
		if c.FailureDomain == f.o.FailureDomain {
			x.Controls = append(x.Controls, &pb.ControlHeard{Store: c.Store, Peer: c.Peer, Operator: c.Operator, AgeMs: uint32(age(c.LastSeen, now))})
		}
	}
}

// serversSinceLocked returns the servers that another control host is told: those that were
// heard here, or left, since it was last told. One of the own failure domain is told those of
// all regions, as it may speak for the failure domain; one of another region those of its own
// that were heard anywhere in the failure domain.
func (f *Fleet) serversSinceLocked(last told, to *registry.Control, now time.Time) ([]*registry.Server, uint64) {
	heard, next, complete := f.reg.AnnouncedSince(last.servers)
	if !complete || !last.allServers {
		return f.reg.DirectServers(to.Region, now), next
	}
	heard = slices.DeleteFunc(heard, func(s *registry.Server) bool {
		here := s.AnnouncedHere() || (to.Region != f.o.Region && s.Via == f.o.FailureDomain)
		concerns := to.FailureDomain == f.o.FailureDomain || f.reg.RegionOf(s.FailureDomain) == to.Region
		return !s.Gone && !(here && concerns)
	})
	return heard, next
}

// takeExchange takes what another control host tells. It reports whether it knew all
// entry hosts of which it heard that they are still there.
func (f *Fleet) takeExchange(x *pb.ControlExchange) (complete bool) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reg.UpdateControl(registry.Control{
		Store: x.Store, Peer: x.Peer, Operator: x.Operator, Region: x.Region, FailureDomain: x.FailureDomain,
		LastSeen: now, Loads: x.Loads, LoadsAt: now, ServerLoads: serverload.Decode(x.ServerLoads),
	})
	for _, c := range x.ControlHosts {
		if c.FailureDomain != "" {
			f.named[c.Peer] = c.FailureDomain
		}
	}
	for _, c := range x.Controls {
		if c.Peer != f.o.Peer {
			f.reg.UpdateReportedControl(registry.Control{
				Store: c.Store, Peer: c.Peer, Operator: c.Operator, Region: x.Region, FailureDomain: x.FailureDomain, LastSeen: now.Add(-milliseconds(uint64(c.AgeMs))),
			})
		}
	}
	if x.FailureDomain == f.o.FailureDomain {
		f.prompts.AddFromDomain(holders.Decode(x.Prompts))
	} else {
		f.prompts.Add("", holders.Decode(x.Prompts))
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
	complete = f.hearAgainLocked(x.HeardHosts, x.HeardAges, true, x.FailureDomain, now)
	complete = f.hearAgainLocked(x.SeenHosts, x.SeenAges, false, x.FailureDomain, now) && complete
	for _, s := range x.Servers {
		if s.Gone {
			f.reg.Leave(s.Id, s.Start, now)
			continue
		}
		heard := now.Add(-milliseconds(s.AgeMs))
		f.reg.Announce(registry.Server{
			ID: s.Id, Start: s.Start, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Sequence: s.Sequence,
			Slots: int(s.Slots), Leaving: s.Leaving, Release: s.Release, LastSeen: heard, FirstSeen: now.Add(-milliseconds(s.FirstSeenMs)),
			ColdUntil: heard.Add(milliseconds(s.ColdMs)), Via: x.FailureDomain,
		}, now)
	}
	f.wakeLocked()
	return complete
}

// hearAgainLocked takes the keys of entry hosts that are still there. It reports whether all
// of them are known.
func (f *Fleet) hearAgainLocked(keys, ages []uint32, owned bool, via string, now time.Time) (complete bool) {
	complete = true
	for i, key := range keys {
		if i < len(ages) {
			heardAt := now.Add(-milliseconds(uint64(ages[i] >> 1)))
			complete = f.reg.RenewHost(key, owned, ages[i]&1 == 1, via, heardAt, now) && complete
		}
	}
	return complete
}
