package gateway

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/serverload"
	"github.com/sesamefork/sesamefork/internal/failure"
	pb "github.com/sesamefork/sesamefork/internal/gen/peerpb"
)

// Times of the presentation to the control hosts.
const (
	// syncWait is how long a control host may hold a presentation when nothing
	// changed. It is also the age of the load figures between hosts of a region.
	syncWait = 250 * time.Millisecond
	// syncTimeout bounds a presentation: the wait, the way to another region and
	// back, and a busy control host.
	syncTimeout = 1200 * time.Millisecond
	// syncPause follows a presentation that failed.
	syncPause = 200 * time.Millisecond
	// fetchTimeout bounds the transfer of a configuration.
	fetchTimeout = 2 * time.Second
	// nearLost is how long the nearer control hosts may be silent before farther
	// ones are asked: those of the own failure domain, its region, other regions.
	nearLost = 1500 * time.Millisecond
)

// controlList is where control hosts are found: the seeds of the settings and
// the addresses that control hosts named.
type controlList struct {
	mu    sync.Mutex
	seeds []string
	named []string
	heard [farthest + 1]time.Time // by distance
}

// Distances of a control host.
const (
	sameDomain = iota
	sameRegion
	farthest
)

func (g *Gateway) distance(v *pb.FleetView) int {
	switch {
	case v.HomeDomain == g.o.FailureDomain:
		return sameDomain
	case v.HomeRegion == g.o.Region:
		return sameRegion
	}
	return farthest
}

func (c *controlList) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append(slices.Clone(c.seeds), c.named...)
	slices.Sort(out)
	return slices.Compact(out)
}

func (c *controlList) name(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.named = addrs
}

// SetSeeds replaces the seeds after the settings have changed.
func (g *Gateway) SetSeeds(seeds []string) {
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	g.control.seeds = seeds
}

// Run keeps the host in touch with the control hosts until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	running := map[string]bool{}
	t := time.NewTicker(syncPause)
	defer t.Stop()
	for {
		for _, addr := range g.control.all() {
			if !running[addr] {
				running[addr] = true
				wg.Add(1)
				go func() {
					defer wg.Done()
					g.present(ctx, addr)
				}()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// present presents the host to one control host again and again. A farther one
// is used only while all nearer ones are silent.
func (g *Gateway) present(ctx context.Context, addr string) {
	have := &source{}
	seen := &controlSeen{}
	distance := sameDomain // until its answers tell otherwise
	for ctx.Err() == nil {
		if g.nearerAlive(distance) {
			pause(ctx, syncPause)
			continue
		}
		view, err := g.syncOnce(ctx, addr, have)
		g.logControl(seen, addr, view, err)
		if err != nil {
			g.o.Metrics.Add("sync_failures", 1)
			pause(ctx, syncPause)
			continue
		}
		distance = g.distance(view)
		g.control.mu.Lock()
		g.control.heard[distance] = g.o.Clock.Now()
		g.control.mu.Unlock()
	}
}

// unsureAfter is how long a host that starts waits for a configuration from the nearest
// control host before it asks others of its region too: when all hosts start at once,
// presenting themselves to twice as many is 3 MB more between failure domains.
const unsureAfter = 800 * time.Millisecond

// nearerAlive reports whether a control host nearer than distance was heard lately. While
// this host has no configuration, those of its region soon count as equally near: the one
// of its failure domain may have lost its disk and know none itself.
func (g *Gateway) nearerAlive(distance int) bool {
	now := g.o.Clock.Now()
	near := distance
	if near == sameRegion && g.config.Load() == nil && g.startup.Age(now) > unsureAfter {
		near = sameDomain
	}
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	for d := range near {
		if now.Sub(g.control.heard[d]) < nearLost {
			return true
		}
	}
	return false
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (g *Gateway) syncOnce(ctx context.Context, addr string, have *source) (*pb.FleetView, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	ready := g.config.Load() != nil && !g.draining.Load()
	g.mu.Lock()
	loads, sent := serverload.Encode(g.fleet.Loads(g.o.Clock.Now())), g.fleet.TakeSent()
	g.mu.Unlock()
	req := g.request()
	req.Body = &pb.Request_FleetSync{FleetSync: &pb.FleetSync{
		Host: &pb.FleetHost{
			Id: g.o.Host, Peer: g.o.Peer, Caller: g.o.Caller, Region: g.o.Region, FailureDomain: g.o.FailureDomain, Ready: ready,
		},
		HaveEpoch: have.epoch, HaveVersion: have.version, WaitMs: uint32(syncWait.Milliseconds()), Loads: loads,
		Prompts: holders.Encode(sent), HavePrompts: have.prompts,
	}}
	resp, err := g.o.Peers.Call(ctx, addr, req)
	if err != nil {
		if ctx.Err() != nil && g.o.Drop != nil {
			g.o.Drop(addr) // the link may be silent for good
		}
		return nil, err
	}
	view := resp.GetFleetView()
	if view == nil {
		return nil, failure.New(failure.PeerRefused, "", "the control host at %s gave no view", addr)
	}
	if !have.complete(view) {
		return nil, failure.New(failure.PeerRefused, "", "the changes that the control host at %s tells do not fit what this host has", addr)
	}
	g.takeView(view)
	if configstate.Newer(resp.Stamp, g.stamp()) {
		g.fetch(ctx, addr, resp.Stamp, fetchTimeout)
	}
	g.noteCurrent(resp.Stamp, view)
	g.noteKnown()
	return view, nil
}

func (g *Gateway) takeView(v *pb.FleetView) {
	if len(v.Control) > 0 {
		g.control.name(v.Control)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.TakeView(v, g.o.Clock.Now())
	close(g.viewed)
	g.viewed = make(chan struct{})
	g.budget.SetHosts(g.fleet.AllHosts())
}

// Times of a configuration that another entry host has.
const (
	// catchUpTimeout bounds asking the sender of a request for its configuration: two round
	// trips between regions 80 ms apart, one of them lost.
	catchUpTimeout = 600 * time.Millisecond
	// catchUpPause follows a failure: requests that come meanwhile are refused at once.
	catchUpPause = time.Second
)

// catchUp takes the configuration of an entry host that sent a request and has a newer one.
// A region whose control hosts are cut from the group's leader, but not from all regions,
// learns of changes so: while two of three regions could not reach each other, 600 forwards
// between the third and one of them were refused in eight seconds. It reports whether the
// sender's configuration is in force here now.
func (g *Gateway) catchUp(ctx context.Context, req *pb.Request) bool {
	now := g.o.Clock.Now().UnixNano()
	if now-g.fetchFailed.Load() < int64(catchUpPause) {
		return false
	}
	g.mu.Lock()
	addr := g.fleet.PeerOf(req.From)
	g.mu.Unlock()
	if addr == "" {
		return false
	}
	g.fetch(ctx, addr, req.Stamp, catchUpTimeout)
	if configstate.Newer(req.Stamp, g.stamp()) {
		g.fetchFailed.Store(now)
		return false
	}
	return true
}

// fetch installs another host's configuration when it is newer; want is the least that is
// asked for.
func (g *Gateway) fetch(ctx context.Context, addr string, want *pb.ConfigStamp, timeout time.Duration) {
	g.fetching.Lock()
	defer g.fetching.Unlock()
	have := g.stamp()
	if !configstate.Newer(want, have) {
		return // another call has fetched it
	}
	req := g.request()
	req.Body = &pb.Request_ConfigFetch{ConfigFetch: &pb.ConfigFetch{HaveGeneration: have.Generation, HaveVersion: have.Version}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	resp, err := g.o.Peers.Call(ctx, addr, req)
	if err != nil || resp.GetConfig() == nil {
		g.logNotFetched(addr, have, want, err)
		return
	}
	next, err := configstate.Install(g.config.Load(), resp.GetConfig(), g.o.VerifyKey)
	if err != nil {
		g.o.Metrics.Add("config_refused", 1)
		g.o.Log.Info("configuration refused", "version", resp.GetConfig().GetStamp().GetVersion(), "reason", err.Error())
		return
	}
	g.config.Store(next)
	g.o.Metrics.Add("config_installed", 1)
	g.o.Log.Info("configuration in force", "version", next.Stamp.Version, "routes", len(next.Record.Routes), "from", hostPart(addr))
}

func hostPart(addr string) string {
	h, _, _ := strings.Cut(addr, ":")
	return h
}
