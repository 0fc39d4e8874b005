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
	t := time.NewTimer(syncPause)
	defer t.Stop()
	for {
		for _, c := range g.wanted() {
			if g.control.begin(c) {
				wg.Add(1)
				go func() {
					defer wg.Done()
					g.present(ctx, c)
					g.control.end(c, g.o.Clock.Now())
				}()
			}
		}
		g.dropIdleLinks()
		t.Reset(g.lookAgainIn())
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-g.control.news:
		}
	}
}

// present presents the host to one control host again and again, for as long as it is to be
// asked.
func (g *Gateway) present(ctx context.Context, c *controlHost) {
	for ctx.Err() == nil && slices.Contains(g.wanted(), c) {
		var view *pb.FleetView
		var err error
		primary := false
		if g.control.located(c) {
			primary = g.primary(c)
			view, err = g.syncOnce(ctx, c, primary)
		} else {
			view, err = g.introduce(ctx, c)
		}
		g.logControl(&c.logged, c.addr, view, err)
		if err != nil {
			g.o.Metrics.Add("sync_failures", 1)
			g.control.avoid(c, g.o.Clock.Now())
			if slices.Contains(g.wanted(), c) {
				pause(ctx, syncPause)
			}
			continue
		}
		if p := controlhosts.QueryPause(primary, staleness(view)); p > 0 {
			pause(ctx, p)
		}
	}
}

// maxRecords bounds the records of crashing requests in one message.
const maxRecords = 128

// crashRecords returns what a control host is to be told of crashing requests: all of it at
// first, as it may have restarted, then what this host saw itself.
func (g *Gateway) crashRecords(c *controlHost) (records []*pb.QuarantineRecord, next uint64) {
	wanted := quarantine.LocalChanges
	if !c.toldAll {
		wanted = quarantine.AllRecords
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

func (g *Gateway) takesFrom(v *pb.FleetView) bool {
	return controlhosts.AcceptsConfig(staleness(v), g.config.Load() != nil, g.startup.Age(g.o.Clock.Now()))
}

func staleness(v *pb.FleetView) time.Duration { return milliseconds(v.StalenessMs) }

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// introduce asks a control host where it is and which others there are.
func (g *Gateway) introduce(ctx context.Context, c *controlHost) (*pb.FleetView, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	req := g.request()
	req.Body = &pb.Request_FleetSync{FleetSync: &pb.FleetSync{Introduction: true}}
	_, view, err := g.callControl(ctx, c, req)
	if err != nil {
		return nil, err
	}
	if g.noteHeard(c, view) {
		g.control.take(view.ControlHosts)
	}
	return view, nil
}

// callControl sends a presentation to a control host.
func (g *Gateway) callControl(ctx context.Context, c *controlHost, req *pb.Request) (*pb.Response, *pb.FleetView, error) {
	resp, err := g.o.Peers.Call(ctx, c.addr, req)
	if err != nil {
		if ctx.Err() != nil && g.o.Drop != nil {
			g.o.Drop(c.addr) // the link may be silent for good
		}
		return nil, nil, err
	}
	view := resp.GetFleetView()
	if view == nil {
		return nil, nil, failure.New(failure.PeerRefused, "", "the control host at %s gave no view", c.addr)
	}
	return resp, view, nil
}

// syncOnce presents the host to a control host and takes its view. Only the primary hears of
// the host's own work, and tells of the work of others.
func (g *Gateway) syncOnce(ctx context.Context, c *controlHost, primary bool) (*pb.FleetView, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	req := g.request()
	m, own := g.presentation(c, primary)
	records, next := g.crashRecords(c)
	m.Quarantine = records
	req.Body = &pb.Request_FleetSync{FleetSync: m}
	resp, view, err := g.callControl(ctx, c, req)
	if err != nil {
		return nil, err
	}
	c.noteTold(view, c.have.epoch, next, len(records) == maxRecords)
	if !c.have.take(view) {
		return nil, failure.New(failure.PeerRefused, "", "the changes that the control host at %s tells do not fit what this host has", c.addr)
	}
	g.o.Crashes.Merge(view.Quarantine, c.addr)
	g.o.Metrics.Add("servers_lapsed", int64(len(view.RemovedServers)))
	g.takeView(view, g.scope(c, view, primary, own))
	if configstate.Newer(resp.Stamp, g.stamp()) && g.takesFrom(view) {
		g.fetch(ctx, c.addr, resp.Stamp, fetchTimeout)
	}
	g.noteCurrent(resp.Stamp, view)
	g.noteKnown()
	return view, nil
}

// scope returns which parts of a control host's view count, and completes it by what this
// host has of the ones before.
func (g *Gateway) scope(c *controlHost, view *pb.FleetView, primary bool, own serverload.Loads) dispatch.ViewScope {
	scope := dispatch.ViewScope{Loads: primary, Fleet: g.noteHeard(c, view)}
	if primary {
		scope.Others = c.have.others(own)
	}
	if scope.Fleet {
		scope.SameHosts = !g.control.listsHosts(c, g.o.Clock.Now())
	}
	if scope.Fleet && !scope.SameHosts {
		view.Hosts = c.have.allHosts()
	}
	return scope
}

// presentation returns what a control host is told of this host, and the loads in it.
func (g *Gateway) presentation(c *controlHost, primary bool) (*pb.FleetSync, serverload.Loads) {
	m := &pb.FleetSync{
		Host: &pb.FleetHost{
			Id: g.o.Host, Peer: g.o.Peer, Caller: g.o.Caller, Region: g.o.Region, FailureDomain: g.o.FailureDomain,
			Ready: g.config.Load() != nil && !g.draining.Load(),
		},
		HaveEpoch: c.have.epoch, HaveVersion: c.have.version, HavePrompts: c.have.prompts, HaveQuarantine: c.have.quarantine,
		HaveHeard: c.have.heard, HaveLoads: c.have.loadsAt, WaitMs: uint32(syncWait.Milliseconds()), Primary: primary,
	}
	if !primary {
		return m, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.fleet.Loads(g.o.Clock.Now())
	m.Loads, m.Prompts = serverload.Encode(own), holders.Encode(g.fleet.TakeUnreportedPlaces())
	return m, own
}

func (g *Gateway) takeView(v *pb.FleetView, scope dispatch.ViewScope) {
	if scope.Fleet {
		g.control.take(v.ControlHosts)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.ApplyView(v, scope, g.o.Clock.Now())
	close(g.viewed)
	g.viewed = make(chan struct{})
	g.budget.SetHosts(g.fleet.HostCount())
	g.tellWatch()
}
