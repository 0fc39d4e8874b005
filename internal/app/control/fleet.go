package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/registry"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
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
	changed chan struct{}   // closed and replaced at each change
	seen    uint64          // version for which changed was last replaced
	prompts holders.Log     // where the region's entry hosts sent prompts
	told    map[string]told // by peer address of another control host
}

// told is what another control host was told, as far as it confirmed it.
type told struct {
	prompts   uint64    // position in the log of prompts
	hosts     uint64    // version at which it was told of all entry hosts; 0 for never
	serversAt time.Time // when it was told of all servers; zero for never
}

// NewFleet returns the fleet's view of a replica's host.
func NewFleet(o FleetOptions, r *Replica) *Fleet {
	f := &Fleet{
		o: o, replica: r, epoch: uint64(o.Clock.Now().UnixNano()), changed: make(chan struct{}),
		told: map[string]told{},
		reg: registry.New(registry.Options{
			Region: o.Region, FailureDomain: o.FailureDomain, Regions: o.Regions,
			ServerLease: o.ServerLease, HostLease: hostLease,
		}),
	}
	f.seen = f.reg.Version()
	r.fleet = f
	return f
}

// wakeLocked wakes the presentations that wait for a change.
func (f *Fleet) wakeLocked() {
	if v := f.reg.Version(); v != f.seen {
		f.seen = v
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// configurationChanged tells the entry hosts of a new configuration or evacuation.
func (f *Fleet) configurationChanged() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reg.Touch()
	f.wakeLocked()
}

// Announce takes a backend server's own announcement and returns the operator
// address of the control host that it should announce to, or "" for this one.
func (f *Fleet) Announce(s registry.Server) (announceTo string, err error) {
	now := f.o.Clock.Now()
	if _, ok := f.o.Regions[s.FailureDomain]; !ok {
		return "", failure.New(failure.BadRequest, failure.NotRun, "failure domain %q is not known", s.FailureDomain)
	}
	s.HeardAt, s.Direct = now, now
	f.mu.Lock()
	defer f.mu.Unlock()
	news := f.reg.Announce(s, now)
	f.wakeLocked()
	if news {
		f.o.Log.Info("backend server announced", "server", s.ID, "start", s.Start, "service", s.Service, "address", s.Address,
			"failure_domain", s.FailureDomain, "leaving", s.Leaving, "sequence", s.Sequence, "cold_ms", max(0, s.ColdUntil.Sub(now).Milliseconds()))
	}
	return f.sponsorLocked(s.FailureDomain, now), nil
}

// sponsorLocked returns the control host for a failure domain: one there, else
// one of its region.
func (f *Fleet) sponsorLocked(domain string, now time.Time) string {
	region := f.o.Regions[domain]
	if domain == f.o.FailureDomain {
		return f.o.Operator
	}
	near := ""
	if region == f.o.Region {
		near = f.o.Operator
	}
	for _, c := range f.reg.Controls(now) {
		if c.FailureDomain == domain {
			return c.Operator
		}
		if c.Region == region && near == "" {
			near = c.Operator
		}
	}
	return near
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
			f.wakeLocked()
			f.mu.Unlock()
			last = now
			stale = f.logStaleness(stale)
		case <-exchange.C:
			f.exchangeAll(ctx, busy)
		}
	}
}

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
	for _, a := range f.reg.KnownControls() {
		addrs[a] = true
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
	known := f.replica.MemberAddresses()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	last := f.told[addr]
	next = told{prompts: last.prompts, hosts: f.reg.Version()}
	x = &pb.ControlExchange{
		Store: f.replica.o.Identity.Store, Peer: f.o.Peer, Operator: f.o.Operator,
		Region: f.o.Region, FailureDomain: f.o.FailureDomain, Known: known,
		Loads: f.reg.RegionLoads(f.replica.isEvacuated, now),
	}
	for _, h := range f.reg.Hosts(now) {
		switch {
		case !h.Direct:
		case last.hosts == 0 || h.ChangedSince(last.hosts):
			x.Hosts = append(x.Hosts, hostMessage(h, now))
		default:
			x.HeardHosts = append(x.HeardHosts, h.Key())
			x.HeardAges = append(x.HeardAges, uint32(age(h.HeardAt, now)))
		}
	}
	for _, c := range f.reg.Controls(now) {
		if c.Peer == addr {
			next.serversAt = now
			for _, s := range f.reg.DirectServers(c.Region, now) {
				if s.HeardAt.After(last.serversAt) {
					x.Servers = append(x.Servers, serverMessage(s, now))
				}
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
		}
	}
	return x, next
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
	for _, h := range x.Hosts {
		f.reg.HearHost(registry.Host{
			ID: h.Id, Peer: h.Peer, Caller: h.Caller, Region: h.Region, FailureDomain: h.FailureDomain, Ready: h.Ready,
			HeardAt: now.Add(-milliseconds(h.AgeMs)),
		}, now)
	}
	complete = true
	for i, key := range x.HeardHosts {
		if i < len(x.HeardAges) {
			complete = f.reg.HearHostAgain(key, now.Add(-milliseconds(uint64(x.HeardAges[i]))), now) && complete
		}
	}
	for _, s := range x.Servers {
		if s.Gone {
			f.reg.Leave(s.Id, s.Start, now)
			continue
		}
		heard := now.Add(-milliseconds(s.AgeMs))
		f.reg.Announce(registry.Server{
			ID: s.Id, Start: s.Start, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Sequence: s.Sequence,
			Slots: int(s.Slots), Leaving: s.Leaving, HeardAt: heard, FirstSeen: now.Add(-milliseconds(s.FirstSeenMs)),
			ColdUntil: heard.Add(milliseconds(s.ColdMs)),
		}, now)
	}
	f.wakeLocked()
	return complete
}

// sync answers an entry host's presentation: at once when something changed
// since the view that it has, else after its wait.
func (f *Fleet) sync(ctx context.Context, m *pb.FleetSync) *pb.FleetView {
	now := f.o.Clock.Now()
	h := m.GetHost()
	f.mu.Lock()
	news := f.reg.HearHost(registry.Host{
		ID: h.GetId(), Peer: h.GetPeer(), Caller: h.GetCaller(), Region: h.GetRegion(), FailureDomain: h.GetFailureDomain(),
		Ready: h.GetReady(), HeardAt: now, Direct: true, Loads: serverload.Decode(m.Loads),
	}, now)
	if news {
		f.o.Log.Info("entry host presented itself", "host_id", h.GetId(), "caller", h.GetCaller(), "ready", h.GetReady())
	}
	if h.GetRegion() == f.o.Region {
		f.prompts.Add(h.GetId(), holders.Decode(m.Prompts))
	}
	f.wakeLocked()
	changed := f.changed
	current := m.HaveEpoch == f.epoch && m.HaveVersion == f.reg.Version()
	f.mu.Unlock()
	if current {
		wait := time.NewTimer(min(milliseconds(uint64(m.WaitMs)), maxSyncWait))
		defer wait.Stop()
		select {
		case <-changed:
		case <-wait.C:
		case <-ctx.Done():
		}
	}
	return f.view(m, h.GetId(), h.GetRegion())
}

func (f *Fleet) view(m *pb.FleetSync, host, region string) *pb.FleetView {
	control := append(f.replica.MemberAddresses(), f.o.Peer)
	evacuated, revision := f.replica.Evacuated()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.o.Clock.Now()
	v := &pb.FleetView{
		Epoch: f.epoch, Version: f.reg.Version(), Evacuated: evacuated, EvacuationRevision: revision,
		HomeRegion: f.o.Region, HomeDomain: f.o.FailureDomain, StalenessMs: uint64(f.replica.Staleness().Milliseconds()), Loads: serverload.Encode(f.reg.OtherLoads(host, now)),
	}
	for _, c := range f.reg.Controls(now) {
		control = append(control, c.Peer)
		v.Regions = append(v.Regions, aged(c.Loads, now.Sub(c.HeardAt))...)
	}
	slices.Sort(control)
	v.Control = slices.Compact(control)
	if region == f.o.Region {
		var places []holders.Place
		places, v.PromptsNext = f.prompts.For(host, m.HavePrompts)
		v.Prompts = holders.Encode(places)
	} else {
		v.Regions = append(v.Regions, f.reg.RegionLoads(f.replica.isEvacuated, now)...)
	}
	f.addLists(v, m, region, now)
	return v
}

// addLists adds the servers of the entry host's region and all entry hosts to its view:
// what changed since the view that it has, and the ages of the servers' announcements.
// With 300 entry hosts and 3,000 servers whole lists are 150 KB a view.
func (f *Fleet) addLists(v *pb.FleetView, m *pb.FleetSync, region string, now time.Time) {
	servers, hosts, complete := f.reg.Removed(m.HaveVersion)
	since := uint64(0)
	if v.Changes = complete && m.HaveEpoch == f.epoch; v.Changes {
		since, v.RemovedServers, v.RemovedHosts = m.HaveVersion, servers, hosts
	}
	for _, s := range f.reg.List(region) {
		if s.ChangedSince(since) {
			v.Servers = append(v.Servers, serverMessage(s, now))
		}
		if v.Changes {
			v.ServerAges = append(v.ServerAges, uint32(age(s.HeardAt, now)/registry.AgeUnitMS))
		}
	}
	for _, s := range f.reg.Gone(region) {
		if s.ChangedSince(since) {
			v.Servers = append(v.Servers, serverMessage(s, now))
		}
	}
	for _, h := range f.reg.Hosts(now) {
		if h.ChangedSince(since) {
			v.Hosts = append(v.Hosts, hostMessage(h, now))
		}
	}
}

// aged returns copies of the loads with their age.
func aged(loads []*pb.RegionLoad, age time.Duration) []*pb.RegionLoad {
	out := make([]*pb.RegionLoad, 0, len(loads))
	for _, l := range loads {
		c := proto.Clone(l).(*pb.RegionLoad)
		c.AgeMs = uint64(max(0, age.Milliseconds()))
		out = append(out, c)
	}
	return out
}

// liveControls returns the other control hosts heard lately.
func (f *Fleet) liveControls() []*registry.Control {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reg.Controls(f.o.Clock.Now())
}

func hostMessage(h *registry.Host, now time.Time) *pb.FleetHost {
	return &pb.FleetHost{
		Id: h.ID, Peer: h.Peer, Caller: h.Caller, Region: h.Region, FailureDomain: h.FailureDomain, Ready: h.Ready,
		AgeMs: age(h.HeardAt, now),
	}
}

func serverMessage(s *registry.Server, now time.Time) *pb.FleetServer {
	if s.Gone {
		return &pb.FleetServer{Id: s.ID, Start: s.Start, Gone: true}
	}
	m := &pb.FleetServer{
		Id: s.ID, Start: s.Start, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain, Sequence: s.Sequence,
		Slots: uint32(s.Slots), Leaving: s.Leaving, AgeMs: age(s.HeardAt, now), FirstSeenMs: age(s.FirstSeen, now),
	}
	if s.ColdUntil.After(s.HeardAt) {
		m.ColdMs = uint64(s.ColdUntil.Sub(s.HeardAt).Milliseconds())
	}
	return m
}

func age(at, now time.Time) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }

func milliseconds(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
