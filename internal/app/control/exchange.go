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

// others returns the peer addresses of the other control hosts: the seeds, the
// group's members and those heard of.
func (f *Fleet) others() []string {
	addrs := map[string]bool{}
	for _, a := range f.o.Seeds {
		addrs[a] = true
	}
	for _, a := range f.replica.MemberAddresses() {
		addrs[a] = true
	}
	f.mu.Lock()
	for _, c := range f.reg.KnownControls() {
		addrs[c.Peer] = true
	}
	f.mu.Unlock()
	delete(addrs, f.o.Peer)
	out := make([]string, 0, len(addrs))
	for a := range addrs {
		out = append(out, a)
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
	next = told{prompts: last.prompts, hosts: f.reg.Version()}
	x = &pb.ControlExchange{
		Store: f.replica.o.Identity.Store, Peer: f.o.Peer, Operator: f.o.Operator,
		Region: f.o.Region, FailureDomain: f.o.FailureDomain,
	}
	if f.tellsRegionLocked(now) {
		x.Loads = f.regionLoadsLocked(now)
	}
	for _, h := range f.reg.Hosts(now) {
		switch {
		case !f.reg.PresentsItself(h, now):
		case last.hosts == 0 || h.ChangedSince(last.hosts):
			m := hostMessage(h, h.PresentedAt, now)
			m.Primary = h.Owned()
			x.Hosts = append(x.Hosts, m)
		case h.Owned():
			x.HeardHosts = append(x.HeardHosts, h.Key())
			x.HeardAges = append(x.HeardAges, uint32(age(h.PresentedAt, now)))
		default:
			x.SeenHosts = append(x.SeenHosts, h.Key())
			x.SeenAges = append(x.SeenAges, uint32(age(h.PresentedAt, now)))
		}
	}
	for _, c := range f.reg.Controls(now) {
		if c.Peer == addr {
			var servers []*registry.Server
			servers, next.servers = f.serversSinceLocked(last, c.Region, now)
			next.allServers = true
			for _, s := range servers {
				x.Servers = append(x.Servers, serverMessage(s, now))
			}
			if c.Region == f.o.Region {
				x.ServerLoads = serverload.Encode(f.reg.DirectLoads())
			}
			var places []holders.Place
			places, next.prompts = f.prompts.Direct(last.prompts)
			if c.Region != f.o.Region {
				places = holders.InRegion(f.o.Region, places)
			}
			x.Prompts = holders.Encode(places)
			x.Quarantine, next.verdicts = f.replica.verdictsSince(last.verdicts, exchangeRecords, quarantine.All)
		}
	}
	return x, next
}

// tellsRegionLocked reports whether this control host tells the others its region's loads: the
// first of its failure domain by address that is heard. Each knows the whole region's, and
// every entry host of another region hears all that is told.
func (f *Fleet) tellsRegionLocked(now time.Time) bool {
	return !slices.ContainsFunc(f.reg.Controls(now), func(c *registry.Control) bool {
		return c.FailureDomain == f.o.FailureDomain && c.Peer < f.o.Peer
	})
}

// serversSinceLocked returns the servers of a region that were heard here, or left, since
// another control host was told of them, and the position to go on from.
func (f *Fleet) serversSinceLocked(last told, region string, now time.Time) ([]*registry.Server, uint64) {
	heard, next, complete := f.reg.HeardSince(last.servers)
	if !complete || !last.allServers {
		return f.reg.DirectServers(region, now), next
	}
	heard = slices.DeleteFunc(heard, func(s *registry.Server) bool {
		return !s.Gone && (!s.HeardHere() || f.reg.RegionOf(s.FailureDomain) != region)
	})
	return heard, next
}

// takeExchange takes what another control host tells. It reports whether it knew all
// entry hosts of which it heard that they are still there.
func (f *Fleet) takeExchange(x *pb.ControlExchange) (complete bool) {
	now := f.o.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reg.HearControl(registry.Control{
		Store: x.Store, Peer: x.Peer, Operator: x.Operator, Region: x.Region, FailureDomain: x.FailureDomain,
		HeardAt: now, Loads: x.Loads, ServerLoads: serverload.Decode(x.ServerLoads),
	})
	f.prompts.Add("", holders.Decode(x.Prompts))
	if f.replica.mergeVerdicts(x.Quarantine, x.Store) {
		f.reg.Touch()
	}
	for _, h := range x.Hosts {
		f.reg.HearHost(registry.Host{
			ID: h.Id, Peer: h.Peer, Caller: h.Caller, Region: h.Region, FailureDomain: h.FailureDomain, Ready: h.Ready, Primary: h.Primary,
			HeardAt: now.Add(-milliseconds(h.AgeMs)),
		}, now)
	}
	complete = f.hearAgainLocked(x.HeardHosts, x.HeardAges, true, now)
	complete = f.hearAgainLocked(x.SeenHosts, x.SeenAges, false, now) && complete
	for _, s := range x.Servers {
		if s.Gone {
			f.reg.Leave(s.Id, s.Start, now)
			continue
		}
		heard := now.Add(-milliseconds(s.AgeMs))
		f.reg.Announce(registry.Server{
			ID: s.Id, Start: s.Start, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Sequence: s.Sequence,
			Slots: int(s.Slots), Leaving: s.Leaving, Release: s.Release, HeardAt: heard, FirstSeen: now.Add(-milliseconds(s.FirstSeenMs)),
			ColdUntil: heard.Add(milliseconds(s.ColdMs)),
		}, now)
	}
	f.wakeLocked()
	return complete
}

// hearAgainLocked takes the keys of entry hosts that are still there. It reports whether all
// of them are known.
func (f *Fleet) hearAgainLocked(keys, ages []uint32, owned bool, now time.Time) (complete bool) {
	complete = true
	for i, key := range keys {
		if i < len(ages) {
			complete = f.reg.HearHostAgain(key, owned, now.Add(-milliseconds(uint64(ages[i]))), now) && complete
		}
	}
	return complete
}
