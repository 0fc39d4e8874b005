package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sesamefork/sesamefork/internal/core/configstate"
	"github.com/sesamefork/sesamefork/internal/core/controlhosts"
	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/core/holders"
	"github.com/sesamefork/sesamefork/internal/core/quarantine"
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
)

// controlList is where control hosts are found: the seeds of the settings and
// the addresses that control hosts named.
type controlList struct {
	mu    sync.Mutex
	seeds []string
	named []string
	heard controlhosts.Heard
	// distances are those of the control hosts that were heard, by address.
	distances map[string]controlhosts.Distance
	vouched   chan struct{} // closed and replaced when a control host vouched for the configuration
}

func (g *Gateway) distance(v *pb.FleetView) controlhosts.Distance {
	switch {
	case v.HomeDomain == g.o.FailureDomain:
		return controlhosts.SameDomain
	case v.HomeRegion == g.o.Region:
		return controlhosts.SameRegion
	}
	return controlhosts.OtherRegion
}

func (c *controlList) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append(slices.Clone(c.seeds), c.named...)
	slices.Sort(out)
	return slices.Compact(out)
}

// name takes the addresses that a control host names.
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
	wg.Add(2)
	go func() {
		defer wg.Done()
		_ = g.access.Run(ctx) // ends with ctx only
	}()
	go func() {
		defer wg.Done()
		g.askRegions(ctx)
	}()
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

// present presents the host to one control host again and again, as package controlhosts
// decides. How far the control host is, its first answer tells.
func (g *Gateway) present(ctx context.Context, addr string) {
	c := &controlHost{addr: addr, distance: controlhosts.SameDomain}
	for ctx.Err() == nil {
		if !g.asks(c.distance) {
			pause(ctx, syncPause)
			continue
		}
		nearest := g.nearest(c)
		view, err := g.syncOnce(ctx, c, nearest)
		g.logControl(&c.logged, addr, view, err)
		if err != nil {
			g.o.Metrics.Add("sync_failures", 1)
			pause(ctx, syncPause)
			continue
		}
		if p := controlhosts.Pause(nearest, staleness(view)); p > 0 {
			pause(ctx, p)
		}
	}
}

// controlHost is what this host knows of one control host.
type controlHost struct {
	addr     string
	distance controlhosts.Distance
	known    bool // the distance is
	have     source
	logged   controlSeen
	// toldAll is set once the control host was told all that this host knows of crashing
	// requests; told is the revision up to which it was.
	toldAll bool
	told    uint64
}

// maxRecords bounds the records of crashing requests in one message.
const maxRecords = 128

// crashRecords returns what a control host is to be told of crashing requests: all of it at
// first, as it may have restarted, then what this host saw itself.
func (g *Gateway) crashRecords(c *controlHost) (records []*pb.QuarantineRecord, next uint64) {
	wanted := quarantine.Own
	if !c.toldAll {
		wanted = quarantine.All
	}
	return g.o.Crashes.Since(c.told, maxRecords, wanted)
}

// noteTold records that a control host took the records up to a revision.
func (c *controlHost) noteTold(view *pb.FleetView, epochBefore, next uint64, more bool) {
	if epochBefore != 0 && view.Epoch != epochBefore {
		c.toldAll, c.told = false, 0
		return
	}
	c.told = next
	c.toldAll = c.toldAll || !more
}

func (g *Gateway) asks(d controlhosts.Distance) bool {
	now := g.o.Clock.Now()
	configured, age := g.config.Load() != nil, g.startup.Age(now)
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	return g.control.heard.Asks(d, configured, age, now)
}

// nearest reports whether a control host is one of the nearest that were heard lately.
func (g *Gateway) nearest(c *controlHost) bool {
	d := c.distance
	if !c.known {
		d = controlhosts.OtherRegion
	}
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	return g.control.heard.Nearest(d, g.o.Clock.Now())
}

// noteHeard notes a control host's answer. It reports whether what it tells of the fleet
// counts.
func (g *Gateway) noteHeard(c *controlHost, view *pb.FleetView) bool {
	c.distance, c.known = g.distance(view), true
	now := g.o.Clock.Now()
	g.control.mu.Lock()
	defer g.control.mu.Unlock()
	g.control.heard.Note(c.distance, staleness(view), now)
	g.control.noteDistance(c.addr, c.distance)
	return g.control.heard.KnowsFleet(staleness(view), now)
}

func (g *Gateway) takesFrom(v *pb.FleetView) bool {
	return controlhosts.Takes(staleness(v), g.config.Load() != nil, g.startup.Age(g.o.Clock.Now()))
}

func staleness(v *pb.FleetView) time.Duration { return milliseconds(v.StalenessMs) }

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// syncOnce presents the host to a control host and takes its view. Only one of the nearest
// hears of the host's own work, and tells of the work of others.
func (g *Gateway) syncOnce(ctx context.Context, c *controlHost, nearest bool) (*pb.FleetView, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	req := g.request()
	m := g.presentation(c, nearest)
	records, next := g.crashRecords(c)
	m.Quarantine = records
	req.Body = &pb.Request_FleetSync{FleetSync: m}
	resp, err := g.o.Peers.Call(ctx, c.addr, req)
	if err != nil {
		if ctx.Err() != nil && g.o.Drop != nil {
			g.o.Drop(c.addr) // the link may be silent for good
		}
		return nil, err
	}
	view := resp.GetFleetView()
	if view == nil {
		return nil, failure.New(failure.PeerRefused, "", "the control host at %s gave no view", c.addr)
	}
	c.noteTold(view, c.have.epoch, next, len(records) == maxRecords)
	if !c.have.complete(view) {
		return nil, failure.New(failure.PeerRefused, "", "the changes that the control host at %s tells do not fit what this host has", c.addr)
	}
	g.o.Crashes.Merge(view.Quarantine, c.addr)
	g.takeView(view, dispatch.Scope{Loads: nearest, Fleet: g.noteHeard(c, view)})
	if configstate.Newer(resp.Stamp, g.stamp()) && g.takesFrom(view) {
		g.fetch(ctx, c.addr, resp.Stamp, fetchTimeout)
	}
	g.noteCurrent(resp.Stamp, view)
	g.noteKnown()
	return view, nil
}

// presentation returns what a control host is told of this host.
func (g *Gateway) presentation(c *controlHost, nearest bool) *pb.FleetSync {
	m := &pb.FleetSync{
		Host: &pb.FleetHost{
			Id: g.o.Host, Peer: g.o.Peer, Caller: g.o.Caller, Region: g.o.Region, FailureDomain: g.o.FailureDomain,
			Ready: g.config.Load() != nil && !g.draining.Load(),
		},
		HaveEpoch: c.have.epoch, HaveVersion: c.have.version, HavePrompts: c.have.prompts, HaveQuarantine: c.have.quarantine, WaitMs: uint32(syncWait.Milliseconds()),
	}
	if nearest {
		g.mu.Lock()
		defer g.mu.Unlock()
		m.Loads = serverload.Encode(g.fleet.Loads(g.o.Clock.Now()))
		m.Prompts = holders.Encode(g.fleet.TakeSent())
	}
	return m
}

func (g *Gateway) takeView(v *pb.FleetView, scope dispatch.Scope) {
	if scope.Fleet && len(v.Control) > 0 {
		g.control.name(v.Control)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.TakeView(v, scope, g.o.Clock.Now())
	close(g.viewed)
	g.viewed = make(chan struct{})
	g.budget.SetHosts(g.fleet.AllHosts())
	g.tellWatch()
}
